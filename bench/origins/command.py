"""Print what each way costs, and what it still knows after instances ended."""

import json
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import fire

from fescuekeel.components.origins.homes import list_asked, list_homes
from fescuekeel.components.origins.ledger import OriginLedger, StreamOrigin
from fescuekeel.components.peers.frames import Direction, FrameReader, FrameWriter
from fescuekeel.helpers.wire import decode, encode
from fescuekeel.messages import Envelope, StreamOriginNews, StreamOriginRecord

__all__ = ["main"]

REPEATS = 2000
STREAMS_PER_LOSS = 4000
# Bytes of TCP and IP headers for each packet, with its acknowledgement.
PACKET_BYTES = 104
REMEMBERED_S = 30.0
GOSSIP_CONTACTS = 9
KEY = b"key"
SESSION = b"s" * 32


@dataclass(frozen=True, slots=True)
class Loss:
    """Instances that end at once, beside the one that began the stream."""

    name: str
    choose_ended: Callable[[Random, dict[str, str], str], set[str]]


def end_some(share: float) -> Callable[[Random, dict[str, str], str], set[str]]:
    """Return a function that ends a share of the instances."""

    def choose(random: Random, centres: dict[str, str], entry: str) -> set[str]:
        others = sorted(centres.keys() - {entry})
        return {entry, *random.sample(others, round(share * len(centres)) - 1)}

    return choose


def end_data_centre(random: Random, centres: dict[str, str], entry: str) -> set[str]:
    """End all instances of the data centre that began the stream."""
    return {id for id, centre in centres.items() if centre == centres[entry]}


LOSSES = (
    Loss("three eighths", end_some(3 / 8)),
    Loss("half", end_some(1 / 2)),
    Loss("data centre", end_data_centre),
)


def make_fleet(instances: int, data_centres: int) -> dict[str, str]:
    """Return the data centre of each instance."""
    return {f"i{n:03d}": f"dc{n % data_centres}" for n in range(instances)}


def measure_known(instances: int, data_centres: int, homes: int, loss: Loss) -> float:
    """Return the share of streams that some asked instance still knows."""
    random = Random(f"{instances} {homes} {loss.name}")
    centres = make_fleet(instances, data_centres)
    known = 0
    for number in range(STREAMS_PER_LOSS):
        stream = f"{number:016x}"
        entry = random.choice(sorted(centres))
        ended = loss.choose_ended(random, centres, entry)
        left = {id: centre for id, centre in centres.items() if id not in ended}
        notified = set(list_homes(stream, centres, homes)) if homes else {entry}
        known += bool(notified & set(list_asked(stream, left)))
    return known / STREAMS_PER_LOSS


def make_news(records: int) -> StreamOriginNews:
    """Return a message with some records of usual size."""
    record = StreamOriginRecord("9c41d07be2a35f68", "conjurer", "v1.12.3", 25_000)
    return StreamOriginNews((record,) * records)


def measure_message(records: int) -> tuple[int, float, float]:
    """Return bytes on the wire, and seconds to send and to receive."""
    writer = FrameWriter(KEY, SESSION, Direction.CONNECTING)
    reader = FrameReader((KEY,), SESSION, Direction.CONNECTING)
    envelope = Envelope(1, 0, make_news(records))
    began = time.perf_counter()
    frames = [writer.seal(encode(envelope)) for _ in range(REPEATS)]
    sent = time.perf_counter()
    ledger = OriginLedger()
    for number, frame in enumerate(frames):
        (payload,) = reader.feed(frame).unwrap()
        news = decode(payload).unwrap().body
        assert isinstance(news, StreamOriginNews)
        for item in news.records:
            origin = StreamOrigin(item.service, item.software)
            ledger.record(f"{item.stream}{number}", origin, 60.0, 0.0)
    received = time.perf_counter()
    send_s, receive_s = (sent - began) / REPEATS, (received - sent) / REPEATS
    return len(frames[0]) + PACKET_BYTES, send_s, receive_s


def measure_choice(instances: int) -> float:
    """Return the seconds to choose the homes of a stream."""
    centres = make_fleet(instances, 7)
    began = time.perf_counter()
    for number in range(200):
        list_homes(f"{number:016x}", centres)
    return (time.perf_counter() - began) / 200


def measure_record_bytes() -> float:
    """Return the memory of one remembered stream."""
    count = 10_000
    tracemalloc.start()
    ledger = OriginLedger()
    for number in range(count):
        origin = StreamOrigin(f"{'service'}", f"{'v1'}")
        ledger.record(f"{number:016x}", origin, 60.0 + number, 0.0)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used / count


def describe_costs(instances: int, streams_per_s: float) -> dict[str, object]:
    """Return the costs of each way for one instance, worked out."""
    each = streams_per_s / instances
    size, send_s, receive_s = measure_message(1)
    choice_s = measure_choice(instances)
    costs: dict[str, object] = {"frame_bytes": size}
    for homes in (1, 2, 3):
        messages = each * homes
        costs[f"{homes} homes"] = {
            "messages_per_s": round(2 * messages, 1),
            "bytes_per_s": round(2 * messages * size),
            "core_percent": round(
                100 * (messages * (send_s + receive_s) + each * choice_s), 3
            ),
            "memory_kb": round(
                messages * REMEMBERED_S * measure_record_bytes() / 1000, 1
            ),
        }
    record_bytes = (measure_message(50)[0] - size) / 49
    gossiped = streams_per_s * record_bytes * GOSSIP_CONTACTS
    costs["all by gossip"] = {
        "bytes_per_s": round(2 * gossiped),
        "core_percent": round(
            100 * streams_per_s * GOSSIP_CONTACTS * (send_s + receive_s) / 50, 1
        ),
        "memory_kb": round(
            streams_per_s * REMEMBERED_S * measure_record_bytes() / 1000
        ),
    }
    return costs


def run(instances: int = 350, streams_per_s: float = 2800.0) -> None:
    """Print costs at a size, and the share of streams that stay known."""
    result = {"costs": describe_costs(instances, streams_per_s), "known": {}}
    for count, centres in ((4, 2), (8, 3), (75, 4), (350, 7)):
        shares = {
            f"{homes} homes" if homes else "entry only": {
                loss.name: round(measure_known(count, centres, homes, loss), 3)
                for loss in LOSSES
            }
            for homes in (0, 1, 2, 3)
        }
        result["known"][f"{count} instances"] = shares
    print(json.dumps(result, indent=2))


def main(arguments: list[str]) -> int:
    """Parse the command line and run the comparison."""
    fire.Fire(run, command=arguments, name="origins")
    return 0

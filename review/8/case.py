"""Streams that are taken up again after a rolling restart."""

import asyncio
import os
import re
import signal
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

from review.common2.http import Answer, ClientConnection
from review.common2.nodes import BOUNDS, Node, Record, make_nodes, wait_ready
from review.common2.platform import (
    Store,
    Worker,
    make_configuration,
    make_engine,
    make_route,
)

# With "last" only the last machine is restarted, for comparison.
TROUBLE = os.environ.get("TROUBLE", "1")
FOLDER = Path(__file__).resolve().parent
ZONE = "kigali-a"
MODEL = "m0"
# The machines have run for longer than a minute.
CALM_S = 62.0
STREAMS = 20
PAUSE_S = 0.15
# New ones at the machine at which the others are taken up.
NEW_STREAMS = 10
# A stream lasts for 15 s, within the pauses and the time budget of the site.
EVENTS = 75
EVENT_S = 0.2
BUDGET_S = 25.0
RESTART_S = 0.3
# The rule looks at 12 or more.
MIN_STREAMS = 12
GRACE_S = BOUNDS["grace_s"]
CONTACT_S = BOUNDS["contact_ms"] / 1000
# The site allows one; here a client comes back more often.
RETRIES = 3
DEFAULT_RETRY_S = 0.3
EVENT = re.compile(rb"id: (\d+)\ndata: piece \d+\n\n")


@dataclass
class Stream:
    """One stream over its client's attempts."""

    numbers: list[int] = field(default_factory=list)
    statuses: list[int] = field(default_factory=list)
    taken_up: bool = False
    went_on: bool = False
    whole: bool = False


async def ask(
    record: Record, address: str, request_id: str, stream: Stream, first: str
) -> Answer:
    """Send one attempt, and record what it brings."""
    headers = [
        ("Host", "shop.example"),
        ("Fescuekeel-Request-Id", request_id),
        ("Fescuekeel-Model", MODEL),
        ("Fescuekeel-Token-Count", "1460,225"),
        ("Fescuekeel-Prompt-Prefix", f"5c1e07a2:350,{request_id}:1110"),
        ("Fescuekeel-Deadline-Ms", str(int(BUDGET_S * 1000))),
    ]
    if stream.numbers:
        headers.append(("Last-Event-Id", str(stream.numbers[-1])))
        headers.append(("Resumes", first))
    answer, connection = Answer(), ClientConnection()
    try:
        async with asyncio.timeout(BUDGET_S):
            await connection.open(address)
            connection.send("POST", "/method-explain/x", headers, b"x" * 2900)
            await connection.read(answer)
    except (TimeoutError, OSError):
        pass
    finally:
        connection.close()
    numbers = [int(number) for number in EVENT.findall(answer.body)]
    record.write(
        f"{request_id} at {address}: {answer.status}, {len(numbers)} events"
        f"{f' from {numbers[0]}' if numbers else ''}, "
        f"{'whole' if answer.whole else 'broken off'}"
    )
    stream.statuses.append(answer.status)
    stream.numbers += numbers
    stream.whole = answer.whole and answer.status == 200
    return answer


async def run_stream(record: Record, first: Node, other: Node, number: int) -> Stream:
    """Ask for a stream at one machine; take it up at the other one."""
    stream = Stream()
    first_id = f"{number:08x}00000000"
    await ask(record, first.frontend, first_id, stream, "")
    # Nothing that broke off says when to come back.
    await asyncio.sleep(DEFAULT_RETRY_S)
    for attempt in range(1, RETRIES + 1):
        if stream.whole or not stream.numbers:
            break
        stream.taken_up = True
        before = len(stream.numbers)
        request_id = f"{number:08x}{attempt:08x}"
        answer = await ask(record, other.frontend, request_id, stream, first_id)
        stream.went_on |= len(stream.numbers) > before
        wait_s = float(answer.headers.get("retry-after", DEFAULT_RETRY_S))
        await asyncio.sleep(0.0 if stream.whole else wait_s)
    return stream


async def restart(record: Record, node: Node) -> None:
    """Stop a machine as planned, and start it again."""
    record.write(f"{node.name}: SIGTERM")
    node.signal(signal.SIGTERM)
    assert node.process is not None
    try:
        async with asyncio.timeout(GRACE_S):
            await node.process.wait()
    except TimeoutError:
        node.signal(signal.SIGKILL)
        await node.process.wait()
    record.write(f"{node.name}: ended with {node.process.returncode}")
    await asyncio.sleep(RESTART_S)
    await node.start()
    record.write(f"{node.name}: started")


async def play(folder: Path) -> int:
    """Play the case; return the exit code."""
    record = Record(FOLDER)
    store = Store()
    await store.start()
    workers = [
        Worker("conjurer-llm", ZONE, MODEL, 64, events=EVENTS, event_s=EVENT_S)
        for _ in range(2)
    ]
    for worker in workers:
        await worker.start(store)
    changes = {
        "timeout_ms": BUDGET_S * 1000,
        "target_latency_ms": 1000,
        "resumable": True,
        "max_attempts": 2,
    }
    route = make_route("method-explain", "stream", "conjurer-llm", **changes)
    services = [{"name": "conjurer-llm", "engine": make_engine(MODEL)}]
    store.put("op/config", make_configuration(1, [route], services))
    nodes = make_nodes([ZONE, ZONE], store.address, folder)
    first, last = nodes
    try:
        for node in nodes:
            await node.start()
        if not await wait_ready(nodes):
            record.write("not ready")
            return 2
        record.began_at = record.loop.time()
        await asyncio.sleep(CALM_S)
        if TROUBLE == "1":
            await restart(record, first)
            if not await wait_ready([first]):
                record.write(f"{first.name} is not ready again")
                return 2
            await asyncio.sleep(CONTACT_S + 1.0)
        running = []
        for number in range(1, STREAMS + 1):
            work = run_stream(record, last, first, number)
            running.append(asyncio.ensure_future(work))
            await asyncio.sleep(PAUSE_S)
        if TROUBLE != "0":
            await restart(record, last)
        fresh = [Stream() for _ in range(NEW_STREAMS)]
        begun = []
        for number, each in enumerate(fresh):
            work = ask(record, first.frontend, f"{number:08x}ffffffff", each, "")
            begun.append(asyncio.ensure_future(work))
            await asyncio.sleep(PAUSE_S)
        await asyncio.gather(*begun)
        streams = await asyncio.gather(*running)
        for worker in workers:
            for run in worker.runs:
                record.write(
                    f"ran {run.request_id} at {worker.id}, "
                    f"{run.began_at - record.began_at:.3f} s"
                )
        return judge(record, streams, fresh)
    finally:
        for node in nodes:
            await node.end()


def judge(record: Record, streams: list[Stream], fresh: list[Stream]) -> int:
    """Judge the rule LOST as it is written."""
    taken_up = [each for each in streams if each.taken_up]
    went_on = [each for each in taken_up if each.went_on]
    whole = [each for each in streams if each.whole]
    begun = [each for each in fresh if each.numbers]
    record.write(
        f"{len(streams)} streams, {len(whole)} whole; {len(taken_up)} were taken up "
        f"again, {len(went_on)} of them went on; {len(begun)} of {len(fresh)} new "
        "streams began at the same machine"
    )
    if not begun or (TROUBLE != "0" and len(taken_up) < MIN_STREAMS):
        return 2
    share_on = len(went_on) / max(1, len(taken_up))
    share_new = len(begun) / len(fresh)
    enough = len(taken_up) >= MIN_STREAMS
    return 1 if enough and share_on < share_new / 2 else 0


def main() -> int:
    """Run the case."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(play(Path(folder)))


if __name__ == "__main__":
    sys.exit(main())

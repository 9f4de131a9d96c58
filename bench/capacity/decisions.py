"""What the decisions cost as members, endpoints and claims grow."""

import gc
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count
from random import Random

import psutil

from bench.capacity.const import (
    FRAME_BYTES,
    NODES,
    PACKET_BYTES,
)
from bench.capacity.fleet import make_live, make_live_body, make_view
from bench.capacity.timing import Line, fit, time_call
from fescuekeel.components.gateway.ranking_cache import RankingCache
from fescuekeel.components.gateway.routing import Hints, choose
from fescuekeel.components.keys.ledger import Ledger
from fescuekeel.components.livelist.parse import parse_live_list
from fescuekeel.components.membership.const import PROBE_PERIOD_S, TICK_S
from fescuekeel.components.membership.decision import Membership
from fescuekeel.components.membership.events import (
    PingReceived,
    Probe,
    ProbeAnswered,
    Tick,
)
from fescuekeel.components.owner.placement import Placement
from fescuekeel.components.turns.decision import TurnTable
from fescuekeel.helpers.wire import decode, encode
from fescuekeel.messages import (
    AdapterRef,
    Envelope,
    KeyClaim,
    Member,
    News,
    NewsKind,
    PeerMessage,
    Ping,
    TreeStored,
    TurnAsk,
    WireMessage,
)

__all__ = [
    "LiveCost",
    "MemberCost",
    "make_claim",
    "measure_claims",
    "measure_live",
    "measure_members",
    "measure_routing",
    "measure_turns",
    "measure_view",
    "news_bytes",
    "wire_bytes",
]

MEMBER_SIZES = (50, 100, 200, NODES)
SIMULATED_S = 30.0
CLAIMS = 20_000


def wire_bytes(*bodies: WireMessage) -> int:
    """Return what messages take on the wire, each alone in its packet."""
    frames = [encode(Envelope(1, 0, body)) for body in bodies]
    return sum(len(frame) + FRAME_BYTES + PACKET_BYTES for frame in frames)


def make_news(number: int) -> News:
    """Return news of one instance."""
    subject, address = f"instance-{number:04}", f"10.0.{number}.2:7400"
    return News(NewsKind.SUSPECT, subject, 1_700_000_000_000, address, "centre-0")


def news_bytes(pieces: int) -> int:
    """Return the size of a ping with so many pieces of news."""
    return wire_bytes(Ping(tuple(make_news(number) for number in range(pieces))))


@dataclass(frozen=True, slots=True)
class MemberCost:
    """What membership costs by the number of members.

    ``core`` is a share of a core, ``ping_bytes`` the size of a quiet ping.
    """

    core: Line
    kilobytes: Line
    ping_bytes: int


def drive(members: int) -> tuple[float, int]:
    """Run a quiet membership; return its share of a core and a ping's size."""
    live = make_live(members)
    own = next(iter(make_view(live).members_by_id.values()))
    membership = Membership(own, Random(1))
    clock = count()
    sizes = []

    def pass_time() -> None:
        """Do a probe period's work: ticks, a probe, and one from a peer."""
        start = next(clock) * PROBE_PERIOD_S
        for tick in range(round(PROBE_PERIOD_S / TICK_S)):
            now = start + tick * TICK_S
            for effect in membership.handle(Tick(), now):
                if isinstance(effect, Probe):
                    frame = encode(Envelope(1, 0, Ping(effect.news)))
                    sizes.append(len(frame) + FRAME_BYTES + PACKET_BYTES)
                    decode(frame)
                    membership.handle(ProbeAnswered(effect.target, effect.news), now)
        request = PeerMessage("instance-0001", 1, Ping())
        membership.handle(PingReceived(request, ()), start)

    membership.handle(TreeStored(7, "0" * 64), 0.0)
    membership.handle(live, 0.0)
    periods = round(SIMULATED_S / PROBE_PERIOD_S)
    core = time_call(pass_time, periods) / PROBE_PERIOD_S
    return core, sorted(sizes)[len(sizes) // 2]


def measure_members() -> MemberCost:
    """Measure a quiet membership at growing sizes."""
    driven = [drive(size) for size in MEMBER_SIZES]
    return MemberCost(
        fit(MEMBER_SIZES, [core for core, _ in driven]),
        fit(MEMBER_SIZES, [measure_kilobytes(size) for size in MEMBER_SIZES]),
        driven[-1][1],
    )


def measure_kilobytes(members: int) -> float:
    """Return the memory of list, records and view, in KB."""
    tracemalloc.start()
    live = make_live(members)
    membership = Membership(Member("own", "", "centre-0", 1), Random(1))
    held = live, membership, membership.handle(live, 0.0)
    kilobytes = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    assert held
    return kilobytes


@dataclass(frozen=True, slots=True)
class LiveCost:
    """What one poll of the live list costs at the letter's size."""

    size: int
    parse_s: float


def measure_live() -> LiveCost:
    """Measure one poll of the whole list."""
    body = make_live_body(make_live(NODES))
    return LiveCost(len(body), time_call(lambda: parse_live_list(body), 3))


def measure_routing(adapters: int) -> float:
    """Return the processor seconds to choose endpoint and owner.

    Few adapters are remembered from one request to the next.
    """
    view = make_view(make_live(NODES))
    hints, rankings, numbers = Hints(), RankingCache(), count()

    def route() -> None:
        choose(
            "base-0",
            AdapterRef(f"a{next(numbers) % adapters}", "1"),
            "r",
            view.endpoints_by_id,
            view.members_by_id,
            hints,
            1.0,
            rank=rankings.get,
        )

    return time_call(route, 200)


def measure_view() -> float:
    """Return the processor seconds that a changed view costs an owner."""
    view = make_view(make_live(NODES))
    placement = Placement("instance-0000", "centre-0")
    return time_call(lambda: placement.update(view, (), 0.0), 3)


def measure_claims() -> tuple[float, float]:
    """Return the bytes and the processor seconds of one claim at a home."""
    process = psutil.Process()
    gc.collect()
    before = process.memory_info().rss
    ledger = Ledger()
    claims = [make_claim(number) for number in range(CLAIMS)]
    taken = iter(claims)
    seconds = time_call_once(lambda: ledger.claim(next(taken), 0.0), CLAIMS)
    frame = encode(Envelope(1, 0, claims[0]))
    seconds += time_call(lambda: decode(frame), 2000)
    return (process.memory_info().rss - before) / CLAIMS, seconds


def make_claim(number: int) -> KeyClaim:
    """Return a claim with texts of usual length."""
    digest = f"{number:032x}"
    return KeyClaim(f"shop/order-{number:016}", digest[:16], digest, 600_000)


def time_call_once(call: Callable[[], object], number: int) -> float:
    """Time calls that can't be repeated."""
    return time_call(call, number // 5)


def measure_turns(waiting: int) -> float:
    """Return the processor seconds of an ask while so many others wait."""
    table = TurnTable()
    numbers = count(1)

    def ask() -> None:
        number = next(numbers)
        ref = AdapterRef(f"a{number % waiting}", "1")
        body = TurnAsk(f"worker-{number % waiting:04}", ref, 1.0, 1)
        table.ask(PeerMessage("instance-0001", number, body), number * 1e-4)

    for _ in range(waiting):
        ask()
    return time_call(ask, 50)

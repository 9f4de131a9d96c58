"""Cost of decisions by the number of members, endpoints and claims."""

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
from bench.capacity.fleet import format_live_list, make_live_list, make_view
from bench.capacity.timing import Line, fit_line, time_call
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
    "LiveListCost",
    "MemberCost",
    "get_news_bytes",
    "get_wire_bytes",
    "make_claim",
    "measure_claims",
    "measure_live_list",
    "measure_members",
    "measure_routing",
    "measure_turns",
    "measure_view",
]

MEMBER_SIZES = (50, 100, 200, NODES)
SIMULATED_S = 30.0
CLAIMS = 20_000


def get_wire_bytes(*bodies: WireMessage) -> int:
    """Return the bytes on the wire of messages, one packet each."""
    frames = [encode(Envelope(1, 0, body)) for body in bodies]
    return sum(len(frame) + FRAME_BYTES + PACKET_BYTES for frame in frames)


def make_news(number: int) -> News:
    """Return a membership update about one instance."""
    subject, address = f"instance-{number:04}", f"10.0.{number}.2:7400"
    return News(NewsKind.SUSPECT, subject, 1_700_000_000_000, address, "centre-0")


def get_news_bytes(pieces: int) -> int:
    """Return the size of a ping with this number of updates."""
    return get_wire_bytes(Ping(tuple(make_news(number) for number in range(pieces))))


@dataclass(frozen=True, slots=True)
class MemberCost:
    """Cost of membership by the number of members.

    ``core`` is a share of a core, ``ping_bytes`` the size of a ping in a
    steady cluster.
    """

    core: Line
    kilobytes: Line
    ping_bytes: int


def simulate_membership(members: int) -> tuple[float, int]:
    """Simulate a steady cluster; return its share of a core and ping size."""
    live = make_live_list(members)
    own = next(iter(make_view(live).members_by_id.values()))
    membership = Membership(own, Random(1))
    clock = count()
    sizes = []

    def run_probe_period() -> None:
        """Run one probe period: ticks, a probe, and a ping from a peer."""
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
    core = time_call(run_probe_period, periods) / PROBE_PERIOD_S
    return core, sorted(sizes)[len(sizes) // 2]


def measure_members() -> MemberCost:
    """Measure a steady cluster at several sizes."""
    results = [simulate_membership(size) for size in MEMBER_SIZES]
    return MemberCost(
        fit_line(MEMBER_SIZES, [core for core, _ in results]),
        fit_line(MEMBER_SIZES, [measure_memory_kb(size) for size in MEMBER_SIZES]),
        results[-1][1],
    )


def measure_memory_kb(members: int) -> float:
    """Return the memory of live list, records and view in KB."""
    tracemalloc.start()
    live = make_live_list(members)
    membership = Membership(Member("own", "", "centre-0", 1), Random(1))
    held = live, membership, membership.handle(live, 0.0)
    kilobytes = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    assert held
    return kilobytes


@dataclass(frozen=True, slots=True)
class LiveListCost:
    """Cost of one poll of the live list at the target size."""

    size: int
    parse_s: float


def measure_live_list() -> LiveListCost:
    """Measure one poll of the complete live list."""
    body = format_live_list(make_live_list(NODES))
    return LiveListCost(len(body), time_call(lambda: parse_live_list(body), 3))


def measure_routing(adapters: int) -> float:
    """Return the processor seconds to choose endpoint and owner.

    With few adapters, rankings are cached between requests.
    """
    view = make_view(make_live_list(NODES))
    hints, rankings, request_numbers = Hints(), RankingCache(), count()

    def route() -> None:
        choose(
            "base-0",
            AdapterRef(f"a{next(request_numbers) % adapters}", "1"),
            "r",
            view.endpoints_by_id,
            view.members_by_id,
            hints,
            1.0,
            rank=rankings.get,
        )

    return time_call(route, 200)


def measure_view() -> float:
    """Return the processor seconds of an owner for a changed view."""
    view = make_view(make_live_list(NODES))
    placement = Placement("instance-0000", "centre-0")
    return time_call(lambda: placement.update(view, (), 0.0), 3)


def measure_claims() -> tuple[float, float]:
    """Return the bytes and processor seconds of one claim at a home."""
    process = psutil.Process()
    gc.collect()
    before = process.memory_info().rss
    ledger = Ledger()
    claims = [make_claim(number) for number in range(CLAIMS)]
    remaining_claims = iter(claims)
    seconds = time_call_once(lambda: ledger.claim(next(remaining_claims), 0.0), CLAIMS)
    frame = encode(Envelope(1, 0, claims[0]))
    seconds += time_call(lambda: decode(frame), 2000)
    return (process.memory_info().rss - before) / CLAIMS, seconds


def make_claim(number: int) -> KeyClaim:
    """Return a claim with keys of typical length."""
    digest = f"{number:032x}"
    return KeyClaim(f"shop/order-{number:016}", digest[:16], digest, 600_000)


def time_call_once(call: Callable[[], object], number: int) -> float:
    """Time calls that consume their input."""
    return time_call(call, number // 5)


def measure_turns(waiting: int) -> float:
    """Return the processor seconds of a request with others waiting."""
    table = TurnTable()
    request_numbers = count(1)

    def ask() -> None:
        number = next(request_numbers)
        ref = AdapterRef(f"a{number % waiting}", "1")
        body = TurnAsk(f"worker-{number % waiting:04}", ref, 1.0, 1)
        table.ask(PeerMessage("instance-0001", number, body), number * 1e-4)

    for _ in range(waiting):
        ask()
    return time_call(ask, 50)

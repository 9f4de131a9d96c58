"""Which endpoint and owner a request goes to; pure decisions.

An adapter's home follows from hashing, so that idle adapters cost nothing.
Hints only save time: with none at all a request goes to its home, and an
outdated one costs a wait or a load and no more.
"""

from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from fescuekeel.helpers.endpoint_ranking import (
    put_unreachable_last,
    rank_endpoints,
    rank_reachable_endpoints,
)
from fescuekeel.helpers.owners import choose_owner
from fescuekeel.messages import AdapterRef, LiveEntry, Member

__all__ = [
    "Choice",
    "Hints",
    "RouteReason",
    "choose",
    "put_unreachable_last",
    "rank_endpoints",
    "rank_reachable_endpoints",
]

Rank = Callable[
    [str, AdapterRef, Mapping[str, LiveEntry], Mapping[str, Member]], Sequence[str]
]

HINT_S = 5.0
MAX_HINTS = 10_000
# How many endpoints, in order of their rank, may hold copies of one adapter.
MAX_COPIES = 3
PLAIN_CANDIDATES = 2
# Owners send requests on among the first two endpoints.
MOVE_CANDIDATES = 2


class RouteReason(StrEnum):
    """Name why an endpoint was chosen."""

    HOME = "home"
    COPY = "copy"
    MOVED = "moved"
    SPREAD = "spread"
    LEAST_LOADED = "least_loaded"


@dataclass(frozen=True, slots=True)
class Choice:
    """Say where a request goes, and why."""

    endpoint: str
    owner: str
    reason: RouteReason


@dataclass(frozen=True, slots=True)
class TimedWait:
    """A wait in seconds that was seen at some time."""

    wait_s: float
    seen: float


@dataclass(frozen=True, slots=True)
class Move:
    """Where an adapter's requests were sent on to, and when."""

    endpoint: str
    seen: float


@dataclass(slots=True)
class Hints:
    """What an entry instance has seen in the last seconds.

    >>> hints, ref = Hints(), AdapterRef("cups", "1")
    >>> hints.note_ended("e1", ref, wait_s=0.2, now=10.0)
    >>> hints.has_copy("e1", ref, 12.0), hints.has_copy("e1", ref, 16.0)
    (True, False)
    """

    in_flight_by_endpoint: dict[str, int] = field(default_factory=dict)
    _waits_by_endpoint: dict[str, TimedWait] = field(default_factory=dict)
    _copies_by_adapter: dict[AdapterRef, dict[str, float]] = field(default_factory=dict)
    _moves_by_adapter: dict[AdapterRef, Move] = field(default_factory=dict)

    def note_sent(self, endpoint: str) -> None:
        """Count a request that was handed to an endpoint's owner."""
        count = self.in_flight_by_endpoint.get(endpoint, 0)
        self.in_flight_by_endpoint[endpoint] = count + 1

    def note_done(self, endpoint: str) -> None:
        """Count its end, whatever the outcome."""
        count = self.in_flight_by_endpoint.get(endpoint, 0)
        if count > 1:
            self.in_flight_by_endpoint[endpoint] = count - 1
            return
        self.in_flight_by_endpoint.pop(endpoint, None)

    def note_ended(
        self, endpoint: str, adapter: AdapterRef, wait_s: float, now: float
    ) -> None:
        """Learn from an answer: the copy, and the wait for room in seconds.

        ``wait_s`` leaves out the time spent on the adapter's load.
        """
        self._waits_by_endpoint[endpoint] = TimedWait(wait_s, now)
        if not adapter:
            return
        if len(self._copies_by_adapter) >= MAX_HINTS:
            self._forget(now)
        self._copies_by_adapter.setdefault(adapter, {})[endpoint] = now

    def note_full(self, endpoint: str, retry_after_s: float, now: float) -> None:
        """Learn from a refusal for want of room."""
        wait_s = max(retry_after_s, HINT_S)
        self._waits_by_endpoint[endpoint] = TimedWait(wait_s, now)

    def get_wait_s(self, endpoint: str, now: float) -> float:
        """Return the wait for room, what was seen fading as it ages."""
        timed = self._waits_by_endpoint.get(endpoint)
        if timed is None:
            return 0.0
        fade = max(0.0, 1.0 - (now - timed.seen) / HINT_S)
        return timed.wait_s * fade

    def has_copy(self, endpoint: str, adapter: AdapterRef, now: float) -> bool:
        """Tell whether the adapter served there a moment ago."""
        seen = self._copies_by_adapter.get(adapter, {}).get(endpoint)
        return seen is not None and now - seen <= HINT_S

    def note_moved(
        self, home: str, endpoint: str, adapter: AdapterRef, now: float
    ) -> None:
        """Learn that an endpoint has no copy and sends its requests on."""
        self._copies_by_adapter.get(adapter, {}).pop(home, None)
        if len(self._moves_by_adapter) >= MAX_HINTS:
            del self._moves_by_adapter[next(iter(self._moves_by_adapter))]
        self._moves_by_adapter.pop(adapter, None)
        self._moves_by_adapter[adapter] = Move(endpoint, now)

    def get_moved(self, adapter: AdapterRef, now: float) -> str | None:
        """Return where the adapter's requests go instead of their home."""
        move = self._moves_by_adapter.get(adapter)
        if move is None or now - move.seen > HINT_S:
            return None
        return move.endpoint

    def _forget(self, now: float) -> None:
        """Drop outdated hints, and the oldest ones if that is not enough."""
        seen_by_adapter = {
            adapter: max(copies.values())
            for adapter, copies in self._copies_by_adapter.items()
        }
        for adapter in sorted(seen_by_adapter, key=seen_by_adapter.__getitem__):
            fresh = now - seen_by_adapter[adapter] <= HINT_S
            if fresh and len(self._copies_by_adapter) < MAX_HINTS * 3 // 4:
                return
            del self._copies_by_adapter[adapter]


def choose(
    pool: str,
    adapter: AdapterRef,
    request_id: str,
    endpoints_by_id: Mapping[str, LiveEntry],
    members_by_id: Mapping[str, Member],
    hints: Hints,
    now: float,
    load_s: float = 0.5,
    tried: Collection[str] = (),
    rank: Rank = rank_reachable_endpoints,
) -> Choice | None:
    """Return where a request goes next, or ``None`` when nothing is left.

    ``tried`` are the endpoints that refused this request already. A pool
    without adapters takes the less loaded of two endpoints that the request
    id picks. ``load_s`` is what one load costs, in seconds.
    """
    if adapter:
        ranked = rank(pool, adapter, endpoints_by_id, members_by_id)
    else:
        # Each request has an order of its own, which nothing can remember.
        key = AdapterRef(request_id)
        ranked = rank_reachable_endpoints(pool, key, endpoints_by_id, members_by_id)
    candidates = [id for id in ranked if id not in tried]
    if not candidates:
        return None
    if adapter:
        endpoint, reason = _choose_copy(
            candidates[:MAX_COPIES], adapter, hints, now, load_s
        )
    else:
        endpoint = _choose_least_loaded(candidates[:PLAIN_CANDIDATES], hints, now)
        reason = RouteReason.LEAST_LOADED
    owner = choose_owner(endpoints_by_id[endpoint], members_by_id.values())
    if owner is None:
        return None
    return Choice(endpoint, owner, reason)


def _choose_copy(
    candidates: list[str],
    adapter: AdapterRef,
    hints: Hints,
    now: float,
    load_s: float,
) -> tuple[str, RouteReason]:
    """Stay at home unless waiting there costs more than a load elsewhere."""
    home, reason = candidates[0], RouteReason.HOME
    moved = hints.get_moved(adapter, now)
    # Guards against a hint that names an endpoint behind a cut: such ones rank
    # last, while owners send requests on among the first two ranks only.
    if moved in candidates[1:MOVE_CANDIDATES]:
        home, reason = moved, RouteReason.MOVED
    best, best_s, best_reason = home, hints.get_wait_s(home, now), reason
    for endpoint in candidates:
        if endpoint == home:
            continue
        wait_s = hints.get_wait_s(endpoint, now)
        has_copy = hints.has_copy(endpoint, adapter, now)
        cost_s = wait_s if has_copy else wait_s + load_s
        if cost_s < best_s:
            reason = RouteReason.COPY if has_copy else RouteReason.SPREAD
            best, best_s, best_reason = endpoint, cost_s, reason
    return best, best_reason


def _choose_least_loaded(candidates: list[str], hints: Hints, now: float) -> str:
    return min(
        candidates,
        key=lambda id: (
            hints.get_wait_s(id, now),
            hints.in_flight_by_endpoint.get(id, 0),
        ),
    )

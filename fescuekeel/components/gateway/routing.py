"""Choice of the endpoint and owner for a request, without I/O.

Rendezvous hashing assigns each adapter a home endpoint, so idle adapters need
no state. Hints are an optimisation: without any, a request goes to its home,
and a stale one costs at most an extra wait or adapter load.
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

HINT_TTL_S = 5.0
MAX_HINTS = 10_000
# Copies of an adapter are placed on this many of its first-ranked endpoints.
MAX_COPIES = 3
MAX_PLAIN_CANDIDATES = 2
# Owners redirect requests only among the first two ranked endpoints.
MAX_MOVE_CANDIDATES = 2


class RouteReason(StrEnum):
    """Reason for the choice of an endpoint."""

    HOME = "home"
    COPY = "copy"
    MOVED = "moved"
    SPREAD = "spread"
    LEAST_LOADED = "least_loaded"


@dataclass(frozen=True, slots=True)
class Choice:
    """Endpoint and owner for a request, and the reason for the choice."""

    endpoint: str
    owner: str
    reason: RouteReason


@dataclass(frozen=True, slots=True)
class TimedWait:
    """Queue wait at an endpoint, and when it was recorded."""

    wait_s: float
    updated_at: float


@dataclass(frozen=True, slots=True)
class Move:
    """Endpoint that an adapter's requests were redirected to, and when."""

    endpoint: str
    updated_at: float


@dataclass(slots=True)
class Hints:
    """Short-lived observations of an entry instance about endpoints.

    >>> hints, ref = Hints(), AdapterRef("cups", "1")
    >>> hints.record_answer("e1", ref, wait_s=0.2, now=10.0)
    >>> hints.has_copy("e1", ref, 12.0), hints.has_copy("e1", ref, 16.0)
    (True, False)
    """

    in_flight_by_endpoint: dict[str, int] = field(default_factory=dict)
    _waits_by_endpoint: dict[str, TimedWait] = field(default_factory=dict)
    _copies_by_adapter: dict[AdapterRef, dict[str, float]] = field(default_factory=dict)
    _moves_by_adapter: dict[AdapterRef, Move] = field(default_factory=dict)

    def record_sent(self, endpoint: str) -> None:
        """Count a request as in flight at an endpoint."""
        count = self.in_flight_by_endpoint.get(endpoint, 0)
        self.in_flight_by_endpoint[endpoint] = count + 1

    def record_done(self, endpoint: str) -> None:
        """Count a request as ended, whatever the outcome."""
        count = self.in_flight_by_endpoint.get(endpoint, 0)
        if count > 1:
            self.in_flight_by_endpoint[endpoint] = count - 1
            return
        self.in_flight_by_endpoint.pop(endpoint, None)

    def record_answer(
        self, endpoint: str, adapter: AdapterRef, wait_s: float, now: float
    ) -> None:
        """Record that the adapter is loaded there, and the queue wait.

        ``wait_s`` excludes the time spent loading the adapter.
        """
        self._waits_by_endpoint[endpoint] = TimedWait(wait_s, now)
        if not adapter:
            return
        if len(self._copies_by_adapter) >= MAX_HINTS:
            self._prune_copies(now)
        self._copies_by_adapter.setdefault(adapter, {})[endpoint] = now

    def record_full(self, endpoint: str, retry_after_s: float, now: float) -> None:
        """Record that the endpoint rejected a request because it is full."""
        wait_s = max(retry_after_s, HINT_TTL_S)
        self._waits_by_endpoint[endpoint] = TimedWait(wait_s, now)

    def get_wait_s(self, endpoint: str, now: float) -> float:
        """Return the queue wait, decaying linearly to zero with its age."""
        timed = self._waits_by_endpoint.get(endpoint)
        if timed is None:
            return 0.0
        decay = max(0.0, 1.0 - (now - timed.updated_at) / HINT_TTL_S)
        return timed.wait_s * decay

    def has_copy(self, endpoint: str, adapter: AdapterRef, now: float) -> bool:
        """Return whether the adapter was recently loaded at the endpoint."""
        seen = self._copies_by_adapter.get(adapter, {}).get(endpoint)
        return seen is not None and now - seen <= HINT_TTL_S

    def record_moved(
        self, home: str, endpoint: str, adapter: AdapterRef, now: float
    ) -> None:
        """Record that ``home`` has no copy and redirects to ``endpoint``."""
        self._copies_by_adapter.get(adapter, {}).pop(home, None)
        if len(self._moves_by_adapter) >= MAX_HINTS:
            del self._moves_by_adapter[next(iter(self._moves_by_adapter))]
        self._moves_by_adapter.pop(adapter, None)
        self._moves_by_adapter[adapter] = Move(endpoint, now)

    def get_move_target(self, adapter: AdapterRef, now: float) -> str | None:
        """Return the endpoint that the adapter is redirected to, if any."""
        move = self._moves_by_adapter.get(adapter)
        if move is None or now - move.updated_at > HINT_TTL_S:
            return None
        return move.endpoint

    def _prune_copies(self, now: float) -> None:
        """Drop stale copies, and the oldest ones if that is not enough."""
        seen_by_adapter = {
            adapter: max(copies.values())
            for adapter, copies in self._copies_by_adapter.items()
        }
        for adapter in sorted(seen_by_adapter, key=seen_by_adapter.__getitem__):
            fresh = now - seen_by_adapter[adapter] <= HINT_TTL_S
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
    """Choose the next endpoint, or ``None`` when no candidate is left.

    ``tried`` holds the endpoints that already rejected this request. In a
    pool without adapters, the choice is the less loaded of the two endpoints
    that the request id hashes to. ``load_s`` is the duration of one adapter
    load in seconds.
    """
    if adapter:
        ranked = rank(pool, adapter, endpoints_by_id, members_by_id)
    else:
        # The ranking depends on the request id, so caching is useless.
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
        endpoint = _choose_least_loaded(candidates[:MAX_PLAIN_CANDIDATES], hints, now)
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
    """Choose the home unless another candidate has a lower expected delay."""
    home, reason = candidates[0], RouteReason.HOME
    moved = hints.get_move_target(adapter, now)
    # Guards against a hint that names an endpoint behind a partition: those
    # rank last, while owners redirect among the first two ranks only.
    if moved in candidates[1:MAX_MOVE_CANDIDATES]:
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

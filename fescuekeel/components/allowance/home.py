"""Decide what a limit's home grants to the instances that ask; pure.

Each limit, of a client account or an endpoint, is counted by one instance, its
home, chosen by rendezvous hashing. However many instances ask, the home grants
no more in any window than the limit allows. A new home grants only what has
accrued since the latest time at which it can have become the home, so that
almost nothing is granted twice.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from fescuekeel.components.allowance.const import (
    GRANT_TTL_S,
    MAX_ACCOUNTS,
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    PREFETCH_SHARE,
    REFUSED_DEMAND_TTL_S,
    RESERVED_SHARE,
)
from fescuekeel.components.allowance.limit import RateLimit
from fescuekeel.components.allowance.window import LimitWindow

__all__ = ["Grant", "LimitHome"]


@dataclass(frozen=True, slots=True)
class Grant:
    """The units granted; if none, ``wait_s`` says when to ask again."""

    units: float
    wait_s: float = 0.0


@dataclass(slots=True)
class LimitState:
    """Recent grants and refusals of one limit.

    ``prefetched`` are units granted beyond what was needed. They may be spent
    later than they were granted, so their number is bounded.
    """

    window: LimitWindow
    prefetched: deque[tuple[float, float]] = field(default_factory=deque)
    refused: deque[tuple[float, float]] = field(default_factory=deque)

    def count_prefetched(self, now: float) -> float:
        """Return the prefetched units that may still be unspent."""
        return _count_since(self.prefetched, now - GRANT_TTL_S)

    def count_refused(self, now: float) -> float:
        """Return the units refused recently, for which callers will retry."""
        return _count_since(self.refused, now - REFUSED_DEMAND_TTL_S)


def _count_since(entries: deque[tuple[float, float]], start: float) -> float:
    while entries and entries[0][0] < start:
        entries.popleft()
    return sum(units for _, units in entries)


@dataclass(slots=True)
class LimitHome:
    """Track the grants of the limits whose home is this instance.

    ``known_since`` is the latest time at which this instance can have become
    the home of a limit that it has no state of. ``prefetch_share`` of the
    free capacity is granted beyond the need.

    >>> home = LimitHome(known_since=0.0, window_s=1.0)
    >>> from fescuekeel.helpers.published import ClientAccount
    >>> account = ClientAccount("a", rate_per_s=10.0, burst=10.0)
    >>> home.grant(account, needed=12.0, now=5.0).units
    12.5
    >>> home.grant(account, needed=12.0, now=5.0).wait_s
    1.0
    """

    known_since: float
    window_s: float = 8.0
    prefetch_share: float = PREFETCH_SHARE
    _states_by_name: dict[str, LimitState] = field(default_factory=dict)

    def retain(self, kept_names: Iterable[str], now: float) -> None:
        """Drop all other limits after a change of the members."""
        self.known_since = now
        kept = set(kept_names)
        for name in self._states_by_name.keys() - kept:
            del self._states_by_name[name]

    def list_names(self) -> list[str]:
        """Return the names of the limits that have state here."""
        return list(self._states_by_name)

    def read_available(self, name: str, now: float) -> float:
        """Return how many units of a limit may be granted now."""
        return self._states_by_name[name].window.count_available(now)

    def grant(
        self,
        limit: RateLimit,
        needed: float,
        now: float,
        share: float = 1.0,
        deputy: bool = False,
    ) -> Grant:
        """Grant the units needed, and prefetched ones while plenty are free.

        ``share`` is the part of the limit that this side of a partition may
        grant. A ``deputy`` starts with no capacity: the home may only be
        unreachable for the asking instance, and may have granted the rest.
        """
        known_since = now if deputy else self.known_since
        state = self._get_state(limit, share, known_since)
        # A request larger than a window's capacity would never be served.
        needed = min(needed, state.window.capacity)
        available = state.window.count_available(now)
        if available < needed or needed <= 0:
            return self._refuse(state, needed, now)
        prefetch = self._choose_prefetch(state, available - needed, now)
        state.window.record_grant(needed + prefetch, now)
        return Grant(needed + prefetch)

    def _choose_prefetch(
        self, state: LimitState, available: float, now: float
    ) -> float:
        """Return how many units to grant beyond the need.

        A reserve is never prefetched. Guards against a window that is filled
        by grants that expire unspent.
        """
        max_prefetch = state.window.rate_per_s * GRANT_TTL_S
        surplus = available - RESERVED_SHARE * state.window.capacity
        if surplus <= 0 or state.count_prefetched(now) >= max_prefetch:
            return 0.0
        prefetch = self.prefetch_share * min(surplus, max_prefetch)
        state.prefetched.append((now, prefetch))
        return prefetch

    def _refuse(self, state: LimitState, needed: float, now: float) -> Grant:
        """Return when to retry, after those who were refused before."""
        rate = state.window.rate_per_s
        if rate <= 0:
            return Grant(0.0, MAX_RETRY_AFTER_S)
        wait_s = state.window.find_wait_s(needed, now)
        wait_s += state.count_refused(now) / rate
        state.refused.append((now, needed))
        return Grant(0.0, min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s)))

    def _get_state(
        self, limit: RateLimit, share: float, known_since: float
    ) -> LimitState:
        rate = limit.rate_per_s * share
        burst = limit.burst * share
        state = self._states_by_name.get(limit.name)
        if state is None:
            if len(self._states_by_name) >= MAX_ACCOUNTS:
                del self._states_by_name[next(iter(self._states_by_name))]
            window = LimitWindow(rate, burst, self.window_s, known_since)
            state = self._states_by_name[limit.name] = LimitState(window)
        state.window.set_limit(rate, burst)
        return state

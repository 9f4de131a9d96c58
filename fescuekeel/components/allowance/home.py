"""Decide what an account's home grants to the instances that ask; pure.

One instance, found by hashing, counts what it grants of each account's limit.
Whatever the number of instances that ask, they are granted no more in any
window than the limit allows. A home that follows on another begins with what
has come in since it can have become the home, so that a change of homes grants
next to nothing twice.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from fescuekeel.components.allowance.const import (
    GRANT_TTL_S,
    LONGEST_WAIT_S,
    MAX_ACCOUNTS,
    REFUSED_MEMORY_S,
    RESERVED_SHARE,
    SHORTEST_WAIT_S,
    SPARE_SHARE,
)
from fescuekeel.components.allowance.window import LimitWindow
from fescuekeel.helpers.published import ClientAccount

__all__ = ["AccountHome", "Grant"]


@dataclass(frozen=True, slots=True)
class Grant:
    """What was granted, none if ``wait_s`` says when to ask again."""

    units: float
    wait_s: float = 0.0


@dataclass(slots=True)
class AccountState:
    """What was granted of one account's limit, and refused, lately.

    ``spare`` is what was granted unasked for: it may be spent a little later
    than it was granted, so that there must not be much of it.
    """

    window: LimitWindow
    spare: deque[tuple[float, float]] = field(default_factory=deque)
    refused: deque[tuple[float, float]] = field(default_factory=deque)

    def count_spare(self, now: float) -> float:
        """Return what may lie unspent with those who were granted it."""
        return _count_since(self.spare, now - GRANT_TTL_S)

    def count_refused(self, now: float) -> float:
        """Return what was refused lately and will be asked for again."""
        return _count_since(self.refused, now - REFUSED_MEMORY_S)


def _count_since(entries: deque[tuple[float, float]], since: float) -> float:
    while entries and entries[0][0] < since:
        entries.popleft()
    return sum(units for _, units in entries)


@dataclass(slots=True)
class AccountHome:
    """Hold what was granted of the accounts that have their home here.

    ``since`` is the latest time at which it can have become the home of an
    account that it knows nothing of.

    >>> home = AccountHome(since=0.0, window_s=1.0)
    >>> account = ClientAccount("a", rate_per_s=10.0, burst=10.0)
    >>> home.grant(account, needed=12.0, now=5.0).units
    12.5
    >>> home.grant(account, needed=12.0, now=5.0).wait_s
    1.0
    """

    since: float
    window_s: float = 8.0
    _states_by_name: dict[str, AccountState] = field(default_factory=dict)

    def change_members(self, kept_names: Iterable[str], now: float) -> None:
        """Take a new view of the fleet; forget what has another home."""
        self.since = now
        kept = set(kept_names)
        for name in self._states_by_name.keys() - kept:
            del self._states_by_name[name]

    def list_names(self) -> list[str]:
        """Return the accounts of which something is granted here."""
        return list(self._states_by_name)

    def read_room(self, name: str, now: float) -> float:
        """Return what an account may be granted now."""
        return self._states_by_name[name].window.count_room(now)

    def grant(
        self,
        account: ClientAccount,
        needed: float,
        now: float,
        share: float = 1.0,
        deputy: bool = False,
    ) -> Grant:
        """Grant what is needed, and a part of what lies there unasked for.

        ``share`` is the part of the limit that is granted on this side of a
        cut: as much of it as of the instances.
        As the ``deputy`` of a home that may only be out of the asker's reach,
        it begins with nothing: the home may have granted the rest.
        """
        since = now if deputy else self.since
        state = self._get_state(account, share, since)
        # A request larger than a window's whole room would never be served.
        needed = min(needed, state.window.capacity)
        room = state.window.count_room(now)
        if room < needed or needed <= 0:
            return self._refuse(state, needed, now)
        spare = self._choose_spare(state, room - needed, now)
        state.window.take(needed + spare, now)
        return Grant(needed + spare)

    def _choose_spare(self, state: AccountState, room: float, now: float) -> float:
        """Choose what is granted unasked for, while there is plenty.

        Guards against a window that is full of grants which lapsed unspent:
        what is needed keeps a part of it.
        """
        most = state.window.rate_per_s * GRANT_TTL_S
        plenty = room - RESERVED_SHARE * state.window.capacity
        if plenty <= 0 or state.count_spare(now) >= most:
            return 0.0
        spare = SPARE_SHARE * min(plenty, most)
        state.spare.append((now, spare))
        return spare

    def _refuse(self, state: AccountState, needed: float, now: float) -> Grant:
        """Tell when there is room, behind those who were refused before."""
        rate = state.window.rate_per_s
        if rate <= 0:
            return Grant(0.0, LONGEST_WAIT_S)
        wait_s = state.window.find_wait_s(needed, now)
        wait_s += state.count_refused(now) / rate
        state.refused.append((now, needed))
        return Grant(0.0, min(LONGEST_WAIT_S, max(SHORTEST_WAIT_S, wait_s)))

    def _get_state(
        self, account: ClientAccount, share: float, since: float
    ) -> AccountState:
        rate = account.rate_per_s * share
        burst = account.burst * share
        state = self._states_by_name.get(account.name)
        if state is None:
            if len(self._states_by_name) >= MAX_ACCOUNTS:
                del self._states_by_name[next(iter(self._states_by_name))]
            window = LimitWindow(rate, burst, self.window_s, since)
            state = self._states_by_name[account.name] = AccountState(window)
        state.window.change(rate, burst)
        return state

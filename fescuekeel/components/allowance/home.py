"""Decide what an account's home grants to the instances that ask; pure.

One instance, found by hashing, keeps a bucket for each account and grants
parts of it. Whatever the number of instances that ask, they are granted no
more in any time than the limit allows. A home that follows on another begins
with what has come in since it can have become the home, so that a change of
homes grants nothing twice.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from fescuekeel.components.allowance.bucket import TokenBucket
from fescuekeel.components.allowance.const import (
    LONGEST_WAIT_S,
    MAX_ACCOUNTS,
    REFUSED_MEMORY_S,
    SHORTEST_WAIT_S,
    SPARE_SHARE,
)
from fescuekeel.helpers.published import ClientAccount

__all__ = ["AccountHome", "Grant"]


@dataclass(frozen=True, slots=True)
class Grant:
    """What was granted, none if ``wait_s`` says when to ask again."""

    units: float
    wait_s: float = 0.0


@dataclass(slots=True)
class AccountState:
    """One account's bucket, and what it could not grant lately."""

    bucket: TokenBucket
    refused: deque[tuple[float, float]] = field(default_factory=deque)

    def note_refused(self, units: float, now: float) -> None:
        """Count an amount towards the waits that come after it."""
        self.refused.append((now, units))

    def count_refused(self, now: float) -> float:
        """Return what was refused lately and will be asked for again."""
        while self.refused and now - self.refused[0][0] > REFUSED_MEMORY_S:
            self.refused.popleft()
        return sum(units for _, units in self.refused)


@dataclass(slots=True)
class AccountHome:
    """Hold the buckets of the accounts that this instance is the home of.

    ``since`` is the latest time at which it can have become the home of an
    account that it has no bucket of. ``share`` is the part of each limit that
    is granted here: in a cut each side has as much of it as of the instances.

    >>> home = AccountHome(since=0.0)
    >>> account = ClientAccount("a", rate_per_s=10.0, burst=20.0)
    >>> home.grant(account, needed=8.0, now=1.0).units
    8.25
    >>> home.grant(account, needed=8.0, now=1.0).wait_s > 0
    True
    """

    since: float
    share: float = 1.0
    _states_by_name: dict[str, AccountState] = field(default_factory=dict)

    def change_members(
        self, share: float, kept_names: Iterable[str], now: float
    ) -> None:
        """Take a new view of the fleet; forget the buckets of other homes."""
        self.since = now
        self.share = share
        kept = set(kept_names)
        for name in self._states_by_name.keys() - kept:
            del self._states_by_name[name]

    def list_names(self) -> list[str]:
        """Return the accounts that have a bucket here."""
        return list(self._states_by_name)

    def read_level(self, name: str, now: float) -> float:
        """Return what an account may be granted now."""
        return self._states_by_name[name].bucket.read(now)

    def grant(
        self, account: ClientAccount, needed: float, now: float, deputy: bool = False
    ) -> Grant:
        """Grant what is needed, and a part of what lies there unasked for.

        As the ``deputy`` of a home that may only be out of the asker's reach,
        a new bucket begins empty: its home may have granted the rest.
        """
        state = self._get_state(account, now, now if deputy else self.since)
        level = state.bucket.read(now)
        # A request larger than the burst would never be served: it empties a
        # full bucket.
        needed = min(needed, max(state.bucket.burst, 1.0))
        if level < needed:
            return self._refuse(state, needed, level, now)
        units = needed + (level - needed) * SPARE_SHARE
        state.bucket.take(units, now)
        return Grant(units)

    def _refuse(
        self, state: AccountState, needed: float, level: float, now: float
    ) -> Grant:
        rate = state.bucket.rate_per_s
        missing = needed - level + state.count_refused(now)
        state.note_refused(needed, now)
        wait_s = missing / rate if rate > 0 else LONGEST_WAIT_S
        return Grant(0.0, min(LONGEST_WAIT_S, max(SHORTEST_WAIT_S / 10, wait_s)))

    def _get_state(
        self, account: ClientAccount, now: float, since: float
    ) -> AccountState:
        rate = account.rate_per_s * self.share
        burst = max(account.burst, account.rate_per_s) * self.share
        state = self._states_by_name.get(account.name)
        if state is None:
            if len(self._states_by_name) >= MAX_ACCOUNTS:
                del self._states_by_name[next(iter(self._states_by_name))]
            bucket = TokenBucket(rate, burst, 0.0, since)
            state = self._states_by_name[account.name] = AccountState(bucket)
        state.bucket.change(rate, burst, now)
        return state

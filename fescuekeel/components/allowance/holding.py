"""Decide whether an account's request may begin, by what is granted; pure."""

from dataclasses import dataclass

from fescuekeel.components.allowance.bucket import TokenBucket
from fescuekeel.components.allowance.const import (
    GRANT_TTL_S,
    HOME_SILENT_S,
    RECHECK_S,
    SHORTEST_WAIT_S,
)
from fescuekeel.components.allowance.home import Grant
from fescuekeel.helpers.published import ClientAccount

__all__ = ["AskHome", "Holding", "MayBegin", "Refuse"]


@dataclass(frozen=True, slots=True)
class MayBegin:
    """Say that the request may begin; its price is taken."""


@dataclass(frozen=True, slots=True)
class AskHome:
    """Say that the account's home has to be asked for more."""


@dataclass(frozen=True, slots=True)
class Refuse:
    """Say that the limit is reached, and when there is room again."""

    wait_s: float


@dataclass(slots=True)
class Holding:
    """What one instance holds of one account's allowance.

    ``own_part`` is spent while the home does not answer: the instance's part
    of the limit, shared evenly by all that there are.

    >>> holding = Holding(TokenBucket(1.0, 1.0, 0.0, 0.0))
    >>> holding.spend(2.0, now=0.0)
    AskHome()
    >>> holding.take_grant(Grant(5.0), asked=0.0)
    >>> holding.spend(2.0, now=0.1), holding.spend(4.0, now=0.1)
    (MayBegin(), AskHome())
    """

    own_part: TokenBucket
    units: float = 0.0
    _largest_price: float = 0.0
    _valid_until: float = float("-inf")
    _ask_after: float = float("-inf")
    _room_at: float = float("-inf")
    _silent_until: float = float("-inf")

    def change(self, account: ClientAccount, instances: int, now: float) -> None:
        """Take the limit and the number of instances that share it."""
        rate = account.rate_per_s / instances
        burst = account.burst / instances
        # An even part may be less than one request takes: it is saved up.
        self.own_part.change(rate, max(burst, self._largest_price), now)

    def spend(self, price: float, now: float) -> MayBegin | AskHome | Refuse:
        """Take a request's price, or tell what comes first."""
        self._largest_price = max(self._largest_price, price)
        if now < self._valid_until and price <= self.units:
            self.units -= price
            return MayBegin()
        if now < self._silent_until:
            return self._spend_own(price, now)
        if now < self._ask_after:
            return Refuse(max(SHORTEST_WAIT_S, self._room_at - now))
        return AskHome()

    def _spend_own(self, price: float, now: float) -> MayBegin | Refuse:
        if self.own_part.take(price, now):
            return MayBegin()
        return Refuse(max(SHORTEST_WAIT_S, self._silent_until - now))

    def take_grant(self, grant: Grant, asked: float) -> None:
        """Take the home's answer to a question that was sent at ``asked``."""
        if grant.units <= 0:
            self._room_at = asked + grant.wait_s
            self._ask_after = asked + min(grant.wait_s, RECHECK_S)
            return
        if asked >= self._valid_until:
            self.units = 0.0
        self.units += grant.units
        self._valid_until = asked + GRANT_TTL_S

    def note_silent(self, now: float) -> None:
        """Live on the own part for a while: the home did not answer.

        It begins with nothing. Guards against many instances that each have
        saved up one request of a small account and send them all at once.
        """
        if now > self._silent_until + HOME_SILENT_S:
            self.own_part.empty(now)
        self._silent_until = now + HOME_SILENT_S

    def give_back(self, price: float, now: float) -> None:
        """Take back the price of a request that did not run."""
        if now < self._valid_until:
            self.units += price

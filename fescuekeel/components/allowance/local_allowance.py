"""Decide from the units granted to this instance whether to admit a request.

All decisions are pure.
"""

from dataclasses import dataclass

from fescuekeel.components.allowance.bucket import TokenBucket
from fescuekeel.components.allowance.const import (
    GRANT_TTL_S,
    HOME_BACKOFF_S,
    MIN_RETRY_AFTER_S,
    RECHECK_S,
)
from fescuekeel.components.allowance.home import Grant
from fescuekeel.components.allowance.limit import RateLimit

__all__ = ["Admit", "AskHome", "LocalAllowance", "Refuse"]


@dataclass(frozen=True, slots=True)
class Admit:
    """The request is admitted and its price is deducted."""


@dataclass(frozen=True, slots=True)
class AskHome:
    """More units have to be requested from the account's home."""


@dataclass(frozen=True, slots=True)
class Refuse:
    """The limit is reached; ``wait_s`` is when to retry."""

    wait_s: float


@dataclass(slots=True)
class LocalAllowance:
    """The units of one account's limit that this instance may spend.

    ``fallback`` holds this instance's even share of the limit, which is spent
    while no home answers.

    >>> local = LocalAllowance(TokenBucket(1.0, 1.0, 0.0, 0.0))
    >>> local.spend(2.0, now=0.0)
    AskHome()
    >>> local.apply_grant(Grant(5.0), asked_at=0.0)
    >>> local.spend(2.0, now=0.1), local.spend(4.0, now=0.1)
    (Admit(), AskHome())
    """

    fallback: TokenBucket
    units: float = 0.0
    _largest_price: float = 0.0
    _valid_until: float = float("-inf")
    _ask_after: float = float("-inf")
    _available_at: float = float("-inf")
    _fallback_until: float = float("-inf")

    def set_limit(self, limit: RateLimit, instances: int, now: float) -> None:
        """Update the limit and the number of instances that share it."""
        rate = limit.rate_per_s / instances
        burst = limit.burst / instances
        # An even share may be smaller than one request's price; it has to
        # accumulate up to it.
        self.fallback.set_limit(rate, max(burst, self._largest_price), now)

    def spend(self, price: float, now: float) -> Admit | AskHome | Refuse:
        """Deduct a request's price, or return why it can't be deducted yet."""
        self._largest_price = max(self._largest_price, price)
        if now < self._valid_until and price <= self.units:
            self.units -= price
            return Admit()
        if now < self._fallback_until:
            return self._spend_fallback(price, now)
        if now < self._ask_after:
            return Refuse(max(MIN_RETRY_AFTER_S, self._available_at - now))
        return AskHome()

    def _spend_fallback(self, price: float, now: float) -> Admit | Refuse:
        if self.fallback.consume(price, now):
            return Admit()
        return Refuse(max(MIN_RETRY_AFTER_S, self._fallback_until - now))

    def apply_grant(self, grant: Grant, asked_at: float) -> None:
        """Apply the home's answer to a query that was sent at ``asked_at``."""
        if grant.units <= 0:
            self._available_at = asked_at + grant.wait_s
            self._ask_after = asked_at + min(grant.wait_s, RECHECK_S)
            return
        if asked_at >= self._valid_until:
            self.units = 0.0
        self.units += grant.units
        self._valid_until = asked_at + GRANT_TTL_S

    def start_fallback(self, now: float) -> None:
        """Use the fallback share for a while, as no home answered.

        The share starts empty. Guards against many instances that have each
        accumulated one request of a small account and admit it at once.
        """
        if now > self._fallback_until + HOME_BACKOFF_S:
            self.fallback.empty(now)
        self._fallback_until = now + HOME_BACKOFF_S

    def refund(self, price: float, now: float) -> None:
        """Return the price of a request that did not run."""
        if now < self._valid_until:
            self.units += price

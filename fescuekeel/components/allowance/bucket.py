"""A token bucket; pure."""

from dataclasses import dataclass

__all__ = ["TokenBucket"]


@dataclass(slots=True)
class TokenBucket:
    """Limit spending to a rate and a burst, in units of the limit.

    >>> bucket = TokenBucket(
    ...     rate_per_s=10.0, burst=20.0, level=0.0, updated_at=0.0
    ... )
    >>> bucket.refill(1.0), bucket.consume(4.0, now=1.0), bucket.refill(9.0)
    (10.0, True, 20.0)
    """

    rate_per_s: float
    burst: float
    level: float
    updated_at: float

    def refill(self, now: float) -> float:
        """Add what has accrued since the last update; return the level."""
        gained = self.rate_per_s * max(0.0, now - self.updated_at)
        self.level = min(self.burst, self.level + gained)
        self.updated_at = max(self.updated_at, now)
        return self.level

    def consume(self, amount: float, now: float) -> bool:
        """Deduct an amount; return false if the level is too low."""
        if amount > self.refill(now):
            return False
        self.level -= amount
        return True

    def empty(self, now: float) -> None:
        """Discard the whole level."""
        self.level = 0.0
        self.updated_at = now

    def set_limit(self, rate_per_s: float, burst: float, now: float) -> None:
        """Change the limit; a level above the new burst is cut to it."""
        if (rate_per_s, burst) == (self.rate_per_s, self.burst):
            return
        self.refill(now)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.level = min(self.level, burst)

"""A token bucket; pure."""

from dataclasses import dataclass

__all__ = ["TokenBucket"]


@dataclass(slots=True)
class TokenBucket:
    """Hold what may be spent of a rate, in units of the limit.

    >>> bucket = TokenBucket(rate_per_s=10.0, burst=20.0, level=0.0, at=0.0)
    >>> bucket.read(now=1.0), bucket.take(4.0, now=1.0), bucket.read(now=9.0)
    (10.0, True, 20.0)
    """

    rate_per_s: float
    burst: float
    level: float
    at: float

    def read(self, now: float) -> float:
        """Return what may be spent now."""
        gained = self.rate_per_s * max(0.0, now - self.at)
        self.level = min(self.burst, self.level + gained)
        self.at = max(self.at, now)
        return self.level

    def take(self, amount: float, now: float) -> bool:
        """Spend an amount, if it is there."""
        if amount > self.read(now):
            return False
        self.level -= amount
        return True

    def empty(self, now: float) -> None:
        """Begin anew with nothing."""
        self.level = 0.0
        self.at = now

    def change(self, rate_per_s: float, burst: float, now: float) -> None:
        """Take another limit into use; what is beyond it is lost."""
        if (rate_per_s, burst) == (self.rate_per_s, self.burst):
            return
        self.read(now)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.level = min(self.level, burst)

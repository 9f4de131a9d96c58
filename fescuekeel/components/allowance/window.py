"""A rate limit over sliding windows; pure."""

from collections import deque
from dataclasses import dataclass, field

from fescuekeel.components.allowance.const import WARMUP_RATE_SHARE

__all__ = ["LimitWindow"]


@dataclass(slots=True)
class LimitWindow:
    """Count recent grants against the capacity of a sliding window.

    The limit, a rate and a burst, holds over any window of ``window_s``. A
    token bucket of the same rate and burst would refuse bursts for which the
    window still has capacity.

    Grants before ``known_since``, by another home or before a restart, are
    unknown here. Capacity therefore starts at zero and grows more slowly than
    the rate, and half a window grants only about half the capacity. Guards
    against a window that is used up at once, lost in a restart of its home,
    and granted again.

    >>> window = LimitWindow(10.0, burst=10.0, window_s=8.0, known_since=0.0)
    >>> window.count_available(now=2.0), window.count_available(now=20.0)
    (15.0, 60.0)
    >>> window.record_grant(55.0, now=20.0)
    >>> window.count_available(now=21.0), window.find_wait_s(10.0, now=21.0)
    (5.0, 3.0)
    """

    rate_per_s: float
    burst: float
    window_s: float
    known_since: float
    _grants: deque[tuple[float, float]] = field(default_factory=deque)
    _total: float = 0.0

    @property
    def capacity(self) -> float:
        """Return the most that may be granted in one window."""
        return self.rate_per_s * self.window_s + self.burst

    def count_available(self, now: float) -> float:
        """Return how many units may be granted now."""
        while self._grants and now - self._grants[0][0] >= self.window_s:
            self._total -= self._grants.popleft()[1]
        accrued = self._count_accrued(now)
        available = min(self.capacity, accrued) - self._total
        return max(0.0, min(available, self._half_capacity - self._count_half(now)))

    @property
    def _half_capacity(self) -> float:
        return self.rate_per_s * self.window_s / 2 + 2 * self.burst

    def _count_half(self, now: float) -> float:
        start = now - self.window_s / 2
        return sum(units for at, units in self._grants if at > start)

    def _count_accrued(self, now: float) -> float:
        return self.rate_per_s * WARMUP_RATE_SHARE * max(0.0, now - self.known_since)

    def record_grant(self, units: float, now: float) -> None:
        """Count a grant."""
        self._grants.append((now, units))
        self._total += units

    def find_wait_s(self, units: float, now: float) -> float:
        """Return how long until the units may be granted."""
        if units <= self.count_available(now):
            return 0.0
        half_s = self.window_s / 2
        return max(
            self._find_wait_for_accrual(units, now),
            self._find_wait(units, now, self.capacity, self.window_s),
            self._find_wait(units, now, self._half_capacity, half_s),
        )

    def _find_wait_for_accrual(self, units: float, now: float) -> float:
        """Return how long until enough has accrued since ``known_since``."""
        if self.rate_per_s <= 0:
            return self.window_s
        missing = self._total + units - self._count_accrued(now)
        return min(self.window_s, missing / (self.rate_per_s * WARMUP_RATE_SHARE))

    def _find_wait(
        self, units: float, now: float, capacity: float, window_s: float
    ) -> float:
        """Return how long until enough grants have left a window."""
        inside = [(at, granted) for at, granted in self._grants if at > now - window_s]
        available = capacity - sum(granted for _, granted in inside)
        if units <= available:
            return 0.0
        for at, granted in inside:
            available += granted
            if units <= available:
                return max(0.0, at + window_s - now)
        return window_s

    def set_limit(self, rate_per_s: float, burst: float) -> None:
        """Change the limit; past grants are scaled down in proportion.

        Guards against seconds without service after a limit is lowered, when
        grants under the old limit would fill the whole new window.
        """
        if (rate_per_s, burst) == (self.rate_per_s, self.burst):
            return
        before = self.capacity
        self.rate_per_s = rate_per_s
        self.burst = burst
        scale = min(1.0, self.capacity / before) if before > 0 else 1.0
        self._grants = deque((at, units * scale) for at, units in self._grants)
        self._total = sum(units for _, units in self._grants)

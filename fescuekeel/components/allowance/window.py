"""A limit over sliding windows; pure."""

from collections import deque
from dataclasses import dataclass, field

from fescuekeel.components.allowance.const import COME_IN_SHARE

__all__ = ["LimitWindow"]


@dataclass(slots=True)
class LimitWindow:
    """Count what was granted lately, against what a window may hold.

    A limit is a rate and a burst, and what it allows is counted over any
    window of ``window_s``. A token bucket of the same rate and burst refuses
    crowds that the window still has room for.

    What was granted before ``since``, by another home or an earlier start of
    this one, is not known here. So the room grows from nothing then, more
    slowly than the rate, and no half of a window holds much more than its
    share. Guards against a window that is used up in a moment, forgotten as
    its home loses power, and granted again.

    >>> window = LimitWindow(10.0, burst=10.0, window_s=8.0, since=0.0)
    >>> window.count_room(now=2.0), window.count_room(now=20.0)
    (15.0, 60.0)
    >>> window.take(55.0, now=20.0)
    >>> window.count_room(now=21.0), window.find_wait_s(10.0, now=21.0)
    (5.0, 3.0)
    """

    rate_per_s: float
    burst: float
    window_s: float
    since: float
    _granted: deque[tuple[float, float]] = field(default_factory=deque)
    _total: float = 0.0

    @property
    def capacity(self) -> float:
        """Return what a window may hold."""
        return self.rate_per_s * self.window_s + self.burst

    def count_room(self, now: float) -> float:
        """Return what may be granted now."""
        while self._granted and now - self._granted[0][0] >= self.window_s:
            self._total -= self._granted.popleft()[1]
        known = self._count_come_in(now)
        room = min(self.capacity, known) - self._total
        return max(0.0, min(room, self._half_capacity - self._count_half(now)))

    @property
    def _half_capacity(self) -> float:
        return self.rate_per_s * self.window_s / 2 + 2 * self.burst

    def _count_half(self, now: float) -> float:
        since = now - self.window_s / 2
        return sum(units for at, units in self._granted if at > since)

    def _count_come_in(self, now: float) -> float:
        return self.rate_per_s * COME_IN_SHARE * max(0.0, now - self.since)

    def take(self, units: float, now: float) -> None:
        """Count a grant."""
        self._granted.append((now, units))
        self._total += units

    def find_wait_s(self, units: float, now: float) -> float:
        """Return after how long there is room for some units."""
        if units <= self.count_room(now):
            return 0.0
        half_s = self.window_s / 2
        return max(
            self._find_wait_for_rate(units, now),
            self._find_wait(units, now, self.capacity, self.window_s),
            self._find_wait(units, now, self._half_capacity, half_s),
        )

    def _find_wait_for_rate(self, units: float, now: float) -> float:
        """Return after how long enough has come in since the beginning."""
        if self.rate_per_s <= 0:
            return self.window_s
        missing = self._total + units - self._count_come_in(now)
        return min(self.window_s, missing / (self.rate_per_s * COME_IN_SHARE))

    def _find_wait(
        self, units: float, now: float, capacity: float, window_s: float
    ) -> float:
        """Return after how long enough has left a window."""
        inside = [(at, granted) for at, granted in self._granted if at > now - window_s]
        room = capacity - sum(granted for _, granted in inside)
        if units <= room:
            return 0.0
        for at, granted in inside:
            room += granted
            if units <= room:
                return max(0.0, at + window_s - now)
        return window_s

    def change(self, rate_per_s: float, burst: float) -> None:
        """Take another limit; what was granted counts in its proportion.

        Guards against seconds without any service after a limit was lowered:
        what the old one had allowed would fill the whole window of the new.
        """
        if (rate_per_s, burst) == (self.rate_per_s, self.burst):
            return
        before = self.capacity
        self.rate_per_s = rate_per_s
        self.burst = burst
        scale = min(1.0, self.capacity / before) if before > 0 else 1.0
        self._granted = deque((at, units * scale) for at, units in self._granted)
        self._total = sum(units for _, units in self._granted)

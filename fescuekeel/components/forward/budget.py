"""The budget for sending requests a second time, shared by all instances."""

from collections import defaultdict, deque
from dataclasses import dataclass, field

__all__ = ["RetryBudget"]

# This share of the whole budget is used, so that instances whose windows
# begin at different times do not exceed it together.
SAFE_SHARE = 0.7


@dataclass(slots=True)
class Window:
    """When requests came and repeats were sent, oldest first."""

    requests: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)


@dataclass(slots=True)
class RetryBudget:
    """Count requests and repeats of each service in a sliding window.

    Each instance adds its own requests' share and its part of the slack. The
    part is taken of the largest fleet seen lately: a cut hides instances that
    go on spending.

    >>> budget = RetryBudget(ratio=0.2, slack=2.0, window_s=10.0)
    >>> budget.spend("s", now=0.0), budget.spend("s", now=0.0)
    (True, False)
    """

    ratio: float
    slack: float
    window_s: float
    instances: int = 1
    _windows_by_service: defaultdict[str, Window] = field(
        default_factory=lambda: defaultdict(Window)
    )

    def note_request(self, service: str, now: float) -> None:
        """Count a request on its way to a service."""
        window = self._windows_by_service[service]
        window.requests.append(now)
        self._forget(window, now)

    def spend(self, service: str, now: float) -> bool:
        """Spend for one repeat; return whether there was anything left."""
        window = self._windows_by_service[service]
        self._forget(window, now)
        if len(window.repeats) + 1 > self._count_allowed(window):
            return False
        window.repeats.append(now)
        return True

    def count_left(self, service: str, now: float) -> int:
        """Return how many repeats may still be spent."""
        window = self._windows_by_service[service]
        self._forget(window, now)
        return int(self._count_allowed(window) - len(window.repeats))

    def _count_allowed(self, window: Window) -> float:
        own = self.ratio * len(window.requests) + self.slack / self.instances
        return own * SAFE_SHARE

    def _forget(self, window: Window, now: float) -> None:
        for times in (window.requests, window.repeats):
            while times and now - times[0] > self.window_s:
                times.popleft()

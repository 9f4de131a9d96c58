"""The retry budget, shared by all instances."""

from collections import defaultdict, deque
from dataclasses import dataclass, field

__all__ = ["RetryBudget"]

# Less than the whole, since the windows of the instances are not aligned and
# their sum must not exceed the budget.
USABLE_SHARE = 0.7


@dataclass(slots=True)
class RetryWindow:
    """Times of requests and retries in the window, oldest first."""

    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)


@dataclass(slots=True)
class RetryBudget:
    """Limit each service's retries in a sliding window.

    An instance may retry a share of its own requests, plus its part of the
    slack. ``instances`` is the largest number of members seen: during a
    partition the others still use their part.

    >>> budget = RetryBudget(ratio=0.2, slack=2.0, window_s=10.0)
    >>> budget.spend("s", now=0.0), budget.spend("s", now=0.0)
    (True, False)
    """

    ratio: float
    slack: float
    window_s: float
    instances: int = 1
    _windows_by_service: defaultdict[str, RetryWindow] = field(
        default_factory=lambda: defaultdict(RetryWindow)
    )

    def record_request(self, service: str, now: float) -> None:
        """Count a request to a service."""
        window = self._windows_by_service[service]
        window.requests.append(now)
        self._expire(window, now)

    def spend(self, service: str, now: float) -> bool:
        """Use the budget for one retry; return whether it sufficed."""
        window = self._windows_by_service[service]
        self._expire(window, now)
        if len(window.retries) + 1 > self._compute_limit(window):
            return False
        window.retries.append(now)
        return True

    def count_left(self, service: str, now: float) -> int:
        """Return how many retries are left."""
        window = self._windows_by_service[service]
        self._expire(window, now)
        return int(self._compute_limit(window) - len(window.retries))

    def _compute_limit(self, window: RetryWindow) -> float:
        own = self.ratio * len(window.requests) + self.slack / self.instances
        return own * USABLE_SHARE

    def _expire(self, window: RetryWindow, now: float) -> None:
        for times in (window.requests, window.retries):
            while times and now - times[0] > self.window_s:
                times.popleft()

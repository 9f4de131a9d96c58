"""The retry budget, shared by all instances."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from fescuekeel.components.forward.const import RETRY_DELIVERY_S
from fescuekeel.components.forward.request_counts import RequestCounts
from fescuekeel.components.forward.slack_share import SlackShare
from fescuekeel.helpers.settings import Settings

__all__ = ["RetryBudget", "make_budget"]


@dataclass(slots=True)
class RetryWindow:
    """The requests of a service, and the times at which retries were sent."""

    requests: RequestCounts
    retries: deque[float] = field(default_factory=deque)


@dataclass(slots=True)
class RetryBudget:
    """Limit each service's retries in a sliding window.

    An instance may retry a share of its own requests, plus its part of the
    slack. Retries are counted when they are sent, since they may wait for an
    endpoint for longer than a window. All instances keep the budget together,
    whenever they start, freeze, are cut off or end: see ``RequestCounts`` and
    ``SlackShare``.

    >>> share = SlackShare("dc1", 1, False, settle_s=10.5, started_at=0.0)
    >>> budget = RetryBudget(0.2, slack=1.0, window_s=10.0, share=share)
    >>> for second in range(20):
    ...     budget.record_request("s", now=float(second))
    >>> budget.spend("s", now=19.0), budget.count_left("s", now=19.0)
    (True, 1)
    """

    ratio: float
    slack: float
    window_s: float
    share: SlackShare
    _windows_by_service: dict[str, RetryWindow] = field(default_factory=dict)

    def configure(self, ratio: float, slack: float, window_s: float) -> None:
        """Apply new settings; another window begins without requests."""
        self.ratio, self.slack = ratio, slack
        if window_s != self.window_s:
            self.window_s = window_s
            self.share.settle_s = window_s + RETRY_DELIVERY_S
            self._forget_requests()

    def update_members(
        self, data_centres_by_id: Mapping[str, str], left: set[str], now: float
    ) -> None:
        """Replace the instances that share the slack, this one included."""
        self.share.update_members(data_centres_by_id, left, now)

    def record_alive(self, now: float) -> None:
        """Record that this instance runs, at least once a second.

        After a pause its requests are forgotten: those that it reads now were
        sent in an earlier window, or by callers that have gone elsewhere.
        """
        if self.share.record_alive(now):
            self._forget_requests()

    def record_request(self, service: str, now: float) -> None:
        """Count a request to a service."""
        self.record_alive(now)
        self._get_window(service).requests.record(now)

    def may_spend(self, service: str, now: float) -> bool:
        """Return whether one more retry is within the budget."""
        return self.count_left(service, now) >= 1

    def spend(self, service: str, now: float) -> bool:
        """Use the budget for one retry; return whether it sufficed."""
        self.record_alive(now)
        if not self.may_spend(service, now):
            return False
        self._get_window(service).retries.append(now)
        return True

    def refund(self, service: str) -> None:
        """Take back the latest retry, which was not sent."""
        self._get_window(service).retries.pop()

    def count_left(self, service: str, now: float) -> int:
        """Return how many retries are left."""
        window = self._get_window(service)
        retries = window.retries
        while retries and now - retries[0] > self.window_s + RETRY_DELIVERY_S:
            retries.popleft()
        allowed = self.ratio * window.requests.count_entitling(now)
        allowed += self.slack * self.share.compute(now)
        return max(0, int(allowed) - len(retries))

    def _get_window(self, service: str) -> RetryWindow:
        window = self._windows_by_service.get(service)
        if window is None:
            window = RetryWindow(RequestCounts(self.window_s))
            self._windows_by_service[service] = window
        return window

    def _forget_requests(self) -> None:
        for window in self._windows_by_service.values():
            window.requests = RequestCounts(self.window_s)


def make_budget(settings: Settings, now: float) -> RetryBudget:
    """Return the budget of an instance that starts now."""
    bounds, peers = settings.forwarding, settings.peers
    own = {peers.address, peers.advertised_address}
    share = SlackShare(
        settings.instance.data_centre,
        len(settings.instance.data_centres),
        has_seeds=bool(set(peers.seeds) - own),
        settle_s=bounds.retry_window_s + RETRY_DELIVERY_S,
        started_at=now,
        left_ttl_s=settings.instance.shutdown_s + 2 * bounds.retry_window_s,
    )
    return RetryBudget(
        bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s, share
    )

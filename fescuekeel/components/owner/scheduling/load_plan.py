"""The order of one endpoint's loads, and estimates of their duration."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from fescuekeel.components.owner.scheduling.queue import AdapterBacklog
from fescuekeel.messages import AdapterRef

__all__ = ["LoadPlan"]

URGENT_VALUE = 1_000_000.0
AGED_VALUE = 2 * URGENT_VALUE
MOST_URGENT = 0
# The value of a request that has not waited yet, in load times.
INITIAL_VALUE_LOADS = 20.0
# Every n-th load is for the request that has waited longest, if that is more
# than MIN_AGE_LOADS load times, so that urgent work cannot starve the rest.
AGED_LOAD_INTERVAL = 16
MIN_AGE_LOADS = 20.0
SMOOTHING = 0.3
# The leader is notified when a value has grown by this factor.
VALUE_UPDATE_FACTOR = 1.25


@dataclass(frozen=True, slots=True)
class LoadRequest:
    """A load to request from the leader of load turns, and its value."""

    adapter: AdapterRef
    value: float
    waiting: int


@dataclass(frozen=True, slots=True)
class Failures:
    """An adapter's consecutive load failures, and when to retry."""

    count: int
    retry_at: float


@dataclass(slots=True)
class LoadPlan:
    """Order the loads of one endpoint and track the current one.

    ``load_s`` is the duration of a load. ``load_interval_s`` is the time
    between two loads here, including those of other endpoints in between, and
    ``urgent_interval_s`` the same for urgent loads, which go first. All are
    moving averages in seconds.
    """

    load_s: float = 0.5
    load_interval_s: float = 0.5
    urgent_interval_s: float = 0.5
    requested: AdapterRef | None = None
    loading: AdapterRef | None = None
    _requested_value: float = 0.0
    _requested_at: float = 0.0
    _loads: int = 0
    _failures_by_adapter: dict[AdapterRef, Failures] = field(default_factory=dict)

    def set_load_time(self, load_s: float) -> None:
        """Set the initial load time, as configured in the tree."""
        self.load_s = load_s
        self.load_interval_s = max(self.load_interval_s, load_s)
        self.urgent_interval_s = max(self.urgent_interval_s, load_s)

    def get_value(self, backlog: AdapterBacklog, now: float) -> float:
        """Return a load's value: urgent first, then by total time waited.

        Using the time waited instead of the number of requests keeps tail
        latency low: the value of a single request grows as it ages.

        >>> plan, ref = LoadPlan(), AdapterRef("cups", "1")
        >>> urgent = AdapterBacklog(ref, 0, 1, 0.0, 1.0, 0.0)
        >>> other = AdapterBacklog(ref, 1, 50, 0.0, 25.0, 0.0)
        >>> plan.get_value(urgent, 9.0) > plan.get_value(other, 9.0)
        True
        """
        value = (
            backlog.get_weighted_wait_s(now)
            + backlog.weight * INITIAL_VALUE_LOADS * self.load_s
        )
        return value + URGENT_VALUE if backlog.urgency == MOST_URGENT else value

    def choose(
        self, backlogs: Iterable[AdapterBacklog], now: float
    ) -> LoadRequest | None:
        """Return the load to request next.

        A load for aged requests outranks urgent loads of other endpoints: a
        request pending at the leader blocks all other loads here.
        """
        candidates = [
            backlog for backlog in backlogs if self._may_retry(backlog.adapter, now)
        ]
        if not candidates:
            return None
        oldest = min(candidates, key=lambda backlog: backlog.oldest_at)
        is_aged = now - oldest.oldest_at > MIN_AGE_LOADS * self.load_s
        if is_aged and self._loads % AGED_LOAD_INTERVAL == AGED_LOAD_INTERVAL - 1:
            return LoadRequest(oldest.adapter, AGED_VALUE, oldest.count)
        best = max(candidates, key=lambda backlog: self._order(backlog, now))
        return LoadRequest(best.adapter, self.get_value(best, now), best.count)

    def _order(
        self, backlog: AdapterBacklog, now: float
    ) -> tuple[float, float, AdapterRef]:
        return (self.get_value(backlog, now), -backlog.oldest_at, backlog.adapter)

    def rank(
        self, backlogs: Iterable[AdapterBacklog], now: float
    ) -> list[AdapterBacklog]:
        """Return the backlogs in the order of their loads."""
        return sorted(
            backlogs, key=lambda backlog: self._order(backlog, now), reverse=True
        )

    def count_ahead(
        self, adapter: AdapterRef, backlogs: Iterable[AdapterBacklog], now: float
    ) -> int:
        """Count the loads ahead of this adapter's."""
        order = {backlog.adapter: self._order(backlog, now) for backlog in backlogs}
        own_order = order.get(adapter)
        if own_order is None:
            return 0
        return sum(other > own_order for other in order.values())

    def estimate_s(self, ahead: int, urgency: int = MOST_URGENT + 1) -> float:
        """Estimate the time that ``ahead`` loads take, in seconds."""
        busy_s = self.load_s / 2 if self.loading is not None else 0.0
        is_urgent = urgency == MOST_URGENT
        return busy_s + ahead * (
            self.urgent_interval_s if is_urgent else self.load_interval_s
        )

    def request(self, request: LoadRequest, now: float) -> bool:
        """Record a load request; return whether to notify the leader."""
        if (
            self.requested == request.adapter
            and request.value < self._requested_value * VALUE_UPDATE_FACTOR
        ):
            return False
        if self.requested != request.adapter:
            self._requested_at = now
        self.requested = request.adapter
        self._requested_value = request.value
        return True

    def withdraw(self) -> None:
        """Drop the current load request."""
        self.requested = None

    def begin(self, adapter: AdapterRef, now: float) -> None:
        """Record that a turn was granted and the load begins."""
        self.requested = None
        self.loading = adapter
        load_interval_s = now - self._requested_at + self.load_s
        self.load_interval_s += SMOOTHING * (load_interval_s - self.load_interval_s)
        if URGENT_VALUE <= self._requested_value < AGED_VALUE:
            self.urgent_interval_s += SMOOTHING * (
                load_interval_s - self.urgent_interval_s
            )

    def abort(self) -> None:
        """Record that the load was not ordered."""
        self.loading = None

    def end(self, took_s: float, now: float) -> None:
        """Record that the load succeeded."""
        assert self.loading is not None
        self._failures_by_adapter.pop(self.loading, None)
        self.loading = None
        self._loads += 1
        self.load_s += SMOOTHING * (took_s - self.load_s)

    def fail(self, adapter: AdapterRef, now: float, retry_s: float) -> int:
        """Record a failed load; return the count of consecutive failures."""
        self.loading = None
        previous = self._failures_by_adapter.get(adapter)
        count = previous.count + 1 if previous else 1
        retry_at = now + retry_s * 2 ** (count - 1)
        self._failures_by_adapter[adapter] = Failures(count, retry_at)
        return count

    def forget_failures(self, adapter: AdapterRef) -> None:
        """Clear an adapter's failures, so that its next load can start."""
        self._failures_by_adapter.pop(adapter, None)

    def _may_retry(self, adapter: AdapterRef, now: float) -> bool:
        failures = self._failures_by_adapter.get(adapter)
        return failures is None or now >= failures.retry_at

"""Admission control by expected waits, corrected by observed ones."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from fescuekeel.components.owner.scheduling.holdings import Holdings
from fescuekeel.components.owner.scheduling.load_plan import LoadPlan
from fescuekeel.components.owner.scheduling.model import Work
from fescuekeel.components.owner.scheduling.queue import WorkQueue

__all__ = ["WaitEstimates", "find_expected_late", "get_late_check_at", "get_max_wait_s"]

MOST_URGENT = 0
# Urgent work that is expected to wait for more than this many load times is
# refused at once, while its caller can still try elsewhere.
MAX_URGENT_WAIT_LOADS = 8.0
# Upper bound on the growth of load times while a request waits.
LOAD_TIME_MARGIN = 3.0

SMOOTHING = 0.05
MIN_WAIT_FACTOR = 0.5
# A higher limit refuses requests that could share a load with others.
MAX_WAIT_FACTOR = 3.0
MIN_ESTIMATE_S = 0.05


@dataclass(frozen=True, slots=True)
class WaitEstimate:
    """The wait that was estimated on arrival, in seconds."""

    urgency: int
    own_load_s: float
    ahead_s: float


@dataclass(slots=True)
class WaitEstimates:
    """Correct estimated waits by observed ones.

    When the weight store is overloaded, the loads ahead of a request
    underestimate its wait, since later requests with a higher value overtake
    it. A correction factor is learned for each urgency.

    >>> estimates = WaitEstimates()
    >>> estimates.record_estimate("r1", 1, 0.5, 2.0)
    2.5
    >>> estimates.record_wait("r1", 42.5)
    >>> estimates.record_estimate("r2", 1, 0.5, 2.0)
    2.7

    The factor is not applied to the request's own load, so that a request
    with no loads ahead is admitted and the store does not idle.
    """

    _factor_by_urgency: dict[int, float] = field(default_factory=dict)
    _pending_by_id: dict[str, WaitEstimate] = field(default_factory=dict)

    def record_estimate(
        self, request_id: str, urgency: int, own_load_s: float, ahead_s: float
    ) -> float:
        """Return the corrected wait in seconds and keep the estimate.

        ``own_load_s`` is the time of the request's own load and ``ahead_s``
        that of the loads ahead of it.
        """
        self._pending_by_id[request_id] = WaitEstimate(urgency, own_load_s, ahead_s)
        return self.correct(urgency, own_load_s, ahead_s)

    def correct(self, urgency: int, own_load_s: float, ahead_s: float) -> float:
        """Return the corrected wait in seconds."""
        return own_load_s + ahead_s * self._factor_by_urgency.get(urgency, 1.0)

    def record_wait(self, request_id: str, waited_s: float) -> None:
        """Update the factor from the wait of a dispatched or late request."""
        expected = self._pending_by_id.pop(request_id, None)
        if expected is None or expected.ahead_s < MIN_ESTIMATE_S:
            return
        ratio = (waited_s - expected.own_load_s) / expected.ahead_s
        observed = min(MAX_WAIT_FACTOR, max(MIN_WAIT_FACTOR, ratio))
        factor = self._factor_by_urgency.get(expected.urgency, 1.0)
        factor += SMOOTHING * (observed - factor)
        self._factor_by_urgency[expected.urgency] = factor

    def forget(self, request_id: str) -> None:
        """Drop the estimate of a request without updating the factor."""
        self._pending_by_id.pop(request_id, None)


def get_max_wait_s(work: Work, load_s: float, now: float) -> float:
    """Return the longest expected wait, in seconds, to admit a request with.

    The request must end before its deadline. Urgent work is also limited to a
    number of load times: in overload it alone would saturate the weight store
    and most of it would wait until its deadline.

    >>> from fescuekeel.messages import AdapterRef
    >>> work = Work("r1", AdapterRef("cups", "1"), "patter", 0, 0.0, 9.0, 1.0)
    >>> get_max_wait_s(work, 0.5, 0.0), get_max_wait_s(work, 2.0, 0.0)
    (4.0, 8.0)
    """
    left_s = work.deadline - now - work.service_s
    if work.urgency != MOST_URGENT or not work.adapter:
        return left_s
    return min(left_s, MAX_URGENT_WAIT_LOADS * load_s)


def get_late_check_at(work: Work, load_s: float) -> float:
    """Return the time from which a request must be checked for lateness."""
    return work.deadline - work.service_s - LOAD_TIME_MARGIN * load_s


def find_expected_late(
    queue: WorkQueue,
    plan: LoadPlan,
    holdings: Holdings,
    estimates: WaitEstimates,
    now: float,
) -> Iterator[tuple[Work, float]]:
    """Yield requests that are expected to miss their deadline, with waits.

    Later requests with a higher value can overtake an admitted one. Without
    this check it would be refused only shortly before its deadline, when even
    an immediate load is too late.
    """
    backlogs = queue.list_backlogs(holdings.needs_load)
    for ahead, backlog in enumerate(plan.rank(backlogs, now)):
        if backlog.adapter == plan.loading:
            continue
        ahead_s = plan.estimate_s(ahead, backlog.urgency)
        for work in queue.list_adapter(backlog.adapter):
            wait_s = estimates.correct(work.urgency, plan.load_s, ahead_s)
            if now + wait_s + work.service_s > work.deadline:
                yield work, wait_s

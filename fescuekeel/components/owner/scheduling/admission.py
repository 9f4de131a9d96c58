"""How long a request will wait, learned from how long others did."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from fescuekeel.components.owner.scheduling.holdings import Holdings
from fescuekeel.components.owner.scheduling.load_plan import LoadPlan
from fescuekeel.components.owner.scheduling.model import Work
from fescuekeel.components.owner.scheduling.queue import WorkQueue

__all__ = ["WaitEstimates", "find_unreachable", "get_late_at", "get_limit_s"]

MOST_URGENT = 0
# Urgent work that is expected to wait for longer than this many load times is
# told at once, while its caller can still act. At the knee that is rare.
URGENT_LOADS = 8.0
# Load times change by less than this factor while a request waits.
LOAD_MARGIN = 3.0

SMOOTHING = 0.05
LEAST_STRETCH = 0.5
# Beyond this, fewer are answered in time: a longer queue shares more loads.
MAX_STRETCH = 3.0
LEAST_ESTIMATE_S = 0.05


@dataclass(frozen=True, slots=True)
class Expected:
    """What was estimated on arrival, in seconds."""

    urgency: int
    own_s: float
    ahead_s: float


@dataclass(slots=True)
class WaitEstimates:
    """Correct estimated waits by those that were seen.

    What waits ahead of a request says too little when the store is behind:
    work that arrives later and counts more goes first. How much longer that
    makes the wait is learned for each urgency as a factor, the stretch.

    >>> estimates = WaitEstimates()
    >>> estimates.expect("r1", 1, 0.5, 2.0)
    2.5
    >>> estimates.note_end("r1", 42.5)
    >>> estimates.expect("r2", 1, 0.5, 2.0)
    2.7

    The request's own load is not stretched, so that one with nothing ahead
    of it is taken in: else the store would idle while requests are refused.
    """

    _stretch_by_urgency: dict[int, float] = field(default_factory=dict)
    _pending_by_id: dict[str, Expected] = field(default_factory=dict)

    def expect(
        self, request_id: str, urgency: int, own_s: float, ahead_s: float
    ) -> float:
        """Return the corrected wait in seconds and remember the estimate.

        ``own_s`` is the time of the request's own load and ``ahead_s`` that
        of the loads ahead of it.
        """
        self._pending_by_id[request_id] = Expected(urgency, own_s, ahead_s)
        return self.correct(urgency, own_s, ahead_s)

    def correct(self, urgency: int, own_s: float, ahead_s: float) -> float:
        """Return the corrected wait in seconds."""
        return own_s + ahead_s * self._stretch_by_urgency.get(urgency, 1.0)

    def note_end(self, request_id: str, waited_s: float) -> None:
        """Learn from a wait that ended by a dispatch or by being too late."""
        expected = self._pending_by_id.pop(request_id, None)
        if expected is None or expected.ahead_s < LEAST_ESTIMATE_S:
            return
        ratio = (waited_s - expected.own_s) / expected.ahead_s
        seen = min(MAX_STRETCH, max(LEAST_STRETCH, ratio))
        stretch = self._stretch_by_urgency.get(expected.urgency, 1.0)
        stretch += SMOOTHING * (seen - stretch)
        self._stretch_by_urgency[expected.urgency] = stretch

    def forget(self, request_id: str) -> None:
        """Drop a request whose wait says nothing."""
        self._pending_by_id.pop(request_id, None)


def get_limit_s(work: Work, load_s: float, now: float) -> float:
    """Return how long a request that arrives may be expected to wait.

    Its service must end before its deadline. Above the knee urgent work
    alone would fill the store, and each would wait for all before it: so it
    is not let in to wait for many loads. Times are in seconds.

    >>> from fescuekeel.messages import AdapterRef
    >>> work = Work("r1", AdapterRef("cups", "1"), "patter", 0, 0.0, 9.0, 1.0)
    >>> get_limit_s(work, 0.5, 0.0), get_limit_s(work, 2.0, 0.0)
    (4.0, 8.0)
    """
    left_s = work.deadline - now - work.service_s
    if work.urgency != MOST_URGENT or not work.adapter:
        return left_s
    return min(left_s, URGENT_LOADS * load_s)


def get_late_at(work: Work, load_s: float) -> float:
    """Return a time before which the request is surely not late."""
    return work.deadline - work.service_s - LOAD_MARGIN * load_s


def find_unreachable(
    queue: WorkQueue,
    plan: LoadPlan,
    holdings: Holdings,
    estimates: WaitEstimates,
    now: float,
) -> Iterator[tuple[Work, float]]:
    """Yield what will not get its load in time, and its expected wait.

    What was let in can fall behind: later work that counts more goes first.
    Without this look it would hear of that only when even the best case is
    too late, shortly before its deadline.
    """
    waits = queue.list_waits(holdings.needs_load)
    for ahead, wait in enumerate(plan.rank(waits, now)):
        if wait.adapter == plan.loading:
            continue
        ahead_s = plan.estimate_s(ahead, wait.urgency)
        for work in queue.list_adapter(wait.adapter):
            wait_s = estimates.correct(work.urgency, plan.load_s, ahead_s)
            if now + wait_s + work.service_s > work.deadline:
                yield work, wait_s

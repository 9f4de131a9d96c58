"""Results of one policy on one trace over all seeds."""

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from bench.policy.outcome import Outcome, Result
from bench.policy.traces import CHANGE_STARTS_S, Deployment

__all__ = ["Summary", "get_quantile", "summarize"]

URGENT = 0
WINDOW_S = 10.0
STEADY_FACTOR = 1.1


@dataclass(frozen=True, slots=True)
class Stalls:
    """Load stalls in seconds."""

    mean: float
    p50: float
    p99: float


@dataclass(frozen=True, slots=True)
class RejectionTimes:
    """Times of rejections as a share of the allowed answer time."""

    p50: float
    p99: float


@dataclass(frozen=True, slots=True)
class Summary:
    """Results as the table shows them.

    Stalls exclude requests rejected on arrival, but include those that timed
    out while waiting for a load. ``in_time`` and ``batch`` are shares,
    ``answer_s`` is the mean time to the complete answer. In
    ``penalized_stalls`` each unanswered request counts with its whole allowed
    time, so that early rejections don't look like short stalls.
    """

    stalls: Stalls
    penalized_stalls: Stalls
    rejection_times: RejectionTimes
    urgent: Stalls
    other: Stalls
    requests: int
    in_time: float
    urgent_in_time: float
    batch: float
    loads: int
    answer_s: float
    rejected: dict[str, int]
    stall_by_window: dict[int, float]

    @property
    def recovery_s(self) -> float:
        """Return the recovery time of stalls after the change, in seconds.

        Stalls have recovered at the first window where the mean of three
        windows is within 10% of the mean before the change; infinite if none.
        """
        change = int(CHANGE_STARTS_S // WINDOW_S)
        windows = self.stall_by_window
        before = [value for window, value in windows.items() if window < change]
        limit = STEADY_FACTOR * _mean(before)
        for window in sorted(windows):
            if window < change:
                continue
            near = [windows.get(window + n, 0.0) for n in range(3)]
            if _mean(near) <= limit:
                return (window - change) * WINDOW_S
        return math.inf


def summarize(deployment: Deployment, results: Iterable[Result]) -> Summary:
    """Summarize the results of several seeds."""
    results = list(results)
    outcomes = [outcome for result in results for outcome in result.outcomes]
    waited = [item for item in outcomes if item.answered_at or item.stall_s > 0]
    urgent = [item for item in outcomes if item.request.kind.urgency == URGENT]
    steps = sum(result.steps for result in results)
    tokens = sum(result.tokens for result in results)
    rejected = Counter(item.kind for item in outcomes if item.answered_at is None)
    return Summary(
        stalls=_get_stalls(waited),
        penalized_stalls=_summarize_stalls(
            _get_penalized_stall_s(item) for item in outcomes
        ),
        rejection_times=_get_rejection_times(
            item for item in outcomes if item.answered_at is None
        ),
        urgent=_get_stalls(i for i in waited if i.request.kind.urgency == URGENT),
        other=_get_stalls(i for i in waited if i.request.kind.urgency != URGENT),
        requests=len(outcomes),
        in_time=_mean([item.in_time for item in outcomes]),
        urgent_in_time=_mean([item.in_time for item in urgent]),
        batch=tokens / (steps * deployment.max_running),
        loads=sum(result.loads for result in results),
        answer_s=_mean(
            item.answered_at - item.request.at for item in waited if item.answered_at
        ),
        rejected=dict(rejected.most_common()),
        stall_by_window=_get_windows(waited),
    )


def get_quantile(values: list[float], share: float) -> float:
    """Return the quantile of values.

    >>> get_quantile([1.0, 2.0, 3.0], 0.5)
    2.0
    """
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def _get_stalls(outcomes: Iterable[Outcome]) -> Stalls:
    return _summarize_stalls(item.stall_s for item in outcomes)


def _get_penalized_stall_s(outcome: Outcome) -> float:
    if outcome.answered_at is None:
        return outcome.request.kind.answer_s
    return outcome.stall_s


def _get_rejection_times(outcomes: Iterable[Outcome]) -> RejectionTimes:
    shares = [
        (item.ended_at - item.request.at) / item.request.kind.answer_s
        for item in outcomes
    ]
    return RejectionTimes(get_quantile(shares, 0.5), get_quantile(shares, 0.99))


def _summarize_stalls(seconds: Iterable[float]) -> Stalls:
    values = list(seconds)
    return Stalls(_mean(values), get_quantile(values, 0.5), get_quantile(values, 0.99))


def _get_windows(outcomes: Iterable[Outcome]) -> dict[int, float]:
    values_by_window: dict[int, list[float]] = {}
    for item in outcomes:
        window = int(item.request.at // WINDOW_S)
        values_by_window.setdefault(window, []).append(item.stall_s)
    return {window: _mean(values) for window, values in values_by_window.items()}


def _mean(values: Iterable[float]) -> float:
    values = list(values)
    return sum(values) / len(values) if values else 0.0

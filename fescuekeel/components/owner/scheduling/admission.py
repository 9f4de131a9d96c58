"""How long a request will wait, learned from how long others did."""

from dataclasses import dataclass, field

__all__ = ["WaitEstimates"]

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

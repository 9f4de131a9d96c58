"""Count how often periodic work fails in a row; pure."""

from dataclasses import dataclass, field

__all__ = ["WorkFailures", "compute_restart_pause_s"]

# Work that has run for longer, or has not failed for longer, has recovered.
HEALTHY_S = 6.0
MIN_REPEATED_FAILURES = 3
# Pauses before failed work is begun again; each is twice the one before.
MIN_RESTART_S = 0.05
MAX_RESTART_S = 2.0
# Keeps the power of two within the range of floating-point numbers.
MAX_DOUBLINGS = 8


@dataclass(frozen=True, slots=True)
class _Failures:
    """Failures in a row; ``is_local`` if they concern one endpoint only."""

    number: int
    last_at: float
    is_local: bool


@dataclass(slots=True)
class WorkFailures:
    """The recent failures of periodic work, by its name.

    Times are seconds of the instance's clock.

    >>> failures = WorkFailures()
    >>> [failures.record("follow", 0.1, now) for now in (1.0, 2.0, 3.0)]
    [1, 2, 3]
    >>> failures.is_failing(4.0), failures.is_failing(9.0)
    (True, False)
    """

    _failures_by_name: dict[str, _Failures] = field(default_factory=dict)

    def record(
        self, name: str, lasted_s: float, now: float, is_local: bool = False
    ) -> int:
        """Record that work has failed; return how often it did in a row."""
        self._forget_recovered(now)
        known = self._failures_by_name.get(name)
        number = known.number + 1 if known and lasted_s < HEALTHY_S else 1
        self._failures_by_name[name] = _Failures(number, now, is_local)
        return number

    def is_failing(self, now: float) -> bool:
        """Return whether work that all requests rely on fails repeatedly."""
        self._forget_recovered(now)
        return any(
            failures.number >= MIN_REPEATED_FAILURES and not failures.is_local
            for failures in self._failures_by_name.values()
        )

    def _forget_recovered(self, now: float) -> None:
        self._failures_by_name = {
            name: failures
            for name, failures in self._failures_by_name.items()
            if now - failures.last_at < HEALTHY_S
        }


def compute_restart_pause_s(failures: int) -> float:
    """Return the pause before work is begun again.

    >>> compute_restart_pause_s(1), compute_restart_pause_s(50)
    (0.1, 2.0)
    """
    return min(MAX_RESTART_S, MIN_RESTART_S * 2 ** min(failures, MAX_DOUBLINGS))

"""What is known of a run whose answer broke; pure."""

from dataclasses import dataclass

from fescuekeel.components.forward.const import MIN_RUN_S
from fescuekeel.helpers.liveness import CrashEvidence

__all__ = ["BrokenRun"]


@dataclass(frozen=True, slots=True)
class BrokenRun:
    """A run at an endpoint that began at a time of the instance's clock.

    It broke after ``lasted_s``. ``shown_alive`` says that the endpoint was
    alive when the run began: its connection had been used before, or brought a
    part of the answer. ``written_s`` is how long the answer had been coming.
    """

    endpoint: str
    began_at: float
    lasted_s: float = 0.0
    shown_alive: bool = False
    written_s: float = 0.0

    def was_in_crash(self, evidence: CrashEvidence) -> bool:
        """Return whether the run was in progress when the endpoint crashed.

        Guards against blaming requests that were sent to an endpoint that was
        down already: those end as fast as the calls of the check did.

        >>> from fescuekeel.helpers.liveness import Liveness
        >>> closed = CrashEvidence(Liveness.CLOSED, Liveness.CLOSED, 0.003)
        >>> BrokenRun("e1", 10.0, lasted_s=0.004).was_in_crash(closed)
        False
        >>> BrokenRun("e1", 10.0, lasted_s=0.1).was_in_crash(closed)
        True
        """
        if not evidence.shows_crash:
            return False
        if self.shown_alive or not evidence.needs_life:
            return True
        return self.lasted_s > evidence.took_s + MIN_RUN_S

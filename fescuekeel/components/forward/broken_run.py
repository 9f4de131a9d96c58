"""What is known of a run whose answer broke; pure."""

from dataclasses import dataclass

from fescuekeel.components.forward.const import MIN_RUN_S, RECENTLY_ALIVE_S
from fescuekeel.helpers.liveness import CrashEvidence

__all__ = ["BrokenRun"]


@dataclass(frozen=True, slots=True)
class BrokenRun:
    """A run at an endpoint that began at a time of the instance's clock.

    It broke after ``lasted_s``. ``shown_alive`` says that the endpoint was
    alive when the run began: its connection had been used before, or brought a
    part of the answer.
    """

    endpoint: str
    began_at: float
    lasted_s: float = 0.0
    shown_alive: bool = False

    def was_in_crash(
        self, evidence: CrashEvidence, last_answer_at: float, last_crash_at: float
    ) -> bool:
        """Return whether the run was in progress when the endpoint crashed.

        Guards against blaming requests that were sent to an endpoint that was
        down already: those end as fast as the calls of the check did.
        ``last_answer_at`` is when the endpoint last sent anything, and
        ``last_crash_at`` when it was last found to have crashed.

        >>> from fescuekeel.helpers.liveness import Liveness
        >>> closed = CrashEvidence(Liveness.CLOSED, Liveness.CLOSED)
        >>> run = BrokenRun("e1", began_at=10.0)
        >>> run.was_in_crash(closed, last_answer_at=9.9, last_crash_at=5.0)
        True
        >>> run.was_in_crash(closed, last_answer_at=9.9, last_crash_at=9.95)
        False
        """
        if not evidence.shows_crash:
            return False
        if self.shown_alive or not evidence.needs_life:
            return True
        if self.lasted_s > evidence.took_s + MIN_RUN_S:
            return True
        recently = last_answer_at >= self.began_at - RECENTLY_ALIVE_S
        return recently and last_answer_at > last_crash_at

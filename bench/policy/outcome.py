"""Results of one simulation run."""

from dataclasses import dataclass, field

from bench.policy.traces import Request

__all__ = ["Outcome", "Result"]


@dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of one request; ``stall_s`` is the wait for its adapter.

    ``ended_at`` is the time of its response or rejection, in seconds.
    """

    request: Request
    answered_at: float | None
    kind: str
    stall_s: float
    ended_at: float = 0.0

    @property
    def in_time(self) -> bool:
        """Return whether the response met the deadline."""
        if self.answered_at is None:
            return False
        return self.answered_at <= self.request.at + self.request.kind.answer_s


@dataclass(slots=True)
class Result:
    """Results of one run after the warm-up."""

    outcomes: list[Outcome] = field(default_factory=list)
    loads: int = 0
    steps: int = 0
    tokens: int = 0

"""How old what this instance knows of the operators' intent may be."""

from dataclasses import dataclass

__all__ = ["Freshness"]

# What is told of an age beyond this makes no difference any more, in seconds.
LONGEST_AGE_S = 3600.0


@dataclass(slots=True)
class Freshness:
    """Hold until when nothing newer is known to have been published.

    ``confirmed_at`` is the latest moment of which it is known that the store
    had nothing that is not known here. It is the time at which a question was
    sent, less the age that its answer told: never that of the answer, which
    may have been held up on its way. Seconds of a clock that goes on while
    the machine is suspended.

    >>> freshness = Freshness()
    >>> freshness.note_confirmed(asked=7.0, age_s=1.0)
    >>> freshness.read_age_s(now=10.0)
    4.0
    """

    confirmed_at: float = float("-inf")

    def note_confirmed(self, asked: float, age_s: float) -> None:
        """Take an answer to a question that was sent at ``asked``."""
        self.confirmed_at = max(self.confirmed_at, asked - age_s)

    def read_age_s(self, now: float) -> float:
        """Return how old what is known may be."""
        return min(LONGEST_AGE_S, now - self.confirmed_at)

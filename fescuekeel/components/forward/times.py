"""When the pieces of an answer came; pure."""

from dataclasses import dataclass

__all__ = ["PieceTimes"]


@dataclass(slots=True)
class PieceTimes:
    """Hold the first piece's time, and the longest pause between two.

    Over all attempts, in the instance's seconds; zero is before any piece.

    >>> times = PieceTimes()
    >>> [times.note(now, begun) for now, begun in ((5.0, False), (5.5, True))]
    [0.0, 0.5]
    >>> times.first_at, times.longest_gap_s, times.longest_gap_at
    (5.0, 0.5, 5.0)
    """

    first_at: float = 0.0
    last_at: float = 0.0
    longest_gap_s: float = 0.0
    longest_gap_at: float = 0.0

    def note(self, now: float, begun: bool) -> float:
        """Note a piece; return the pause before it, zero at a beginning.

        ``begun`` says that the attempt has had a piece before: what lies
        between two attempts is no pause of an endpoint.
        """
        gap_s = now - self.last_at if begun and self.last_at else 0.0
        if gap_s > self.longest_gap_s:
            self.longest_gap_s = gap_s
            self.longest_gap_at = self.last_at
        self.first_at = self.first_at or now
        self.last_at = now
        return gap_s

"""Arrival times of the chunks of an answer; pure."""

from dataclasses import dataclass

__all__ = ["ChunkTimes"]


@dataclass(slots=True)
class ChunkTimes:
    """The arrival of the first chunk, and the longest gap between two.

    Over all attempts, on the instance's clock; zero before the first chunk.
    ``count`` is the number of chunks.

    >>> times = ChunkTimes()
    >>> [times.note(now, more) for now, more in ((5.0, False), (5.5, True))]
    [0.0, 0.5]
    >>> times.first_at, times.longest_gap_s, times.longest_gap_at
    (5.0, 0.5, 5.0)
    """

    first_at: float = 0.0
    last_at: float = 0.0
    longest_gap_s: float = 0.0
    longest_gap_at: float = 0.0
    count: int = 0

    def note(self, now: float, started: bool) -> float:
        """Record a chunk; return the gap before it, zero if it is the first.

        ``started`` is true if the attempt has had a chunk before: the time
        between two attempts is not a gap of an endpoint.
        """
        self.count += 1
        gap_s = now - self.last_at if started and self.last_at else 0.0
        if gap_s > self.longest_gap_s:
            self.longest_gap_s = gap_s
            self.longest_gap_at = self.last_at
        self.first_at = self.first_at or now
        self.last_at = now
        return gap_s

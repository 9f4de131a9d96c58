"""Follow how many orders an endpoint has taken; pure.

An endpoint counts the orders that it takes since its start, whoever gives
them, and its reports tell the count. A holder that counts its own can tell by
a report whether somebody else has given one.
"""

from dataclasses import dataclass
from enum import Enum, auto

__all__ = ["OrderCount", "ReportAge"]


class ReportAge(Enum):
    """Say how the orders behind a report compare with those known here."""

    OLDER = auto()
    CURRENT = auto()
    NEWER = auto()


@dataclass(slots=True)
class OrderCount:
    """Hold how many orders an endpoint has taken, ``None`` while in doubt.

    >>> count = OrderCount()
    >>> count.note_report(7)
    >>> count.note_taken()
    >>> count.taken, count.compare(7), count.compare(9)
    (8, <ReportAge.OLDER: 1>, <ReportAge.NEWER: 3>)
    """

    taken: int | None = None

    def compare(self, reported: int) -> ReportAge:
        """Tell whether a report is older or newer than what is known here."""
        if self.taken is None or reported == self.taken:
            return ReportAge.CURRENT
        return ReportAge.OLDER if reported < self.taken else ReportAge.NEWER

    def note_report(self, reported: int) -> None:
        """Take the count of a report that is not older."""
        if self.compare(reported) is not ReportAge.OLDER:
            self.taken = reported

    def note_taken(self) -> None:
        """Count an order of our own that the endpoint has taken."""
        if self.taken is not None:
            self.taken += 1

    def note_doubt(self) -> None:
        """Note that an order may have been taken, or not."""
        self.taken = None

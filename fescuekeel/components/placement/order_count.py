"""Follow how many orders an endpoint has taken; pure.

An endpoint counts the orders that it takes since its start, whoever gives
them, and its reports tell the count. Every order names the count that it rests
on, and the endpoint refuses it after any other one. So an order is carried out
only where what is known here shows every order before it, however late reports
are and whoever else gives orders.
"""

from dataclasses import dataclass
from enum import Enum, auto

from fescuekeel.components.placement.const import REPORT_LAG_S
from fescuekeel.components.placement.model import GiveOrder
from fescuekeel.helpers.dialect import OrderKind, OrderReply

__all__ = ["OrderCount", "ReportAge"]


class ReportAge(Enum):
    """Say how the orders behind a report compare with those known here."""

    OLDER = auto()
    CURRENT = auto()
    NEWER = auto()


@dataclass(slots=True)
class OrderCount:
    """Hold how many orders an endpoint has taken, ``None`` while in doubt.

    ``confirmed`` says that no order was refused since the last report: it is
    of no use to give another one before.

    >>> count = OrderCount()
    >>> count.note_report(7, asked=0.0)
    True
    >>> count.note_taken(now=0.1)
    >>> count.taken, count.compare(7), count.compare(9)
    (8, <ReportAge.OLDER: 1>, <ReportAge.NEWER: 3>)
    """

    taken: int | None = None
    confirmed: bool = False
    _taken_at: float = float("-inf")

    def compare(self, reported: int) -> ReportAge:
        """Tell whether a report is older or newer than what is known here."""
        if self.taken is None or reported == self.taken:
            return ReportAge.CURRENT
        return ReportAge.OLDER if reported < self.taken else ReportAge.NEWER

    def note_report(self, reported: int, asked: float) -> bool:
        """Take a report's count; false if the report is to be left aside.

        A report from right after an own order need not show it. One that does
        not show it after the lag of reports says that the count here is wrong.
        """
        lagging = asked - self._taken_at < REPORT_LAG_S
        if self.compare(reported) is ReportAge.OLDER and lagging:
            return False
        self.taken = reported
        self.confirmed = True
        return True

    def note_reply(
        self, order: GiveOrder, reply: OrderReply | None, now: float
    ) -> None:
        """Take how an own order was answered; ``None`` is no answer.

        A load given again, and one of what is held, are not taken anew.
        """
        at_once = order.kind is OrderKind.UNLOAD and reply is OrderReply.HOLDS_ALREADY
        if reply is None:
            self.note_doubt()
        elif reply is OrderReply.BUSY:
            self.confirmed = False
        elif at_once or (reply is OrderReply.ACCEPTED and not order.again):
            self.note_taken(now)

    def note_taken(self, now: float) -> None:
        """Count an order of our own that the endpoint has taken."""
        if self.taken is not None:
            self.taken += 1
            self._taken_at = now

    def note_doubt(self) -> None:
        """Note that an own order may have been taken, or not."""
        self.taken = None
        self.confirmed = False

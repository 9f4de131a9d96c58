"""Track how many orders an endpoint has accepted; pure.

An endpoint counts the orders that it has accepted since its start, from any
sender, and includes the count in its reports. Every order carries the count
that it is based on, and the endpoint refuses it if the count differs, as in
optimistic concurrency control. An order thus takes effect only if all orders
before it are known here, however late reports are and whoever else sends
orders.
"""

from dataclasses import dataclass
from enum import Enum, auto

from fescuekeel.components.placement.const import REPORT_LAG_S
from fescuekeel.components.placement.model import SendOrder
from fescuekeel.helpers.dialect import OrderKind, OrderReply

__all__ = ["OrderCount", "ReportAge"]


class ReportAge(Enum):
    """A report's order count compared with the known one."""

    OLDER = auto()
    CURRENT = auto()
    NEWER = auto()


@dataclass(slots=True)
class OrderCount:
    """The number of orders an endpoint has accepted, ``None`` if unknown.

    ``confirmed`` says that no order was refused since the last report; orders
    sent while it is false would be refused as well.

    >>> count = OrderCount()
    >>> count.record_report(7, requested_at=0.0)
    True
    >>> count.record_accepted(now=0.1)
    >>> count.value, count.compare(7), count.compare(9)
    (8, <ReportAge.OLDER: 1>, <ReportAge.NEWER: 3>)
    """

    value: int | None = None
    confirmed: bool = False
    _accepted_at: float = float("-inf")

    def compare(self, reported: int) -> ReportAge:
        """Return whether a report is older or newer than the known state."""
        if self.value is None or reported == self.value:
            return ReportAge.CURRENT
        return ReportAge.OLDER if reported < self.value else ReportAge.NEWER

    def record_report(self, reported: int, requested_at: float) -> bool:
        """Apply a report's count; return false if the report is outdated.

        A report need not include own orders sent within the report lag. If one
        is still missing after the lag, the count here is wrong.
        """
        lagging = requested_at - self._accepted_at < REPORT_LAG_S
        if self.compare(reported) is ReportAge.OLDER and lagging:
            return False
        self.value = reported
        self.confirmed = True
        return True

    def record_reply(
        self, order: SendOrder, reply: OrderReply | None, now: float
    ) -> None:
        """Apply the reply to an own order; ``None`` if there was none.

        Endpoints do not count a repeated load, nor a load of held weights.
        """
        at_once = order.kind is OrderKind.UNLOAD and reply is OrderReply.HOLDS_ALREADY
        if reply is None:
            self.mark_unknown()
        elif reply is OrderReply.BUSY:
            self.confirmed = False
        elif at_once or (reply is OrderReply.ACCEPTED and not order.is_repeat):
            self.record_accepted(now)

    def record_accepted(self, now: float) -> None:
        """Count an own order that the endpoint has accepted."""
        if self.value is not None:
            self.value += 1
            self._accepted_at = now

    def mark_unknown(self) -> None:
        """Discard the count: an own order may have been accepted."""
        self.value = None
        self.confirmed = False

"""Decide when an endpoint that refuses orders gets the next one; pure."""

from dataclasses import dataclass

from fescuekeel.components.placement.const import (
    BLOCKED_S,
    ORDER_RETRY_MAX_S,
    ORDER_RETRY_S,
)
from fescuekeel.helpers.dialect import OrderReply

__all__ = ["OrderBackoff"]


@dataclass(slots=True)
class OrderBackoff:
    """Wait before the next order to an endpoint that refuses them.

    Guards against a new order in place of each one that was refused: an
    endpoint that waited for a stream before an unload got thirty orders a
    second for as long as that took.

    >>> backoff = OrderBackoff()
    >>> backoff.note(OrderReply.BUSY, now=1.0)
    >>> backoff.may_order(now=1.01), backoff.may_order(now=1.1)
    (False, True)
    """

    until: float = float("-inf")
    _since: float | None = None
    _retry_s: float = ORDER_RETRY_S

    def note(self, reply: OrderReply | None, now: float) -> None:
        """Take how an order was answered; ``None`` is no answer."""
        if reply not in (OrderReply.BUSY, OrderReply.UNAVAILABLE):
            self._since = None
            self._retry_s = ORDER_RETRY_S
            return
        if self._since is None:
            self._since = now
        self.until = now + self._retry_s
        self._retry_s = min(ORDER_RETRY_MAX_S, 2 * self._retry_s)

    def may_order(self, now: float) -> bool:
        """Tell whether the next order is due."""
        return now >= self.until

    def is_blocked(self, now: float) -> bool:
        """Tell whether the endpoint has refused all orders for a while.

        That ends by itself a moment after the last refusal, so that the next
        ask shows whether it still does.
        """
        if self._since is None or now - self._since <= BLOCKED_S:
            return False
        return now < self.until + BLOCKED_S

"""Delay orders to an endpoint that refuses them; pure."""

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
    """Exponential backoff between orders that an endpoint refuses.

    Guards against sending a new order immediately after each refused one, for
    example while the endpoint waits for streams before an unload.

    >>> backoff = OrderBackoff()
    >>> backoff.record_reply(OrderReply.BUSY, now=1.0)
    >>> backoff.may_order(now=1.01), backoff.may_order(now=1.1)
    (False, True)
    """

    until: float = float("-inf")
    _since: float | None = None
    _retry_s: float = ORDER_RETRY_S

    def record_reply(self, reply: OrderReply | None, now: float) -> None:
        """Record the reply to an order; ``None`` if there was none."""
        if reply not in (OrderReply.BUSY, OrderReply.UNAVAILABLE):
            self._since = None
            self._retry_s = ORDER_RETRY_S
            return
        if self._since is None:
            self._since = now
        self.until = now + self._retry_s
        self._retry_s = min(ORDER_RETRY_MAX_S, 2 * self._retry_s)

    def may_order(self, now: float) -> bool:
        """Return whether the next order is due."""
        return now >= self.until

    def is_blocked(self, now: float) -> bool:
        """Return whether the endpoint has refused all orders for a while.

        Expires shortly after the last refusal, so that a new load request can
        find out whether the endpoint still refuses.
        """
        if self._since is None or now - self._since <= BLOCKED_S:
            return False
        return now < self.until + BLOCKED_S

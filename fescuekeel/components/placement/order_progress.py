"""Read from an endpoint's report how far an order has come; pure."""

from collections.abc import Mapping
from enum import Enum, auto

from fescuekeel.components.placement.const import MODEL_LOAD_LOST_S, ORDER_LOST_S
from fescuekeel.components.placement.model import Order
from fescuekeel.helpers.dialect import EndpointReport, OrderKind
from fescuekeel.helpers.published import Weights

__all__ = ["OrderProgress", "read_progress"]


class OrderProgress(Enum):
    """What a report shows of an order."""

    PENDING = auto()
    DONE = auto()
    MISSING = auto()
    EXPIRED = auto()


def read_progress(
    weights: Weights,
    order: Order,
    report: EndpointReport,
    held: Mapping[Weights, int],
    requested_at: float,
) -> OrderProgress:
    """Return the progress of an order, given a report and what is held.

    An order that the report does not show is pending until it expires, since
    the endpoint may yet accept it.
    """
    if _is_done(weights, order, report, held):
        return OrderProgress.DONE
    if weights in report.pending:
        return OrderProgress.PENDING
    if _is_missing(weights, order, report, held):
        return OrderProgress.MISSING
    ttl_s = ORDER_LOST_S if weights.adapter else MODEL_LOAD_LOST_S
    if requested_at - order.sent_at > ttl_s:
        return OrderProgress.EXPIRED
    return OrderProgress.PENDING


def _is_done(
    weights: Weights,
    order: Order,
    report: EndpointReport,
    held: Mapping[Weights, int],
) -> bool:
    if order.kind is OrderKind.UNLOAD:
        return weights not in held
    if weights in report.pending or weights not in held:
        return False
    return order.version is None or held[weights] >= order.version


def _is_missing(
    weights: Weights,
    order: Order,
    report: EndpointReport,
    held: Mapping[Weights, int],
) -> bool:
    """Return whether a report shows that a load is not in progress.

    The endpoint has accepted another order in its place, or has ended it.
    Guards against repeating the load with the current order count, which the
    endpoint would accept as a new one without a free slot.
    """
    if order.kind is OrderKind.UNLOAD or not weights.adapter:
        return False
    if order.after_orders is None or weights in held:
        return False
    return report.orders_taken > order.after_orders

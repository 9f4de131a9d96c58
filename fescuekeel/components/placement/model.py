"""Data types of placement: load requests, orders, and uses."""

from dataclasses import dataclass

from fescuekeel.components.placement.const import DEMAND_HALF_LIFE_S
from fescuekeel.helpers.dialect import OrderKind
from fescuekeel.helpers.published import Weights

__all__ = [
    "Demand",
    "Effect",
    "LoadRequest",
    "LoadResult",
    "LoadTimes",
    "Order",
    "SendOrder",
    "Use",
]


@dataclass(slots=True)
class LoadRequest:
    """A request to load weights, identified by ``number``.

    ``is_replica`` requests one more copy, which no prompt waits for. Loads
    done by ``on_time_until`` let the answer meet its target, and after
    ``until`` no prompt waits any more. ``tokens`` counts those of the prompt
    that waits.
    """

    number: int
    weights: Weights
    version: int
    priority: int
    is_replica: bool
    since: float
    on_time_until: float
    until: float
    tokens: int = 0


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Send an order to the endpoint.

    ``is_repeat`` repeats a load in progress, to which the endpoint replies
    whether it holds the weights by now.
    """

    kind: OrderKind
    weights: Weights
    version: int | None
    is_repeat: bool = False


@dataclass(frozen=True, slots=True)
class LoadResult:
    """The result of a load request.

    ``slot_wait_s`` is the time until the load was ordered, and ``load_s`` the
    duration of the load.
    """

    number: int
    loaded: bool
    detail: str = ""
    version: int = 0
    slot_wait_s: float = 0.0
    load_s: float = 0.0


Effect = SendOrder | LoadResult


@dataclass(slots=True)
class Demand:
    """Request rate of weights, as a counter with exponential decay."""

    level: float = 0.0
    at: float = 0.0

    def read(self, now: float) -> float:
        """Return the decayed level."""
        return self.level * 0.5 ** ((now - self.at) / DEMAND_HALF_LIFE_S)

    def add(self, amount: float, now: float) -> None:
        """Add requests that have begun."""
        self.level = self.read(now) + amount
        self.at = now


@dataclass(slots=True)
class Order:
    """An order in progress, or an unload that is about to be sent.

    At ``next_check`` it is sent again, to learn whether it is done.
    ``accepted`` says that the endpoint may have accepted it.
    ``after_orders`` is the order count that it was last sent with, ``None``
    before it is sent.
    """

    kind: OrderKind
    version: int | None
    sent_at: float
    next_check: float
    accepted: bool = False
    after_orders: int | None = None


@dataclass(frozen=True, slots=True)
class LoadTimes:
    """When a load was ordered, and when the endpoint was seen to hold it."""

    ordered_at: float
    held_at: float


@dataclass(slots=True)
class Use:
    """Running requests of one instance, by its last update."""

    running: int
    updated_at: float

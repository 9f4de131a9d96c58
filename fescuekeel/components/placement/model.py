"""What is asked of an endpoint's weights, ordered there, and used."""

from dataclasses import dataclass

from fescuekeel.components.placement.const import DEMAND_HALF_LIFE_S
from fescuekeel.helpers.dialect import OrderKind
from fescuekeel.helpers.published import Weights

__all__ = [
    "Ask",
    "AskEnded",
    "Demand",
    "Effect",
    "GiveOrder",
    "LoadTimes",
    "Order",
    "Use",
]


@dataclass(slots=True)
class Ask:
    """A wish to have weights loaded; ``number`` names it.

    ``spread`` is a wish for one more copy, which nobody waits for.
    ``on_time_until`` is when the load must be done for an answer within its
    target, and ``until`` when nobody waits for it any more. ``tokens`` are
    those of the prompt that waits.
    """

    number: int
    weights: Weights
    version: int
    priority: int
    spread: bool
    since: float
    on_time_until: float
    until: float
    tokens: int = 0


@dataclass(frozen=True, slots=True)
class GiveOrder:
    """Give an order to the endpoint.

    ``again`` repeats a load that is under way: the endpoint answers at once
    whether it holds the weights by now.
    """

    kind: OrderKind
    weights: Weights
    version: int | None
    again: bool = False


@dataclass(frozen=True, slots=True)
class AskEnded:
    """Answer an ask.

    ``place_s`` is how long it waited until a load was ordered, and ``load_s``
    how long the load took.
    """

    number: int
    loaded: bool
    detail: str = ""
    version: int = 0
    place_s: float = 0.0
    load_s: float = 0.0


Effect = GiveOrder | AskEnded


@dataclass(slots=True)
class Demand:
    """How much weights are asked for, fading by half each half-life."""

    level: float = 0.0
    at: float = 0.0

    def read(self, now: float) -> float:
        """Return the level now."""
        return self.level * 0.5 ** ((now - self.at) / DEMAND_HALF_LIFE_S)

    def add(self, amount: float, now: float) -> None:
        """Count requests that began."""
        self.level = self.read(now) + amount
        self.at = now


@dataclass(slots=True)
class Order:
    """An order under way, or an unload that is about to be given.

    ``next_check`` is when it is given again, to learn whether it is done; for
    an unload, when it is given at all. ``accepted`` says that the endpoint
    carries it out.
    """

    kind: OrderKind
    version: int | None
    given: float
    next_check: float
    accepted: bool = False


@dataclass(frozen=True, slots=True)
class LoadTimes:
    """When a load was ordered, and when the endpoint was seen to hold it."""

    ordered: float
    held: float


@dataclass(slots=True)
class Use:
    """How many requests of one instance run, as it last told."""

    running: int
    told: float

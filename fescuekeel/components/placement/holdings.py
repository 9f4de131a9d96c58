"""Follow which weights an endpoint holds, and since when; pure."""

from dataclasses import dataclass, field

from fescuekeel.components.placement.const import WARM_ADAPTERS
from fescuekeel.components.placement.model import LoadTimes, Order
from fescuekeel.helpers.dialect import EndpointReport
from fescuekeel.helpers.published import Weights

__all__ = ["Holdings"]


@dataclass(slots=True)
class Holdings:
    """Hold the weights of an endpoint with their versions.

    >>> holdings, cards = Holdings(), Weights("m", "cards")
    >>> holdings.note_loaded(cards, 2, ordered=1.0, now=1.3)
    >>> holdings.note_dropped(cards, now=2.0)
    >>> cards in holdings.held, holdings.is_warm(cards)
    (False, True)
    """

    held: dict[Weights, int] = field(default_factory=dict)
    _loads: dict[Weights, LoadTimes] = field(default_factory=dict)
    _dropped_at: dict[Weights, float] = field(default_factory=dict)

    def take_report(
        self,
        report: EndpointReport,
        current: bool,
        orders_by_weights: dict[Weights, Order],
        now: float,
    ) -> None:
        """Take what a report shows.

        If it is ``current``, no order came since, and what was on its way then
        has only come since, if that is known here.
        """
        held = dict(report.held)
        if current:
            for weights in report.pending & self.held.keys():
                held[weights] = self.held[weights]
        for weights in held.keys() - self.held.keys():
            order = orders_by_weights.get(weights)
            self._loads[weights] = LoadTimes(order.given if order else now, now)
        self.held = held
        for weights in self._loads.keys() - held.keys():
            del self._loads[weights]

    def note_loaded(
        self, weights: Weights, version: int, ordered: float, now: float
    ) -> None:
        """Note that weights were seen to be held."""
        self.held[weights] = max(version, self.held.get(weights, 0))
        self._loads[weights] = LoadTimes(ordered, now)
        self._dropped_at.pop(weights, None)

    def note_dropped(self, weights: Weights, now: float) -> None:
        """Note that weights were unloaded; a copy stays near for a while."""
        self.held.pop(weights, None)
        self._dropped_at.pop(weights, None)
        self._dropped_at[weights] = now
        if len(self._dropped_at) > WARM_ADAPTERS:
            del self._dropped_at[next(iter(self._dropped_at))]

    def is_warm(self, weights: Weights) -> bool:
        """Tell whether the endpoint held weights lately."""
        return weights in self._dropped_at

    def get_load_times(self, weights: Weights) -> LoadTimes | None:
        """Return when weights were ordered and seen, if that is known."""
        return self._loads.get(weights)

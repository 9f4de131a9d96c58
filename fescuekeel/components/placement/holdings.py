"""Track which weights an endpoint holds, and since when; pure."""

from dataclasses import dataclass, field

from fescuekeel.components.placement.const import WARM_ADAPTERS
from fescuekeel.components.placement.model import LoadTimes, Order
from fescuekeel.helpers.dialect import EndpointReport
from fescuekeel.helpers.published import Weights

__all__ = ["Holdings"]


@dataclass(slots=True)
class Holdings:
    """The weights of an endpoint, with their versions.

    >>> holdings, cards = Holdings(), Weights("m", "cards")
    >>> holdings.record_loaded(cards, 2, ordered_at=1.0, now=1.3)
    >>> holdings.record_unloaded(cards, now=2.0)
    >>> cards in holdings.held, holdings.is_warm(cards)
    (False, True)
    """

    held: dict[Weights, int] = field(default_factory=dict)
    _loads: dict[Weights, LoadTimes] = field(default_factory=dict)
    _unloaded_at: dict[Weights, float] = field(default_factory=dict)

    def apply_report(
        self,
        report: EndpointReport,
        current: bool,
        orders_by_weights: dict[Weights, Order],
        now: float,
    ) -> None:
        """Replace what is held by what a report shows.

        No order followed a ``current`` report, so that weights which it shows
        as pending and which are known to be held have been loaded since.
        """
        held = dict(report.held)
        if current:
            for weights in report.pending & self.held.keys():
                held[weights] = self.held[weights]
        for weights in held.keys() - self.held.keys():
            order = orders_by_weights.get(weights)
            self._loads[weights] = LoadTimes(order.sent_at if order else now, now)
        self.held = held
        for weights in self._loads.keys() - held.keys():
            del self._loads[weights]

    def record_loaded(
        self, weights: Weights, version: int, ordered_at: float, now: float
    ) -> None:
        """Record that weights are held."""
        self.held[weights] = max(version, self.held.get(weights, 0))
        self._loads[weights] = LoadTimes(ordered_at, now)
        self._unloaded_at.pop(weights, None)

    def record_unloaded(self, weights: Weights, now: float) -> None:
        """Record an unload; the endpoint keeps a copy in memory."""
        self.held.pop(weights, None)
        self._unloaded_at.pop(weights, None)
        self._unloaded_at[weights] = now
        if len(self._unloaded_at) > WARM_ADAPTERS:
            del self._unloaded_at[next(iter(self._unloaded_at))]

    def is_warm(self, weights: Weights) -> bool:
        """Return whether weights were unloaded recently."""
        return weights in self._unloaded_at

    def get_load_times(self, weights: Weights) -> LoadTimes | None:
        """Return when weights were ordered and seen, if known."""
        return self._loads.get(weights)

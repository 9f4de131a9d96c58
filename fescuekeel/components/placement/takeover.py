"""Decide when a new holder knows enough to give its first order; pure.

What an endpoint holds is known from its reports, which are older than their
answers. An order of the holder before, accepted a moment ago or still on its
way, shows in none of them, and its place would count as free.
"""

from collections.abc import Container, Mapping
from dataclasses import dataclass

from fescuekeel.components.placement.const import REPORT_LAG_S
from fescuekeel.components.placement.model import GiveOrder
from fescuekeel.helpers.dialect import OrderKind
from fescuekeel.helpers.published import Weights

__all__ = ["Takeover", "choose_order_that_holds"]


def choose_order_that_holds(
    held: Mapping[Weights, int], under_way: Container[Weights]
) -> GiveOrder | None:
    """Return an order that changes nothing, ``None`` if none is sure to.

    Only weights whose version is told: without one, an order brings the
    newest version. An adapter, if there is any: should it be gone by now, it
    takes the place that it is believed to take.
    """
    told = [
        weights
        for weights, version in held.items()
        if version and weights not in under_way
    ]
    if not told:
        return None
    weights = max(told, key=lambda item: bool(item.adapter))
    return GiveOrder(OrderKind.LOAD, weights, held[weights], True)


@dataclass(slots=True)
class Takeover:
    """Follow what a holder has done since it began to hold an endpoint.

    Where endpoints refuse the orders of earlier holders (``fenced``), it shows
    its fencing number first, by an order that changes nothing. From then on no
    older order is accepted, and a report that was asked for ``REPORT_LAG_S``
    later shows all that were. Guards against two holders that overrun an
    endpoint: an instance that starts behind a cut hears of no other holder,
    and the first one gives orders until the second one's number is seen.

    >>> takeover = Takeover(fenced=True)
    >>> takeover.note_report(asked=10.0)
    >>> takeover.needs_fence, takeover.may_order
    (True, False)
    >>> takeover.note_fence(now=10.1)
    >>> takeover.note_report(asked=10.1 + REPORT_LAG_S)
    >>> takeover.may_order
    True
    """

    fenced: bool
    _reported: float | None = None
    _fence_shown: float | None = None

    @property
    def needs_fence(self) -> bool:
        """Tell whether the fencing number is to be shown next."""
        return self.fenced and self._reported is not None and self._fence_shown is None

    @property
    def may_order(self) -> bool:
        """Tell whether reports show all that earlier holders ordered."""
        if self._reported is None:
            return False
        return not self.fenced or self._reported >= self._get_report_due()

    @property
    def next_look(self) -> float:
        """Return when a report is to be asked for, if none is due before."""
        if self._reported is None or self.may_order:
            return float("-inf") if self._reported is None else float("inf")
        return self._get_report_due()

    def _get_report_due(self) -> float:
        if self._fence_shown is None:
            return float("inf")
        return self._fence_shown + REPORT_LAG_S

    def note_report(self, asked: float) -> None:
        """Note a report that was asked for while the endpoint was held."""
        self._reported = asked

    def note_fence(self, now: float) -> None:
        """Note that the endpoint has taken an order with the new number."""
        if self._fence_shown is None:
            self._fence_shown = now

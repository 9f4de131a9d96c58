"""Gauges for members, endpoints and retry budgets."""

from collections import Counter
from collections.abc import Callable

from fescuekeel.components.endpoints import EndpointLoad
from fescuekeel.components.forward.budget import RetryBudget
from fescuekeel.components.forward.selection import EndpointSelector
from fescuekeel.core import Instance
from fescuekeel.messages import MemberView

__all__ = ["ForwardingGauges"]


class ForwardingGauges:
    """Compute the gauges when they are scraped."""

    def __init__(
        self,
        instance: Instance,
        selector: EndpointSelector,
        budget: RetryBudget,
        get_load: Callable[[str], EndpointLoad],
    ) -> None:
        self._instance = instance
        self._selector = selector
        self._budget = budget
        self._get_load = get_load

    def add(self) -> None:
        """Register the gauges."""
        metrics = self._instance.metrics
        metrics.add_gauge("members", self._read_members)
        metrics.add_gauge("endpoints", self._read_endpoints)
        metrics.add_gauge("retry_budget_left", self._read_budget)

    def _read_members(self) -> dict[str, float]:
        view = self._instance.bus.latest(MemberView) or MemberView()
        states = Counter(member.state.value for member in view.members_by_id.values())
        return {state: float(count) for state, count in states.items()}

    def _read_endpoints(self) -> dict[str, float]:
        now = self._instance.now()
        known = self._selector.list_endpoints()
        avoided = sum(
            self._get_load(id).health.find_block(now) is not None for id in known
        )
        return {
            "ready": float(len(known)),
            "avoided": float(avoided),
            "unconfirmed": float(len(self._selector.unconfirmed_since_by_id)),
        }

    def _read_budget(self) -> dict[str, float]:
        now = self._instance.now()
        return {
            service: float(self._budget.count_left(service, now))
            for service in self._selector.records_by_service
        }

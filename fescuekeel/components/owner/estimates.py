"""Scheduling parameters of requests, from the tree and past answers."""

from dataclasses import dataclass, field

from returns.pipeline import is_successful

from fescuekeel.components.owner.const import SERVICE_TIME_SMOOTHING
from fescuekeel.components.owner.model import AcceptedRequest
from fescuekeel.components.owner.scheduling.model import Work
from fescuekeel.components.tree.model import Policy, TreeInForce
from fescuekeel.core import Bus

__all__ = ["Estimates"]


@dataclass(frozen=True, slots=True)
class ServiceKey:
    """Key of a shop's service."""

    shop: str
    service: str


@dataclass(slots=True)
class Estimates:
    """Convert accepted requests into the scheduler's work items.

    A service's expected time is a moving average of its answers, and zero
    before the first one.
    """

    bus: Bus
    _times_by_service: dict[ServiceKey, float] = field(default_factory=dict)

    def make_work(self, item: AcceptedRequest) -> Work:
        """Return the scheduler's work item for a request."""
        submit = item.submit
        policy = self._find_policy(item)
        key = ServiceKey(submit.shop, submit.service)
        return Work(
            request_id=submit.request_id,
            adapter=submit.adapter,
            service=submit.service,
            urgency=submit.urgency,
            arrived=item.arrived_at,
            deadline=item.deadline,
            service_s=self._times_by_service.get(key, 0.0),
            stall_weight=policy.stall_weight if policy else 1.0,
            batch_weight=policy.batch_weight if policy else 1.0,
        )

    def record_service_time(self, item: AcceptedRequest, took_s: float) -> None:
        """Record how long a request took on its endpoint, in seconds."""
        key = ServiceKey(item.submit.shop, item.submit.service)
        known = self._times_by_service.get(key, took_s)
        known += SERVICE_TIME_SMOOTHING * (took_s - known)
        self._times_by_service[key] = known

    def _find_policy(self, item: AcceptedRequest) -> Policy | None:
        tree = self.bus.latest(TreeInForce)
        if tree is None:
            return None
        submit = item.submit
        result = tree.intent.resolve(
            submit.shop, submit.service, submit.adapter.name, submit.adapter.version
        )
        return result.unwrap() if is_successful(result) else None

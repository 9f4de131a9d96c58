"""The requests that wait for one endpoint."""

from collections.abc import Callable, Iterable, KeysView
from dataclasses import dataclass, field

from fescuekeel.components.owner.scheduling.model import Work
from fescuekeel.messages import AdapterRef

__all__ = ["Wait", "WorkQueue", "WorkTest", "order_urgent_first"]

# A second of waiting counts this much less for each step of urgency down.
URGENCY_FACTOR = 1.4

AdapterTest = Callable[[AdapterRef], bool]
WorkTest = Callable[[Work], bool]
WorkOrder = tuple[int, float, str]


@dataclass(frozen=True, slots=True)
class Wait:
    """Sum up the requests that wait for one adapter to be loaded.

    ``urgency`` is that of the most urgent one and ``weight`` the sum of
    their weights. ``moment`` sums weight times arrival, so that the weighted
    time waited at any later time follows without a look at each request.
    """

    adapter: AdapterRef
    urgency: int
    count: int
    oldest: float
    weight: float
    moment: float

    def get_waited_s(self, now: float) -> float:
        """Return the seconds waited by all of them, weighted."""
        return self.weight * now - self.moment


def order_urgent_first(work: Work) -> WorkOrder:
    """Return the sort key of urgent first, then first come."""
    return (work.urgency, work.arrived, work.request_id)


def get_weight(work: Work) -> float:
    """Return what a second of this request's stall counts."""
    return float(work.stall_weight * URGENCY_FACTOR**-work.urgency)


@dataclass(slots=True)
class WorkQueue:
    """Keep waiting requests by adapter, urgent ones first.

    >>> queue = WorkQueue()
    >>> ref = AdapterRef("cups", "1")
    >>> queue.add(Work("lazy", ref, "plan", 1, 0.0, 9.0))
    >>> queue.add(Work("urgent", ref, "patter", 0, 1.0, 9.0))
    >>> queue.pick([ref], lambda work: False).request_id
    'urgent'
    """

    order: Callable[[Work], WorkOrder] = order_urgent_first
    _work_by_id: dict[str, Work] = field(default_factory=dict)
    _ids_by_adapter: dict[AdapterRef, dict[str, None]] = field(default_factory=dict)
    _waits_by_adapter: dict[AdapterRef, Wait] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._work_by_id)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._work_by_id

    @property
    def adapters(self) -> KeysView[AdapterRef]:
        """Return the adapters that some request waits for."""
        return self._ids_by_adapter.keys()

    def add(self, work: Work) -> None:
        """Put a request in."""
        self._work_by_id[work.request_id] = work
        self._ids_by_adapter.setdefault(work.adapter, {})[work.request_id] = None
        self._waits_by_adapter.pop(work.adapter, None)

    def remove(self, request_id: str) -> Work | None:
        """Take a request out; return it, or ``None`` if it was not there."""
        work = self._work_by_id.pop(request_id, None)
        if work is None:
            return None
        ids = self._ids_by_adapter[work.adapter]
        del ids[request_id]
        self._waits_by_adapter.pop(work.adapter, None)
        if not ids:
            del self._ids_by_adapter[work.adapter]
        return work

    def list_all(self) -> list[Work]:
        """Return all requests, the oldest first."""
        return list(self._work_by_id.values())

    def list_adapter(self, adapter: AdapterRef) -> list[Work]:
        """Return the requests of one adapter, the oldest first."""
        return [self._work_by_id[id] for id in self._ids_by_adapter.get(adapter, ())]

    def pick(self, adapters: Iterable[AdapterRef], is_held: WorkTest) -> Work | None:
        """Return the first request in order of these adapters, if not held."""
        ready = (
            work
            for adapter in adapters
            for work in self.list_adapter(adapter)
            if not is_held(work)
        )
        return min(ready, key=self.order, default=None)

    def count_ready_ahead(self, work: Work, needs_load: AdapterTest) -> int:
        """Count the requests that need no load and come before this one."""
        return sum(
            self.order(other) < self.order(work)
            for adapter in self._ids_by_adapter
            if not needs_load(adapter)
            for other in self.list_adapter(adapter)
        )

    def list_waits(self, needs_load: AdapterTest) -> list[Wait]:
        """Sum up the waiting requests for each adapter that needs a load."""
        return [
            self._sum_up(adapter)
            for adapter in self._ids_by_adapter
            if needs_load(adapter)
        ]

    def _sum_up(self, adapter: AdapterRef) -> Wait:
        wait = self._waits_by_adapter.get(adapter)
        if wait is not None:
            return wait
        work = self.list_adapter(adapter)
        wait = self._waits_by_adapter[adapter] = Wait(
            adapter=adapter,
            urgency=min(item.urgency for item in work),
            count=len(work),
            oldest=min(item.arrived for item in work),
            weight=sum(get_weight(item) for item in work),
            moment=sum(get_weight(item) * item.arrived for item in work),
        )
        return wait

"""The queue of one endpoint's requests."""

from collections.abc import Callable, Iterable, KeysView
from dataclasses import dataclass, field

from fescuekeel.components.owner.scheduling.model import Work
from fescuekeel.messages import AdapterRef

__all__ = ["AdapterBacklog", "WorkPredicate", "WorkQueue", "order_urgent_first"]

# Each lower urgency level divides the weight of waiting time by this factor.
URGENCY_FACTOR = 1.4

AdapterPredicate = Callable[[AdapterRef], bool]
WorkPredicate = Callable[[Work], bool]
WorkOrder = tuple[int, float, str]


@dataclass(frozen=True, slots=True)
class AdapterBacklog:
    """Summary of the requests that wait for one adapter to be loaded.

    ``urgency`` is that of the most urgent one and ``weight`` the sum of
    their weights. ``weighted_arrival`` is the sum of weight times arrival,
    from which the weighted wait at any time follows in constant time.
    """

    adapter: AdapterRef
    urgency: int
    count: int
    oldest_at: float
    weight: float
    weighted_arrival: float

    def get_weighted_wait_s(self, now: float) -> float:
        """Return the weighted sum of their waits, in seconds."""
        return self.weight * now - self.weighted_arrival


def order_urgent_first(work: Work) -> WorkOrder:
    """Return a sort key: most urgent first, then by arrival."""
    return (work.urgency, work.arrived, work.request_id)


def get_weight(work: Work) -> float:
    """Return the weight of a second of this request's stall."""
    return float(work.stall_weight * URGENCY_FACTOR**-work.urgency)


@dataclass(slots=True)
class WorkQueue:
    """Queue of requests, grouped by adapter and picked by urgency.

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
    _backlogs_by_adapter: dict[AdapterRef, AdapterBacklog] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._work_by_id)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._work_by_id

    @property
    def adapters(self) -> KeysView[AdapterRef]:
        """Return the adapters of the queued requests."""
        return self._ids_by_adapter.keys()

    def add(self, work: Work) -> None:
        """Add a request."""
        self._work_by_id[work.request_id] = work
        self._ids_by_adapter.setdefault(work.adapter, {})[work.request_id] = None
        self._backlogs_by_adapter.pop(work.adapter, None)

    def remove(self, request_id: str) -> Work | None:
        """Remove and return a request, or ``None`` if it is not queued."""
        work = self._work_by_id.pop(request_id, None)
        if work is None:
            return None
        ids = self._ids_by_adapter[work.adapter]
        del ids[request_id]
        self._backlogs_by_adapter.pop(work.adapter, None)
        if not ids:
            del self._ids_by_adapter[work.adapter]
        return work

    def list_all(self) -> list[Work]:
        """Return all requests, oldest first."""
        return list(self._work_by_id.values())

    def list_adapter(self, adapter: AdapterRef) -> list[Work]:
        """Return the requests of one adapter, oldest first."""
        return [self._work_by_id[id] for id in self._ids_by_adapter.get(adapter, ())]

    def pick(
        self, adapters: Iterable[AdapterRef], is_delayed: WorkPredicate
    ) -> Work | None:
        """Return the first request of these adapters that is not delayed."""
        ready = (
            work
            for adapter in adapters
            for work in self.list_adapter(adapter)
            if not is_delayed(work)
        )
        return min(ready, key=self.order, default=None)

    def count_ready_ahead(self, work: Work, needs_load: AdapterPredicate) -> int:
        """Count the requests ahead of this one that need no load."""
        return sum(
            self.order(other) < self.order(work)
            for adapter in self._ids_by_adapter
            if not needs_load(adapter)
            for other in self.list_adapter(adapter)
        )

    def list_backlogs(self, needs_load: AdapterPredicate) -> list[AdapterBacklog]:
        """Return the backlog of each adapter that needs a load."""
        return [
            self._summarize(adapter)
            for adapter in self._ids_by_adapter
            if needs_load(adapter)
        ]

    def _summarize(self, adapter: AdapterRef) -> AdapterBacklog:
        backlog = self._backlogs_by_adapter.get(adapter)
        if backlog is not None:
            return backlog
        work = self.list_adapter(adapter)
        backlog = self._backlogs_by_adapter[adapter] = AdapterBacklog(
            adapter=adapter,
            urgency=min(item.urgency for item in work),
            count=len(work),
            oldest_at=min(item.arrived for item in work),
            weight=sum(get_weight(item) for item in work),
            weighted_arrival=sum(get_weight(item) * item.arrived for item in work),
        )
        return backlog

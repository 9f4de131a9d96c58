"""The loaded adapters and running requests of one endpoint."""

from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from fescuekeel.messages import AdapterRef

__all__ = ["Holdings"]

# A report may lag behind executed orders by up to this much.
REPORT_LAG_S = 5.0


@dataclass(slots=True)
class LoadedAdapter:
    """When an adapter was loaded, and until when it must not be evicted."""

    loaded_at: float
    no_evict_until: float = 0.0


@dataclass(slots=True)
class Holdings:
    """Track which adapters are loaded and which of them serve requests.

    Includes requests of previous owners, as listed in the endpoint's report.
    All times are monotonic seconds.

    >>> holdings, ref = Holdings(), AdapterRef("cups", "1")
    >>> holdings.add(ref, 1.0)
    >>> holdings.start("r1", ref)
    >>> holdings.is_idle(ref, 2.0)
    False
    >>> holdings.finish("r1")
    >>> holdings.is_idle(ref, 2.0)
    True
    """

    _loaded_by_adapter: dict[AdapterRef, LoadedAdapter] = field(default_factory=dict)
    _running_by_id: dict[str, AdapterRef] = field(default_factory=dict)
    _foreign_by_id: dict[str, AdapterRef] = field(default_factory=dict)
    _serving: Counter[AdapterRef] = field(default_factory=Counter)
    _evicted_by_adapter: dict[AdapterRef, float] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._loaded_by_adapter)

    def __contains__(self, adapter: AdapterRef) -> bool:
        return adapter in self._loaded_by_adapter

    def __iter__(self) -> Iterator[AdapterRef]:
        return iter(self._loaded_by_adapter)

    @property
    def running_ids(self) -> tuple[str, ...]:
        """Return the running requests that this owner dispatched."""
        return tuple(self._running_by_id)

    @property
    def running_count(self) -> int:
        """Return the number of running requests, of any owner."""
        return len(self._running_by_id) + len(self._foreign_by_id)

    def is_running(self, request_id: str) -> bool:
        """Return whether a request that this owner dispatched is running."""
        return request_id in self._running_by_id

    def needs_load(self, adapter: AdapterRef) -> bool:
        """Return whether an adapter is set and must be loaded first."""
        return bool(adapter) and adapter not in self._loaded_by_adapter

    def is_foreign(self, adapter: AdapterRef) -> bool:
        """Return whether a previous owner's request runs on this adapter."""
        return adapter in self._foreign_by_id.values()

    def is_idle(self, adapter: AdapterRef, now: float) -> bool:
        """Return whether a loaded adapter is idle and may be evicted."""
        entry = self._loaded_by_adapter.get(adapter)
        if entry is None or now < entry.no_evict_until:
            return False
        return not self._serving[adapter] and not self.is_foreign(adapter)

    def get_stall_s(self, adapter: AdapterRef, arrived: float) -> float:
        """Return how long a request that arrived then waited for the load."""
        entry = self._loaded_by_adapter.get(adapter)
        return max(0.0, entry.loaded_at - arrived) if entry is not None else 0.0

    def add(self, adapter: AdapterRef, now: float) -> None:
        """Record that an adapter was loaded."""
        self._loaded_by_adapter[adapter] = LoadedAdapter(loaded_at=now)
        self._evicted_by_adapter.pop(adapter, None)

    def remove(self, adapter: AdapterRef, now: float) -> None:
        """Record that an adapter was evicted."""
        self._loaded_by_adapter.pop(adapter, None)
        self._evicted_by_adapter[adapter] = now

    def defer_eviction(self, adapter: AdapterRef, until: float) -> None:
        """Exclude an adapter from eviction until a given time."""
        entry = self._loaded_by_adapter.get(adapter)
        if entry is not None:
            entry.no_evict_until = until

    def start(self, request_id: str, adapter: AdapterRef) -> None:
        """Record that a request was dispatched."""
        self._running_by_id[request_id] = adapter
        self._serving[adapter] += 1

    def finish(self, request_id: str) -> None:
        """Record that a request ended."""
        adapter = self._running_by_id.pop(request_id, None)
        if adapter is not None:
            self._serving[adapter] -= 1
            self._serving += Counter()

    def clear(self) -> None:
        """Drop all state that a restart of the endpoint lost."""
        self._loaded_by_adapter.clear()
        self._running_by_id.clear()
        self._serving.clear()
        self._evicted_by_adapter.clear()

    def reconcile(
        self,
        loaded: frozenset[AdapterRef],
        foreign: Mapping[str, AdapterRef],
        loading: AdapterRef | None,
        now: float,
    ) -> None:
        """Update from a report, except where it may be outdated."""
        self._foreign_by_id = dict(foreign)
        self._evicted_by_adapter = {
            adapter: at
            for adapter, at in self._evicted_by_adapter.items()
            if now - at < REPORT_LAG_S
        }
        for adapter in sorted(loaded - self._loaded_by_adapter.keys()):
            # A report older than an eviction still lists the adapter.
            if adapter not in self._evicted_by_adapter and adapter != loading:
                self._loaded_by_adapter[adapter] = LoadedAdapter(loaded_at=now)
        for adapter in list(self._loaded_by_adapter):
            # A report older than a load does not list the adapter yet.
            loaded_at = self._loaded_by_adapter[adapter].loaded_at
            if adapter in loaded or now - loaded_at < REPORT_LAG_S:
                continue
            if not self._serving[adapter]:
                del self._loaded_by_adapter[adapter]

"""What is loaded on one endpoint and what runs there."""

from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from fescuekeel.messages import AdapterRef

__all__ = ["Holdings"]

# A report may lag this much behind the orders that were obeyed.
REPORT_LAG_S = 5.0


@dataclass(slots=True)
class Holding:
    """When an adapter was loaded, and until when it is not to be evicted."""

    since: float
    keep_until: float = 0.0


@dataclass(slots=True)
class Holdings:
    """Know which adapters are loaded and which of them serve.

    Work is counted whether this owner handed it over or, as the endpoint's
    report says, some earlier one did. All times are monotonic seconds.

    >>> holdings, ref = Holdings(), AdapterRef("cups", "1")
    >>> holdings.add(ref, 1.0)
    >>> holdings.start("r1", ref)
    >>> holdings.is_idle(ref, 2.0)
    False
    >>> holdings.finish("r1")
    >>> holdings.is_idle(ref, 2.0)
    True
    """

    _holdings_by_adapter: dict[AdapterRef, Holding] = field(default_factory=dict)
    _running_by_id: dict[str, AdapterRef] = field(default_factory=dict)
    _foreign_by_id: dict[str, AdapterRef] = field(default_factory=dict)
    _serving: Counter[AdapterRef] = field(default_factory=Counter)
    _evicted_by_adapter: dict[AdapterRef, float] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._holdings_by_adapter)

    def __contains__(self, adapter: AdapterRef) -> bool:
        return adapter in self._holdings_by_adapter

    def __iter__(self) -> Iterator[AdapterRef]:
        return iter(self._holdings_by_adapter)

    @property
    def running_ids(self) -> tuple[str, ...]:
        """Return the requests that this owner handed over."""
        return tuple(self._running_by_id)

    @property
    def running_count(self) -> int:
        """Return how many requests occupy the endpoint, foreign ones too."""
        return len(self._running_by_id) + len(self._foreign_by_id)

    def is_running(self, request_id: str) -> bool:
        """Tell whether this owner handed the request over."""
        return request_id in self._running_by_id

    def needs_load(self, adapter: AdapterRef) -> bool:
        """Tell whether work needs a load first; plain work never does."""
        return bool(adapter) and adapter not in self._holdings_by_adapter

    def is_foreign(self, adapter: AdapterRef) -> bool:
        """Tell whether an earlier owner's work runs on this adapter."""
        return adapter in self._foreign_by_id.values()

    def is_idle(self, adapter: AdapterRef, now: float) -> bool:
        """Tell whether an adapter is loaded, serves nothing and may go."""
        holding = self._holdings_by_adapter.get(adapter)
        if holding is None or now < holding.keep_until:
            return False
        return not self._serving[adapter] and not self.is_foreign(adapter)

    def get_stall_s(self, adapter: AdapterRef, arrived: float) -> float:
        """Return how long a request that arrived then waited for the load."""
        holding = self._holdings_by_adapter.get(adapter)
        return max(0.0, holding.since - arrived) if holding is not None else 0.0

    def add(self, adapter: AdapterRef, now: float) -> None:
        """Note that an adapter was loaded."""
        self._holdings_by_adapter[adapter] = Holding(since=now)
        self._evicted_by_adapter.pop(adapter, None)

    def remove(self, adapter: AdapterRef, now: float) -> None:
        """Note that an adapter was evicted."""
        self._holdings_by_adapter.pop(adapter, None)
        self._evicted_by_adapter[adapter] = now

    def keep(self, adapter: AdapterRef, until: float) -> None:
        """Let an adapter be, after it could not be evicted."""
        holding = self._holdings_by_adapter.get(adapter)
        if holding is not None:
            holding.keep_until = until

    def start(self, request_id: str, adapter: AdapterRef) -> None:
        """Note that a request was handed over."""
        self._running_by_id[request_id] = adapter
        self._serving[adapter] += 1

    def finish(self, request_id: str) -> None:
        """Note that a request ended."""
        adapter = self._running_by_id.pop(request_id, None)
        if adapter is not None:
            self._serving[adapter] -= 1
            self._serving += Counter()

    def forget(self) -> None:
        """Drop what a restart of the endpoint lost."""
        self._holdings_by_adapter.clear()
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
        """Take over what a report says, as far as it cannot be outdated."""
        self._foreign_by_id = dict(foreign)
        self._evicted_by_adapter = {
            adapter: at
            for adapter, at in self._evicted_by_adapter.items()
            if now - at < REPORT_LAG_S
        }
        for adapter in sorted(loaded - self._holdings_by_adapter.keys()):
            # A report older than an eviction still lists what is gone.
            if adapter not in self._evicted_by_adapter and adapter != loading:
                self._holdings_by_adapter[adapter] = Holding(since=now)
        for adapter in list(self._holdings_by_adapter):
            # A report older than a load does not list it yet.
            since = self._holdings_by_adapter[adapter].since
            if adapter in loaded or now - since < REPORT_LAG_S:
                continue
            if not self._serving[adapter]:
                del self._holdings_by_adapter[adapter]

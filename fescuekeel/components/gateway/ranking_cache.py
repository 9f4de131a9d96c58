"""Cache of endpoint rankings by adapter, for the current membership view."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from fescuekeel.components.gateway.routing import rank_reachable_endpoints
from fescuekeel.messages import AdapterRef, LiveEntry, Member

__all__ = ["RankingCache"]

# Some 2 MB with 200 endpoints per pool.
MAX_CACHED_RANKINGS = 1000

Endpoints = Mapping[str, LiveEntry]
Members = Mapping[str, Member]


@dataclass(frozen=True, slots=True)
class RankingKey:
    """Cache key: an adapter in a pool."""

    pool: str
    adapter: AdapterRef


@dataclass(slots=True)
class RankingCache:
    """Rank the endpoints of a pool once per adapter and membership view.

    Views are immutable, so identical mapping objects mean an unchanged view.
    """

    _endpoints_by_id: Endpoints = field(default_factory=dict)
    _members_by_id: Members = field(default_factory=dict)
    _rankings_by_key: dict[RankingKey, Sequence[str]] = field(default_factory=dict)

    def get(
        self,
        pool: str,
        adapter: AdapterRef,
        endpoints_by_id: Endpoints,
        members_by_id: Members,
    ) -> Sequence[str]:
        """Return the ranked endpoints, from the cache if possible."""
        self._clear_if_view_changed(endpoints_by_id, members_by_id)
        key = RankingKey(pool, adapter)
        ranked = self._rankings_by_key.get(key)
        if ranked is not None:
            return ranked
        if len(self._rankings_by_key) >= MAX_CACHED_RANKINGS:
            del self._rankings_by_key[next(iter(self._rankings_by_key))]
        ranked = rank_reachable_endpoints(pool, adapter, endpoints_by_id, members_by_id)
        self._rankings_by_key[key] = ranked
        return ranked

    def _clear_if_view_changed(
        self, endpoints_by_id: Endpoints, members_by_id: Members
    ) -> None:
        same = endpoints_by_id is self._endpoints_by_id
        if same and members_by_id is self._members_by_id:
            return
        self._endpoints_by_id = endpoints_by_id
        self._members_by_id = members_by_id
        self._rankings_by_key.clear()

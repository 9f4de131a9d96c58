"""The order of a pool's endpoints for an adapter, remembered for a view."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from fescuekeel.components.gateway.routing import rank_reachable_endpoints
from fescuekeel.messages import AdapterRef, LiveEntry, Member

__all__ = ["Ranks"]

# At 200 endpoints a pool some 2 MB.
MAX_RANKED = 1000

Endpoints = Mapping[str, LiveEntry]
Members = Mapping[str, Member]


@dataclass(frozen=True, slots=True)
class RankKey:
    """Name an adapter in a pool."""

    pool: str
    adapter: AdapterRef


@dataclass(slots=True)
class Ranks:
    """Hash all endpoints of a pool once for an adapter and a view.

    Views are never changed but replaced, so that the same mappings mean the
    same ranks.
    """

    _endpoints_by_id: Endpoints = field(default_factory=dict)
    _members_by_id: Members = field(default_factory=dict)
    _ranked_by_key: dict[RankKey, Sequence[str]] = field(default_factory=dict)

    def get(
        self,
        pool: str,
        adapter: AdapterRef,
        endpoints_by_id: Endpoints,
        members_by_id: Members,
    ) -> Sequence[str]:
        """Return the endpoints as ``rank_reachable_endpoints`` does."""
        self._take_view(endpoints_by_id, members_by_id)
        key = RankKey(pool, adapter)
        ranked = self._ranked_by_key.get(key)
        if ranked is not None:
            return ranked
        if len(self._ranked_by_key) >= MAX_RANKED:
            del self._ranked_by_key[next(iter(self._ranked_by_key))]
        ranked = rank_reachable_endpoints(pool, adapter, endpoints_by_id, members_by_id)
        self._ranked_by_key[key] = ranked
        return ranked

    def _take_view(self, endpoints_by_id: Endpoints, members_by_id: Members) -> None:
        same = endpoints_by_id is self._endpoints_by_id
        if same and members_by_id is self._members_by_id:
            return
        self._endpoints_by_id = endpoints_by_id
        self._members_by_id = members_by_id
        self._ranked_by_key.clear()

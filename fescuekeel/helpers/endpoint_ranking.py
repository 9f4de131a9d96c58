"""Order in which a pool's endpoints are tried for an adapter."""

from collections.abc import Iterable, Mapping, Sequence

from fescuekeel.messages import AdapterRef, LiveEntry, Member
from fescuekeel.util import rendezvous

__all__ = [
    "find_alternate",
    "put_unreachable_last",
    "rank_endpoints",
    "rank_reachable_endpoints",
]


def rank_endpoints(
    pool: str, adapter: AdapterRef, endpoints_by_id: Mapping[str, LiveEntry]
) -> list[str]:
    """Return a pool's endpoints by rendezvous rank for the adapter.

    >>> from fescuekeel.messages import LiveRole
    >>> entry = LiveEntry("e1", LiveRole.ENDPOINT, "", "dc1", 1, pool="script")
    >>> rank_endpoints("script", AdapterRef("cups", "1"), {"e1": entry})
    ['e1']
    """
    ids = [id for id, entry in endpoints_by_id.items() if entry.pool == pool]
    return rendezvous.rank(str(adapter), ids)


def put_unreachable_last(
    ranked: Iterable[str],
    endpoints_by_id: Mapping[str, LiveEntry],
    members_by_id: Mapping[str, Member],
) -> list[str]:
    """Put endpoints of data centres without a live instance last.

    During a network partition all instances on the other side appear dead, and
    the endpoints there are unreachable, though still ranked.
    """
    live = {member.data_centre for member in members_by_id.values()}
    return sorted(ranked, key=lambda id: endpoints_by_id[id].data_centre not in live)


def rank_reachable_endpoints(
    pool: str,
    adapter: AdapterRef,
    endpoints_by_id: Mapping[str, LiveEntry],
    members_by_id: Mapping[str, Member],
) -> Sequence[str]:
    """Return a pool's endpoints in the order in which they are tried."""
    ranked = rank_endpoints(pool, adapter, endpoints_by_id)
    return put_unreachable_last(ranked, endpoints_by_id, members_by_id)


def find_alternate(endpoint: str, ranked: Sequence[str]) -> str | None:
    """Return the other one of an adapter's first two endpoints.

    >>> find_alternate("e2", ["e1", "e2", "e3"])
    'e1'
    >>> find_alternate("e3", ["e1", "e2", "e3"])
    """
    candidates = ranked[:2]
    if len(candidates) < 2 or endpoint not in candidates:
        return None
    return candidates[1] if endpoint == candidates[0] else candidates[0]

"""Choice of the adapter to evict for another one."""

from collections.abc import Collection, Iterable

from fescuekeel.components.owner.scheduling.holdings import Holdings
from fescuekeel.components.owner.scheduling.popularity import UseEstimate
from fescuekeel.messages import AdapterRef

__all__ = ["choose_least_popular", "list_evictable"]


def list_evictable(
    holdings: Holdings, waiting: Collection[AdapterRef], now: float
) -> list[AdapterRef]:
    """Return the idle adapters that no queued request waits for."""
    return [
        adapter
        for adapter in holdings
        if adapter not in waiting and holdings.is_idle(adapter, now)
    ]


def choose_least_popular(
    adapters: Iterable[AdapterRef], popularity: UseEstimate, now: float
) -> AdapterRef | None:
    """Return the adapter with the lowest popularity."""
    return min(
        adapters,
        key=lambda adapter: (popularity.get_score(adapter, now), adapter),
        default=None,
    )

"""Which loaded adapter has to go for another one."""

from collections.abc import Collection, Iterable

from fescuekeel.components.owner.scheduling.holdings import Holdings
from fescuekeel.components.owner.scheduling.popularity import UseEstimate
from fescuekeel.messages import AdapterRef

__all__ = ["choose_coldest", "list_evictable"]


def list_evictable(
    holdings: Holdings, waiting: Collection[AdapterRef], now: float
) -> list[AdapterRef]:
    """Return what serves nothing and is not waited for."""
    return [
        adapter
        for adapter in holdings
        if adapter not in waiting and holdings.is_idle(adapter, now)
    ]


def choose_coldest(
    adapters: Iterable[AdapterRef], popularity: UseEstimate, now: float
) -> AdapterRef | None:
    """Return the adapter with the latest expected next use."""
    return min(
        adapters,
        key=lambda adapter: (popularity.get_score(adapter, now), adapter),
        default=None,
    )

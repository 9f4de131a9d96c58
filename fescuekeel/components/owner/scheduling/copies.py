"""The choice between an adapter's two candidate endpoints for a load."""

from dataclasses import dataclass

from fescuekeel.components.owner.scheduling.decision import EndpointScheduler
from fescuekeel.messages import AdapterRef

__all__ = ["LoadCandidate", "look", "should_move"]

# Scores of a free slot, and of a slot whose adapter serves and cannot be
# evicted yet. Popularity scores lie between them.
FREE_SCORE = -1.0
BUSY_SCORE = 1e9


@dataclass(frozen=True, slots=True)
class LoadCandidate:
    """An endpoint's state as a candidate for loading an adapter.

    ``held`` means that the adapter is loaded or will be, ``score`` is the
    popularity of the adapter that one more load would evict, and ``queued``
    the number of queued requests.
    """

    held: bool
    score: float
    queued: int


def look(
    scheduler: EndpointScheduler, adapter: AdapterRef, now: float
) -> LoadCandidate | None:
    """Return the endpoint's state, or ``None`` while it is not owned."""
    config = scheduler.config
    if config is None or not config.ready:
        return None
    waiting = scheduler.queue.adapters
    is_pending = adapter in waiting or adapter == scheduler.loading
    held = is_pending or adapter in scheduler.holdings
    score = _get_displaced_score(scheduler, config.slots, now)
    return LoadCandidate(held, score, scheduler.queued_count)


def should_move(here: LoadCandidate, there: LoadCandidate | None) -> bool:
    """Return whether a request that needs a load is redirected.

    It is if the other endpoint holds the adapter, or would evict a less
    popular one. Without an answer from there the request stays.

    >>> here = LoadCandidate(held=False, score=2.0, queued=0)
    >>> should_move(here, LoadCandidate(held=False, score=0.5, queued=3))
    True
    >>> should_move(here, None)
    False
    """
    if here.held or there is None:
        return False
    if there.held:
        return True
    return (there.score, there.queued) < (here.score, here.queued)


def _get_displaced_score(scheduler: EndpointScheduler, slots: int, now: float) -> float:
    """Return the score of what a load behind the pending ones evicts."""
    holdings, waiting = scheduler.holdings, scheduler.queue.adapters
    free = slots - len(holdings)
    ahead = sum(1 for adapter in waiting if holdings.needs_load(adapter))
    if ahead < free:
        return FREE_SCORE
    scores = sorted(
        scheduler.popularity.get_score(adapter, now)
        for adapter in holdings
        if adapter not in waiting and holdings.is_idle(adapter, now)
    )
    index = ahead - free
    return scores[index] if index < len(scores) else BUSY_SCORE

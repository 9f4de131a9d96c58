"""Which of an adapter's two candidate endpoints loads it; pure decisions."""

from dataclasses import dataclass

from fescuekeel.components.owner.scheduling.decision import EndpointScheduler
from fescuekeel.messages import AdapterRef

__all__ = ["Situation", "look", "should_move"]

# A load into a free slot displaces nothing, one into a slot that serves has
# to wait. Popularity scores lie between.
FREE_SCORE = -1.0
BUSY_SCORE = 1e9


@dataclass(frozen=True, slots=True)
class Situation:
    """How an endpoint stands to an adapter.

    ``held`` tells that the adapter is loaded or will be, ``score`` how popular
    the adapter is that one more load would displace, and ``queued`` how many
    requests wait.
    """

    held: bool
    score: float
    queued: int


def look(
    scheduler: EndpointScheduler, adapter: AdapterRef, now: float
) -> Situation | None:
    """Return the situation, or ``None`` while the endpoint is not ours."""
    config = scheduler.config
    if config is None or not config.ready:
        return None
    waiting = scheduler.queue.adapters
    coming = adapter in waiting or adapter == scheduler.loading
    held = coming or adapter in scheduler.holdings
    score = _get_displaced_score(scheduler, config.slots, now)
    return Situation(held, score, scheduler.queued_count)


def should_move(here: Situation, there: Situation | None) -> bool:
    """Tell whether a request that needs a load here goes to the other one.

    It does when the adapter is there already, or when a load there displaces
    what is asked for less often. Without an answer it stays.

    >>> here = Situation(held=False, score=2.0, queued=0)
    >>> should_move(here, Situation(held=False, score=0.5, queued=3))
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
    """Return the score of what a load would displace after those that wait."""
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
    place = ahead - free
    return scores[place] if place < len(scores) else BUSY_SCORE

"""Rank what waits by when it is due and how urgent it is; pure."""

from fescuekeel.components.placement.const import HEAD_START_S

__all__ = ["rank_due"]


def rank_due(on_time_until: float, priority: int) -> float:
    """Return the time by which waiting work is ranked, the earliest first.

    Each step of priority is a head start. Guards against work of a lower
    priority that never has its turn: while urgent work keeps coming, a rank
    by priority alone made a sixth of all summaries wait until they were
    refused, although most could have been in time.

    >>> waiting_long, urgent = rank_due(10.1, 2), rank_due(10.6, 0)
    >>> waiting_long < urgent
    True
    """
    return on_time_until + HEAD_START_S * priority

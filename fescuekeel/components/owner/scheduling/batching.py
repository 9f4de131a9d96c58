"""Delays that let requests form larger batches."""

from fescuekeel.components.owner.scheduling.model import Work

__all__ = ["get_batch_delay_s"]

MOST_URGENT = 0
# The longest delay, as a share of the time from arrival to deadline.
BATCH_DELAY_SHARE = 0.1
MAX_BATCH_DELAY_S = 2.0


def get_batch_delay_s(work: Work) -> float:
    """Return how long a request may be delayed for a batch, in seconds.

    Zero for the most urgent work, and unless its policy weighs batches higher
    than stalls.

    >>> from fescuekeel.messages import AdapterRef
    >>> ref = AdapterRef("report", "1")
    >>> lazy = Work("r1", ref, "s", 2, 0.0, 30.0, 0.0, 1.0, 4.0)
    >>> round(get_batch_delay_s(lazy), 3)
    1.8
    >>> get_batch_delay_s(Work("r2", ref, "s", 0, 0.0, 30.0, 0.0, 1.0, 4.0))
    0.0
    """
    if work.urgency == MOST_URGENT or not work.adapter:
        return 0.0
    total = work.stall_weight + work.batch_weight
    if work.batch_weight <= work.stall_weight or total <= 0:
        return 0.0
    share = (work.batch_weight - work.stall_weight) / total
    return min(
        MAX_BATCH_DELAY_S, BATCH_DELAY_SHARE * share * (work.deadline - work.arrived)
    )

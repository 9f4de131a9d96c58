"""When a request waits for others, so that an engine's steps are fuller."""

from fescuekeel.components.owner.scheduling.model import Work

__all__ = ["get_hold_s"]

MOST_URGENT = 0
# At most this share of its answer time does a request wait for others.
HOLD_SHARE = 0.1
MAX_HOLD_S = 2.0


def get_hold_s(work: Work) -> float:
    """Return for how long a request may wait for others, in seconds.

    Nothing unless batches weigh more than stalls, and nothing for the most
    urgent work.

    >>> from fescuekeel.messages import AdapterRef
    >>> ref = AdapterRef("report", "1")
    >>> lazy = Work("r1", ref, "s", 2, 0.0, 30.0, 0.0, 1.0, 4.0)
    >>> round(get_hold_s(lazy), 3)
    1.8
    >>> get_hold_s(Work("r2", ref, "s", 0, 0.0, 30.0, 0.0, 1.0, 4.0))
    0.0
    """
    if work.urgency == MOST_URGENT or not work.adapter:
        return 0.0
    total = work.stall_weight + work.batch_weight
    if work.batch_weight <= work.stall_weight or total <= 0:
        return 0.0
    share = (work.batch_weight - work.stall_weight) / total
    return min(MAX_HOLD_S, HOLD_SHARE * share * (work.deadline - work.arrived))

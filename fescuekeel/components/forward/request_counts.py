"""Count requests of the last windows, and what their retries may be; pure.

All instances together may retry a share of the requests that callers sent in
a window, or in the window before it. Each instance counts only its own
requests, and callers may move from one instance to another. Each instance
therefore bounds its retries by one weighted sum of its requests in both
windows. These add up to the same weighted sum of all requests, which is at
most the larger of their two numbers.
"""

from collections import deque
from dataclasses import dataclass, field
from itertools import accumulate

from fescuekeel.components.forward.const import RETRY_DELIVERY_S

__all__ = ["RequestCounts"]

SLOTS_PER_WINDOW = 40
# The weight of requests in the current window; those of the window before it
# have the rest. At most one half. An instance that has just started has only
# the former.
CURRENT_WEIGHT = 0.2


@dataclass(slots=True)
class RequestCounts:
    """Requests in slots of a fraction of a window.

    >>> counts = RequestCounts(window_s=10.0)
    >>> for second in range(30):
    ...     counts.record(now=float(second))
    >>> round(counts.count_entitling(now=29.9), 1)
    7.2
    """

    window_s: float
    _counts_by_slot: deque[tuple[int, int]] = field(default_factory=deque)

    def clear(self) -> None:
        """Forget all requests."""
        self._counts_by_slot.clear()

    def record(self, now: float) -> None:
        """Count a request."""
        slot = self._find_slot(now)
        counts = self._counts_by_slot
        if counts and counts[-1][0] == slot:
            counts[-1] = (slot, counts[-1][1] + 1)
            return
        counts.append((slot, 1))
        while counts[0][0] <= slot - 3 * SLOTS_PER_WINDOW:
            counts.popleft()

    def count_entitling(self, now: float) -> float:
        """Return the weighted number of requests that entitle to retries.

        A retry that is sent now may arrive at any place in a window, which
        begins in any slot from a window ago to a short time from now. The
        least favourable one counts.
        """
        latest = self._find_slot(now)
        oldest = latest - 2 * SLOTS_PER_WINDOW
        slots = [0] * (2 * SLOTS_PER_WINDOW + 1)
        for slot, count in self._counts_by_slot:
            if oldest <= slot <= latest:
                slots[slot - oldest] = count
        # totals[n] is the sum of the first n slots.
        totals = [0, *accumulate(slots)]
        delivery_slots = self._count_delivery_slots()
        return min(
            self._weigh(totals, begin)
            for begin in range(SLOTS_PER_WINDOW, 2 * SLOTS_PER_WINDOW + delivery_slots)
        )

    def _weigh(self, totals: list[int], begin: int) -> float:
        """Return the weighted sum for a window that begins within a slot.

        Requests of that slot count with the smaller weight, and those of the
        slot in which the window before begins do not.
        """
        end = len(totals) - 1
        since = totals[min(end, begin)]
        current = totals[end] - since
        before = since - totals[begin - SLOTS_PER_WINDOW + 1]
        return CURRENT_WEIGHT * current + (1 - CURRENT_WEIGHT) * before

    def _find_slot(self, now: float) -> int:
        return int(now * SLOTS_PER_WINDOW / self.window_s)

    def _count_delivery_slots(self) -> int:
        return 1 + int(RETRY_DELIVERY_S * SLOTS_PER_WINDOW / self.window_s)

"""Decide which part of the limits the instances within reach may grant; pure.

In a cut both sides have a home for each account. Each grants as much as it
has of the instances, so that both together grant no more than the limit.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ["FleetShare"]


@dataclass(slots=True)
class FleetShare:
    """Count the instances that are there, and those that may be elsewhere.

    An instance that was lost without word may be alive behind a cut. It
    counts for ``memory_s``, until it has certainly stopped spending.

    >>> share = FleetShare(memory_s=7.0)
    >>> share.take({"i1": 1, "i2": 1}, left=set(), now=0.0)
    >>> share.take({"i1": 1}, left=set(), now=5.0)
    >>> share.read(now=5.0), share.read(now=13.0)
    (0.5, 1.0)
    """

    memory_s: float
    present: set[str] = field(default_factory=set)
    _lost_at_by_id: dict[str, float] = field(default_factory=dict)

    def take(self, members: Mapping[str, object], left: set[str], now: float) -> None:
        """Take the members that are believed alive, and who left in order."""
        for id in self.present - members.keys():
            if id not in left:
                self._lost_at_by_id[id] = now
        self.present = set(members)
        for id in self.present | left:
            self._lost_at_by_id.pop(id, None)

    def count(self, now: float) -> int:
        """Return how many instances may be spending."""
        for id, lost_at in list(self._lost_at_by_id.items()):
            if now - lost_at > self.memory_s:
                del self._lost_at_by_id[id]
        return max(1, len(self.present) + len(self._lost_at_by_id))

    def read(self, now: float) -> float:
        """Return the part of each limit that is granted on this side."""
        return max(1, len(self.present)) / self.count(now)

"""Compute which share of each limit this side of a partition may grant; pure.

In a network partition each side has its own home for every account. Each side
grants in proportion to its number of instances, so that the sides together
stay within the limit.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ["PartitionShare"]


@dataclass(slots=True)
class PartitionShare:
    """Track the reachable instances, and lost ones that may still be running.

    An instance that was lost without announcing its departure may be alive on
    the other side of a partition. It counts for ``lost_ttl_s``, after which it
    has certainly stopped admitting requests.

    >>> share = PartitionShare(lost_ttl_s=7.0)
    >>> share.update_members({"i1": 1, "i2": 1}, left=set(), now=0.0)
    >>> share.update_members({"i1": 1}, left=set(), now=5.0)
    >>> share.compute(now=5.0), share.compute(now=13.0)
    (0.5, 1.0)
    """

    lost_ttl_s: float
    reachable: set[str] = field(default_factory=set)
    _lost_at_by_id: dict[str, float] = field(default_factory=dict)

    def update_members(
        self, members: Mapping[str, object], left: set[str], now: float
    ) -> None:
        """Replace the members; those in ``left`` shut down cleanly."""
        for id in self.reachable - members.keys():
            if id not in left:
                self._lost_at_by_id[id] = now
        self.reachable = set(members)
        for id in self.reachable | left:
            self._lost_at_by_id.pop(id, None)

    def count_instances(self, now: float) -> int:
        """Return how many instances may be admitting requests."""
        for id, lost_at in list(self._lost_at_by_id.items()):
            if now - lost_at > self.lost_ttl_s:
                del self._lost_at_by_id[id]
        return max(1, len(self.reachable) + len(self._lost_at_by_id))

    def compute(self, now: float) -> float:
        """Return the share of each limit that this side may grant."""
        return max(1, len(self.reachable)) / self.count_instances(now)

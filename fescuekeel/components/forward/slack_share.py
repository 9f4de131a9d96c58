"""Compute which part of the retry budget's slack an instance may use; pure.

The slack is divided among data centres first, so that instances of different
data centres need not know each other, and then among the instances of one.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from fescuekeel.components.allowance import PartitionShare
from fescuekeel.components.forward.const import (
    JOIN_DETECTION_S,
    LOST_SLACK_TTL_S,
    MAX_BUDGET_PAUSE_S,
)

__all__ = ["SlackShare"]


@dataclass(slots=True)
class SlackShare:
    """Track how long this instance has run, and who shares the slack with it.

    An instance uses its part only ``settle_s`` after it started or was
    paused. All that use theirs within one window were then running together
    before it began, and know each other: neither two lives of one instance nor
    one that the others have not noticed are among them. Of instances of one
    data centre that cannot reach each other, only those use their part that
    reach more than half of all that may be running. One that leaves counts for
    ``left_ttl_s``: it retries until it ends, and what it sent is in the window
    for longer. ``has_seeds`` says that other instances are expected, so that
    one that knows none is cut off.

    >>> share = SlackShare("dc1", 2, True, settle_s=10.5, started_at=0.0)
    >>> centres_by_id = {"i1": "dc1", "i2": "dc1", "i3": "dc2"}
    >>> share.update_members(centres_by_id, set(), now=0.0)
    >>> share.compute(now=15.0), share.compute(now=16.0)
    (0.0, 0.25)
    """

    data_centre: str
    data_centres: int
    has_seeds: bool
    settle_s: float
    started_at: float
    left_ttl_s: float = 0.0
    _alive_at: float = field(init=False)
    _knows_others: bool = False
    _seen_centres: set[str] = field(default_factory=set)
    _neighbour_ids: dict[str, str] = field(default_factory=dict)
    _left_at_by_id: dict[str, float] = field(default_factory=dict)
    _neighbours: PartitionShare = field(
        default_factory=lambda: PartitionShare(LOST_SLACK_TTL_S)
    )

    def __post_init__(self) -> None:
        """Count this instance's own data centre."""
        self._alive_at = self.started_at
        self._seen_centres.add(self.data_centre)

    def update_members(
        self, data_centres_by_id: Mapping[str, str], left: set[str], now: float
    ) -> None:
        """Replace the members, this one included; ``left`` have shut down."""
        self._seen_centres.update(data_centres_by_id.values())
        self._knows_others = self._knows_others or len(data_centres_by_id) > 1
        self._neighbour_ids = {
            id: centre
            for id, centre in data_centres_by_id.items()
            if centre == self.data_centre
        }
        for id in left:
            self._left_at_by_id.setdefault(id, now)
        for id in data_centres_by_id:
            self._left_at_by_id.pop(id, None)
        self._update_neighbours(now)

    def _update_neighbours(self, now: float) -> None:
        gone = {
            id
            for id, left_at in self._left_at_by_id.items()
            if now - left_at > self.left_ttl_s
        }
        self._neighbours.update_members(self._neighbour_ids, gone, now)
        for id in gone:
            del self._left_at_by_id[id]

    def record_alive(self, now: float) -> bool:
        """Record that this instance runs; return whether it was paused."""
        paused = now - self._alive_at > MAX_BUDGET_PAUSE_S
        if paused:
            self.started_at = now
        self._alive_at = now
        if self._left_at_by_id:
            self._update_neighbours(now)
        return paused

    def compute(self, now: float) -> float:
        """Return the part of the slack, from 0 to 1."""
        if now - self.started_at < self.settle_s + JOIN_DETECTION_S:
            return 0.0
        if self.has_seeds and not self._knows_others:
            return 0.0
        running = self._neighbours.count_instances(now)
        if 2 * len(self._neighbours.reachable) <= running and running > 1:
            return 0.0
        centres = max(self.data_centres, len(self._seen_centres))
        return 1.0 / (centres * running)

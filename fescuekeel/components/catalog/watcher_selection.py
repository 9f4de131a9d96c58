"""Selects the instances that watch the store for their data centre.

Calls to the store are billed and rate-limited, and each change ends the
watches of all instances. So a few instances of each data centre watch, and
the others get the changes from them.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from fescuekeel.components.catalog.const import WATCHERS
from fescuekeel.helpers.freshness import MAX_AGE_S
from fescuekeel.messages import Member
from fescuekeel.util import rendezvous

__all__ = ["WatcherSelection"]

RANK_KEY = "catalog"


@dataclass(slots=True)
class WatcherSelection:
    """Decide whether this instance has to watch the store.

    Watchers are the first instances by rendezvous hashing. Another instance
    relies on one only while the store answers it: with no answer for
    ``silent_s`` at any watcher, it watches itself, and goes on as long as it
    hears of none that is ahead of it in the ranking.

    >>> members = [Member(f"i{number}", "", "dc1", 1) for number in range(9)]
    >>> own = WatcherSelection("i1", "dc1", silent_s=1.4)
    >>> own.must_watch(members, now=0.0)
    True
    >>> own.record_watcher("i2", answered_at=0.0)
    >>> own.must_watch(members, now=0.5), own.must_watch(members, now=5.0)
    (False, True)
    """

    own_id: str
    data_centre: str
    silent_s: float
    _answered_at_by_watcher: dict[str, float] = field(default_factory=dict)
    _ranked_neighbours: list[str] | None = None
    _ranks_by_id: dict[str, int] = field(default_factory=dict)
    _substitutes: bool = False

    def record_watcher(self, peer: str, answered_at: float) -> None:
        """Record when the store answered a peer that watches it."""
        known = self._answered_at_by_watcher.get(peer, float("-inf"))
        self._answered_at_by_watcher[peer] = max(known, answered_at)

    def list_neighbours(self, members: Iterable[Member]) -> list[str]:
        """Return the other instances of the data centre."""
        return [
            member.id
            for member in members
            if member.data_centre == self.data_centre and member.id != self.own_id
        ]

    def must_watch(self, members: Iterable[Member], now: float) -> bool:
        """Return whether this instance has to watch the store.

        Guards against watchers that send news while the store is silent to
        them.
        """
        self._rank(members)
        own_rank = self._ranks_by_id[self.own_id]
        answered = self._list_answered(now)
        if not answered:
            self._substitutes = True
        elif any(self._ranks_by_id.get(peer, own_rank) < own_rank for peer in answered):
            self._substitutes = False
        return own_rank < WATCHERS or self._substitutes

    def get_time_left_s(self, now: float) -> float:
        """Return for how long the known watchers can still be relied on."""
        return max(0.0, self.silent_s - self.get_silence_s(now))

    def get_silence_s(self, now: float) -> float:
        """Return how long ago the store last answered a watcher."""
        latest = max(self._answered_at_by_watcher.values(), default=now - MAX_AGE_S)
        return now - latest

    def _list_answered(self, now: float) -> list[str]:
        """Return the watchers that the store has answered lately."""
        for peer, answered_at in list(self._answered_at_by_watcher.items()):
            if now - answered_at >= self.silent_s:
                del self._answered_at_by_watcher[peer]
        return list(self._answered_at_by_watcher)

    def _rank(self, members: Iterable[Member]) -> None:
        neighbours = self.list_neighbours(members)
        if neighbours == self._ranked_neighbours:
            return
        self._ranked_neighbours = neighbours
        ranked = rendezvous.rank(RANK_KEY, [self.own_id, *neighbours])
        self._ranks_by_id = {id: rank for rank, id in enumerate(ranked)}

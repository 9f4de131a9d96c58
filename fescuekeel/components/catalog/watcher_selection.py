"""Selects the instances that watch the store for their data centre.

Calls to the store are billed and rate-limited, and each change ends the
watches of all instances. So a few instances of each data centre watch, and
the others get the changes from them.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from fescuekeel.components.catalog.const import WATCHER_TIMEOUT_S, WATCHERS
from fescuekeel.messages import Member
from fescuekeel.util import rendezvous

__all__ = ["WatcherSelection"]

RANK_KEY = "catalog"


@dataclass(slots=True)
class WatcherSelection:
    """Decide whether this instance has to watch the store.

    Watchers are the first instances by rendezvous hashing. While no watcher
    is known to be active, every instance watches.

    >>> members = [Member(f"i{number}", "", "dc1", 1) for number in range(9)]
    >>> own = WatcherSelection("i1", "dc1")
    >>> own.must_watch(members, now=0.0)
    True
    >>> own.record_watcher("i2", now=0.0)
    >>> own.must_watch(members, now=0.5), own.must_watch(members, now=5.0)
    (False, True)
    """

    own_id: str
    data_centre: str
    _seen_at_by_watcher: dict[str, float] = field(default_factory=dict)
    _ranked_neighbours: list[str] | None = None
    _is_watcher: bool = True

    def record_watcher(self, peer: str, now: float) -> None:
        """Record that a peer watches the store and gets answers."""
        self._seen_at_by_watcher[peer] = now

    def list_neighbours(self, members: Iterable[Member]) -> list[str]:
        """Return the other instances of the data centre."""
        return [
            member.id
            for member in members
            if member.data_centre == self.data_centre and member.id != self.own_id
        ]

    def must_watch(self, members: Iterable[Member], now: float) -> bool:
        """Return whether this instance has to watch the store.

        Guards against watchers that are members but cannot reach the store:
        they send no news as watchers, and then every instance watches.
        """
        for peer, seen_at in list(self._seen_at_by_watcher.items()):
            if now - seen_at > WATCHER_TIMEOUT_S:
                del self._seen_at_by_watcher[peer]
        if not self._seen_at_by_watcher:
            return True
        neighbours = self.list_neighbours(members)
        if neighbours != self._ranked_neighbours:
            ranked = rendezvous.rank(RANK_KEY, [self.own_id, *neighbours])
            self._ranked_neighbours = neighbours
            self._is_watcher = self.own_id in ranked[:WATCHERS]
        return self._is_watcher

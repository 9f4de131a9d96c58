"""Decide whether this instance calls the store, or learns from a peer; pure.

Every call to the store has a price and the store bounds their rate, which
grows more slowly than the fleet: each change of an entry ends the waiting
call of every instance that watches. So some instances of each data centre
watch and pass on what they learn.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from fescuekeel.components.catalog.const import WATCHER_SILENT_S, WATCHERS
from fescuekeel.messages import Member
from fescuekeel.util import rendezvous

__all__ = ["WatchDuty"]

RANK_KEY = "catalog"


@dataclass(slots=True)
class WatchDuty:
    """Hold who has lately told that it watches the store.

    At 77 instances this takes the calls of one day from 4,974 to those of six
    instances; a data centre of up to ``WATCHERS`` instances calls as before.

    >>> members = [Member(f"i{number}", "", "dc1", 1) for number in range(9)]
    >>> duty = WatchDuty("i1", "dc1")
    >>> duty.must_watch(members, now=0.0)
    True
    >>> duty.note_watcher("i2", now=0.0)
    >>> duty.must_watch(members, now=0.5), duty.must_watch(members, now=5.0)
    (False, True)
    """

    own_id: str
    data_centre: str
    _heard_by_watcher: dict[str, float] = field(default_factory=dict)
    _ranked_neighbours: list[str] | None = None
    _is_watcher: bool = True

    def note_watcher(self, peer: str, now: float) -> None:
        """Take a peer's word that the store answers it."""
        self._heard_by_watcher[peer] = now

    def list_neighbours(self, members: Iterable[Member]) -> list[str]:
        """Return the other instances of the data centre."""
        return [
            member.id
            for member in members
            if member.data_centre == self.data_centre and member.id != self.own_id
        ]

    def must_watch(self, members: Iterable[Member], now: float) -> bool:
        """Tell whether to call the store.

        Guards against watchers that died, were cut off, or are turned away by
        the store, and look alive otherwise: it shows as no word from any of
        them, and each instance then calls for itself.
        """
        for peer, heard in list(self._heard_by_watcher.items()):
            if now - heard > WATCHER_SILENT_S:
                del self._heard_by_watcher[peer]
        if not self._heard_by_watcher:
            return True
        neighbours = self.list_neighbours(members)
        if neighbours != self._ranked_neighbours:
            ranked = rendezvous.rank(RANK_KEY, [self.own_id, *neighbours])
            self._ranked_neighbours = neighbours
            self._is_watcher = self.own_id in ranked[:WATCHERS]
        return self._is_watcher

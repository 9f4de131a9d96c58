"""Decide as one of a key's homes; a pure decision.

This is a safety decision: two requests must not both run under one key. It
rests on overlapping majorities of three homes, of which each decides alone.
"""

from collections import defaultdict

from fescuekeel.components.keys.const import PAGE
from fescuekeel.components.keys.homes import choose_homes
from fescuekeel.components.keys.ledger import Ledger
from fescuekeel.components.keys.universe import Universe
from fescuekeel.errors import ErrorKind, Ran
from fescuekeel.messages import (
    KeyAnswer,
    KeyClaim,
    KeyCopy,
    KeyPull,
    KeyRecord,
    KeySettle,
    LiveList,
)

__all__ = ["KeyHome"]

NOT_HOME = KeyAnswer(False, ErrorKind.KEY_HOME_UNREACHABLE.value)


class KeyHome:
    """Be a home of keys.

    >>> from fescuekeel.messages import LiveEntry, LiveRole
    >>> entry = LiveEntry("i1", LiveRole.INSTANCE, "127.0.0.1:1", "dc1", 1)
    >>> home = KeyHome("i1", "dc1")
    >>> home.take_list(LiveList({"i1": entry}), now=0.0)
    >>> home.find_homes("k", now=0.0)
    ('i1',)
    >>> home.claim(KeyClaim("k", "r1", "d", 600_000, ("i1",)), now=0.0).granted
    True
    """

    def __init__(self, own_id: str, data_centre: str) -> None:
        self._own_id = own_id
        self._data_centre = data_centre
        self._universe = Universe(own_id, data_centre)
        self._ledger = Ledger()
        self._heard: set[str] = set()
        self._leaving = False
        self.ready = False

    def take_list(self, live: LiveList, now: float) -> None:
        """Take the platform's list."""
        self._universe.merge(live, now)
        self._check_ready()

    def tick(self, now: float) -> None:
        """Forget what is over."""
        self._ledger.expire(now)
        self._universe.expire(now)

    def find_homes(self, key: str, now: float) -> tuple[str, ...]:
        """Return the key's homes, or none before the list has been read."""
        if not self._universe.known:
            return ()
        return choose_homes(key, self._universe.get_data_centres())

    def claim(self, claim: KeyClaim, now: float) -> KeyAnswer:
        """Answer a claim.

        Guards against two sets of homes: they show when two instances know
        different lists, and then two majorities need not meet. A home grants
        only what names the same homes as it would itself.
        """
        homes = self.find_homes(claim.key, now)
        known = self._own_id in homes and homes == tuple(claim.homes)
        if not self.ready or not known:
            return NOT_HOME
        return self._ledger.claim(claim, now)

    def settle(self, settle: KeySettle, now: float) -> None:
        """Release or keep a claim."""
        ran = settle.ran != Ran.NO.value
        self._ledger.settle(settle.key, settle.request_id, ran, now)

    # A new home asks, the others answer.

    def list_unheard(self) -> list[str]:
        """Return whom to ask before this instance can be a home.

        Guards against a home that has forgotten: an instance that starts, also
        anew under its old id, knows none of the claims that its place has
        granted. Each other that the list names has to pass on what it holds,
        and counts this one among the homes from then on, so that no majority
        is won without it behind its back.
        """
        if self.ready or not self._universe.known:
            return []
        return [id for id in self._universe.list_others() if id not in self._heard]

    def take_pull(self, sender: str, pull: KeyPull, now: float) -> KeyCopy:
        """Answer a new home, which counts from now on."""
        self._universe.introduce(sender, pull.data_centre, now)
        records = self._ledger.copy(
            lambda key: key > pull.after and sender in self.find_homes(key, now), now
        )
        peers = () if pull.after else self._universe.list_peers(now)
        more = len(records) > PAGE
        return KeyCopy(tuple(records[:PAGE]), more, peers=peers)

    def take_copy(self, sender: str, copy: KeyCopy, now: float) -> None:
        """Take what was pulled from, or passed on by, another instance."""
        self._ledger.absorb(copy.records, now)
        if not self.ready:
            self._universe.take_peers(copy.peers, now)
        if copy.more:
            return
        self._heard.add(sender)
        if copy.leaving:
            self._universe.leave(sender)
        self._check_ready()

    def _check_ready(self) -> None:
        if self._universe.known and not self.list_unheard():
            self.ready = True

    # A home that leaves passes its claims on.

    def leave(self, now: float) -> dict[str, list[KeyCopy]]:
        """Grant nothing more; return what to tell each other instance.

        Each claim goes to the homes that it will have without this one.
        """
        if self._leaving:
            return {}
        self._leaving = True
        self._universe.leave(self._own_id)
        records_by_id: defaultdict[str, list[KeyRecord]] = defaultdict(list)
        for record in self._ledger.copy(lambda key: True, now):
            for home in self.find_homes(record.key, now):
                records_by_id[home].append(record)
        return {
            id: _paginate(records_by_id[id]) for id in self._universe.get_data_centres()
        }


def _paginate(records: list[KeyRecord]) -> list[KeyCopy]:
    pages = [
        KeyCopy(tuple(records[start : start + PAGE]), more=True)
        for start in range(0, len(records), PAGE)
    ]
    return [*pages, KeyCopy(leaving=True)]

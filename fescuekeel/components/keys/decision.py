"""Decide on claims as one of a key's homes; pure.

Safety condition: no two requests may run under one key. It holds because any
two majorities of a key's three homes overlap, and each home decides alone.
"""

from collections import defaultdict

from fescuekeel.components.keys.candidates import HomeCandidates
from fescuekeel.components.keys.const import PAGE_RECORDS
from fescuekeel.components.keys.homes import choose_homes
from fescuekeel.components.keys.ledger import Ledger
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
    """Decide on claims of the keys whose home is this instance.

    >>> from fescuekeel.messages import LiveEntry, LiveRole
    >>> entry = LiveEntry("i1", LiveRole.INSTANCE, "127.0.0.1:1", "dc1", 1)
    >>> home = KeyHome("i1", "dc1")
    >>> home.apply_list(LiveList({"i1": entry}), now=0.0)
    >>> home.find_homes("k", now=0.0)
    ('i1',)
    >>> home.claim(KeyClaim("k", "r1", "d", 600_000, ("i1",)), now=0.0).granted
    True
    """

    def __init__(self, own_id: str, data_centre: str) -> None:
        self._own_id = own_id
        self._data_centre = data_centre
        self._candidates = HomeCandidates(own_id, data_centre)
        self._ledger = Ledger()
        self._synced_ids: set[str] = set()
        self._leaving = False
        self.ready = False

    def apply_list(self, live: LiveList, now: float) -> None:
        """Apply the platform's list of live instances."""
        self._candidates.merge_list(live, now)
        self._check_ready()

    def tick(self, now: float) -> None:
        """Remove expired claims and instances."""
        self._ledger.expire(now)
        self._candidates.expire(now)

    def find_homes(self, key: str, now: float) -> tuple[str, ...]:
        """Return the key's homes, or none before the list is known."""
        if not self._candidates.has_list:
            return ()
        return choose_homes(key, self._candidates.get_data_centres())

    def claim(self, claim: KeyClaim, now: float) -> KeyAnswer:
        """Answer a claim.

        Grants only if this instance chooses the same homes as the claim names.
        Instances that know different lists may choose different homes, whose
        majorities need not overlap.
        """
        homes = self.find_homes(claim.key, now)
        is_home = self._own_id in homes and homes == tuple(claim.homes)
        if not self.ready or not is_home:
            return NOT_HOME
        return self._ledger.claim(claim, now)

    def settle(self, settle: KeySettle, now: float) -> None:
        """Release the claim, or mark the key as used."""
        ran = settle.ran != Ran.NO.value
        self._ledger.settle(settle.key, settle.request_id, ran, now)

    # Synchronisation of a new home.

    def list_unsynced(self) -> list[str]:
        """Return the instances to pull from before this one may grant.

        An instance that starts, or restarts under its old id, does not know
        which claims it has granted. Each listed instance has to send its
        claims first, and counts this one as a home from then on, so that no
        majority can bypass it.
        """
        if self.ready or not self._candidates.has_list:
            return []
        return [
            id
            for id in self._candidates.list_listed_others()
            if id not in self._synced_ids
        ]

    def handle_pull(self, sender: str, pull: KeyPull, now: float) -> KeyCopy:
        """Answer a new home's pull, and count it as a home from now on."""
        self._candidates.add_announced(sender, pull.data_centre, now)
        records = self._ledger.export_records(
            lambda key: key > pull.after and sender in self.find_homes(key, now), now
        )
        peers = () if pull.after else self._candidates.export_peers(now)
        more = len(records) > PAGE_RECORDS
        return KeyCopy(tuple(records[:PAGE_RECORDS]), more, peers=peers)

    def apply_copy(self, sender: str, copy: KeyCopy, now: float) -> None:
        """Merge claims pulled from, or handed over by, another instance."""
        self._ledger.merge_records(copy.records, now)
        if not self.ready:
            self._candidates.merge_peers(copy.peers, now)
        if copy.more:
            return
        self._synced_ids.add(sender)
        if copy.leaving:
            self._candidates.mark_left(sender)
        self._check_ready()

    def _check_ready(self) -> None:
        if self._candidates.has_list and not self.list_unsynced():
            self.ready = True

    # Handover when this home leaves.

    def hand_over(self, now: float) -> dict[str, list[KeyCopy]]:
        """Stop granting; return the copies to send to each other instance.

        Each claim goes to the key's homes without this instance.
        """
        if self._leaving:
            return {}
        self._leaving = True
        self._candidates.mark_left(self._own_id)
        records_by_id: defaultdict[str, list[KeyRecord]] = defaultdict(list)
        for record in self._ledger.export_records(lambda key: True, now):
            for home in self.find_homes(record.key, now):
                records_by_id[home].append(record)
        return {
            id: _paginate(records_by_id[id])
            for id in self._candidates.get_data_centres()
        }


def _paginate(records: list[KeyRecord]) -> list[KeyCopy]:
    pages = [
        KeyCopy(tuple(records[start : start + PAGE_RECORDS]), more=True)
        for start in range(0, len(records), PAGE_RECORDS)
    ]
    return [*pages, KeyCopy(leaving=True)]

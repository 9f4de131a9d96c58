"""The instances from which homes are chosen."""

from collections.abc import Iterable
from dataclasses import dataclass

from fescuekeel.components.keys.const import DELISTED_HOLD_S, MAX_LEFT_INSTANCES
from fescuekeel.messages import KeyPeer, LiveList, LiveRole

__all__ = ["HomeCandidates"]


@dataclass(slots=True)
class Candidate:
    """One instance; ``last_seen`` is when it was last listed or pulled."""

    data_centre: str
    incarnation: int
    last_seen: float
    listed: bool


class HomeCandidates:
    """Track the listed instances, new ones, and those recently delisted.

    Homes are not chosen from the failure detector's view, as the two sides of
    a partition would choose different ones. An instance that is not listed yet
    counts once it has pulled claims. A delisted one counts until the claims
    that it may have granted have expired, unless it has handed them over.
    """

    def __init__(self, own_id: str, data_centre: str) -> None:
        self._own_id = own_id
        self._data_centre = data_centre
        self._candidates_by_id: dict[str, Candidate] = {}
        self._left_incarnations_by_id: dict[str, int] = {}
        self.has_list = False

    def merge_list(self, live: LiveList, now: float) -> None:
        """Apply the platform's list.

        An empty list is ignored: it means that the platform has no data, not
        that this instance is the only one.
        """
        listed = {
            entry.id: entry
            for entry in live.entries_by_id.values()
            if entry.role is LiveRole.INSTANCE
        }
        if not listed:
            return
        self.has_list = True
        for candidate in self._candidates_by_id.values():
            candidate.listed = False
        for id, entry in listed.items():
            left = self._left_incarnations_by_id.get(id)
            if left is not None and entry.incarnation <= left:
                continue
            self._left_incarnations_by_id.pop(id, None)
            self._candidates_by_id[id] = Candidate(
                entry.data_centre, entry.incarnation, now, True
            )

    def add_announced(self, id: str, data_centre: str, now: float) -> None:
        """Add an instance that has announced itself by pulling claims."""
        self._left_incarnations_by_id.pop(id, None)
        candidate = self._candidates_by_id.get(id)
        if candidate is None:
            self._candidates_by_id[id] = Candidate(data_centre, 0, now, False)
            return
        candidate.last_seen = now

    def mark_left(self, id: str, incarnation: int = 0) -> None:
        """Remove an instance that has handed its claims over."""
        candidate = self._candidates_by_id.pop(id, None)
        previous = self._left_incarnations_by_id.pop(id, 0)
        if candidate is not None:
            incarnation = max(incarnation, candidate.incarnation)
        self._left_incarnations_by_id[id] = max(incarnation, previous)
        if len(self._left_incarnations_by_id) > MAX_LEFT_INSTANCES:
            oldest = next(iter(self._left_incarnations_by_id))
            del self._left_incarnations_by_id[oldest]

    def export_peers(self, now: float) -> tuple[KeyPeer, ...]:
        """Return all candidates and left instances, for a new home."""
        present = [
            KeyPeer(
                id,
                candidate.data_centre,
                candidate.incarnation,
                False,
                0 if candidate.listed else int((now - candidate.last_seen) * 1000),
            )
            for id, candidate in self._candidates_by_id.items()
        ]
        left = [
            KeyPeer(id, "", incarnation, True, 0)
            for id, incarnation in self._left_incarnations_by_id.items()
        ]
        return (*present, *left)

    def merge_peers(self, peers: Iterable[KeyPeer], now: float) -> None:
        """Add the candidates of another instance.

        Guards against homes that stay different: a new instance has no other
        way to know the delisted ones that still count elsewhere.
        """
        for peer in peers:
            if peer.id == self._own_id:
                continue
            candidate = self._candidates_by_id.get(peer.id)
            if peer.left:
                if candidate is None or candidate.incarnation <= peer.incarnation:
                    self.mark_left(peer.id, peer.incarnation)
            elif candidate is None and peer.id not in self._left_incarnations_by_id:
                last_seen = now - peer.unseen_ms / 1000
                self._candidates_by_id[peer.id] = Candidate(
                    peer.data_centre, peer.incarnation, last_seen, False
                )

    def expire(self, now: float) -> None:
        """Remove instances that were delisted DELISTED_HOLD_S ago."""
        for id, candidate in list(self._candidates_by_id.items()):
            if candidate.listed:
                candidate.last_seen = now
            elif now - candidate.last_seen > DELISTED_HOLD_S:
                del self._candidates_by_id[id]

    def list_listed_others(self) -> list[str]:
        """Return the other instances that are listed."""
        return [
            id
            for id, candidate in self._candidates_by_id.items()
            if candidate.listed and id != self._own_id
        ]

    def get_data_centres(self) -> dict[str, str]:
        """Return the data centre of each candidate, by id."""
        data_centres_by_id = {
            id: candidate.data_centre
            for id, candidate in self._candidates_by_id.items()
        }
        if self._own_id not in self._left_incarnations_by_id:
            data_centres_by_id[self._own_id] = self._data_centre
        return data_centres_by_id

"""Which instances count when homes are chosen."""

from collections.abc import Iterable
from dataclasses import dataclass

from fescuekeel.components.keys.const import HOLD_S, MAX_HELD
from fescuekeel.messages import KeyPeer, LiveList, LiveRole

__all__ = ["Universe"]


@dataclass(slots=True)
class Known:
    """One instance; ``seen`` is when it was last listed or told of itself."""

    data_centre: str
    incarnation: int
    seen: float
    listed: bool


class Universe:
    """Hold the instances of the platform's list, and some more.

    Not the view by probes: a cut would give its two sides two sets of homes.
    An instance that is new counts as soon as it has told of itself, though
    the list lags. One that the list drops counts on until the claims that it
    may have granted have ended, unless it has passed them on itself.
    """

    def __init__(self, own_id: str, data_centre: str) -> None:
        self._own_id = own_id
        self._data_centre = data_centre
        self._known_by_id: dict[str, Known] = {}
        self._left_incarnations_by_id: dict[str, int] = {}
        self.known = False

    def merge(self, live: LiveList, now: float) -> None:
        """Take the platform's list.

        An empty one says that the platform knows nothing, not that this
        instance is alone.
        """
        listed = {
            entry.id: entry
            for entry in live.entries_by_id.values()
            if entry.role is LiveRole.INSTANCE
        }
        if not listed:
            return
        self.known = True
        for known in self._known_by_id.values():
            known.listed = False
        for id, entry in listed.items():
            left = self._left_incarnations_by_id.get(id)
            if left is not None and entry.incarnation <= left:
                continue
            self._left_incarnations_by_id.pop(id, None)
            self._known_by_id[id] = Known(
                entry.data_centre, entry.incarnation, now, True
            )

    def introduce(self, id: str, data_centre: str, now: float) -> None:
        """Count an instance that has told of itself."""
        self._left_incarnations_by_id.pop(id, None)
        known = self._known_by_id.get(id)
        if known is None:
            self._known_by_id[id] = Known(data_centre, 0, now, False)
            return
        known.seen = now

    def leave(self, id: str, incarnation: int = 0) -> None:
        """Count an instance no more: it has passed its claims on."""
        known = self._known_by_id.pop(id, None)
        before = self._left_incarnations_by_id.pop(id, 0)
        if known is not None:
            incarnation = max(incarnation, known.incarnation)
        self._left_incarnations_by_id[id] = max(incarnation, before)
        if len(self._left_incarnations_by_id) > MAX_HELD:
            oldest = next(iter(self._left_incarnations_by_id))
            del self._left_incarnations_by_id[oldest]

    def list_peers(self, now: float) -> tuple[KeyPeer, ...]:
        """Return what counts here, for a new home."""
        present = [
            KeyPeer(
                id,
                known.data_centre,
                known.incarnation,
                False,
                0 if known.listed else int((now - known.seen) * 1000),
            )
            for id, known in self._known_by_id.items()
        ]
        left = [
            KeyPeer(id, "", incarnation, True, 0)
            for id, incarnation in self._left_incarnations_by_id.items()
        ]
        return (*present, *left)

    def take_peers(self, peers: Iterable[KeyPeer], now: float) -> None:
        """Count what counts at another instance.

        Guards against homes that differ for long: those that the list has
        dropped count on elsewhere, and a new home could not know them.
        """
        for peer in peers:
            if peer.id == self._own_id:
                continue
            known = self._known_by_id.get(peer.id)
            if peer.left:
                if known is None or known.incarnation <= peer.incarnation:
                    self.leave(peer.id, peer.incarnation)
            elif known is None and peer.id not in self._left_incarnations_by_id:
                seen = now - peer.unseen_ms / 1000
                self._known_by_id[peer.id] = Known(
                    peer.data_centre, peer.incarnation, seen, False
                )

    def expire(self, now: float) -> None:
        """Count no more those that the list has long dropped."""
        for id, known in list(self._known_by_id.items()):
            if known.listed:
                known.seen = now
            elif now - known.seen > HOLD_S:
                del self._known_by_id[id]

    def list_others(self) -> list[str]:
        """Return the other instances that the list names."""
        return [
            id
            for id, known in self._known_by_id.items()
            if known.listed and id != self._own_id
        ]

    def get_data_centres(self) -> dict[str, str]:
        """Return all that count, with their data centres."""
        ids = {id: known.data_centre for id, known in self._known_by_id.items()}
        if self._own_id not in self._left_incarnations_by_id:
            ids[self._own_id] = self._data_centre
        return ids

"""The published items known to this instance, merged by position."""

from collections.abc import Iterable

from fescuekeel.components.catalog.const import MAX_REMOVED, SETTLE_S
from fescuekeel.helpers.published import BEGINNING, Position, PublishedItem

__all__ = ["ItemStore"]


class ItemStore:
    """Hold the latest item of each key, removed keys included.

    ``position`` is that up to which all changes are known, removals only
    after ``removals_known_from``, as a listing does not show them. Items may
    come from the store and from peers in any order: the later one wins.

    The store may come back from an older copy, in a new era. An item that is
    read then may be the copy's, so that an item of an earlier era with a
    higher revision is kept in its place, for ``SETTLE_S``: by then all that
    was lost has been written again, and entries of endpoints that ended have
    expired. ``first_revision`` is the lowest that is known of the store in
    its era: what has a higher one was written since.

    >>> store = ItemStore()
    >>> store.merge([PublishedItem("a", 5, b"new")], Position(0, 5), now=0.0)
    ['a']
    >>> store.merge([PublishedItem("a", 3, b"old")], Position(0, 4), now=0.0)
    []
    >>> store.items_by_key["a"].value, str(store.position)
    (b'new', '5')
    """

    def __init__(self) -> None:
        self.items_by_key: dict[str, PublishedItem] = {}
        # Items of the current era that an earlier one is kept in place of.
        self.copied_by_key: dict[str, PublishedItem] = {}
        self.position = BEGINNING
        self.removals_known_from = BEGINNING
        self.first_revision = 0
        self._unsettled_since: float | None = None
        self._came_back = False
        self._accepted: list[PublishedItem] = []
        self._newly_copied: list[PublishedItem] = []

    @property
    def revision(self) -> int:
        """Return the revision up to which all changes are known."""
        return self.position.revision

    @property
    def is_settled(self) -> bool:
        """Return whether what a copy of the store lacked is known again.

        What the first listing shows is no copy as far as is known here.
        """
        return self._unsettled_since is None or not self._came_back

    def merge(
        self, items: Iterable[PublishedItem], position: Position, now: float
    ) -> list[str]:
        """Merge the changes up to a position; return the keys that changed."""
        self.enter_era(position, now)
        changed = [item.key for item in items if self._put(item)]
        self.position = max(self.position, position)
        self._prune_removed()
        return changed

    def merge_listing(
        self, items: Iterable[PublishedItem], position: Position, now: float
    ) -> list[str]:
        """Merge a listing; return the keys that changed.

        ``position`` is the store's at the first page. Pages are no snapshot:
        a missing key counts as removed only if its known position is not
        above it, and later changes still have to be watched.
        """
        self.enter_era(position, now)
        listed = list(items)
        seen = {item.key for item in listed}
        changed = [item.key for item in listed if self._put(item)]
        for key in self.copied_by_key.keys() - seen:
            del self.copied_by_key[key]
        for item in list(self.items_by_key.values()):
            missing = item.value is not None and item.key not in seen
            if missing and item.position <= position:
                self._remove(item.key, position)
                changed.append(item.key)
        self.position = max(self.position, position)
        self.removals_known_from = max(self.removals_known_from, position)
        return changed

    def enter_era(self, position: Position, now: float) -> None:
        """Record that the store was at a position."""
        if position.era > self.position.era:
            self._came_back = self.position != BEGINNING
            self.position = Position(position.era, 0)
            self.copied_by_key.clear()
            self.first_revision = position.revision
            self._unsettled_since = now
        elif position.era == self.position.era:
            self.first_revision = min(self.first_revision, position.revision)

    def take_accepted(self) -> list[PublishedItem]:
        """Return the items that were accepted since the last call, in order.

        There may be several of a key: an endpoint that leaves and has ended.
        """
        items, self._accepted = self._accepted, []
        return items

    def take_newly_copied(self) -> list[PublishedItem]:
        """Return the items read since the last call that are not believed.

        Their values may still tell what no copy can take back.
        """
        items, self._newly_copied = self._newly_copied, []
        return items

    def settle(self, now: float) -> list[str]:
        """End what was kept for long enough; return the keys that changed."""
        since = self._unsettled_since
        if since is None or now - since < SETTLE_S:
            return []
        self._unsettled_since = None
        copied, self.copied_by_key = self.copied_by_key, {}
        for item in copied.values():
            self._accept(item)
        return list(copied)

    def list_since(self, position: Position) -> tuple[PublishedItem, ...]:
        """Return the items changed after a position, removals included."""
        return tuple(
            item for item in self.items_by_key.values() if item.position > position
        )

    def list_all(self) -> tuple[PublishedItem, ...]:
        """Return all items that are not removed, and what is kept of them."""
        known = (
            item
            for item in self.items_by_key.values()
            if item.value is not None or item.key in self.copied_by_key
        )
        return (*known, *self.copied_by_key.values())

    def _put(self, item: PublishedItem) -> bool:
        known = self.items_by_key.get(item.key)
        if self._was_removed(item):
            return False
        if known is None:
            self._accept(item)
            return True
        if item.position == known.position:
            return False
        earlier, later = sorted((item, known), key=_read_position)
        if self._may_be_copied(later, earlier):
            copied = self.copied_by_key.get(item.key, later)
            self.copied_by_key[item.key] = max(copied, later, key=_read_position)
            if later is item:
                self._newly_copied.append(item)
                return False
            self._accept(item)
            return True
        if later is known:
            return False
        self.copied_by_key.pop(item.key, None)
        self._accept(item)
        return True

    def _accept(self, item: PublishedItem) -> None:
        self.items_by_key[item.key] = item
        self._accepted.append(item)

    def _was_removed(self, item: PublishedItem) -> bool:
        """Return whether a later listing has shown that an item is gone.

        Guards against a peer that is behind, and sends what it still has.
        """
        known = self.items_by_key.get(item.key)
        copied = self.copied_by_key.get(item.key)
        era = self.position.era
        is_known = any(each is not None and each.era == era for each in (known, copied))
        return (
            not is_known
            and item.era == era
            and item.position <= self.removals_known_from
        )

    def _may_be_copied(self, later: PublishedItem, earlier: PublishedItem) -> bool:
        """Return whether an item of a later era may be the older one.

        Within the copy revisions are those of the earlier era, so that they
        are compared without their eras here.
        """
        return (
            self._unsettled_since is not None
            and earlier.era < later.era == self.position.era
            and later.revision < earlier.revision
            and later.revision <= self.first_revision
        )

    def _remove(self, key: str, position: Position) -> None:
        self.copied_by_key.pop(key, None)
        self._accept(PublishedItem(key, position.revision, None, position.era))

    def _prune_removed(self) -> None:
        removed = [item for item in self.items_by_key.values() if item.value is None]
        if len(removed) <= MAX_REMOVED:
            return
        removed.sort(key=_read_position)
        for item in removed[: len(removed) - MAX_REMOVED // 2]:
            del self.items_by_key[item.key]
            self.removals_known_from = max(self.removals_known_from, item.position)


def _read_position(item: PublishedItem) -> Position:
    return item.position

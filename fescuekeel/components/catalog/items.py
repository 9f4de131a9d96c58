"""The published items known to this instance, merged by revision."""

from collections.abc import Iterable

from fescuekeel.components.catalog.const import MAX_REMOVED
from fescuekeel.helpers.published import PublishedItem

__all__ = ["ItemStore"]


class ItemStore:
    """Hold the latest item of each key, removed keys included.

    ``revision`` is that up to which all changes are known, removals only
    after ``removals_known_from``, as a listing does not show them. Items may
    come from the store and from peers in any order: the higher revision wins.

    >>> store = ItemStore()
    >>> store.merge([PublishedItem("a", 5, b"new")], 5)
    ['a']
    >>> store.merge([PublishedItem("a", 3, b"old")], 4)
    []
    >>> store.items_by_key["a"].value, store.revision
    (b'new', 5)
    """

    def __init__(self) -> None:
        self.items_by_key: dict[str, PublishedItem] = {}
        self.revision = 0
        self.removals_known_from = 0

    def merge(self, items: Iterable[PublishedItem], revision: int) -> list[str]:
        """Merge the changes up to a revision; return the keys that changed."""
        changed = [item.key for item in items if self._put(item)]
        self.revision = max(self.revision, revision)
        self._prune_removed()
        return changed

    def merge_listing(
        self, items: Iterable[PublishedItem], listing_revision: int
    ) -> list[str]:
        """Merge a listing; return the keys that changed.

        ``listing_revision`` is the store's revision at the first page. Pages
        are no snapshot: a missing key counts as removed only if its known
        revision is not above it, and later changes still have to be watched.
        """
        listed = list(items)
        seen = {item.key for item in listed}
        changed = [item.key for item in listed if self._put(item)]
        for item in list(self.items_by_key.values()):
            missing = item.value is not None and item.key not in seen
            if missing and item.revision <= listing_revision:
                self._put(
                    PublishedItem(item.key, listing_revision, None), replace_equal=True
                )
                changed.append(item.key)
        self.revision = max(self.revision, listing_revision)
        self.removals_known_from = max(self.removals_known_from, listing_revision)
        return changed

    def list_since(self, revision: int) -> tuple[PublishedItem, ...]:
        """Return the items changed after a revision, removals included."""
        return tuple(
            item for item in self.items_by_key.values() if item.revision > revision
        )

    def list_all(self) -> tuple[PublishedItem, ...]:
        """Return all items that are not removed."""
        return tuple(
            item for item in self.items_by_key.values() if item.value is not None
        )

    def _put(self, item: PublishedItem, replace_equal: bool = False) -> bool:
        known = self.items_by_key.get(item.key)
        if known is not None:
            older = item.revision < known.revision
            same = item.revision == known.revision and not replace_equal
            if older or same:
                return False
        self.items_by_key[item.key] = item
        return True

    def _prune_removed(self) -> None:
        removed = [item for item in self.items_by_key.values() if item.value is None]
        if len(removed) <= MAX_REMOVED:
            return
        removed.sort(key=lambda item: item.revision)
        for item in removed[: len(removed) - MAX_REMOVED // 2]:
            del self.items_by_key[item.key]
            self.removals_known_from = max(self.removals_known_from, item.revision)

"""The published items that this instance knows, merged by revision."""

from collections.abc import Iterable

from fescuekeel.components.catalog.const import MAX_REMOVED
from fescuekeel.helpers.published import PublishedItem

__all__ = ["ItemStore"]


class ItemStore:
    """Hold the latest state of each key and up to where it is complete.

    Every removal after ``removals_known_from`` is known here: a listing shows
    what there is, not what has gone before it.

    Items may come from the store, from a peer or from both, in any order:
    since each change has a revision of its own, the higher one is the later.

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
        """Merge all changes up to a revision; return the keys that changed."""
        changed = [item.key for item in items if self._put(item)]
        self.revision = max(self.revision, revision)
        self._forget_removed()
        return changed

    def merge_listing(self, items: Iterable[PublishedItem], first: int) -> list[str]:
        """Merge a listing; return the keys that changed.

        ``first`` is the store's revision at its first page. Pages are no
        snapshot: a key that is missing was removed only if what is known of
        it is not younger than the first page, and what has changed since then
        is still to be watched for.
        """
        listed = list(items)
        seen = {item.key for item in listed}
        changed = [item.key for item in listed if self._put(item)]
        for item in list(self.items_by_key.values()):
            lost = item.value is not None and item.key not in seen
            if lost and item.revision <= first:
                self._put(PublishedItem(item.key, first, None), even=True)
                changed.append(item.key)
        self.revision = max(self.revision, first)
        self.removals_known_from = max(self.removals_known_from, first)
        return changed

    def list_since(self, revision: int) -> tuple[PublishedItem, ...]:
        """Return what has changed after a revision."""
        return tuple(
            item for item in self.items_by_key.values() if item.revision > revision
        )

    def list_all(self) -> tuple[PublishedItem, ...]:
        """Return all that is published."""
        return tuple(
            item for item in self.items_by_key.values() if item.value is not None
        )

    def _put(self, item: PublishedItem, even: bool = False) -> bool:
        known = self.items_by_key.get(item.key)
        if known is not None:
            older = item.revision < known.revision
            same = item.revision == known.revision and not even
            if older or same:
                return False
        self.items_by_key[item.key] = item
        return True

    def _forget_removed(self) -> None:
        removed = [item for item in self.items_by_key.values() if item.value is None]
        if len(removed) <= MAX_REMOVED:
            return
        removed.sort(key=lambda item: item.revision)
        for item in removed[: len(removed) - MAX_REMOVED // 2]:
            del self.items_by_key[item.key]
            self.removals_known_from = max(self.removals_known_from, item.revision)

"""Decide which call to the platform's store comes next, and when."""

from dataclasses import dataclass, field

from fescuekeel.components.catalog.const import (
    FIRST_RETRY_S,
    LAST_RETRY_S,
    LIST_TIMEOUT_S,
    READ_TIMEOUT_S,
    RETRY_FACTOR,
    WATCH_WAIT_S,
)
from fescuekeel.components.catalog.items import ItemStore
from fescuekeel.helpers.dialect import SourceReply, SourceStatus
from fescuekeel.helpers.published import PublishedItem

__all__ = ["Follower", "ListPage", "WatchChanges"]


@dataclass(frozen=True, slots=True)
class ListPage:
    """Read the page of all that is published after a key."""

    after_key: str
    timeout_s: float = LIST_TIMEOUT_S


@dataclass(frozen=True, slots=True)
class WatchChanges:
    """Wait for changes after a revision."""

    after_revision: int
    wait_s: float = WATCH_WAIT_S
    timeout_s: float = WATCH_WAIT_S + READ_TIMEOUT_S


@dataclass(slots=True)
class Follower:
    """Follow the store: list once, then watch; begin anew on lost history.

    ``gather_s`` is the pause after changes and ``wait_s`` how long a
    watch waits for them. ``away`` says that the store's
    last call failed, and ``returned_revision`` is the store's revision when it
    answered again: what was removed up to it may have lapsed while the store
    was away. The first listing counts as a return, since nothing is known of
    the time before.

    >>> follower = Follower(ItemStore())
    >>> follower.plan()
    ListPage(after_key='', timeout_s=2.0)
    >>> follower.take(SourceReply(SourceStatus.OK, (), 7))
    []
    >>> follower.plan().after_revision
    7
    """

    store: ItemStore
    gather_s: float = 0.0
    wait_s: float = WATCH_WAIT_S
    away: bool = True
    returned_revision: int = 0
    pause_s: float = 0.0
    _listing: list[PublishedItem] | None = field(default_factory=list)
    _listed_from: int = 0
    _failures: int = 0

    def plan(self) -> ListPage | WatchChanges:
        """Return the next call, to be made after ``pause_s``."""
        if self._listing is None:
            timeout_s = self.wait_s + READ_TIMEOUT_S
            return WatchChanges(self.store.revision, self.wait_s, timeout_s)
        return ListPage(self._listing[-1].key if self._listing else "")

    def take(self, reply: SourceReply) -> list[str]:
        """Take an answer; return the keys that changed."""
        if reply.status is SourceStatus.TURNED_AWAY:
            self.fail()
            return []
        if self.away:
            self.away = False
            self.returned_revision = reply.revision
        self._failures = 0
        if reply.status is SourceStatus.HISTORY_LOST:
            self._listing = []
            self.pause_s = 0.0
            return []
        if self._listing is not None:
            return self._take_page(self._listing, reply)
        self.pause_s = self.gather_s if reply.items else 0.0
        return self.store.merge(reply.items, reply.revision)

    def _take_page(self, listing: list[PublishedItem], reply: SourceReply) -> list[str]:
        if not listing:
            self._listed_from = reply.revision
        listing.extend(reply.items)
        self.pause_s = 0.0
        if reply.more and reply.items:
            return []
        self._listing = None
        return self.store.merge_listing(listing, self._listed_from)

    def fail(self) -> None:
        """Note that a call was refused, lost or not answered in time."""
        self.away = True
        self.pause_s = min(
            LAST_RETRY_S, FIRST_RETRY_S * RETRY_FACTOR ** min(self._failures, 8)
        )
        self._failures += 1
        # Pages of before and after an outage are not put together.
        if self._listing is not None:
            self._listing = []

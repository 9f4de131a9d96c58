"""Chooses the next call to the platform's store, and when to make it."""

import math
from dataclasses import dataclass, field, replace

from fescuekeel.components.catalog.const import (
    EARLY_SHARE,
    LAPSE_BATCH_DELAY_S,
    LIST_TIMEOUT_S,
    MAX_RETRY_S,
    MIN_LAPSE_OUTAGE_S,
    MIN_RETRY_S,
    READ_TIMEOUT_S,
    RETRY_FACTOR,
    WATCH_WAIT_S,
)
from fescuekeel.components.catalog.items import ItemStore
from fescuekeel.components.catalog.timing import WatchTiming
from fescuekeel.helpers.dialect import StoreReply, StoreStatus
from fescuekeel.helpers.published import BEGINNING, Position, PublishedItem

__all__ = ["Follower", "ListPage", "WatchChanges", "mark_era"]


@dataclass(frozen=True, slots=True)
class ListPage:
    """List a page of the published items, after a key."""

    after_key: str
    timeout_s: float = LIST_TIMEOUT_S


@dataclass(frozen=True, slots=True)
class WatchChanges:
    """Watch for changes after a position."""

    after: Position
    wait_s: float = WATCH_WAIT_S
    timeout_s: float = WATCH_WAIT_S + READ_TIMEOUT_S

    @property
    def after_revision(self) -> int:
        """Return the revision to name in the call."""
        return self.after.revision


@dataclass(slots=True)
class Follower:
    """List the store once, then watch it; list again if history is lost.

    History is lost as well if the store comes back from an older copy, which
    shows in a higher era. ``unavailable`` says that the last call failed, and
    ``recovery_position`` is the store's when it answered again: entries
    removed up to it may have expired during the outage, or be missing in the
    copy. The first listing counts as a recovery, since nothing is known of the
    time before, unless a peer has read the store meanwhile. An outage that was
    too short for entries to expire does not count, but for a new era.
    ``confirms`` says that the last reply was complete and not outdated, and
    ``outdated`` counts replies of an era before the known one. With
    ``hurries`` the pause after changes is short. Watches that the store
    answers at once without changes follow each other after growing pauses.

    >>> follower = Follower(ItemStore())
    >>> follower.next_call()
    ListPage(after_key='', timeout_s=2.0)
    >>> follower.handle_reply(StoreReply(StoreStatus.OK, (), 7), now=0.0)
    []
    >>> follower.next_call().after_revision
    7
    """

    store: ItemStore
    timing: WatchTiming = field(default_factory=WatchTiming)
    unavailable: bool = True
    recovery_position: Position = BEGINNING
    confirms: bool = False
    hurries: bool = False
    outdated: int = 0
    pause_s: float = 0.0
    _listing: list[PublishedItem] | None = field(default_factory=list)
    _listing_position: Position = BEGINNING
    # Where the store was when a reply first named its era.
    _era_seen_at: Position = BEGINNING
    _recovers: bool = True
    _begins_era: bool = False
    _failed_at: float = -math.inf
    _failures: int = 0
    _relistings: int = 0
    _early_answers: int = 0
    _wait_s: float = 0.0

    def next_call(self) -> ListPage | WatchChanges:
        """Return the next call, to be made after ``pause_s``."""
        if self._listing is None:
            wait_s = self._wait_s = self.timing.choose_wait_s(self.pause_s)
            return WatchChanges(self.store.position, wait_s, wait_s + READ_TIMEOUT_S)
        return ListPage(self._listing[-1].key if self._listing else "")

    def handle_reply(
        self,
        reply: StoreReply,
        now: float,
        took_s: float = math.inf,
        known_until: float = -math.inf,
    ) -> list[str]:
        """Handle an answer that took a time; return the keys that changed.

        ``known_until`` is up to when all changes were known before it.
        """
        self.confirms = False
        known_era = self.store.position.era
        era = known_era if reply.era is None else reply.era
        if reply.status is StoreStatus.REJECTED:
            self.handle_failure(now)
            return []
        if era < known_era:
            # Of a proxy, or of a replica that does not know of the copy yet.
            self.outdated += 1
            self.handle_failure(now)
            return []
        self.unavailable = False
        self._failures = 0
        if reply.status is StoreStatus.HISTORY_LOST:
            return self._begin_listing()
        position = Position(era, reply.revision)
        items = mark_era(reply, era)
        if era > max(known_era, self._era_seen_at.era):
            self._era_seen_at = position
            self._recovers = self._begins_era = True
            self._failed_at = now
        if not self._begins_era and now - known_until < MIN_LAPSE_OUTAGE_S:
            self._recovers = False
        if self._listing is not None:
            return self._handle_page(items, position, reply.more, now)
        if era > known_era:
            return self._begin_listing()
        return self._handle_changes(items, position, now, took_s)

    def _handle_changes(
        self,
        items: tuple[PublishedItem, ...],
        position: Position,
        now: float,
        took_s: float,
    ) -> list[str]:
        self._relistings = 0
        self._record_recovery(position)
        self.confirms = True
        is_early = not items and took_s < EARLY_SHARE * self._wait_s
        self._early_answers = self._early_answers + 1 if is_early else 0
        # Guards against a store that answers watches at once without changes.
        pause_s = _compute_pause_s(self._early_answers - 2)
        self.pause_s = self._get_batch_delay_s() if items else pause_s
        return self.store.merge(items, position, now)

    def _get_batch_delay_s(self) -> float:
        delay_s = self.timing.batch_delay_s
        return min(delay_s, LAPSE_BATCH_DELAY_S) if self.hurries else delay_s

    def _begin_listing(self) -> list[str]:
        """List again; at once the first time, then after growing pauses.

        Guards against a store that answers no watch after any listing.
        """
        self._listing = []
        self.pause_s = _compute_pause_s(self._relistings - 1)
        self._relistings += 1
        return []

    def _handle_page(
        self,
        items: tuple[PublishedItem, ...],
        position: Position,
        more: bool,
        now: float,
    ) -> list[str]:
        listing = self._listing or []
        if not listing:
            self._listing_position = position
        elif position.era != self._listing_position.era:
            return self._begin_listing()
        self._listing = [*listing, *items]
        self.pause_s = 0.0
        if more and items:
            return []
        listing, self._listing = self._listing, None
        self._record_recovery(self._listing_position)
        self.confirms = True
        if self._era_seen_at.era == position.era:
            self.store.enter_era(self._era_seen_at, now)
        return self.store.merge_listing(listing, self._listing_position, now)

    def record_return(self, position: Position) -> None:
        """Record where the store was when a peer had read it in a new era.

        Guards against an endpoint that is used after its removal, since the
        own first listing comes later and takes it for an entry that was lost.
        """
        self._recovers = self._begins_era = False
        self.recovery_position = max(self.recovery_position, position)

    def record_answered_peer(self, at: float, lapsed_until: Position) -> None:
        """Record that a peer has read the store, and which entries lapsed.

        Guards against a removal that is taken for a lapsed entry long after an
        outage: an instance that does not watch does not call the store itself.
        """
        if at > self._failed_at:
            self._record_recovery(max(self.recovery_position, lapsed_until))

    def _record_recovery(self, position: Position) -> None:
        if self._recovers:
            self._recovers = self._begins_era = False
            self.recovery_position = position

    def handle_failure(self, now: float) -> None:
        """Handle a call that was rejected, lost or not answered in time."""
        self.confirms = False
        self._failed_at = now
        self.unavailable = True
        self._recovers = True
        self.pause_s = _compute_pause_s(self._failures)
        self._failures += 1
        # A listing is not continued across an outage.
        if self._listing is not None:
            self._listing = []


def _compute_pause_s(failures: int) -> float:
    """Return the pause after a number of earlier failures."""
    if failures < 0:
        return 0.0
    return min(MAX_RETRY_S, MIN_RETRY_S * RETRY_FACTOR ** min(failures, 8))


def mark_era(reply: StoreReply, era: int) -> tuple[PublishedItem, ...]:
    """Return a reply's items, marked with the era if it names none."""
    if reply.era is not None or not era:
        return reply.items
    return tuple(replace(item, era=era) for item in reply.items)

"""Tasks that follow the store and exchange its revisions with peers."""

import asyncio
import random
import zlib

from fescuekeel.components.catalog.change_requests import ChangeRequests, OwnState
from fescuekeel.components.catalog.confirmation import PeerAges, find_confirmed_at
from fescuekeel.components.catalog.const import (
    ASK_TIMEOUT_S,
    COMPRESS_BYTES,
    DOMAIN,
    MIN_WATCHER_POLL_S,
    NEWS_PERIOD_S,
    OTHER_NEWS_FANOUT,
    SERVED_SLACK_S,
    WATCHER_NEWS_FANOUT,
    WATCHER_POLL_S,
)
from fescuekeel.components.catalog.follower import Follower, ListPage, WatchChanges
from fescuekeel.components.catalog.items import ItemStore
from fescuekeel.components.catalog.read_through import ReadThrough
from fescuekeel.components.catalog.store_client import HttpStoreClient, StoreClient
from fescuekeel.components.catalog.timing import choose_watch_timing
from fescuekeel.components.catalog.view import CatalogView
from fescuekeel.components.catalog.watcher_selection import WatcherSelection
from fescuekeel.core import Instance
from fescuekeel.helpers.dialect import StoreReply, StoreStatus, get_dialect
from fescuekeel.helpers.freshness import MAX_AGE_S, Freshness
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.peer_link import get_peer_link
from fescuekeel.helpers.published import BEGINNING, Position, PublishedItem
from fescuekeel.helpers.ticks import get_next_tick_s, sleep_to_tick
from fescuekeel.messages import (
    CatalogAsk,
    CatalogItem,
    CatalogNews,
    CatalogPart,
    LeavingIds,
    MemberView,
    PeerMessage,
)
from fescuekeel.util.ring import list_contacts

__all__ = ["CatalogFollower"]


class CatalogFollower:
    """Follow the platform's store, and share its items with peers."""

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self._dialect = get_dialect(instance.settings.platform)
        self._items = ItemStore()
        self._view = CatalogView(self._dialect)
        bounds = instance.settings.forwarding
        bound_s = min(bounds.change_bound_s, bounds.leaving_bound_s)
        timing = choose_watch_timing(bound_s, bounds.revoked_bound_s)
        self._timing = timing
        self._follower = Follower(self._items, timing)
        self._watchers = WatcherSelection(
            instance.id, instance.settings.instance.data_centre, timing.silent_s
        )
        self._watching = True
        self._freshness = Freshness()
        self._peer_ages = PeerAges()
        self._listing_asked_at = instance.now()
        self.store_client: StoreClient = HttpStoreClient(instance, self._dialect)
        self._read_through = ReadThrough(
            instance,
            HttpStoreClient(instance, self._dialect),
            self._items,
            self._freshness,
            self._publish_read,
        )
        self._requests = ChangeRequests(timing.poll_s)
        self._requests_changed = asyncio.Event()
        self._is_polling = False
        self._news_sent_at = float("-inf")
        # When the store last answered a call of this instance.
        self._answered_at = float("-inf")
        # The newest era of which a peer has sent what it keeps.
        self._kept_era_known = 0
        self._contacts_view: MemberView | None = None
        self._contacts: list[str] = []

    async def start(self) -> None:
        """Start to follow the store, and subscribe to peers' messages."""
        bus = self._instance.bus
        bus.subscribe_peer(CatalogNews, self._handle_news)
        bus.subscribe_peer(CatalogAsk, self._handle_ask)
        bus.subscribe(LeavingIds, self._handle_leaving)
        metrics = self._instance.metrics
        metrics.add_gauge("catalog_revision", self._read_revision)
        metrics.add_gauge("catalog_age_seconds", self._read_age)
        metrics.add_gauge("catalog_era", lambda: {"": float(self._items.position.era)})
        metrics.add_gauge("catalog_items_kept", self._read_kept)
        metrics.add_gauge("catalog_behind_seconds", self._read_behind)
        metrics.add_gauge("catalog_watches", lambda: {"": float(self._watching)})
        bus.publish_state(self._freshness)
        bus.publish_state(self._peer_ages)
        self._instance.keep_running(self._follow_forever, f"{DOMAIN}.follow")
        self._instance.keep_running(self._send_news_forever, f"{DOMAIN}.tell")
        self._instance.keep_running(self._request_forever, f"{DOMAIN}.request")

    async def stop(self) -> None:
        """Close the connections to the store."""
        self.store_client.close()
        self._read_through.close()

    async def confirm(self, until: float) -> bool:
        """Return whether all that was published until a time is known here.

        The store is asked if necessary; false means that it did not answer.
        """
        return await self._read_through.confirm(until)

    def _publish_read(self, changed: list[str]) -> None:
        self._publish(changed, self._follower.recovery_position)

    def _read_revision(self) -> dict[str, float]:
        return {"": float(self._items.revision)}

    def _read_kept(self) -> dict[str, float]:
        return {"": float(len(self._items.copied_by_key))}

    def _read_age(self) -> dict[str, float]:
        return {"": self._freshness.read_age_s(self._instance.now())}

    def _read_behind(self) -> dict[str, float]:
        return {"": max(0.0, self._instance.now() - self._requests.behind_since)}

    # The store.

    async def _follow_forever(self) -> None:
        while True:
            await asyncio.sleep(self._follower.pause_s)
            await self._wait_until_watching()
            await self._follow_once()

    async def _wait_until_watching(self) -> None:
        """Wait until this instance has to call the store."""
        self._update_watching()
        while not self._watching:
            left_s = self._watchers.get_time_left_s(self._instance.now())
            loop_time = asyncio.get_running_loop().time()
            tick_s = get_next_tick_s(WATCHER_POLL_S, loop_time)
            await asyncio.sleep(max(MIN_WATCHER_POLL_S, min(left_s, tick_s)))
            self._update_watching()

    async def _follow_once(self) -> None:
        call = self._follower.next_call()
        before = self._follower.unavailable
        era_before = self._items.position.era
        asked_at = self._instance.now()
        if isinstance(call, ListPage) and not call.after_key:
            self._listing_asked_at = asked_at
        reply = await self.store_client.call(call)
        changed: list[str] = []
        confirmed = None
        if reply is None:
            self._follower.handle_failure(self._instance.now())
        else:
            changed = self._handle_reply(reply, asked_at)
        if reply is not None and self._follower.confirms:
            confirmed = find_confirmed_at(
                call, reply, asked_at, self._instance.now(), self._listing_asked_at
            )
        self._handle_era_change(era_before, "store")
        if before != self._follower.unavailable:
            self._log_availability(call)
        self._publish(changed, self._follower.recovery_position)
        if confirmed is not None:
            # Only after the changes of this answer are in force.
            self._freshness.record_confirmed(confirmed, 0.0)
        self._requests.record_reached(self._items.position)
        self._requests_changed.set()
        if not self._follower.unavailable:
            self._answered_at = self._instance.now()
            self._send_news(self._sample_contacts() if changed else set())

    def _handle_reply(self, reply: StoreReply, asked_at: float) -> list[str]:
        """Let the follower handle a reply; log what is wrong with it."""
        outdated = self._follower.outdated
        now = self._instance.now()
        known_until = now - self._freshness.read_apparent_age_s(now)
        changed = self._follower.handle_reply(reply, now, now - asked_at, known_until)
        if reply.status is StoreStatus.HISTORY_LOST:
            self._instance.metrics.count("catalog.history_lost")
        defect = reply.defect
        if self._follower.outdated > outdated:
            defect = f"era {reply.era} is older than the known one"
        if defect:
            self._instance.metrics.count("catalog.reply_defective")
            log_event(
                "store_reply_defective", error=defect, revision=self._items.position
            )
        return changed

    def _handle_era_change(self, before: int, source: str) -> None:
        """Renew grace periods if the store came back from a copy; log it."""
        position = self._items.position
        if position.era == before:
            return
        self._view.renew_grace(self._instance.now())
        self._instance.metrics.count("catalog.era_changed")
        log_event(
            "store_era_changed",
            before=before,
            revision=position,
            first_revision=self._items.first_revision,
            kept=len(self._items.copied_by_key),
            source=source,
        )

    def _update_watching(self) -> None:
        must_watch = self._must_watch()
        if must_watch == self._watching:
            return
        self._watching = must_watch
        self._instance.metrics.count(f"catalog.watching.{must_watch}")
        log_event(
            "watch_duty_changed",
            watching=must_watch,
            revision=self._items.position,
            missed=self._requests.missed,
            silent_s=round(self._watchers.get_silence_s(self._instance.now()), 3),
        )

    def _log_availability(self, call: ListPage | WatchChanges) -> None:
        log_event(
            "dependency_lost" if self._follower.unavailable else "dependency_regained",
            dependency="store",
            call=type(call).__name__,
            revision=self._items.position,
        )

    # The catalog in force.

    def _publish(self, changed: list[str], lapsed_until: Position = BEGINNING) -> None:
        """Apply the changed keys, and publish the catalog if it changed.

        Guards against removing live endpoints whose entries only expired
        during a store outage: removals up to ``lapsed_until`` take effect
        after a grace period. Later removals take effect at once, as an
        endpoint that leaves must get no more work.
        """
        now = self._instance.now()
        self._view.known_age_s = self._freshness.read_age_s(now)
        for item in self._items.take_accepted():
            # One of an earlier era was removed before the store came back.
            lapsed = item.era == lapsed_until.era and item.position <= lapsed_until
            self._view.apply(item, lapsed, now)
        copied = self._items.take_newly_copied()
        for item in copied:
            self._view.apply_copied(item, now)
        if self._is_store_away(now):
            # Nothing can be renewed there meanwhile.
            self._view.renew_grace(now)
        known_until = now - self._freshness.read_apparent_age_s(now)
        if self._view.expire(now, known_until) or changed or copied:
            self._publish_catalog()
        self._follower.hurries = self._view.has_lapsing

    def _is_store_away(self, now: float) -> bool:
        """Return whether neither the store nor a peer tells of changes.

        Guards against an endpoint that has ended and is kept for good where
        the store turns an instance away: what it knows is as old as the last
        answer to a peer, a poll of that peer by another, and its own.
        """
        longest_age_s = self._watchers.silent_s + 2 * self._timing.poll_s
        is_silent = self._freshness.read_apparent_age_s(now) > longest_age_s
        return is_silent and self._watching and self._follower.unavailable

    def _publish_catalog(self) -> None:
        bus = self._instance.bus
        leaving = bus.latest(LeavingIds) or LeavingIds()
        catalog = self._view.make_catalog(self._items.position, leaving.ids)
        bus.publish_state(catalog)

    def _handle_leaving(self, _: LeavingIds) -> None:
        """Leave out an endpoint that has just said that it leaves."""
        if self._items.position > BEGINNING:
            self._publish_catalog()

    # Peers.

    def _must_watch(self) -> bool:
        view = self._instance.bus.latest(MemberView)
        members = view.members_by_id.values() if view else ()
        must_watch = self._watchers.must_watch(members, self._instance.now())
        missed = self._requests.find_missed(self._instance.now())
        return must_watch or self._items.position < missed

    async def _send_news_forever(self) -> None:
        while True:
            await sleep_to_tick(NEWS_PERIOD_S)
            self._publish(self._items.settle(self._instance.now()))
            self._request_if_stale()
            # Skipped just after a change, which has been announced anyway.
            if self._instance.now() - self._news_sent_at >= NEWS_PERIOD_S / 2:
                self._send_news(self._sample_contacts())

    def _request_if_stale(self) -> None:
        """Request changes of a fresher peer, if client keys are checked."""
        configuration = self._view.configuration
        if configuration is None or configuration.accounts_by_digest is None:
            return
        now = self._instance.now()
        peer = self._peer_ages.choose(self._freshness.read_age_s(now), now)
        if peer is not None and not self._requests.is_waiting(now):
            self._start_request(peer, self._items.position)

    def _sample_contacts(self) -> set[str]:
        """Return random contacts to send news to, in any data centre.

        They let a data centre catch up whose instances the store all rejects.
        """
        contacts = self._list_contacts()
        fanout = WATCHER_NEWS_FANOUT if self._watching else OTHER_NEWS_FANOUT
        return set(random.sample(contacts, min(fanout, len(contacts))))

    def _list_contacts(self) -> list[str]:
        view = self._instance.bus.latest(MemberView) or MemberView()
        if view is not self._contacts_view:
            self._contacts_view = view
            self._contacts = sorted(list_contacts(self._own_id, view.members_by_id))
        return self._contacts

    def _send_news(self, peers: set[str]) -> None:
        """Send peers the known revision; a watcher adds all its neighbours."""
        watching = self._watching and not self._follower.unavailable
        if watching:
            view = self._instance.bus.latest(MemberView)
            members = view.members_by_id.values() if view else ()
            peers = peers | set(self._watchers.list_neighbours(members))
        self._news_sent_at = self._instance.now()
        answered_s = self._instance.now() - self._answered_at
        news = CatalogNews(
            self._items.position.revision,
            watching,
            self._read_age_ms(),
            int(min(MAX_AGE_S, answered_s) * 1000),
            self._items.position.era,
            bool(self._items.copied_by_key),
        )
        link = get_peer_link(self._instance)
        for peer in sorted(peers):
            link.send(peer, news)

    def _read_age_ms(self) -> int:
        return int(self._freshness.read_age_s(self._instance.now()) * 1000)

    @property
    def _own_id(self) -> str:
        return self._instance.id

    def _handle_news(self, message: PeerMessage) -> None:
        """Record what a peer announces, and request what it lacks here.

        Guards against a store that rejects this instance and serves others:
        a new configuration would never come into force here.
        """
        assert isinstance(message.body, CatalogNews)
        news = message.body
        now = self._instance.now()
        self._peer_ages.record_news(message.sender, news.age_ms / 1000, now)
        answered_at = now - news.answered_ms / 1000
        if news.watching:
            self._requests.record_answered_by_store(message.sender, answered_at)
            if self._is_neighbour(message.sender):
                self._watchers.record_watcher(message.sender, answered_at)
        position = Position(news.era, news.revision)
        if self._lacks_kept(news):
            self._start_request(message.sender, since=BEGINNING)
            return
        self._requests.record_news(message.sender, position, self._items.position, now)
        if position <= self._items.position:
            confirmed_at = now - news.age_ms / 1000
            self._freshness.record_apparent(confirmed_at)
            self._follower.record_answered_peer(confirmed_at, position)
            return
        self._request_if_due()
        self._requests_changed.set()

    # Requests of changes.

    async def _request_forever(self) -> None:
        while True:
            self._request_if_due()
            now = self._instance.now()
            left_s = self._requests.find_due(self._make_own_state(), now) - now
            self._requests_changed.clear()
            try:
                async with asyncio.timeout(max(MIN_WATCHER_POLL_S, left_s)):
                    await self._requests_changed.wait()
            except TimeoutError:
                continue

    def _request_if_due(self) -> None:
        """Request changes of a peer if it is time for that."""
        now = self._instance.now()
        own = self._make_own_state()
        self._update_polling(own.must_watch and now >= own.served_until)
        peer = self._requests.choose(own, self._list_polled(), now)
        if peer is not None:
            self._start_request(peer, self._items.position)

    def _make_own_state(self) -> OwnState:
        served_until = float("-inf")
        if not self._follower.unavailable:
            interval_s = self._timing.interval_s + SERVED_SLACK_S
            served_until = self._answered_at + interval_s
        return OwnState(self._items.position, self._watching, served_until)

    def _list_polled(self) -> list[str]:
        """Return the contacts to poll, if possible in other data centres.

        Neighbours that the store answers say so without being asked.
        """
        contacts = self._list_contacts()
        elsewhere = [peer for peer in contacts if not self._is_neighbour(peer)]
        return elsewhere or contacts

    def _update_polling(self, is_polling: bool) -> None:
        """Log when this instance begins and ceases to poll its peers."""
        if is_polling == self._is_polling:
            return
        self._is_polling = is_polling
        self._instance.metrics.count(f"catalog.polling.{is_polling}")
        silent_s = min(MAX_AGE_S, self._instance.now() - self._answered_at)
        log_event(
            "peer_polling_changed",
            polling=is_polling,
            revision=self._items.position,
            announced=self._requests.target,
            silent_s=round(silent_s, 3),
        )

    def _lacks_kept(self, news: CatalogNews) -> bool:
        """Return whether a peer keeps items of which this instance has none.

        Guards against an instance that starts after the store came back from
        a copy, and only knows what the copy says.
        """
        era = self._items.position.era
        is_known = self._kept_era_known >= news.era or bool(self._items.copied_by_key)
        waits = self._requests.is_waiting(self._instance.now())
        return news.keeps and news.era == era and not is_known and not waits

    def _start_request(self, peer: str, since: Position) -> None:
        """Request the changes since a position."""
        self._requests.record_sent(peer, self._instance.now())
        work = self._request_changes(peer, since)
        self._instance.spawn(work, f"{DOMAIN}.ask")

    def _is_neighbour(self, peer: str) -> bool:
        view = self._instance.bus.latest(MemberView)
        member = view.members_by_id.get(peer) if view else None
        return member is not None and member.data_centre == self._watchers.data_centre

    async def _request_changes(self, peer: str, since: Position) -> None:
        asked_at = self._instance.now()
        behind_since = self._requests.behind_since
        ask = CatalogAsk(since.revision, since.era)
        link = get_peer_link(self._instance)
        answer = (await link.ask(peer, ask, ASK_TIMEOUT_S)).value_or(None)
        self._requests_changed.set()
        if not isinstance(answer, CatalogPart):
            self._peer_ages.drop_peer(peer)
            self._requests.record_failure(peer)
            self._instance.metrics.count("catalog.ask_failed")
            return
        era_before = self._items.position.era
        changed = self._merge_part(answer)
        self._handle_era_change(era_before, peer)
        self._requests.record_answer(peer, self._items.position)
        self._instance.metrics.count("catalog.from_peer")
        if changed or answer.whole:
            now = self._instance.now()
            log_event(
                "catalog_from_peer",
                peer=peer,
                since=since,
                revision=Position(answer.era, answer.revision),
                changed=len(changed),
                whole=answer.whole,
                behind_ms=round(max(0.0, now - behind_since) * 1000),
                asked_ms=round((now - asked_at) * 1000),
            )
        lapsed_until = Position(answer.lapsed_era, answer.lapsed_until)
        if self._items.position.era > era_before:
            lapsed_until = max(lapsed_until, self._items.position)
            self._follower.record_return(self._items.position)
        self._publish(changed, lapsed_until)
        age_s = answer.age_ms / 1000
        self._freshness.record_confirmed(asked_at, age_s)
        self._follower.record_answered_peer(asked_at - age_s, lapsed_until)

    def _merge_part(self, part: CatalogPart) -> list[str]:
        """Merge what a peer has sent; return the keys that changed."""
        now = self._instance.now()
        items = [unpack_item(item) for item in part.items]
        position = Position(part.era, part.revision)
        if not part.whole:
            return self._items.merge(items, position, now)
        self._kept_era_known = max(self._kept_era_known, part.era)
        self._items.enter_era(Position(part.era, part.first_revision), now)
        return self._items.merge_listing(items, position, now)

    def _handle_ask(self, message: PeerMessage) -> None:
        assert isinstance(message.body, CatalogAsk)
        since = Position(message.body.era, message.body.since)
        # Guards against an endpoint that stays in the asker's catalog after
        # its removal: removals before our last listing are not known here.
        whole = since < self._items.removals_known_from
        items = self._items.list_all() if whole else self._items.list_since(since)
        part = CatalogPart(
            self._items.position.revision,
            tuple(pack_item(item) for item in items),
            whole,
            self._follower.recovery_position.revision,
            self._read_age_ms(),
            self._items.position.era,
            self._items.first_revision,
            self._follower.recovery_position.era,
        )
        get_peer_link(self._instance).answer(message, part)


def pack_item(item: PublishedItem) -> CatalogItem:
    """Return an item in its wire format, compressed if large."""
    value = item.value or b""
    packed = len(value) > COMPRESS_BYTES
    if packed:
        value = zlib.compress(value, level=1)
    return CatalogItem(
        item.key, item.revision, value, item.value is None, packed, item.era
    )


def unpack_item(item: CatalogItem) -> PublishedItem:
    """Return an item from its wire format.

    >>> item = PublishedItem("a", 1, b"x" * 2000)
    >>> unpack_item(pack_item(item)) == item
    True
    """
    if item.gone:
        return PublishedItem(item.key, item.revision, None, item.era)
    value = zlib.decompress(item.value) if item.packed else item.value
    return PublishedItem(item.key, item.revision, value, item.era)

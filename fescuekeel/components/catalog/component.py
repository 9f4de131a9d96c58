"""The tasks that read the store and pass on to peers what it said."""

import asyncio
import random
import zlib

from fescuekeel.components.catalog.confirmation import (
    Sources,
    choose_pace,
    find_confirmed,
)
from fescuekeel.components.catalog.const import (
    ASK_TIMEOUT_S,
    BEHIND_S,
    COMPRESS_BYTES,
    CONNECT_TIMEOUT_S,
    DOMAIN,
    DUTY_POLL_S,
    NEWS_FANOUT,
    NEWS_PERIOD_S,
    SECOND_HAND_FANOUT,
)
from fescuekeel.components.catalog.duty import WatchDuty
from fescuekeel.components.catalog.follower import Follower, ListPage, WatchChanges
from fescuekeel.components.catalog.items import ItemStore
from fescuekeel.components.catalog.view import CatalogView
from fescuekeel.core import Instance
from fescuekeel.helpers.dialect import SourceReply, get_dialect
from fescuekeel.helpers.exchange import (
    AnswerBrokenError,
    Connection,
    NotConnectedError,
    connect,
    fetch,
)
from fescuekeel.helpers.freshness import Freshness
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.peer_link import get_peer_link
from fescuekeel.helpers.published import PublishedItem
from fescuekeel.helpers.ticks import sleep_to_tick
from fescuekeel.messages import (
    CatalogAsk,
    CatalogItem,
    CatalogNews,
    CatalogPart,
    MemberView,
    PeerMessage,
)
from fescuekeel.util.ring import list_contacts

__all__ = ["CatalogFollower"]


class CatalogFollower:
    """Own the connection to the store and the items that came over it."""

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self._dialect = get_dialect(instance.settings.platform)
        self._items = ItemStore()
        self._view = CatalogView(self._dialect)
        bounds = instance.settings.forwarding
        bound_s = min(bounds.change_bound_s, bounds.leaving_bound_s)
        gather_s, wait_s = choose_pace(bound_s, bounds.revoked_bound_s)
        self._follower = Follower(self._items, gather_s, wait_s)
        self._duty = WatchDuty(instance.id, instance.settings.instance.data_centre)
        self._watching = True
        self._freshness = Freshness()
        self._sources = Sources()
        self._listing_asked = instance.now()
        self._connection: Connection | None = None
        self._behind_since: float | None = None
        self._asking = False
        self._told_at = float("-inf")
        self._contacts_view: MemberView | None = None
        self._contacts: list[str] = []

    async def start(self) -> None:
        """Begin to follow the store, and to listen to peers."""
        bus = self._instance.bus
        bus.subscribe_peer(CatalogNews, self._hear_news)
        bus.subscribe_peer(CatalogAsk, self._answer_ask)
        metrics = self._instance.metrics
        metrics.add_gauge("catalog_revision", self._read_revision)
        metrics.add_gauge("catalog_age_seconds", self._read_age)
        metrics.add_gauge("catalog_watches", lambda: {"": float(self._watching)})
        bus.publish_state(self._freshness)
        self._instance.spawn(self._follow_forever(), f"{DOMAIN}.follow")
        self._instance.spawn(self._tell_forever(), f"{DOMAIN}.tell")

    async def stop(self) -> None:
        """Close the connection to the store."""
        if self._connection is not None:
            self._connection.close()

    def _read_revision(self) -> dict[str, float]:
        return {"": float(self._items.revision)}

    def _read_age(self) -> dict[str, float]:
        return {"": self._freshness.read_age_s(self._instance.now())}

    # The store.

    async def _follow_forever(self) -> None:
        while True:
            await asyncio.sleep(self._follower.pause_s)
            self._note_duty()
            if not self._watching:
                await sleep_to_tick(DUTY_POLL_S)
                continue
            call = self._follower.plan()
            before = self._follower.away
            asked = self._instance.now()
            if isinstance(call, ListPage) and not call.after_key:
                self._listing_asked = asked
            reply = await self._call(call)
            if reply is None:
                self._follower.fail()
                changed: list[str] = []
                confirmed = None
            else:
                changed = self._follower.take(reply)
                confirmed = find_confirmed(
                    call, reply, asked, self._instance.now(), self._listing_asked
                )
            if before != self._follower.away:
                self._log_store(call)
            self._publish(changed, self._follower.returned_revision)
            if confirmed is not None:
                # Only once what came with it is in force.
                self._freshness.note_confirmed(confirmed, 0.0)
            if changed:
                self._tell(self._choose_far_peers())

    def _note_duty(self) -> None:
        must_watch = self._must_watch()
        if must_watch == self._watching:
            return
        self._watching = must_watch
        self._instance.metrics.count(f"catalog.watching.{must_watch}")
        log_event(
            "watch_duty_changed",
            watching=must_watch,
            revision=self._items.revision,
        )

    def _log_store(self, call: ListPage | WatchChanges) -> None:
        log_event(
            "dependency_lost" if self._follower.away else "dependency_regained",
            dependency="store",
            call=type(call).__name__,
            revision=self._items.revision,
        )

    async def _call(self, call: ListPage | WatchChanges) -> SourceReply | None:
        self._instance.metrics.count("catalog.calls")
        if isinstance(call, ListPage):
            http = self._dialect.make_list_call(call.after_key)
        else:
            http = self._dialect.make_watch_call(call.after_revision, call.wait_s)
        address = self._instance.settings.platform.store
        try:
            connection = self._connection
            if connection is None or not connection.usable:
                connection = await connect(address, CONNECT_TIMEOUT_S)
                self._connection = connection
            answer = await fetch(
                connection,
                http.method,
                http.target,
                (("Host", address), *http.headers),
                http.body,
                call.timeout_s,
            )
            return self._dialect.read_source_reply(answer.status, answer.body)
        except (NotConnectedError, AnswerBrokenError, ValueError) as error:
            self._instance.metrics.count("catalog.call_failed")
            log_event("store_call_failed", call=type(call).__name__, error=str(error))
            return None

    # What is in force.

    def _publish(self, changed: list[str], lapsed_until: int = 0) -> None:
        """Put into force what changed.

        Guards against taking endpoints for gone whose entries only lapsed
        while the store was away: removals up to the revision at its return
        count a little later. Those seen since are real ones, and an endpoint
        that leaves must get nothing more within two seconds.
        """
        now = self._instance.now()
        for key in changed:
            item = self._items.items_by_key[key]
            self._view.take(item, item.revision <= lapsed_until, now)
        if self._view.expire(now) or changed:
            catalog = self._view.make_catalog(self._items.revision)
            self._instance.bus.publish_state(catalog)

    # Peers.

    def _must_watch(self) -> bool:
        view = self._instance.bus.latest(MemberView)
        members = view.members_by_id.values() if view else ()
        return self._duty.must_watch(members, self._instance.now())

    async def _tell_forever(self) -> None:
        while True:
            await sleep_to_tick(NEWS_PERIOD_S)
            self._publish([])
            self._refresh()
            # Who has just told neighbours of a change has told all by that.
            if self._instance.now() - self._told_at >= NEWS_PERIOD_S / 2:
                self._tell(self._choose_far_peers())

    def _refresh(self) -> None:
        """Ask a peer that knows of a later moment, where keys matter."""
        configuration = self._view.configuration
        if configuration is None or configuration.accounts_by_digest is None:
            return
        now = self._instance.now()
        peer = self._sources.choose(self._freshness.read_age_s(now), now)
        if peer is not None and not self._asking:
            self._start_asking(peer)

    def _choose_far_peers(self) -> set[str]:
        """Return whom to tell besides neighbours, some of the contacts.

        What one data centre has learned reaches the others even where the
        store turns away all instances of one of them.
        """
        view = self._instance.bus.latest(MemberView) or MemberView()
        if view is not self._contacts_view:
            self._contacts_view = view
            self._contacts = sorted(list_contacts(self._own_id, view.members_by_id))
        fanout = NEWS_FANOUT if self._watching else SECOND_HAND_FANOUT
        return set(random.sample(self._contacts, min(fanout, len(self._contacts))))

    def _tell(self, peers: set[str]) -> None:
        """Tell peers the revision; a watcher tells all its neighbours, too."""
        watching = self._watching and not self._follower.away
        if watching:
            view = self._instance.bus.latest(MemberView)
            members = view.members_by_id.values() if view else ()
            peers = peers | set(self._duty.list_neighbours(members))
        self._told_at = self._instance.now()
        news = CatalogNews(self._items.revision, watching, self._read_age_ms())
        link = get_peer_link(self._instance)
        for peer in peers:
            link.send(peer, news)

    def _read_age_ms(self) -> int:
        return int(self._freshness.read_age_s(self._instance.now()) * 1000)

    @property
    def _own_id(self) -> str:
        return self._instance.id

    def _hear_news(self, message: PeerMessage) -> None:
        """Ask a peer that knows more.

        An instance that does not watch itself asks at once. One that does
        asks only a peer that has known more for a while. Guards against a
        store that turns this instance away and serves the others: a new
        configuration would never come into force here.
        """
        assert isinstance(message.body, CatalogNews)
        news = message.body
        now = self._instance.now()
        self._sources.note_news(message.sender, news.age_ms / 1000, now)
        if news.watching and self._is_neighbour(message.sender):
            self._duty.note_watcher(message.sender, now)
        if news.revision <= self._items.revision:
            self._behind_since = None
            return
        if self._behind_since is None:
            self._behind_since = now
        patience_s = BEHIND_S if self._watching and self._items.revision else 0.0
        if self._asking or now - self._behind_since < patience_s:
            return
        self._start_asking(message.sender)

    def _start_asking(self, peer: str) -> None:
        self._asking = True
        self._instance.spawn(self._ask(peer), f"{DOMAIN}.ask")

    def _is_neighbour(self, peer: str) -> bool:
        view = self._instance.bus.latest(MemberView)
        member = view.members_by_id.get(peer) if view else None
        return member is not None and member.data_centre == self._duty.data_centre

    async def _ask(self, peer: str) -> None:
        since = self._items.revision
        began = self._instance.now()
        try:
            link = get_peer_link(self._instance)
            asked = await link.ask(peer, CatalogAsk(since), ASK_TIMEOUT_S)
            answer = asked.value_or(None)
        finally:
            self._asking = False
        if not isinstance(answer, CatalogPart):
            self._sources.note_silent(peer)
            return
        items = [unpack_item(item) for item in answer.items]
        if answer.whole:
            changed = self._items.merge_listing(items, answer.revision)
        else:
            changed = self._items.merge(items, answer.revision)
        self._instance.metrics.count("catalog.from_peer")
        if changed or answer.whole:
            log_event(
                "catalog_from_peer",
                peer=peer,
                since=since,
                revision=answer.revision,
                changed=len(changed),
                whole=answer.whole,
            )
        self._publish(changed, answer.lapsed_until)
        self._freshness.note_confirmed(began, answer.age_ms / 1000)

    def _answer_ask(self, message: PeerMessage) -> None:
        assert isinstance(message.body, CatalogAsk)
        since = message.body.since
        # Guards against an endpoint that is gone for all but the asker: what
        # was removed before our own listing shows only as missing from it.
        whole = since < self._items.removals_known_from
        items = self._items.list_all() if whole else self._items.list_since(since)
        part = CatalogPart(
            self._items.revision,
            tuple(pack_item(item) for item in items),
            whole,
            self._follower.returned_revision,
            self._read_age_ms(),
        )
        get_peer_link(self._instance).answer(message, part)


def pack_item(item: PublishedItem) -> CatalogItem:
    """Return an item as it travels between instances."""
    value = item.value or b""
    packed = len(value) > COMPRESS_BYTES
    if packed:
        value = zlib.compress(value, level=1)
    return CatalogItem(item.key, item.revision, value, item.value is None, packed)


def unpack_item(item: CatalogItem) -> PublishedItem:
    """Return an item as it was published.

    >>> item = PublishedItem("a", 1, b"x" * 2000)
    >>> unpack_item(pack_item(item)) == item
    True
    """
    if item.gone:
        return PublishedItem(item.key, item.revision, None)
    value = zlib.decompress(item.value) if item.packed else item.value
    return PublishedItem(item.key, item.revision, value)

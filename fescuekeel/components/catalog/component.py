"""The tasks that read the store and pass on to peers what it said."""

import asyncio
import random

from fescuekeel.components.catalog.const import (
    ASK_TIMEOUT_S,
    BEHIND_S,
    CONNECT_TIMEOUT_S,
    DOMAIN,
    NEWS_FANOUT,
    NEWS_PERIOD_S,
)
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
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.peer_link import get_peer_link
from fescuekeel.helpers.published import PublishedItem
from fescuekeel.messages import (
    CatalogAsk,
    CatalogItem,
    CatalogNews,
    CatalogPart,
    MemberView,
    PeerMessage,
)

__all__ = ["CatalogFollower"]


class CatalogFollower:
    """Own the connection to the store and the items that came over it."""

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self._dialect = get_dialect(instance.settings.platform)
        self._items = ItemStore()
        self._view = CatalogView(self._dialect)
        self._follower = Follower(self._items)
        self._connection: Connection | None = None
        self._behind_since: float | None = None
        self._asking = False

    async def start(self) -> None:
        """Begin to follow the store, and to listen to peers."""
        bus = self._instance.bus
        bus.subscribe_peer(CatalogNews, self._hear_news)
        bus.subscribe_peer(CatalogAsk, self._answer_ask)
        self._instance.spawn(self._follow_forever(), f"{DOMAIN}.follow")
        self._instance.spawn(self._tell_forever(), f"{DOMAIN}.tell")

    async def stop(self) -> None:
        """Close the connection to the store."""
        if self._connection is not None:
            self._connection.close()

    # The store.

    async def _follow_forever(self) -> None:
        while True:
            await asyncio.sleep(self._follower.pause_s)
            call = self._follower.plan()
            before = self._follower.away
            reply = await self._call(call)
            if reply is None:
                self._follower.fail()
                changed: list[str] = []
            else:
                changed = self._follower.take(reply)
            if before != self._follower.away:
                self._log_store(call)
            self._publish(changed, self._follower.returned_revision)

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

    async def _tell_forever(self) -> None:
        link = get_peer_link(self._instance)
        while True:
            await asyncio.sleep(NEWS_PERIOD_S)
            self._publish([])
            view = self._instance.bus.latest(MemberView)
            others = [
                id for id in (view.members_by_id if view else ()) if id != self._own_id
            ]
            chosen = random.sample(others, min(NEWS_FANOUT, len(others)))
            for peer in chosen:
                link.send(peer, CatalogNews(self._items.revision))

    @property
    def _own_id(self) -> str:
        return self._instance.id

    def _hear_news(self, message: PeerMessage) -> None:
        """Ask a peer that has known more for a while.

        Guards against a store that turns this instance away and serves the
        others: a new configuration would never come into force here.
        """
        assert isinstance(message.body, CatalogNews)
        if message.body.revision <= self._items.revision:
            self._behind_since = None
            return
        now = self._instance.now()
        if self._behind_since is None:
            self._behind_since = now
        behind_s = now - self._behind_since
        if self._asking or (self._items.revision and behind_s < BEHIND_S):
            return
        self._asking = True
        self._instance.spawn(self._ask(message.sender), f"{DOMAIN}.ask")

    async def _ask(self, peer: str) -> None:
        try:
            link = get_peer_link(self._instance)
            asked = CatalogAsk(self._items.revision)
            answer = (await link.ask(peer, asked, ASK_TIMEOUT_S)).value_or(None)
        finally:
            self._asking = False
        if not isinstance(answer, CatalogPart):
            return
        items = [
            PublishedItem(item.key, item.revision, None if item.gone else item.value)
            for item in answer.items
        ]
        changed = self._items.merge(items, answer.revision)
        self._instance.metrics.count("catalog.from_peer")
        log_event(
            "catalog_from_peer",
            peer=peer,
            revision=answer.revision,
            changed=len(changed),
        )
        self._publish(changed)

    def _answer_ask(self, message: PeerMessage) -> None:
        assert isinstance(message.body, CatalogAsk)
        items = tuple(
            CatalogItem(item.key, item.revision, item.value or b"", item.value is None)
            for item in self._items.list_since(message.body.since)
        )
        part = CatalogPart(self._items.revision, items)
        get_peer_link(self._instance).answer(message, part)

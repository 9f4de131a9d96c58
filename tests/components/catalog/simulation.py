"""A fleet that follows a store, on a virtual clock.

The catalog component of each instance is the product's own; the store, the
links and the clock are models.
"""

import asyncio
import json
import random
from dataclasses import dataclass, field, replace

from returns.result import Failure as Err, Success

from fescuekeel.components.catalog.component import CatalogFollower
from fescuekeel.components.catalog.follower import ListPage
from fescuekeel.core import Instance
from fescuekeel.errors import ErrorKind, Failure
from fescuekeel.helpers import ticks
from fescuekeel.helpers.dialect import StoreReply, StoreStatus
from fescuekeel.helpers.published import Catalog, PublishedItem
from fescuekeel.helpers.settings import parse_settings
from fescuekeel.messages import Member, MemberView, PeerMessage
from tests.platform.conftest import PACKAGE_PARENT
from tests.platform.test_path import SETTINGS

STORE_DELAY_S = 0.004
LINK_DELAY_S = 0.0005
RESEND_S = 0.2
PAGE_ITEMS = 10
TICK_PHASE_S = 0.3
FLEET_SETTINGS = SETTINGS.replace(
    "[platform]", f"[platform]\ndialect_path = {PACKAGE_PARENT}"
)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time passes only while it would wait."""

    def __init__(self):
        super().__init__()
        self.now = 1000.0
        self._selector.select = self._skip

    def time(self):
        return self.now

    def _skip(self, timeout):
        if timeout is None:
            raise AssertionError("nothing is left to happen")
        self.now += timeout
        return []


def run_virtual(work):
    """Run a coroutine function on a virtual clock; return its result."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    phase_s, ticks.PHASE_S = ticks.PHASE_S, TICK_PHASE_S
    try:
        return loop.run_until_complete(work())
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
        ticks.PHASE_S = phase_s
        asyncio.set_event_loop(None)


def encode(value):
    return None if value is None else json.dumps(value).encode()


@dataclass
class Store:
    """The platform's store, which may be silent to some instances."""

    revision: int = 1
    era: int = 1
    oldest: int = 0
    items_by_key: dict = field(default_factory=dict)
    history: list = field(default_factory=list)
    silent_to: set = field(default_factory=set)
    refuses: set = field(default_factory=set)
    away: bool = False
    calls: list = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def put(self, key, value):
        self.revision += 1
        item = PublishedItem(key, self.revision, encode(value), self.era)
        self.history.append(item)
        if value is None:
            self.items_by_key.pop(key, None)
        else:
            self.items_by_key[key] = item
        self.wake()

    def take_copy(self):
        return self.revision, dict(self.items_by_key), list(self.history), self.oldest

    def restore(self, copy):
        """Go back to a copy, and begin the next era."""
        self.revision, items_by_key, history, self.oldest = copy
        self.items_by_key = dict(items_by_key)
        self.history = list(history)
        self.era += 1
        self.wake()

    def compact_history(self):
        self.oldest = self.revision
        self.history.clear()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def list_changes(self, after):
        return tuple(item for item in self.history if item.revision > after)

    def list_page(self, after_key):
        keys = sorted(key for key in self.items_by_key if key > after_key)
        items = tuple(self.items_by_key[key] for key in keys[:PAGE_ITEMS])
        more = len(keys) > PAGE_ITEMS
        return self.reply(items, more)

    def reply(self, items, more=False):
        """Answer as of now; all items are marked with the current era."""
        items = tuple(replace(item, era=self.era) for item in items)
        return StoreReply(StoreStatus.OK, items, self.revision, more, self.era)

    def has_history_since(self, revision):
        return self.oldest <= revision <= self.revision

    async def watch(self, call):
        if not self.has_history_since(call.after_revision):
            return StoreReply(StoreStatus.HISTORY_LOST, era=self.era)
        if not self.list_changes(call.after_revision):
            try:
                async with asyncio.timeout(call.wait_s):
                    await self.changed.wait()
            except TimeoutError:
                pass
        if not self.has_history_since(call.after_revision):
            return StoreReply(StoreStatus.HISTORY_LOST, era=self.era)
        return self.reply(self.list_changes(call.after_revision))


class Client:
    """The calls of one instance to the store."""

    def __init__(self, store, id, cut_off):
        self.store = store
        self.id = id
        self.cut_off = cut_off

    def close(self):
        pass

    async def call(self, call):
        loop = asyncio.get_running_loop()
        self.store.calls.append((loop.time(), self.id, type(call).__name__))
        try:
            async with asyncio.timeout(call.timeout_s):
                return await self._answer(call)
        except TimeoutError:
            return None

    async def _answer(self, call):
        await asyncio.sleep(STORE_DELAY_S)
        await self._pass()
        if self.id in self.store.refuses or self.store.away:
            return StoreReply(StoreStatus.REJECTED, era=self.store.era)
        if isinstance(call, ListPage):
            reply = self.store.list_page(call.after_key)
        else:
            reply = await self.store.watch(call)
        await self._pass()
        if self.store.away:
            return None
        return reply

    async def _pass(self):
        """Wait for ever if the store is silent to this instance."""
        if self.id in self.store.silent_to | self.cut_off:
            await asyncio.Event().wait()


class Node:
    """One instance with its catalog component; it is its own peer link."""

    def __init__(self, world, id, data_centre):
        self.world = world
        self.id = id
        text = FLEET_SETTINGS.format(
            id=id,
            data_centre=data_centre,
            shutdown_s=1,
            seeds="",
            store="127.0.0.1:1",
            retry_ratio=1,
        )
        settings = parse_settings(text).unwrap()
        self.instance = Instance(settings, clock=asyncio.get_running_loop().time)
        self.instance.components_by_domain["peers"] = self
        self.catalog = CatalogFollower(self.instance)
        self.catalog.store_client = Client(world.store, id, world.cut_off)
        self.asks = {}
        self.versions = []
        self.known = set()
        self.left = set()
        self.instance.bus.subscribe(Catalog, self._record)

    def _record(self, catalog):
        if catalog.configuration is not None:
            now = asyncio.get_running_loop().time()
            self.versions.append((now, catalog.configuration.version))

    @property
    def version(self):
        return self.versions[-1][1] if self.versions else 0

    @property
    def endpoints(self):
        catalog = self.instance.bus.latest(Catalog)
        return set(catalog.endpoints_by_id) if catalog else set()

    @property
    def watches(self):
        return bool(self.instance.metrics.gauges_by_name["catalog_watches"]()[""])

    # The peers component.

    def send(self, peer, body):
        asyncio.get_running_loop().call_later(
            self.world.draw_delay_s(), self.world.deliver, self.id, peer, body, 0
        )
        return True

    async def ask(self, peer, body, timeout_s):
        number = next(self.world.numbers)
        answer = self.asks[number] = asyncio.get_running_loop().create_future()
        asyncio.get_running_loop().call_later(
            self.world.draw_delay_s(), self.world.deliver, self.id, peer, body, number
        )
        try:
            async with asyncio.timeout(timeout_s):
                return Success(await answer)
        except TimeoutError:
            return Err(Failure(ErrorKind.PEER_UNREACHABLE))
        finally:
            del self.asks[number]

    def answer(self, request, body):
        asyncio.get_running_loop().call_later(
            self.world.draw_delay_s(),
            self.world.deliver_answer,
            self.id,
            request.sender,
            request.number,
            body,
        )

    def receive(self, sender, number, body):
        self.instance.bus.publish_peer(PeerMessage(sender, number, body))


class SimulatedFleet:
    """Instances in data centres, a store, and links that can be cut."""

    def __init__(self, data_centres, seed=0):
        random.seed(seed)
        self.numbers = iter(range(1, 10**9))
        self.delay_s = LINK_DELAY_S
        # The share of messages between instances that are sent twice.
        self.resent_share = 0.0
        self.losses = random.Random(seed)
        self.store = Store()
        self.cut_off = set()
        self.ignores_asks = set()
        self.nodes_by_id = {}
        self.data_centres_by_id = {
            f"{name}{number}": name
            for name, size in data_centres.items()
            for number in range(size)
        }

    async def start(self):
        for id in self.data_centres_by_id:
            await self.start_node(id)
        await asyncio.sleep(5.0)

    async def start_node(self, id):
        node = Node(self, id, self.data_centres_by_id[id])
        self.nodes_by_id[id] = node
        self.update_members()
        await node.catalog.start()
        return node

    def stop_node(self, id):
        node = self.nodes_by_id.pop(id)
        for task in list(node.instance._tasks):
            task.cancel()
        self.update_members()

    def draw_delay_s(self):
        """Return how long a message takes, if need be to be sent again."""
        is_lost = self.losses.random() < self.resent_share
        return self.delay_s + (RESEND_S if is_lost else 0.0)

    def update_members(self):
        members = {
            id: Member(id, "", self.data_centres_by_id[id], 1)
            for id in self.nodes_by_id
        }
        for node in self.nodes_by_id.values():
            node.instance.bus.publish_state(MemberView(members))

    def are_connected(self, one, other):
        return not {one, other} & self.cut_off

    def deliver(self, sender, target, body, number):
        node = self.nodes_by_id.get(target)
        if number and target in self.ignores_asks:
            return
        if node is not None and self.are_connected(sender, target):
            node.receive(sender, number, body)

    def deliver_answer(self, sender, target, number, body):
        node = self.nodes_by_id.get(target)
        if node is None or not self.are_connected(sender, target):
            return
        answer = node.asks.get(number)
        if answer is not None and not answer.done():
            answer.set_result(body)

    def list_watchers(self):
        return [id for id, node in self.nodes_by_id.items() if node.watches]

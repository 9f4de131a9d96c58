"""Tests of the task that follows the tree, with a service over HTTP."""

import asyncio
from contextlib import asynccontextmanager

from msgspec import structs
from returns.result import Failure as Err, Success
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application, RequestHandler

from fescuekeel.components.tree.component import TreeFollower
from fescuekeel.components.tree.model import TreeInForce
from fescuekeel.core import Instance, Metrics
from fescuekeel.errors import ErrorKind, Failure
from fescuekeel.helpers.peer_link import PEERS_DOMAIN
from fescuekeel.messages import (
    LiveList,
    Member,
    MemberView,
    PeerMessage,
    TreeAnnounced,
    TreeStored,
)
from tests.common import make_settings
from tests.components.tree.common import make_contents, make_manifest

WAIT_S = 20


class Link:
    """Carry requests between instances of one process."""

    def __init__(self, instances_by_id, id):
        self.instances_by_id = instances_by_id
        self.id = id

    async def ask(self, peer, body, timeout_s):
        instance = self.instances_by_id.get(peer)
        if instance is None:
            return Err(Failure(ErrorKind.PEER_UNREACHABLE))
        self.answered = asyncio.get_running_loop().create_future()
        answers = instance.components_by_domain[PEERS_DOMAIN]
        answers.waiting = self.answered
        instance.bus.publish_peer(PeerMessage(self.id, 1, body))
        return Success(await self.answered)

    def answer(self, request, body):
        self.waiting.set_result(body)

    async def stop(self):
        pass


class FakeConfigService:
    """A configuration service that keeps values by key in memory."""

    def __init__(self):
        self.values_by_key = {}
        self.change = 0
        self.down = False

    def publish(self, revision, contents):
        for name, content in contents.items():
            self.values_by_key[f"tree/{revision}/{name}"] = content
        self.values_by_key["tree/manifest"] = make_manifest(revision, contents)
        self.change += 1

    async def answer(self, handler, kind, key):
        if self.down:
            handler.set_status(503)
            return
        if kind == "watch" and int(handler.get_query_argument("after")) >= self.change:
            await asyncio.sleep(0.02)
            handler.set_status(304)
            return
        if key not in self.values_by_key:
            handler.set_status(404)
            return
        handler.set_header("X-Change", str(self.change))
        handler.write(self.values_by_key[key])


@asynccontextmanager
async def serve(service):
    class Handler(RequestHandler):
        async def get(self, kind, key):
            await service.answer(self, kind, key)

    server = HTTPServer(Application([(r"/v1/(values|watch)/(.*)", Handler)]))
    sock, port = bind_unused_port()
    server.add_socket(sock)
    try:
        yield f"http://127.0.0.1:{port}"
    finally:
        server.stop()
        await server.close_all_connections()


class CountedMetrics(Metrics):
    """Set an event on each count."""

    def __init__(self, changed):
        super().__init__()
        self.changed = changed

    def count(self, name, by=1):
        super().count(name, by)
        self.changed.set()


class Node:
    """One instance with nothing but its tree component."""

    def __init__(self, instances_by_id, id, url):
        settings = make_settings(id=id)
        platform = structs.replace(settings.platform, config_url=url)
        self.instance = Instance(structs.replace(settings, platform=platform))
        self.instance.components_by_domain[PEERS_DOMAIN] = Link(instances_by_id, id)
        instances_by_id[id] = self.instance
        self.changed = asyncio.Event()
        self.revisions = []
        self.instance.bus.subscribe(TreeInForce, self.record_revision)
        self.instance.metrics = CountedMetrics(self.changed)
        self.component = TreeFollower(self.instance)

    def record_revision(self, in_force):
        self.revisions.append(in_force.intent.revision)
        self.changed.set()

    async def start(self, ids):
        self.instance.bus.publish_state(LiveList())
        members = {id: Member(id, "", "dc1", 1) for id in ids}
        self.instance.bus.publish_state(MemberView(members))
        await self.component.start()

    async def wait_until(self, condition):
        async with asyncio.timeout(WAIT_S):
            while not condition():
                self.changed.clear()
                await self.changed.wait()

    async def wait_for(self, revision):
        await self.wait_until(lambda: revision in self.revisions)

    async def wait_for_count(self, name):
        counters = self.instance.metrics.counters_by_name
        await self.wait_until(lambda: counters[name])

    async def stop(self):
        await self.component.stop()
        await self.instance.stop()


class TestTreeFollower:
    def test_a_revision_reaches_an_instance_without_config_service(self):
        """Guards against missed revisions without a configuration service.

        Only i1 reaches its service; i2 must fetch from i1 after gossip.
        """

        async def run():
            service = FakeConfigService()
            service.publish(1, make_contents())
            async with serve(service) as url:
                nodes = {}
                one = Node(nodes, "i1", url)
                two = Node(nodes, "i2", "http://127.0.0.1:1")
                bus = one.instance.bus
                bus.subscribe(
                    TreeStored,
                    lambda held: two.instance.bus.publish(
                        TreeAnnounced(held.revision, held.digest, "i1")
                    ),
                )
                await one.start(["i1", "i2"])
                await two.start(["i1", "i2"])
                await two.wait_for(1)
                service.publish(2, make_contents("changed"))
                await two.wait_for(2)
                await one.stop()
                await two.stop()
            return one, two

        one, two = asyncio.run(run())
        assert one.revisions == two.revisions == [1, 2]
        counters = two.instance.metrics.counters_by_name
        # The second revision changes one part, and only that one is fetched.
        assert counters["tree.part.peer"] == 3

    def test_an_invalid_tree_leaves_the_last_one_in_force(self):
        async def run():
            service = FakeConfigService()
            service.publish(1, make_contents())
            async with serve(service) as url:
                node = Node({}, "i1", url)
                await node.start(["i1"])
                await node.wait_for(1)
                service.publish(2, {"main": b"[pool p]\nkind = other\n"})
                await node.wait_for_count("refused.invalid_tree")
                service.publish(3, make_contents("mended"))
                await node.wait_for(3)
                await node.stop()
            return node

        assert asyncio.run(run()).revisions == [1, 3]

    def test_a_config_service_restored_from_a_backup_changes_nothing(self):
        """Guards against a rollback by a service restored from a backup."""

        async def run():
            service = FakeConfigService()
            service.publish(4, make_contents())
            service.change = 9
            async with serve(service) as url:
                node = Node({}, "i1", url)
                await node.start(["i1"])
                await node.wait_for(4)
                service.publish(2, make_contents("old"))
                service.change = 1
                await node.wait_for_count("tree.ignored.older")
                service.publish(5, make_contents("new"))
                await node.wait_for(5)
                await node.stop()
            return node

        assert asyncio.run(run()).revisions == [4, 5]

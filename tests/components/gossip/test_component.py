"""Tests of how facts reach all instances, on a simulated network."""

import asyncio

import pytest

from fescuekeel.components.gossip import Gossip, TopicLimits
from fescuekeel.components.gossip.const import DIGEST_PERIOD_S
from fescuekeel.core import Bus, Metrics
from fescuekeel.messages import Member, MemberView, PeerMessage
from tests.common import eventually

LIMITS = TopicLimits(ttl_s=60.0, max_facts=100)


class FakeLink:
    """The link of one instance on a network that may lose messages."""

    def __init__(self, network, id):
        self.network = network
        self.id = id

    def send_all(self, instance_ids, body):
        for id in instance_ids:
            self.network.sent += 1
            target = self.network.instances_by_id.get(id)
            if target is None or {self.id, id} & self.network.cut_off:
                continue
            message = PeerMessage(self.id, 0, body)
            asyncio.get_running_loop().call_soon(target.bus.publish_peer, message)


class FakeInstance:
    """An instance with a bus, a clock and a link only."""

    def __init__(self, network, id):
        self.id = id
        self.bus = Bus()
        self.metrics = Metrics()
        self.components_by_domain = {"peers": FakeLink(network, id)}
        self.tasks = []
        self.facts = {}
        self.paused_s = 0.0
        self.gossip = Gossip(self)

    def now(self):
        return asyncio.get_running_loop().time() + self.paused_s

    def spawn(self, work, name):
        task = asyncio.ensure_future(work)
        self.tasks.append(task)
        return task

    def keep_running(self, make_work, name, is_local=False):
        return self.spawn(make_work(), name)

    async def start(self):
        await self.gossip.start()
        self.gossip.register("t", LIMITS, self.record)

    def record(self, fact):
        self.facts[fact.key] = fact.payload


class Network:
    """Instances that all know each other."""

    def __init__(self, size):
        self.sent = 0
        self.cut_off = set()
        self.instances_by_id = {}
        self.ids = [f"i{number}" for number in range(size)]

    async def start(self):
        for id in self.ids:
            await self.start_instance(id)
        return self

    async def start_instance(self, id):
        instance = self.instances_by_id[id] = FakeInstance(self, id)
        await instance.start()
        members = {id: Member(id, "", "a", 1) for id in self.ids}
        instance.bus.publish_state(MemberView(members))
        return instance

    def knows(self, key):
        return [id for id in self.ids if key in self.instances_by_id[id].facts]

    def stop(self):
        for instance in self.instances_by_id.values():
            for task in instance.tasks:
                task.cancel()


def run(size, work):
    async def run_on_network():
        network = await Network(size).start()
        try:
            await work(network)
        finally:
            network.stop()

    asyncio.run(run_on_network())


class TestSpread:
    @pytest.mark.parametrize("size", [2, 9, 70, 195])
    def test_a_fact_reaches_all_instances(self, size):
        async def work(network):
            network.instances_by_id["i0"].gossip.publish("t", "k", 1, b"x")
            await eventually(lambda: len(network.knows("k")) == size)

        run(size, work)

    def test_messages_of_an_instance_grow_with_its_contacts_only(self):
        async def work(network):
            network.sent = 0
            network.instances_by_id["i0"].gossip.publish("t", "k", 1, b"x")
            await eventually(lambda: len(network.knows("k")) == 195)
            await asyncio.sleep(0.1)
            # Eight contacts, and the digests of the time that it took.
            assert network.sent / 195 < 14

        run(195, work)

    def test_nothing_is_sent_without_facts(self):
        async def work(network):
            await asyncio.sleep(0.05)
            network.sent = 0
            await asyncio.sleep(2.5 * DIGEST_PERIOD_S)
            assert network.sent == 0

        run(9, work)


class TestCatchUp:
    def test_an_instance_that_was_cut_off(self):
        # Guards against an instance that never receives what it has missed.
        async def work(network):
            network.cut_off.add("i3")
            network.instances_by_id["i0"].gossip.publish("t", "k", 1, b"x")
            await asyncio.sleep(0.1)
            assert len(network.knows("k")) == 8
            network.cut_off.clear()
            await eventually(lambda: len(network.knows("k")) == 9)

        run(9, work)

    def test_an_instance_that_starts(self):
        async def work(network):
            network.instances_by_id["i0"].gossip.publish("t", "k", 1, b"x")
            await asyncio.sleep(0.1)
            instance = await network.start_instance("i3")
            await asyncio.sleep(0.1)
            assert instance.facts == {"k": b"x"}

        run(9, work)

    def test_both_sides_of_a_cut_learn_from_each_other(self):
        async def work(network):
            network.cut_off |= {"i3"}
            network.instances_by_id["i3"].gossip.publish("t", "own", 1, b"x")
            network.instances_by_id["i0"].gossip.publish("t", "k", 1, b"x")
            await asyncio.sleep(0.1)
            network.cut_off.clear()
            await eventually(
                lambda: len(network.knows("k")) == len(network.knows("own")) == 9
            )

        run(9, work)

    def test_an_instance_that_was_paused_asks_at_once(self):
        async def work(network):
            instance = network.instances_by_id["i3"]
            await asyncio.sleep(0.05)
            network.sent = 0
            instance.paused_s = 10.0
            await asyncio.sleep(1.2 * DIGEST_PERIOD_S)
            assert network.sent == 3

        run(9, work)

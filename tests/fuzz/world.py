"""Simulated network and platform for the real components of instances."""

import asyncio
import heapq
import itertools
import math
from unittest.mock import patch

from returns.result import Failure as Err, Success

import fescuekeel.components.membership
import fescuekeel.components.owner
import fescuekeel.components.turns
from fescuekeel.components.gateway.admission import Admission, CallerInput
from fescuekeel.components.gateway.component import Gateway
from fescuekeel.components.owner.ownership import OwnershipState
from fescuekeel.components.tree.model import Policy, Pool, PoolKind, TreeInForce
from fescuekeel.core import REGISTRY, Instance
from fescuekeel.errors import ErrorKind, Failure
from fescuekeel.helpers.driver import DRIVERS
from fescuekeel.messages import (
    AdapterRef,
    LiveEntry,
    LiveList,
    LiveRole,
    MemberView,
)
from tests.common import make_settings
from tests.fuzz.engines import Engine, FakeDriver
from tests.fuzz.loop import VirtualLoop
from tests.fuzz.network import FakePeerLink
from tests.fuzz.oracle import CallerRecord, Oracle

__all__ = ["ADAPTERS", "Node", "World"]

LIST_LAG_S = 4.0
CHECK_S = 0.2
ADAPTERS = [AdapterRef("cups", "1"), AdapterRef("cups", "2"), AdapterRef("rope", "1")]
FENCED_POOL = Pool("script", PoolKind.ENGINE, True, 2, 3, 0.1, 0.3)
UNFENCED_POOL = Pool("old", PoolKind.ENGINE, False, 2, 3, 0.1, 0.3)
PLAIN_POOL = Pool("store", PoolKind.PLAIN, False, 0, 3)
POOLS_BY_NAME = {pool.name: pool for pool in (FENCED_POOL, UNFENCED_POOL, PLAIN_POOL)}
ERROR_COUNTERS = frozenset({"task_error", "owner.run_error", "stop_timeout"})
DOMAINS = (
    "peers",
    "membership",
    "gossip",
    "quarantine",
    "turns",
    "owner",
    "gateway",
)
real_setups = (
    fescuekeel.components.membership,
    fescuekeel.components.gossip,
    fescuekeel.components.quarantine,
    fescuekeel.components.turns,
    fescuekeel.components.owner,
)


class FakeIntent:
    """Tree with pools only; each request comes with its policy."""

    revision = 1
    pools_by_name = POOLS_BY_NAME

    def authenticate(self, token):
        return None

    def resolve(self, *names):
        return Err(Failure(ErrorKind.UNKNOWN_SERVICE))


class FakeKeys:
    """Fake keys component that grants every claim."""

    async def claim(self, key, request_id, digest, lifetime_s):
        return Success(None)

    def settle(self, key, request_id, ran):
        pass


class FakeServer:
    """Fake server of the callers' port."""

    address = ""

    def start(self):
        pass

    def stop_listening(self):
        pass

    async def close(self):
        pass


class RecordingSink:
    """Passes what one caller receives to the oracle."""

    def __init__(self, oracle, record):
        self.oracle = oracle
        self.record = record

    async def deliver(self, data, head):
        if not self.record.caller_left:
            self.oracle.record_data(self.record, data)
        return not self.record.caller_left

    async def finish(self, head):
        if not self.record.caller_left:
            self.oracle.record_finish(self.record)
        return True

    async def fail(self, failure):
        if not self.record.caller_left:
            self.oracle.record_failure(self.record, failure)
        return True


class Node:
    """One fake process: the real components on their own event loop."""

    def __init__(self, world, id, data_centre):
        self.world = world
        self.id = id
        self.data_centre = data_centre
        self.paused = self.dead = self.killed = self.draining = False
        self.paused_at = self.woke_at = -math.inf
        self.inbox = []
        self.loop = VirtualLoop(lambda: world.now)
        self.loop.set_exception_handler(lambda loop, context: None)
        settings = make_settings(id, data_centre)
        self.instance = Instance(settings, clock=lambda: world.now)
        self.started = world.now
        self.link = FakePeerLink(world, self)
        components = self.instance.components_by_domain
        components["peers"] = self.link
        components["keys"] = FakeKeys()
        self.instance.bus.publish_state(TreeInForce(FakeIntent()))
        self.instance.bus.publish_state(world.live_list)
        for domain in DOMAINS[1:-1]:
            components[domain] = REGISTRY.setups_by_domain[domain](self.instance)
        self.gateway = components["gateway"] = Gateway(self.instance)
        self.gateway.server = FakeServer()
        self.loop.create_task(self._start())

    async def _start(self):
        for domain in DOMAINS:
            await self.instance.components_by_domain[domain].start()
        self._check_periodically(self.world.now)

    def _check_periodically(self, last):
        """Check the connections and read the live list periodically."""
        now = self.world.now
        if now - last > 2 * CHECK_S:
            self.link.restart_timeouts()
        self.link.check()
        listed = self.world.read_list(self)
        if listed != self.instance.bus.latest(LiveList):
            self.instance.bus.publish_state(listed)
        self.loop.call_later(CHECK_S, self._check_periodically, now)

    async def drain(self):
        """Shut down gracefully."""
        self.instance.draining = True
        for domain in reversed(DOMAINS):
            await self.instance.components_by_domain[domain].stop()
        self.world.call_later(0.0, lambda: self.world.kill(self))


class World:
    """Simulation of time, the network, the platform and all processes."""

    def __init__(self):
        self.now = 0.0
        self.oracle = Oracle(self)
        self.events = []
        self.numbers = itertools.count(1)
        self.incarnations = itertools.count(1000)
        self.nodes_by_id = {}
        self.engines_by_id = {}
        self.cut_centres = set()
        self.cut_links = set()
        self.held_messages = []
        self.delays = {}
        self.stalled_until = {}
        self.list_frozen = None
        self.list_history = [(-100.0, LiveList())]
        self.patches = [
            patch.dict(
                DRIVERS.factories_by_kind,
                dict.fromkeys(PoolKind, self._make_driver),
            ),
            patch("fescuekeel.components.owner.endpoint.time", self),
        ]
        for item in self.patches:
            item.start()

    # Time.

    def call_later(self, delay_s, callback):
        """Schedule a callback after a delay."""
        entry = (self.now + delay_s, next(self.numbers), callback)
        heapq.heappush(self.events, entry)

    def advance(self, seconds):
        """Advance the virtual time, and run what becomes due."""
        until = self.now + seconds
        while True:
            for node in list(self.nodes_by_id.values()):
                if not node.paused and not node.dead:
                    node.loop.run_due()
            due = self._find_next()
            if due > until:
                self.now = until
                return
            # Timers fire slightly late, as on a real clock.
            self.now = max(self.now, due + 1e-6)
            while self.events and self.events[0][0] <= self.now:
                heapq.heappop(self.events)[2]()

    def _find_next(self):
        times = [
            node.loop.next_time
            for node in self.nodes_by_id.values()
            if not node.paused and not node.dead
        ]
        if self.events:
            times.append(self.events[0][0])
        return min(times, default=float("inf"))

    def time_ns(self):
        """Return the wall-clock time of the running process."""
        return asyncio.get_running_loop().time_ns()

    # The network.

    def is_cut(self, one, two):
        if (one.id, two.id) in self.cut_links:
            return True
        centres = {one.data_centre, two.data_centre}
        return len(centres) > 1 and bool(centres & self.cut_centres)

    def transmit(self, connection, sender, receiver, callback):
        """Deliver a message over a connection, in order."""
        delay_s = self.delays.get((sender.id, receiver.id), 0.001)
        earliest = connection.arrival_by_receiver.get(receiver.id, 0.0)
        arrival = max(self.now + delay_s, earliest)
        connection.arrival_by_receiver[receiver.id] = arrival

        def arrive():
            if connection.lost or connection.frozen:
                return
            if self.is_cut(sender, receiver):
                self.held_messages.append((connection, receiver, callback))
                return
            self._put(receiver, callback)

        self.call_later(arrival - self.now, arrive)

    def to_node(self, node, delay_s, callback):
        """Deliver an endpoint's reply to a process."""
        self.call_later(delay_s, lambda: self._put(node, callback))

    def _put(self, node, callback):
        if node.dead:
            return
        if node.paused:
            node.inbox.append(callback)
            return
        node.loop.call_soon(callback)

    def cut(self, data_centre):
        self.cut_centres.add(data_centre)
        self.oracle.record_fault("cut")

    def cut_links_of(self, node, *engines):
        """Cut a process from endpoints; peers and callers still reach it."""
        self.cut_links |= {(node.id, engine.id) for engine in engines}
        self.oracle.record_fault("cut links")

    def silence(self, engine, seconds):
        """Let an endpoint send nothing for a while; it is sound."""
        engine.silent_until = self.now + seconds

    def heal(self, deliver):
        """End all cuts, and deliver or drop the messages held back."""
        if self.cut_centres or self.cut_links:
            self.oracle.record_fault("heal")
        self.cut_centres.clear()
        self.cut_links.clear()
        for connection, receiver, callback in self.held_messages:
            if deliver and not connection.lost:
                self._put(receiver, callback)
        self.held_messages.clear()

    def drop_connections(self, one, two):
        """Drop the connections between two processes."""
        self.oracle.record_fault("drop")
        for node, peer in ((one, two), (two, one)):
            connection = node.link.connections_by_id.get(peer.id)
            if connection is not None:
                connection.lost = True
                self._put(
                    node, lambda node=node, c=connection: node.link.handle_loss(c)
                )

    def freeze_connections(self, one, two, late_s):
        """Freeze the connections between two processes.

        The second process notices ``late_s`` later than the first.
        """
        self.oracle.record_fault("freeze")
        for node, peer, noticed_late_s in ((one, two, 0.0), (two, one, late_s)):
            connection = node.link.connections_by_id.get(peer.id)
            if connection is not None and not node.dead:
                node.link.freeze(connection, noticed_late_s)

    def stall_orders(self, node, engine, seconds):
        """Delay a process's orders to an endpoint."""
        self.oracle.record_fault("stall")
        self.stalled_until[node.id, engine.id] = self.now + seconds

    def order_delay(self, node, engine):
        stalled_until = self.stalled_until.get((node.id, engine.id), 0.0)
        until = max(stalled_until, engine.silent_until)
        return max(0.001, until - self.now)

    # Processes.

    def next_incarnation(self):
        return next(self.incarnations)

    def add_node(self, data_centre):
        id = f"i{len(self.nodes_by_id) + 1}"
        self.nodes_by_id[id] = Node(self, id, data_centre)
        self.update_list()
        return self.nodes_by_id[id]

    @property
    def live_nodes(self):
        return [node for node in self.nodes_by_id.values() if not node.dead]

    @property
    def has_lasting_fault(self):
        """Return whether a fault is active now."""
        paused = any(node.paused for node in self.live_nodes)
        slow = any(delay_s > 0.01 for delay_s in self.delays.values())
        return paused or slow or bool(self.cut_centres or self.cut_links)

    def pause(self, node):
        self.oracle.record_fault("pause")
        if not node.paused:
            node.paused_at = self.now
        node.paused = True

    def wake(self, node):
        if node.paused:
            self.oracle.record_fault("wake")
            node.woke_at = self.now
        node.paused = False
        for callback in node.inbox:
            node.loop.call_soon(callback)
        node.inbox.clear()

    def kill(self, node, is_fault=False):
        node.killed |= is_fault
        if is_fault:
            self.oracle.record_fault("kill")
        if node.dead:
            return
        node.dead = True
        self.record_errors(node)
        node.loop.kill()
        self.update_list()
        for peer in self.live_nodes:
            connection = peer.link.connections_by_id.get(node.id)
            if connection is not None and not self.is_cut(peer, node):
                self._put(peer, lambda p=peer, c=connection: p.link.handle_loss(c))

    def record_errors(self, node):
        """Pass a process's counters to the oracle, which rejects errors."""
        for name, count in node.instance.metrics.counters_by_name.items():
            self.oracle.counts[f"metric.{name}"] += count
            failed = name.startswith("actor_error") or name in ERROR_COUNTERS
            self.oracle.check(not failed, "a task failed", name)

    def drain(self, node):
        if not node.draining:
            node.draining = True
            node.loop.create_task(node.drain())

    # The platform.

    def add_engine(self, id, data_centre, pool):
        self.engines_by_id[id] = Engine(self, id, data_centre, pool)
        self.update_list()

    def _make_driver(self, instance, address):
        engine = self.engines_by_id[address.partition(":")[0]]
        return FakeDriver(self, self.nodes_by_id[instance.id], engine)

    def list_owners(self, engine):
        """Return the processes in whose state they own an endpoint."""
        found = []
        for node in self.live_nodes:
            owners = node.instance.components_by_domain["owner"].owners_by_endpoint
            owner = owners.get(engine.id)
            if owner is not None and owner.ownership.state is OwnershipState.OWNED:
                found.append(node)
        return found

    def is_split(self, engine):
        """Return whether an owner is missing from another owner's view."""
        pairs = itertools.permutations(self.list_owners(engine), 2)
        return any(
            two.id not in one.instance.bus.latest(MemberView).members_by_id
            for one, two in pairs
        )

    def list_paused_lease_holders(self, engine):
        """Return the paused owners whose lease of an endpoint is valid."""
        paused = [node for node in self.list_owners(engine) if node.paused]
        return [
            node
            for node in paused
            if node.instance.components_by_domain["owner"]
            .owners_by_endpoint[engine.id]
            .ownership.may_order(self.now)
        ]

    def update_list(self):
        entries = [
            LiveEntry(node.id, LiveRole.INSTANCE, node.id, node.data_centre, 1)
            for node in self.live_nodes
        ]
        for engine in self.engines_by_id.values():
            entries.append(
                LiveEntry(
                    engine.id,
                    LiveRole.ENDPOINT,
                    f"{engine.id}:{engine.incarnation}",
                    engine.data_centre,
                    engine.incarnation,
                    engine.leaving_since is not None,
                    engine.pool.name,
                )
            )
        self.list_history.append(
            (self.now, LiveList({item.id: item for item in entries}))
        )

    @property
    def live_list(self):
        """Return the live list as published now, which lags."""
        shown = self.now - LIST_LAG_S if self.now > LIST_LAG_S else self.now
        return [item for at, item in self.list_history if at <= shown][-1]

    def read_list(self, node):
        """Return the list that a process reads, or its last one."""
        if self.list_frozen or node.data_centre in self.cut_centres:
            return node.instance.bus.latest(LiveList)
        return self.live_list

    # Callers.

    def submit(self, node, pool, adapter, repeatable, stream, tokens, answer_s):
        """Send a request to an instance."""
        number = len(self.oracle.records_by_id) + 1
        adapter = AdapterRef() if pool.kind is PoolKind.PLAIN else adapter
        stream = stream and pool.kind is PoolKind.ENGINE
        record = CallerRecord(
            f"r{number}", adapter, repeatable, stream, tokens, self.now
        )
        record.node = node
        self.oracle.records_by_id[record.request_id] = record
        fields = ("shop", "service", pool, 0, answer_s, repeatable)
        policy = Policy(*fields, 1.0, 1.0, 0, 0.0, 0.5, 100, adapter)
        caller = CallerInput("", "POST", "/", "", b"")
        admission = Admission(policy, caller, stream, tokens, "")
        sink = RecordingSink(self.oracle, record)
        self._put(node, lambda: self._serve(node, record.request_id, admission, sink))
        return record

    def _serve(self, node, request_id, admission, sink):
        serving = node.gateway.serve(request_id, admission, sink)
        task = node.loop.create_task(serving)
        task.add_done_callback(self._check_result)

    def _check_result(self, task):
        error = None if task.cancelled() else task.exception()
        self.oracle.check(error is None, "a request's task failed", error)

    def disconnect_caller(self, record):
        """Disconnect a caller."""
        record.caller_left = True
        if not record.node.dead:
            self._put(
                record.node,
                lambda: record.node.gateway.handle_caller_disconnect(record.request_id),
            )

    def close(self):
        for node in self.live_nodes:
            node.dead = True
            self.record_errors(node)
            node.loop.kill()
        for item in self.patches:
            item.stop()

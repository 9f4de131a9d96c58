"""Fuzz requests to several instances under faults, checked by an oracle."""

from collections import Counter
from random import Random, seed
from typing import ClassVar

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from tests.fuzz.network import MAX_SILENCE_S
from tests.fuzz.world import ADAPTERS, FENCED_POOL, PLAIN_POOL, UNFENCED_POOL, World

RUNNING_GRACE_S = 30.0
MOST_NODES = 6
# Three times the time to detect a silent connection, and a run of 20 tokens.
MAX_FROZEN_WAIT_S = 3 * MAX_SILENCE_S + 2.0
# A lost owner is noticed after three seconds without a report, and the next
# one waits out its lease.
CUT_KNOWN_S = 8.0
MIN_ANSWERED = 0.9
# Index of the endpoint without fencing.
UNFENCED_INDEX = 2
steps = st.sampled_from([0.02, 0.1, 0.5, 1.5, 3.0, 6.0])
stalls = st.sampled_from([0.0, 0.3, 2.0, 8.0])
# A sound endpoint is silent for somewhat over a second at most.
silences = st.sampled_from([0.5, 1.0, 1.3])
# A message takes 1 ms, so these pause between a request and its order.
gaps = st.sampled_from([0.0005, 0.0015, 0.0025, 0.0035])
seeds = st.integers(0, 999)
picks = st.integers(0, 7)


class Fleet(RuleBasedStateMachine):
    """Instances in two data centres, with fenced and unfenced engines."""

    totals: ClassVar = Counter()

    def __init__(self):
        super().__init__()
        self.world = World()

    @initialize()
    def begin(self):
        world = self.world
        world.add_engine("e1", "dc1", FENCED_POOL)
        world.add_engine("e2", "dc2", FENCED_POOL)
        world.add_engine("u1", "dc1", UNFENCED_POOL)
        world.add_engine("p1", "dc1", PLAIN_POOL)
        for data_centre in ("dc1", "dc1", "dc2"):
            world.add_node(data_centre)
        world.advance(8.0)

    def node(self, pick):
        nodes = self.world.live_nodes or [self.world.add_node("dc1")]
        return nodes[pick % len(nodes)]

    def engine(self, pick):
        engines = list(self.world.engines_by_id.values())
        return engines[pick % len(engines)]

    # Callers and time.

    def submit(self, random):
        """Send a random request to an instance that is not paused."""
        if all(node.paused for node in self.world.live_nodes):
            return
        self.world.submit(
            random.choice([node for node in self.world.live_nodes if not node.paused]),
            random.choice(
                [
                    FENCED_POOL,
                    FENCED_POOL,
                    FENCED_POOL,
                    UNFENCED_POOL,
                    UNFENCED_POOL,
                    PLAIN_POOL,
                ]
            ),
            random.choice(ADAPTERS),
            repeatable=random.random() < 0.5,
            stream=random.random() < 0.5,
            tokens=random.choice([1, 5, 20]),
            answer_s=random.choice([3.0, 8.0]),
        )

    @rule(pick=st.integers(0, 99))
    def caller_leaves(self, pick):
        open_records = [
            record
            for record in self.world.oracle.records_by_id.values()
            if not record.outcome
        ]
        if open_records:
            self.world.disconnect_caller(open_records[pick % len(open_records)])

    @rule(seconds=steps, per_s=st.sampled_from([0, 1, 4]), seed=seeds)
    def serve(self, seconds, per_s, seed):
        """Let time pass while callers send requests."""
        random = Random(seed)
        count = max(1, round(seconds * per_s)) if per_s else 0
        for _ in range(count):
            self.submit(random)
            self.world.advance(seconds / count)
        if not count:
            self.world.advance(seconds)

    @rule(seconds=steps, seed=seeds)
    def serve_busily(self, seconds, seed):
        self.serve(seconds, 6, seed)

    @invariant()
    def promises_hold(self):
        assert not self.world.oracle.violations, self.world.oracle.violations

    # Processes.

    def owner(self, pick):
        """Return an engine and the process that owns it, if one does."""
        engine = self.engine(pick)
        owners = self.world.list_owners(engine)
        return engine, owners[0] if owners else self.node(pick)

    @rule(pick=picks)
    def pause(self, pick):
        self.world.pause(self.node(pick))

    @rule(pick=picks)
    def wake(self, pick):
        self.world.wake(self.node(pick))

    @rule(pick=picks, paused_s=steps, stall_s=stalls, gap_s=gaps, seed=seeds)
    def pause_owner(self, pick, paused_s, stall_s, gap_s, seed):
        """Pause a busy owner whose orders may still be in flight."""
        engine, node = self.owner(pick)
        self.serve(0.5, 8, seed)
        if stall_s:
            self.world.stall_orders(node, engine, stall_s)
            self.serve(0.1, 20, seed)
        self.pause_in_exchange(node, gap_s, seed)
        self.serve(paused_s, 4, seed)
        self.world.wake(node)
        self.serve(0.3, 8, seed)

    def pause_in_exchange(self, node, gap_s, seed):
        """Pause a process while its requests to peers are in flight."""
        random = Random(seed)
        for _ in range(5):
            self.submit(random)
        self.world.advance(gap_s)
        self.world.pause(node)

    @rule(pick=picks, seed=seeds, is_graceful=st.booleans())
    def replace_owner(self, pick, seed, is_graceful):
        """Add an instance, and drain or kill a busy owner."""
        _, node = self.owner(pick)
        self.world.add_node(node.data_centre)
        self.serve(0.5, 8, seed)
        if is_graceful:
            self.world.drain(node)
        else:
            self.world.kill(node, is_fault=True)
        self.serve(3.0, 4, seed)

    @rule(pick=picks, seed=seeds)
    def drop_owners_connections(self, pick, seed):
        """Drop a busy owner's connections and the messages in flight."""
        self.serve(0.3, 10, seed)
        node = self.owner(pick)[1]
        for peer in self.world.live_nodes:
            self.world.drop_connections(node, peer)
        self.serve(0.3, 4, seed)

    @precondition(lambda self: len(self.world.live_nodes) < MOST_NODES)
    @rule(pick=picks, fresh=st.integers(1, 2), paused_s=steps, gap_s=gaps, seed=seeds)
    def start_beside_paused_owner(self, pick, fresh, paused_s, gap_s, seed):
        """Start instances that take over from a paused busy owner."""
        # Prefers the unfenced endpoint, which only the lease protects.
        _, node = self.owner(pick if pick < 4 else UNFENCED_INDEX)
        self.serve(0.5, 8, seed)
        self.pause_in_exchange(node, gap_s, seed)
        for _ in range(fresh):
            self.world.add_node(node.data_centre)
        self.serve(paused_s, 4, seed)
        self.world.wake(node)
        self.serve(0.5, 8, seed)

    @rule(pick=picks, lent_s=st.sampled_from([0.6, 1.0, 1.5]), seed=seeds)
    def alternate_owners(self, pick, lent_s, seed):
        """Let endpoints go to an instance that joins, and back when it leaves.

        Requests whose first attempt a busy endpoint refused run at the owner
        in between, and still do when the first owner takes over again.
        """
        for number in range(2):
            _, node = self.owner(pick)
            self.serve(0.2, 20, seed + number)
            for engine in self.world.engines_by_id.values():
                engine.refusals_left = 6
            self.serve(0.4, 20, seed + number)
            joined = self.world.add_node(node.data_centre)
            self.serve(lent_s, 12, seed + number)
            self.world.drain(joined)
            self.serve(1.5, 20, seed + number)

    @rule(pick=picks, skew_s=st.sampled_from([-100.0, 0.0, 50.0]))
    def skew_clock(self, pick, skew_s):
        self.node(pick).loop.skew_s = skew_s

    # Connections.

    @rule(data_centre=st.sampled_from(["dc1", "dc2"]))
    def cut(self, data_centre):
        self.world.cut(data_centre)

    @rule(pick=picks, is_all=st.booleans(), seconds=steps, seed=seeds)
    def cut_links_of_owner(self, pick, is_all, seconds, seed):
        """Cut a busy owner from its endpoint, or from all of them."""
        engine, node = self.owner(pick)
        self.serve(0.3, 10, seed)
        engines = self.world.engines_by_id.values() if is_all else [engine]
        self.world.cut_links_of(node, *engines)
        self.serve(seconds, 4, seed)

    @rule(pick=picks, seconds=silences, seed=seeds)
    def silence_endpoint(self, pick, seconds, seed):
        """Let a sound and busy endpoint send nothing for a while."""
        self.serve(0.3, 10, seed)
        self.world.silence(self.engine(pick), seconds)
        self.serve(seconds, 4, seed)

    @rule(deliver=st.booleans())
    def heal(self, deliver):
        self.world.heal(deliver)

    @rule(one=picks, two=picks)
    def drop_connections(self, one, two):
        self.world.drop_connections(self.node(one), self.node(two))

    @rule(one=picks, pick=picks, late_s=st.sampled_from([0.0, 0.5, 3.0]), seed=seeds)
    def freeze_owners_connections(self, one, pick, late_s, seed):
        """Freeze connections of a busy owner, which may notice it later."""
        self.serve(0.3, 10, seed)
        self.world.freeze_connections(self.node(one), self.owner(pick)[1], late_s)
        self.serve(0.3, 10, seed)

    @rule(one=picks, two=picks, delay_s=st.sampled_from([0.001, 0.05, 0.3]))
    def slow_link(self, one, two, delay_s):
        self.world.delays[self.node(one).id, self.node(two).id] = delay_s

    # Endpoints and the platform.

    @rule(node=picks, engine=picks, seconds=st.sampled_from([0.5, 3.0, 12.0]))
    def stall_orders(self, node, engine, seconds):
        self.world.stall_orders(self.node(node), self.engine(engine), seconds)

    @rule(pick=picks, seed=seeds)
    def restart_engine(self, pick, seed):
        """Restart an endpoint while it runs requests and loads adapters."""
        self.serve(0.3, 20, seed)
        self.world.oracle.record_fault("restart")
        self.engine(pick).restart()

    @rule(pick=picks, count=st.integers(1, 3))
    def fail_loads(self, pick, count):
        self.engine(pick).load_failures_left = count

    @rule(pick=picks, lag_s=st.sampled_from([0.0, 0.5, 2.0]))
    def lag_reports(self, pick, lag_s):
        self.engine(pick).report_lag_s = lag_s

    @rule(pick=picks)
    def endpoint_leaves_or_returns(self, pick):
        engine = self.engine(pick)
        if engine.leaving_since is None:
            engine.leaving_since = self.world.now
        elif self.world.now - engine.leaving_since > 8.0:
            engine.leaving_since = None
            engine.incarnation += 1
            engine.restart()
        self.world.update_list()

    @rule(frozen=st.booleans())
    def freeze_list(self, frozen):
        self.world.list_frozen = frozen

    def teardown(self):
        """End all faults, and check that every response ends."""
        try:
            if self.world.nodes_by_id:
                self._recover()
        finally:
            self.world.close()
            self.totals.update(self.world.oracle.counts)
        assert not self.world.oracle.violations, self.world.oracle.violations

    def _recover(self):
        world = self.world
        world.heal(deliver=True)
        world.list_frozen = None
        world.delays.clear()
        for node in world.live_nodes:
            world.wake(node)
        for engine in world.engines_by_id.values():
            engine.report_lag_s, engine.load_failures_left = 0.0, 0
        world.advance(8.0 + RUNNING_GRACE_S + 10.0)
        for record in world.oracle.records_by_id.values():
            settled = record.outcome or record.caller_left or record.node.killed
            world.oracle.check(settled, "a response never ended", record)


class TestGracefulShutdown:
    def test_replacing_one_after_the_other_cuts_nothing(self):
        """Guards against cut or lost responses during a rolling update."""
        for number in range(3):
            seed(number)
            fleet = Fleet()
            fleet.begin()
            for pick in range(4):
                fleet.replace_owner(pick, number, is_graceful=True)
            fleet.teardown()


class TestCutLinks:
    @pytest.mark.parametrize("number", range(6))
    def test_another_instance_serves_what_an_owner_cannot_reach(self, number):
        """Guards against an owner that is cut off and keeps its endpoints.

        An instance loses its links to all endpoints, peers still reach it, and
        a sound endpoint is silent for a while.
        """
        seed(number)
        fleet = Fleet()
        fleet.begin()
        fleet.serve(2.0, 4, number)
        owner = fleet.owner(number)[1]
        engines = fleet.world.engines_by_id.values()
        fleet.world.cut_links_of(owner, *engines)
        fleet.serve(CUT_KNOWN_S, 4, number)
        began_at = fleet.world.now
        fleet.world.silence(fleet.engine(number + 1), 1.3)
        fleet.serve(6.0, 4, number)
        fleet.teardown()
        outcomes = Counter(
            record.outcome
            for record in fleet.world.oracle.records_by_id.values()
            if record.started_at >= began_at
        )
        assert outcomes["answered"] >= MIN_ANSWERED * outcomes.total(), outcomes


class TestFrozenConnections:
    @pytest.mark.parametrize("number", range(12))
    def test_no_response_waits_for_its_deadline(self, number):
        """Guards against requests that hang because a message was lost.

        The connections between an entry and an owner freeze, and the owner
        notices seconds later than the entry.
        """
        seed(number)
        random = Random(number)
        fleet = Fleet()
        fleet.begin()
        fleet.serve(2.0, 4, number)
        owner = fleet.owner(number)[1]
        entries = [node for node in fleet.world.live_nodes if node is not owner]
        entry = random.choice(entries)
        fleet.world.freeze_connections(entry, owner, late_s=3.0)
        frozen_at = fleet.world.now
        fleet.serve(random.choice([0.5, 1.5, 3.0]), 4, number)
        fleet.teardown()
        records = fleet.world.oracle.records_by_id.values()
        assert "expired" not in {record.outcome for record in records}
        waits_s = [
            record.ended_at - max(frozen_at, record.started_at) for record in records
        ]
        assert max(waits_s) < MAX_FROZEN_WAIT_S


TestFleet = Fleet.TestCase
TestFleet.settings = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=18,
    stateful_step_count=30,
)

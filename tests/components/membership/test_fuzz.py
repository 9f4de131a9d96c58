"""Stateful fuzzing of the membership decision."""

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from fescuekeel.messages import EndpointLeaving, LiveEntry, LiveRole
from tests.components.membership.network import Network, make_live

IDS = ["i1", "i2", "i3", "i4", "i5"]
ENDPOINT = LiveEntry("e1", LiveRole.ENDPOINT, "e1:1", "dc1", 1)
HEAL_S = 25.0
# Long enough to suspect an unreachable peer, too short to declare it dead.
SUSPECTING_S = 1.8


class MembershipMachine(RuleBasedStateMachine):
    """Inject faults at random; check the views after everything heals."""

    def __init__(self):
        super().__init__()
        self.network = Network(IDS)
        self.incarnation = 1
        self.informed = set()
        for id in IDS:
            self.network.deliver(id, make_live(IDS, [ENDPOINT]))

    @rule(seconds=st.sampled_from([0.1, 0.5, 2.0, 6.0]))
    def run_on(self, seconds):
        self.network.run(seconds)

    @rule(loss=st.sampled_from([0.0, 0.1, 0.5]))
    def lose(self, loss):
        self.network.loss = loss

    @rule(side=st.sets(st.sampled_from(IDS)))
    def cut(self, side):
        self.network.partitioned = side

    @rule(id=st.sampled_from(IDS))
    def pause(self, id):
        self.network.paused.add(id)

    @rule(id=st.sampled_from(IDS))
    def resume(self, id):
        """Resume one; it removes only members that are, or are said, gone."""
        before = self.network.list_alive_members(id)
        self.network.reported_gone[id].clear()
        self.network.resume(id)
        assert before <= self.network.list_members(id) | self.network.reported_gone[id]

    @rule(id=st.sampled_from(IDS))
    def pause_in_doubt(self, id):
        """Pause an instance that suspects others after a short partition."""
        self.network.partitioned = {id}
        self.network.run(SUSPECTING_S)
        self.network.partitioned = set()
        self.pause(id)
        self.network.run(6.0)
        self.resume(id)

    @rule(id=st.sampled_from(IDS))
    def kill(self, id):
        self.network.dead.add(id)

    @rule(id=st.sampled_from(IDS))
    def replace(self, id):
        self.incarnation += 100
        self.network.paused.discard(id)
        self.network.deferred_by_id.pop(id, None)
        self.network.add(id, self.incarnation)
        self.informed.discard(id)
        self.network.deliver(id, make_live(IDS, [ENDPOINT]))

    @rule(id=st.sampled_from(IDS))
    def endpoint_leaves(self, id):
        if id not in self.network.dead | self.network.paused:
            self.network.deliver(id, EndpointLeaving("e1", 1))
            self.informed.add(id)

    @invariant()
    def one_is_in_ones_own_view(self):
        assert all(id in self.network.list_members(id) for id in IDS)

    @invariant()
    def leaving_is_not_forgotten(self):
        for id in self.informed:
            assert not self.network.views[id].endpoints_by_id

    def teardown(self):
        network = self.network
        network.loss, network.partitioned = 0.0, set()
        for id in IDS:
            network.resume(id)
        network.run(HEAL_S)
        alive = set(IDS) - network.dead
        for id in alive:
            assert network.list_members(id) == alive
        if self.informed - network.dead:
            assert not any(network.views[id].endpoints_by_id for id in alive)


class TestResumedInstance:
    # Guards against a check that expects an instance to keep the earlier life
    # of a peer that was killed and has started anew.
    def test_it_may_remove_a_peer_that_was_killed_before(self):
        machine = MembershipMachine()
        machine.cut(side={"i1"})
        machine.kill(id="i2")
        machine.run_on(seconds=2.0)
        machine.pause(id="i3")
        machine.run_on(seconds=0.5)
        machine.replace(id="i2")
        machine.resume(id="i3")
        machine.teardown()


TestMembershipFuzz = MembershipMachine.TestCase
TestMembershipFuzz.settings = settings(
    max_examples=100, stateful_step_count=25, derandomize=True, deadline=None
)

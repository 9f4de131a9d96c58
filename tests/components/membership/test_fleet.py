"""Tests of membership in a simulated fleet of 195 instances."""

from collections import Counter, defaultdict

from fescuekeel.components.membership.events import Probe, SendNews
from fescuekeel.messages import PeerAuthenticated
from tests.components.membership.network import Network

FLEET = 195
SEEDS = 3
# Instances claim endpoints after a lease of three seconds; by then they have
# to know each other.
DISCOVERY_BOUND_S = 3.0
# Longer than for one failure: half of the probing instances fail as well.
HALF_DEAD_BOUND_S = 10.0


class Fleet(Network):
    """Start instances with ``SEEDS`` seeds each; count their messages."""

    def __init__(self, size):
        self.sent = Counter()
        self.longest = 0
        self.targets = defaultdict(set)
        super().__init__([])
        self.ids = [f"i{number}" for number in range(size)]
        for id in self.ids:
            self.add(id, 1)
        for id in self.ids:
            for seed in self.ids[:SEEDS]:
                if seed != id:
                    self.deliver(id, PeerAuthenticated(seed, f"{seed}:1", "dc1", 1))
                    self.deliver(seed, PeerAuthenticated(id, f"{id}:1", "dc1", 1))

    def run_effect(self, id, effect):
        if isinstance(effect, Probe | SendNews):
            self.sent[id] += 1
            self.targets[id].add(effect.target)
            self.longest = max(self.longest, len(effect.news))
        super().run_effect(id, effect)

    def run_until(self, condition, bound):
        """Run until a condition holds; return the elapsed time, or None."""
        began = self.now
        while self.now - began < bound:
            self.run(0.1)
            if condition():
                return self.now - began
        return None


class TestStart:
    def test_all_instances_discover_each_other_after_a_common_start(self):
        """After all instances started at once, endpoints had no holder.

        Messages were too small for all the news, so instances knew only parts
        of the fleet for a while and chose different holders.
        """
        fleet = Fleet(FLEET)
        everybody = set(fleet.ids)

        def all_know_all():
            return all(fleet.list_members(id) == everybody for id in fleet.ids)

        assert fleet.run_until(all_know_all, DISCOVERY_BOUND_S) is not None


class TestSteadyState:
    def test_messages_and_connections_do_not_grow_with_the_fleet(self):
        """Every instance kept a connection to every other one."""
        sent_by_fleet = {}
        for size in (9, FLEET):
            fleet = Fleet(size)
            fleet.run(20)
            fleet.sent.clear()
            fleet.targets.clear()
            fleet.run(20)
            sent_by_fleet[size] = max(fleet.sent.values())
            assert max(map(len, fleet.targets.values())) <= 8
        assert sent_by_fleet[FLEET] <= 1.2 * sent_by_fleet[9]


class TestSync:
    def test_missed_news_is_recovered_by_comparing_digests(self):
        """Two instances never learned of a third, and never used it.

        They had missed its gossip, which is sent a bounded number of times.
        """
        fleet = Fleet(FLEET)
        fleet.run(10)
        members = fleet.nodes["i20"]._members
        del members.records_by_id["i90"]
        members._digest = None
        elapsed = fleet.run_until(lambda: "i90" in members.records_by_id, 3.0)
        assert elapsed is not None

    def test_equal_digests_cause_no_full_sync(self):
        fleet = Fleet(FLEET)
        fleet.run(10)
        fleet.longest = 0
        fleet.run(10)
        assert fleet.longest <= 3


class TestFailureDetection:
    def test_failure_of_half_the_fleet_is_detected_everywhere(self):
        fleet = Fleet(FLEET)
        fleet.run(10)
        fleet.dead |= set(fleet.ids[::2])
        living = set(fleet.ids) - fleet.dead

        def only_living_are_members():
            return all(fleet.list_members(id) == living for id in living)

        elapsed = fleet.run_until(only_living_are_members, HALF_DEAD_BOUND_S)
        assert elapsed is not None

    def test_one_failure_is_detected_as_fast_as_in_a_small_fleet(self):
        fleet = Fleet(FLEET)
        fleet.run(10)
        fleet.dead.add("i77")
        living = set(fleet.ids) - {"i77"}

        def failure_is_detected():
            return all(fleet.list_members(id) == living for id in living)

        assert fleet.run_until(failure_is_detected, 4.0) is not None

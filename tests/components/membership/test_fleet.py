"""Tests of what a member does and learns in a fleet of two hundred."""

from collections import Counter, defaultdict

from fescuekeel.components.membership.events import Probe, Tell
from fescuekeel.messages import PeerMet
from tests.components.membership.network import Network

FLEET = 195
SEEDS = 3
# Instances that start together have to know each other well before the lease
# of three seconds is over, after which they claim endpoints.
KNOWN_BOUND_S = 3.0
# A death is known to all in a small fleet after three seconds; where half of
# the fleet dies at once, half of those who would notice are dead, too.
HALF_DEAD_BOUND_S = 10.0


class Fleet(Network):
    """Start instances that know three seeds each, and count what they send."""

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
                    self.give(id, PeerMet(seed, f"{seed}:1", "dc1", 1))
                    self.give(seed, PeerMet(id, f"{id}:1", "dc1", 1))

    def carry(self, id, effect):
        if isinstance(effect, Probe | Tell):
            self.sent[id] += 1
            self.targets[id].add(effect.target)
            self.longest = max(self.longest, len(effect.news))
        super().carry(id, effect)

    def run_until(self, holds, bound):
        """Run until something holds; return when, or None."""
        began = self.now
        while self.now - began < bound:
            self.run(0.1)
            if holds():
                return self.now - began
        return None


class TestStart:
    def test_all_know_all_soon_after_a_common_start(self):
        """For ten seconds after a loss of all power, endpoints had no holder.

        Two hundred instances started at once. Each had ten pieces of news in
        a message and some hundred to tell, so that for over 20 seconds every
        instance knew only a part of the fleet and chose other holders.
        """
        fleet = Fleet(FLEET)
        everybody = set(fleet.ids)

        def all_know_all():
            return all(fleet.sees(id) == everybody for id in fleet.ids)

        assert fleet.run_until(all_know_all, KNOWN_BOUND_S) is not None


class TestSteadyState:
    def test_messages_and_connections_do_not_grow_with_the_fleet(self):
        """Each of 195 instances kept a connection to each other one.

        Every one of them was probed in turn, and told of news: 413 sockets,
        and the handshakes of 194 connections after each start.
        """
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


class TestDifference:
    def test_who_has_missed_news_learns_it_from_any_message(self):
        """One of 195 instances was never asked for anything by two others.

        They had missed the news of it, which is passed on a bounded number of
        times, and no later message told them.
        """
        fleet = Fleet(FLEET)
        fleet.run(10)
        beliefs = fleet.nodes["i20"]._beliefs
        del beliefs.records_by_id["i90"]
        beliefs._digest = None
        knows = fleet.run_until(lambda: "i90" in beliefs.records_by_id, 3.0)
        assert knows is not None

    def test_equal_members_are_not_told_whole(self):
        fleet = Fleet(FLEET)
        fleet.run(10)
        fleet.longest = 0
        fleet.run(10)
        assert fleet.longest <= 3


class TestLoss:
    def test_half_of_the_fleet_is_gone_everywhere(self):
        fleet = Fleet(FLEET)
        fleet.run(10)
        fleet.dead |= set(fleet.ids[::2])
        living = set(fleet.ids) - fleet.dead

        def only_the_living_are_known():
            return all(fleet.sees(id) == living for id in living)

        gone = fleet.run_until(only_the_living_are_known, HALF_DEAD_BOUND_S)
        assert gone is not None

    def test_one_death_is_known_within_the_bound_of_a_small_fleet(self):
        fleet = Fleet(FLEET)
        fleet.run(10)
        fleet.dead.add("i77")
        living = set(fleet.ids) - {"i77"}

        def death_is_known():
            return all(fleet.sees(id) == living for id in living)

        assert fleet.run_until(death_is_known, 4.0) is not None

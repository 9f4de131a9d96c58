"""Tests of the membership decision."""

from random import Random

import pytest

from fescuekeel.components.membership.decision import Membership
from fescuekeel.components.membership.events import (
    Leave,
    PingReceived,
    Probe,
    ProbeAnswered,
    ProbeFailed,
    PublishTree,
    PublishView,
    Tick,
)
from fescuekeel.const import LEAVING_BOUND_S
from fescuekeel.messages import (
    EndpointLeaving,
    InstanceState,
    LiveEntry,
    LiveList,
    LiveRole,
    Member,
    News,
    NewsKind,
    PeerAuthenticated,
    PeerMessage,
    Ping,
    TreeAnnounced,
    TreeStored,
)
from tests.components.membership.network import Network, make_live

IDS = [f"i{number}" for number in range(1, 9)]
DEAD_BOUND_S = 3.0


def make_endpoint(incarnation=1, leaving=False):
    return LiveEntry(
        "e1", LiveRole.ENDPOINT, "e1:1", "dc1", incarnation, leaving, "pool"
    )


class TestFailureDetection:
    def test_dead_instance_is_removed_everywhere_within_the_bound(self):
        network = Network(IDS)
        network.run(5)
        network.dead.add("i3")
        network.run(DEAD_BOUND_S)
        for id in set(IDS) - {"i3"}:
            assert network.list_members(id) == set(IDS) - {"i3"}

    def test_stale_live_list_does_not_revive_a_dead_instance(self):
        # The platform's list lags: requests would go to a dead owner.
        network = Network(IDS)
        network.dead.add("i3")
        network.run(5)
        network.deliver("i1", make_live(IDS))
        assert "i3" not in network.list_members("i1")

    def test_restart_under_the_same_id_is_a_member_again(self):
        network = Network(IDS)
        network.dead.add("i3")
        network.run(5)
        network.add("i3", 2)
        network.deliver("i3", make_live(IDS))
        network.run(2)
        assert all("i3" in network.list_members(id) for id in IDS)

    def test_instance_that_the_list_drops_remains_while_it_answers(self):
        network = Network(IDS)
        network.run(1)
        for id in IDS:
            network.deliver(id, make_live(set(IDS) - {"i3"}))
        network.run(10)
        assert all("i3" in network.list_members(id) for id in IDS)

    def test_one_broken_link_causes_no_suspicion(self):
        # An owner that one peer cannot reach must not be replaced while all
        # the other peers can reach it.
        network = Network(IDS)
        network.run(1)
        reaches = network.reaches
        network.reaches = lambda one, other: (
            {one, other} != {"i1", "i3"} and (reaches(one, other))
        )
        for _ in range(100):
            network.run(0.1)
            members = network.views["i1"].members_by_id.values()
            assert [member.state for member in members] == [InstanceState.ALIVE] * 8

    def test_probes_and_suspicions_from_before_a_pause_are_dropped(self):
        # A process resumes with an expired suspicion or probe, while the
        # answer of the other instance is still in the socket's buffer.
        for suspected in (True, False):
            membership = Membership(Member("i1", "i1:1", "dc1", 1), Random(0))
            membership.handle(make_live(["i1", "i2"]), 0.0)
            membership.handle(Tick(), 0.0)
            if suspected:
                membership.handle(ProbeFailed("i2", 1), 0.4)
            effects = membership.handle(Tick(), 60.0)
            effects += membership.handle(ProbeFailed("i2", 1), 60.0)
            effects += membership.handle(Tick(), 60.25)
            views = [item.view for item in effects if isinstance(item, PublishView)]
            assert all("i2" in view.members_by_id for view in views)
            if not suspected:
                assert not views

    def test_resumed_instance_declares_no_peer_dead(self):
        # After a pause every probe looks unanswered; declaring the peers dead
        # would take over all of their endpoints.
        for pause_s in (2, 5, 60):
            network = Network(IDS)
            network.run(3)
            network.paused.add("i1")
            network.run(pause_s)
            network.resume("i1")
            for _ in range(50):
                network.run(0.1)
                assert network.list_members("i1") == set(IDS)
            assert all("i1" in network.list_members(id) for id in IDS)

    def test_partitioned_sides_rejoin_after_the_partition_heals(self):
        network = Network(IDS)
        network.run(1)
        network.partitioned = {"i1", "i2", "i3"}
        network.run(8)
        assert network.list_members("i1") == network.partitioned
        assert network.list_members("i4") == set(IDS) - network.partitioned
        network.partitioned = set()
        network.run(8)
        assert all(network.list_members(id) == set(IDS) for id in IDS)


class TestLeaving:
    def test_leaving_instance_is_removed_within_a_second(self):
        network = Network(IDS)
        network.run(1)
        network.deliver("i3", Leave())
        network.run(1)
        assert all("i3" not in network.list_members(id) for id in IDS)

    def test_last_instance_remains_a_member_while_it_drains(self):
        network = Network(["i1"])
        network.deliver("i1", Leave())
        assert network.list_members("i1") == {"i1"}

    def test_leaving_endpoint_is_excluded_everywhere_within_the_bound(self):
        # Only its owner knows at first, and the live list lags: others would
        # send new work to an endpoint that shuts down.
        network = Network(IDS)
        for id in IDS:
            network.deliver(id, make_live(IDS, [make_endpoint()]))
        network.run(1)
        network.deliver("i5", EndpointLeaving("e1", 1))
        network.run(LEAVING_BOUND_S)
        assert not any(network.views[id].endpoints_by_id for id in IDS)

    def test_instance_that_joins_later_excludes_a_leaving_endpoint(self):
        network = Network(IDS)
        network.deliver("i5", EndpointLeaving("e1", 1))
        network.run(60)
        network.add("i9", 2)
        network.deliver("i9", make_live(IDS, [make_endpoint()]))
        network.run(LEAVING_BOUND_S)
        assert not network.views["i9"].endpoints_by_id

    def test_instance_that_joins_later_excludes_one_that_left(self):
        """A new instance sent requests to one that had left gracefully.

        The live list still showed it, so only failed probes removed it.
        """
        network = Network(IDS)
        network.deliver("i3", Leave())
        network.run(2)
        network.dead.add("i3")
        network.run(10)
        network.add("i9", 2)
        network.deliver("i9", make_live(IDS))
        network.run(1)
        assert network.list_members("i9") == {*IDS, "i9"} - {"i3"}

    def test_endpoint_remains_leaving_until_a_new_incarnation(self):
        network = Network(["i1"])
        seen = []
        for endpoint in (
            make_endpoint(1),
            make_endpoint(1, leaving=True),
            make_endpoint(1),
            make_endpoint(2),
        ):
            network.deliver("i1", make_live(["i1"], [endpoint]))
            seen.append(bool(network.views["i1"].endpoints_by_id))
        assert seen == [True, False, False, True]


class TestGossip:
    def test_higher_tree_revision_is_published_with_its_holder(self):
        network = Network(IDS)
        for id in IDS:
            network.deliver(id, TreeStored(4, "old"))
        network.deliver("i2", TreeStored(5, "new"))
        network.run(3)
        for id in set(IDS) - {"i2"}:
            assert network.trees_by_id[id] == TreeAnnounced(5, "new", "i2")

    def test_lower_tree_revision_is_not_published(self):
        membership = Membership(Member("i1", "i1:1", "dc1", 1), Random(0))
        membership.handle(TreeStored(5, "new"), 0.0)
        news = (News(NewsKind.TREE_REVISION, "old", 4),)
        ping_received = PingReceived(PeerMessage("i2", 0, Ping(news)), news)
        effects = membership.handle(ping_received, 0.1)
        assert not any(isinstance(effect, PublishTree) for effect in effects)

    @pytest.mark.parametrize(
        "kind", [NewsKind.SUSPECT, NewsKind.DEAD, NewsKind.LEFT, NewsKind.ALIVE]
    )
    def test_false_state_of_this_instance_is_refuted(self, kind):
        membership = Membership(Member("i1", "i1:1", "dc1", 7), Random(0))
        wrong = News(kind, "i1", 9, "elsewhere:1")
        request = PeerMessage("i2", 3, Ping((wrong,)))
        effects = membership.handle(PingReceived(request, (wrong,)), 0.0)
        own = next(effect for effect in effects if hasattr(effect, "request")).news[0]
        assert own == News(NewsKind.ALIVE, "i1", 10, "i1:1", "dc1")

    def test_peer_that_connects_becomes_a_member(self):
        membership = Membership(Member("i1", "i1:1", "dc1", 1), Random(0))
        effects = membership.handle(PeerAuthenticated("i2", "i2:1", "dc2", 8), 0.0)
        member = effects[-1].view.members_by_id["i2"]
        assert member == Member("i2", "i2:1", "dc2", 8, InstanceState.ALIVE)


class TestCost:
    def test_probe_rate_does_not_grow_with_the_fleet(self):
        probes_by_fleet = {}
        for fleet in (4, 40, 400):
            membership = Membership(Member("i0", "i0:1", "dc1", 1), Random(0))
            membership.handle(make_live([f"i{n}" for n in range(fleet)]), 0.0)
            effects = []
            for step in range(40):
                ticked = membership.handle(Tick(), step * 0.25)
                effects += ticked
                for effect in ticked:
                    if isinstance(effect, Probe):
                        answered = ProbeAnswered(effect.target, ())
                        membership.handle(answered, step * 0.25)
            probes = [effect for effect in effects if isinstance(effect, Probe)]
            probes_by_fleet[fleet] = len(probes)
            assert max(len(probe.news) for probe in probes) <= 13
        assert probes_by_fleet[40] == probes_by_fleet[400] <= 20

    def test_empty_live_list_removes_no_member(self):
        network = Network(IDS)
        network.deliver("i1", LiveList())
        assert network.list_members("i1") == set(IDS)

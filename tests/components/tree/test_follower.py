"""Tests of which revision is fetched and when it is put in force."""

import pytest

from fescuekeel.components.tree.const import MAX_STARTUP_S, POLLS_PER_S
from fescuekeel.components.tree.events import (
    CONFIG_SERVICE,
    FetchRevision,
    ManifestRead,
    MembersChanged,
    PutInForce,
    ReportIgnored,
    RequestManifest,
    RevisionAdvertised,
    RevisionFailed,
    RevisionFetched,
    SetReadMode,
    Tick,
)
from fescuekeel.components.tree.follower import Follower
from fescuekeel.components.tree.revision import TreeManifest


def make_manifest(revision, digest="d"):
    return TreeManifest(revision, f"{digest}{revision}", {}, b"")


def pick(effects, kind):
    return [effect for effect in effects if isinstance(effect, kind)]


def start(revision=5, peers=("i2",)):
    """Return a follower that holds a revision, at time 10."""
    follower = Follower("i1", "dc1", 0.0)
    follower.handle(MembersChanged({id: "dc1" for id in ("i1", *peers)}), 0.0)
    for peer in peers:
        follower.handle(ManifestRead(peer, None), 0.1)
    follower.handle(ManifestRead(CONFIG_SERVICE, make_manifest(revision)), 0.2)
    follower.handle(RevisionFetched(make_manifest(revision)), 0.3)
    assert pick(follower.handle(Tick(), 10.0), PutInForce)
    return follower


class TestFollowing:
    def test_a_lower_revision_is_counted_and_ignored(self):
        follower = start(5)
        effects = follower.handle(ManifestRead(CONFIG_SERVICE, make_manifest(4)), 11.0)
        assert [report.counter for report in pick(effects, ReportIgnored)] == [
            "tree.ignored.older"
        ]
        assert not pick(effects, FetchRevision)

    def test_the_same_revision_with_another_digest_is_rejected(self):
        follower = start(5)
        effects = follower.handle(RevisionAdvertised(5, "other", "i2"), 11.0)
        assert [report.counter for report in pick(effects, ReportIgnored)] == [
            "tree.refused.conflict"
        ]
        assert not pick(effects, RequestManifest)

    def test_an_advertised_revision_is_fetched_from_its_holder(self):
        follower = start(5)
        assert follower.handle(RevisionAdvertised(6, "d6", "i2"), 11.0) == [
            RequestManifest("i2", 6)
        ]
        manifest = make_manifest(6)
        effects = follower.handle(ManifestRead("i2", manifest), 11.1)
        assert effects == [FetchRevision(manifest, ("i2", CONFIG_SERVICE))]
        effects = follower.handle(RevisionFetched(manifest), 11.2)
        assert effects == [PutInForce(manifest)]

    def test_an_invalid_revision_is_rejected_once_and_the_last_one_stays(self):
        follower = start(5)
        bad = make_manifest(6)
        assert pick(
            follower.handle(ManifestRead(CONFIG_SERVICE, bad), 11.0), FetchRevision
        )
        effects = follower.handle(RevisionFailed(bad, invalid=True), 11.1)
        assert [report.counter for report in effects] == ["refused.invalid_tree"]
        assert follower.handle(ManifestRead(CONFIG_SERVICE, bad), 12.0) == []
        assert follower.in_force[0] == 5

    def test_a_peer_that_does_not_hold_it_yet_is_asked_again(self):
        """Guards against an instance that stays behind until its next poll.

        Gossip may advertise revision 6 while i2 still fetches it.
        """
        follower = start(5)
        follower.handle(RevisionAdvertised(6, "d6", "i2"), 11.0)
        assert follower.handle(ManifestRead("i2", None), 11.1) == []
        assert follower.handle(Tick(), 11.5) == [RequestManifest("i2", 6)]

    def test_retries_of_a_revision_do_not_delay_a_newer_one(self):
        follower = start(5)
        broken = make_manifest(6)
        follower.handle(ManifestRead(CONFIG_SERVICE, broken), 11.0)
        now = 11.0
        for _ in range(9):
            follower.handle(RevisionFailed(broken, invalid=False), now)
            now += 6
            assert pick(follower.handle(Tick(), now), FetchRevision)
        follower.handle(RevisionFailed(broken, invalid=False), now)
        effects = follower.handle(ManifestRead(CONFIG_SERVICE, make_manifest(7)), now)
        assert pick(effects, FetchRevision)

    def test_a_revision_without_parts_does_not_block_a_lower_one(self):
        """Guards against a manifest whose parts are nowhere available.

        The service returns manifest 7 without parts, the peers advance to 6.
        """
        follower = start(5)
        follower.handle(ManifestRead(CONFIG_SERVICE, make_manifest(7)), 11.0)
        follower.handle(RevisionFailed(make_manifest(7), invalid=False), 11.1)
        effects = follower.handle(ManifestRead("i2", make_manifest(6)), 11.2)
        assert pick(effects, FetchRevision)[0].manifest.revision == 6
        effects = follower.handle(RevisionFetched(make_manifest(6)), 11.25)
        assert pick(effects, PutInForce)


class TestStarting:
    def test_a_new_instance_does_not_go_back(self):
        """Guards against serving settings that the peers have replaced.

        The service is stale at 41 and answers first; the peers hold 42.
        """
        follower = Follower("i1", "dc1", 0.0)
        effects = follower.handle(MembersChanged({"i1": "dc1", "i2": "dc1"}), 0.0)
        assert RequestManifest("i2", 0) in effects
        stale, fresh = make_manifest(41), make_manifest(42)
        follower.handle(ManifestRead(CONFIG_SERVICE, stale), 0.1)
        assert not pick(follower.handle(RevisionFetched(stale), 0.2), PutInForce)
        effects = follower.handle(ManifestRead("i2", fresh), 1.2)
        assert pick(effects, FetchRevision)
        assert not pick(effects, PutInForce)
        late = follower.handle(Tick(), MAX_STARTUP_S + 1)
        assert not pick(late, PutInForce)
        effects = follower.handle(RevisionFetched(fresh), MAX_STARTUP_S + 2)
        assert pick(effects, PutInForce) == [PutInForce(fresh)]

    def test_unreachable_peers_delay_startup_by_a_bounded_time(self):
        follower = Follower("i1", "dc1", 0.0)
        follower.handle(MembersChanged({"i1": "dc1", "i2": "dc1"}), 0.0)
        manifest = make_manifest(1)
        follower.handle(ManifestRead(CONFIG_SERVICE, manifest), 0.1)
        assert not pick(follower.handle(RevisionFetched(manifest), 0.2), PutInForce)
        assert pick(follower.handle(Tick(), MAX_STARTUP_S), PutInForce)

    def test_an_unread_live_list_delays_startup_by_a_bounded_time(self):
        follower = Follower("i1", "dc1", 0.0)
        follower.handle(MembersChanged({"i1": "dc1"}, live_list_read=False), 0.0)
        manifest = make_manifest(1)
        follower.handle(ManifestRead(CONFIG_SERVICE, manifest), 0.1)
        follower.handle(RevisionFetched(manifest), 0.2)
        assert not pick(follower.handle(Tick(), MAX_STARTUP_S - 0.1), PutInForce)
        assert pick(follower.handle(Tick(), MAX_STARTUP_S), PutInForce)

    def test_a_revision_lost_with_its_holder_does_not_block(self):
        follower = Follower("i1", "dc1", 0.0)
        follower.handle(MembersChanged({"i1": "dc1", "i2": "dc1"}), 0.0)
        manifest = make_manifest(1)
        follower.handle(ManifestRead(CONFIG_SERVICE, manifest), 0.1)
        follower.handle(RevisionFetched(manifest), 0.2)
        follower.handle(RevisionAdvertised(9, "d9", "i2"), 0.3)
        assert not pick(follower.handle(Tick(), 4.0), PutInForce)
        assert pick(follower.handle(Tick(), MAX_STARTUP_S), PutInForce)

    def start_with_a_failing_holder(self):
        """Start beside i2, which returns manifest 4 but none of its parts."""
        follower = Follower("i1", "dc1", 0.0)
        follower.handle(MembersChanged({"i1": "dc1", "i2": "dc1"}), 0.0)
        follower.handle(ManifestRead("i2", make_manifest(4)), 0.1)
        follower.handle(RevisionFailed(make_manifest(4), invalid=False), 0.2)
        follower.handle(ManifestRead(CONFIG_SERVICE, make_manifest(3)), 0.3)
        follower.handle(RevisionFetched(make_manifest(3)), 0.4)
        again = follower.handle(Tick(), MAX_STARTUP_S)
        assert pick(again, FetchRevision)[0].manifest.revision == 4
        failed = RevisionFailed(make_manifest(4), invalid=False)
        assert not pick(follower.handle(failed, MAX_STARTUP_S + 1), PutInForce)
        effects = follower.handle(Tick(), MAX_STARTUP_S + 10)
        assert pick(effects, RequestManifest) == [RequestManifest("i2", 4)]
        return follower

    def test_a_holder_that_was_replaced_does_not_block(self):
        """Guards against an instance that never ends its startup.

        i2, known as a holder of 4, is replaced under its id and holds 3.
        """
        follower = self.start_with_a_failing_holder()
        effects = follower.handle(ManifestRead("i2", None), MAX_STARTUP_S + 11)
        assert pick(effects, PutInForce) == [PutInForce(make_manifest(3))]

    def test_an_unresponsive_holder_still_blocks(self):
        follower = self.start_with_a_failing_holder()
        unresponsive = ManifestRead("i2", None, answered=False)
        effects = follower.handle(unresponsive, MAX_STARTUP_S + 11)
        assert not pick(effects, PutInForce)
        shown = ManifestRead("i2", make_manifest(4))
        effects = follower.handle(shown, MAX_STARTUP_S + 30)
        assert pick(effects, FetchRevision)


class TestReading:
    @pytest.mark.parametrize("size", [1, 3, 50])
    def test_few_hold_a_watch_and_the_rest_poll_at_a_bounded_rate(self, size):
        ids = {f"i{number}": "dc1" for number in range(size)}
        modes = []
        for id in ids:
            follower = Follower(id, "dc1", 0.0)
            modes += pick(follower.handle(MembersChanged(ids), 0.0), SetReadMode)
        assert sum(mode.watch for mode in modes) == min(2, size)
        polls_per_s = sum(1 / r.poll_s for r in modes if not r.watch)
        assert polls_per_s <= POLLS_PER_S

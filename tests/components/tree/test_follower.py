"""Tests of which revision is fetched and when it is in force."""

import pytest

from fescuekeel.components.tree.const import POLLS_PER_S, START_BOUND_S
from fescuekeel.components.tree.events import (
    SERVICE,
    AskManifest,
    Count,
    FetchRevision,
    Heard,
    ManifestRead,
    MembersSeen,
    PutInForce,
    RevisionFailed,
    RevisionTaken,
    SetReading,
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
    follower.handle(MembersSeen({id: "dc1" for id in ("i1", *peers)}), 0.0)
    for peer in peers:
        follower.handle(ManifestRead(peer, None), 0.1)
    follower.handle(ManifestRead(SERVICE, make_manifest(revision)), 0.2)
    follower.handle(RevisionTaken(make_manifest(revision)), 0.3)
    assert pick(follower.handle(Tick(), 10.0), PutInForce)
    return follower


class TestFollowing:
    def test_a_lower_revision_is_counted_and_ignored(self):
        follower = start(5)
        effects = follower.handle(ManifestRead(SERVICE, make_manifest(4)), 11.0)
        assert [count.name for count in pick(effects, Count)] == ["tree.ignored.older"]
        assert not pick(effects, FetchRevision)

    def test_the_same_revision_with_another_digest_is_refused(self):
        follower = start(5)
        effects = follower.handle(Heard(5, "other", "i2"), 11.0)
        assert [count.name for count in pick(effects, Count)] == [
            "tree.refused.conflict"
        ]
        assert not pick(effects, AskManifest)

    def test_a_heard_revision_is_fetched_from_its_holder(self):
        follower = start(5)
        assert follower.handle(Heard(6, "d6", "i2"), 11.0) == [AskManifest("i2", 6)]
        manifest = make_manifest(6)
        effects = follower.handle(ManifestRead("i2", manifest), 11.1)
        assert effects == [FetchRevision(manifest, ("i2", SERVICE))]
        effects = follower.handle(RevisionTaken(manifest), 11.2)
        assert effects == [PutInForce(manifest)]

    def test_an_invalid_revision_is_refused_once_and_the_last_one_stays(self):
        follower = start(5)
        bad = make_manifest(6)
        assert pick(follower.handle(ManifestRead(SERVICE, bad), 11.0), FetchRevision)
        effects = follower.handle(RevisionFailed(bad, invalid=True), 11.1)
        assert [count.name for count in effects] == ["refused.invalid_tree"]
        assert follower.handle(ManifestRead(SERVICE, bad), 12.0) == []
        assert follower.in_force[0] == 5

    def test_a_teller_that_does_not_hold_it_yet_is_asked_again(self):
        """Gossip runs ahead of the tree: i2 tells of 6 while it fetches it.

        Without a second try this instance would stay at 5 until its next
        slow poll.
        """
        follower = start(5)
        follower.handle(Heard(6, "d6", "i2"), 11.0)
        assert follower.handle(ManifestRead("i2", None), 11.1) == []
        assert follower.handle(Tick(), 11.5) == [AskManifest("i2", 6)]

    def test_a_newer_one_is_not_held_up_by_an_older_ones_retries(self):
        follower = start(5)
        broken = make_manifest(6)
        follower.handle(ManifestRead(SERVICE, broken), 11.0)
        now = 11.0
        for _ in range(9):
            follower.handle(RevisionFailed(broken, invalid=False), now)
            now += 6
            assert pick(follower.handle(Tick(), now), FetchRevision)
        follower.handle(RevisionFailed(broken, invalid=False), now)
        effects = follower.handle(ManifestRead(SERVICE, make_manifest(7)), now)
        assert pick(effects, FetchRevision)

    def test_parts_that_cannot_be_had_do_not_keep_a_lower_revision_out(self):
        """A stale service shows manifest 7 once and has none of its parts.

        Peers go from 5 to 6 meanwhile; this instance must follow them.
        """
        follower = start(5)
        follower.handle(ManifestRead(SERVICE, make_manifest(7)), 11.0)
        follower.handle(RevisionFailed(make_manifest(7), invalid=False), 11.1)
        effects = follower.handle(ManifestRead("i2", make_manifest(6)), 11.2)
        assert pick(effects, FetchRevision)[0].manifest.revision == 6
        effects = follower.handle(RevisionTaken(make_manifest(6)), 11.25)
        assert pick(effects, PutInForce)


class TestStarting:
    def test_a_fresh_instance_does_not_go_back(self):
        """The service is stale at 41 while the peers hold 42.

        A caller of the fresh instance would get settings that were replaced
        elsewhere. The service answers first, the peer a second later.
        """
        follower = Follower("i1", "dc1", 0.0)
        effects = follower.handle(MembersSeen({"i1": "dc1", "i2": "dc1"}), 0.0)
        assert AskManifest("i2", 0) in effects
        stale, fresh = make_manifest(41), make_manifest(42)
        follower.handle(ManifestRead(SERVICE, stale), 0.1)
        assert not pick(follower.handle(RevisionTaken(stale), 0.2), PutInForce)
        effects = follower.handle(ManifestRead("i2", fresh), 1.2)
        assert pick(effects, FetchRevision)
        assert not pick(effects, PutInForce)
        late = follower.handle(Tick(), START_BOUND_S + 1)
        assert not pick(late, PutInForce)
        effects = follower.handle(RevisionTaken(fresh), START_BOUND_S + 2)
        assert pick(effects, PutInForce) == [PutInForce(fresh)]

    def test_peers_out_of_reach_delay_the_start_by_the_bound_at_most(self):
        follower = Follower("i1", "dc1", 0.0)
        follower.handle(MembersSeen({"i1": "dc1", "i2": "dc1"}), 0.0)
        manifest = make_manifest(1)
        follower.handle(ManifestRead(SERVICE, manifest), 0.1)
        assert not pick(follower.handle(RevisionTaken(manifest), 0.2), PutInForce)
        assert pick(follower.handle(Tick(), START_BOUND_S), PutInForce)

    def test_nothing_is_in_force_before_the_list_is_read(self):
        follower = Follower("i1", "dc1", 0.0)
        follower.handle(MembersSeen({"i1": "dc1"}, listed=False), 0.0)
        manifest = make_manifest(1)
        follower.handle(ManifestRead(SERVICE, manifest), 0.1)
        follower.handle(RevisionTaken(manifest), 0.2)
        assert not pick(follower.handle(Tick(), START_BOUND_S - 0.1), PutInForce)
        assert pick(follower.handle(Tick(), START_BOUND_S), PutInForce)

    def test_a_revision_that_died_with_its_holder_does_not_block(self):
        follower = Follower("i1", "dc1", 0.0)
        follower.handle(MembersSeen({"i1": "dc1", "i2": "dc1"}), 0.0)
        manifest = make_manifest(1)
        follower.handle(ManifestRead(SERVICE, manifest), 0.1)
        follower.handle(RevisionTaken(manifest), 0.2)
        follower.handle(Heard(9, "d9", "i2"), 0.3)
        assert not pick(follower.handle(Tick(), 4.0), PutInForce)
        assert pick(follower.handle(Tick(), START_BOUND_S), PutInForce)

    def start_beside_a_holder(self):
        """Start beside i2, which shows 4 and then cannot give its parts."""
        follower = Follower("i1", "dc1", 0.0)
        follower.handle(MembersSeen({"i1": "dc1", "i2": "dc1"}), 0.0)
        follower.handle(ManifestRead("i2", make_manifest(4)), 0.1)
        follower.handle(RevisionFailed(make_manifest(4), invalid=False), 0.2)
        follower.handle(ManifestRead(SERVICE, make_manifest(3)), 0.3)
        follower.handle(RevisionTaken(make_manifest(3)), 0.4)
        again = follower.handle(Tick(), START_BOUND_S)
        assert pick(again, FetchRevision)[0].manifest.revision == 4
        failed = RevisionFailed(make_manifest(4), invalid=False)
        assert not pick(follower.handle(failed, START_BOUND_S + 1), PutInForce)
        asked = follower.handle(Tick(), START_BOUND_S + 10)
        assert pick(asked, AskManifest) == [AskManifest("i2", 4)]
        return follower

    def test_a_holder_that_was_replaced_does_not_block(self):
        """i1 starts, hears of 4 from i2 and cannot fetch it in time.

        i2 is replaced under its id beside a stale service and holds 3. i1
        went on to count it as a holder of 4, put nothing in force and refused
        all requests until the service showed 4.
        """
        follower = self.start_beside_a_holder()
        effects = follower.handle(ManifestRead("i2", None), START_BOUND_S + 11)
        assert pick(effects, PutInForce) == [PutInForce(make_manifest(3))]

    def test_a_silent_holder_still_counts(self):
        follower = self.start_beside_a_holder()
        silent = ManifestRead("i2", None, answered=False)
        effects = follower.handle(silent, START_BOUND_S + 11)
        assert not pick(effects, PutInForce)
        shown = ManifestRead("i2", make_manifest(4))
        effects = follower.handle(shown, START_BOUND_S + 30)
        assert pick(effects, FetchRevision)


class TestReading:
    @pytest.mark.parametrize("size", [1, 3, 50])
    def test_few_hold_a_watch_and_the_rest_poll_slowly(self, size):
        ids = {f"i{number}": "dc1" for number in range(size)}
        readings = []
        for id in ids:
            follower = Follower(id, "dc1", 0.0)
            readings += pick(follower.handle(MembersSeen(ids), 0.0), SetReading)
        assert sum(reading.watch for reading in readings) == min(2, size)
        polls_per_s = sum(1 / r.poll_s for r in readings if not r.watch)
        assert polls_per_s <= POLLS_PER_S

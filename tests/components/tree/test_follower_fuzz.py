"""Stateful fuzzing of several followers against a simple oracle."""

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from fescuekeel.components.tree.events import (
    CONFIG_SERVICE,
    FetchRevision,
    ManifestRead,
    MembersChanged,
    PutInForce,
    RequestManifest,
    RevisionAdvertised,
    RevisionFailed,
    RevisionFetched,
    Tick,
)
from fescuekeel.components.tree.follower import Follower
from fescuekeel.components.tree.revision import TreeManifest

IDS = ["i1", "i2", "i3", "i4"]
instances = st.sampled_from(IDS)
steps = st.sampled_from([0.01, 0.3, 1.0, 6.0])


def make_manifest(revision):
    return TreeManifest(revision, f"d{revision}", {}, b"")


class Fleet(RuleBasedStateMachine):
    """Four instances that read the configuration service with a lag.

    The oracle sees what was published and what is in force where.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.published = 0
        self.seen_by_id = dict.fromkeys(IDS, 0)
        self.isolated_ids = set()
        self.messages = []
        self.followers_by_id = {}
        self.in_force_by_id = {}
        self.minimum_by_id = {}
        for id in IDS:
            self.start(id)
        self.published = 3
        for id in IDS:
            self.read_service(id, 0)
        self.wait(6.0)
        assert set(self.in_force_by_id.values()) == {3}

    def start(self, id):
        self.followers_by_id[id] = Follower(id, "dc1", self.now)
        self.in_force_by_id[id] = 0
        self.minimum_by_id[id] = self.find_highest_reachable(id)
        self.lower_minimums()
        self.messages = [item for item in self.messages if item[0] != id]
        self.post(id, MembersChanged(dict.fromkeys(IDS, "dc1")))

    def find_highest_reachable(self, id):
        """Return the highest revision in force on reachable peers."""
        reachable = [peer for peer in IDS if peer != id and self.can_reach(id, peer)]
        return max((self.in_force_by_id.get(peer, 0) for peer in reachable), default=0)

    def lower_minimums(self):
        """Lower the minimum of starting instances to what they can fetch."""
        for id, follower in self.followers_by_id.items():
            if follower.starting and id in self.minimum_by_id:
                minimum = self.find_highest_reachable(id)
                self.minimum_by_id[id] = min(self.minimum_by_id[id], minimum)

    def can_reach(self, first, second):
        return (first in self.isolated_ids) == (second in self.isolated_ids)

    def post(self, id, event):
        for effect in self.followers_by_id[id].handle(event, self.now):
            if isinstance(effect, RequestManifest | FetchRevision):
                self.messages.append((id, effect))
            elif isinstance(effect, PutInForce):
                revision = effect.manifest.revision
                assert revision > self.in_force_by_id[id], "lower than before"
                assert revision >= self.minimum_by_id[id], (
                    "lower than that of its peers"
                )
                self.in_force_by_id[id] = revision

    def answer(self, id, effect):
        if isinstance(effect, RequestManifest):
            held = self.in_force_by_id[effect.peer]
            if not self.can_reach(id, effect.peer):
                self.post(id, ManifestRead(effect.peer, None, answered=False))
            elif held and held >= effect.revision:
                self.post(id, ManifestRead(effect.peer, make_manifest(held)))
            else:
                self.post(id, ManifestRead(effect.peer, None))
            return
        revision = effect.manifest.revision
        found = self.seen_by_id[id] >= revision or any(
            source != CONFIG_SERVICE
            and self.can_reach(id, source)
            and self.in_force_by_id[source] == revision
            for source in effect.sources
        )
        event = RevisionFetched if found else RevisionFailed
        args = (effect.manifest,) if found else (effect.manifest, False)
        self.post(id, event(*args))

    @rule()
    def publish(self):
        self.published += 1

    @rule(id=instances, lag=st.integers(0, 5))
    def read_service(self, id, lag):
        self.seen_by_id[id] = max(0, self.published - lag)
        if self.seen_by_id[id]:
            manifest = make_manifest(self.seen_by_id[id])
            self.post(id, ManifestRead(CONFIG_SERVICE, manifest))

    @rule(sender=instances, receiver=instances)
    def gossip(self, sender, receiver):
        held = self.in_force_by_id[sender]
        if held and self.can_reach(sender, receiver):
            self.post(receiver, RevisionAdvertised(held, f"d{held}", sender))

    @rule(index=st.integers(0, 20))
    def deliver(self, index):
        if self.messages:
            self.answer(*self.messages.pop(index % len(self.messages)))

    @rule(id=instances, count=st.integers(1, 3))
    def deliver_latest(self, id, count):
        for _ in range(count):
            own = [item for item in self.messages if item[0] == id]
            if own:
                self.messages.remove(own[-1])
                self.answer(*own[-1])

    @rule(step=steps)
    def wait(self, step):
        # Requests are answered or time out within a second.
        if step >= 1.0:
            for _ in range(3):
                batch, self.messages = self.messages, []
                for message in batch:
                    self.answer(*message)
        self.now += step
        for id in IDS:
            self.post(id, Tick())

    @rule(id=instances, lag=st.integers(0, 5))
    def restart(self, id, lag):
        self.start(id)
        self.read_service(id, lag)

    @rule(ids=st.sets(instances))
    def partition(self, ids):
        if self.isolated_ids != ids:
            self.isolated_ids = ids
            self.lower_minimums()

    @invariant()
    def nothing_unpublished_is_in_force(self):
        assert max(self.in_force_by_id.values()) <= self.published

    def teardown(self):
        """End the partition: all must agree on one revision after gossip."""
        self.isolated_ids = set()
        for _ in range(30):
            for sender in IDS:
                for receiver in IDS:
                    self.gossip(sender, receiver)
            self.wait(6.0)
        assert len(set(self.in_force_by_id.values())) == 1


TestFleet = Fleet.TestCase
TestFleet.settings = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=150,
    stateful_step_count=40,
)

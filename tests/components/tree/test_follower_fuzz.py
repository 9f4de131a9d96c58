"""Stateful fuzzing of several followers against a simple oracle."""

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from fescuekeel.components.tree.events import (
    SERVICE,
    AskManifest,
    FetchRevision,
    Heard,
    ManifestRead,
    MembersSeen,
    PutInForce,
    RevisionFailed,
    RevisionTaken,
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
    """Four instances, each with its own, perhaps stale, view of the service.

    The oracle sees what was published and what is in force where.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.published = 0
        self.seen_by_id = dict.fromkeys(IDS, 0)
        self.cut = set()
        self.messages = []
        self.followers_by_id = {}
        self.in_force_by_id = {}
        self.least_by_id = {}
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
        self.least_by_id[id] = self.find_highest_near(id)
        self.excuse_what_is_gone()
        self.messages = [item for item in self.messages if item[0] != id]
        self.post(id, MembersSeen(dict.fromkeys(IDS, "dc1")))

    def find_highest_near(self, id):
        """Return what a fresh instance must not fall below."""
        near = [peer for peer in IDS if peer != id and self.reaches(id, peer)]
        return max((self.in_force_by_id.get(peer, 0) for peer in near), default=0)

    def excuse_what_is_gone(self):
        """Expect of an instance only what a peer in reach still holds."""
        for id, follower in self.followers_by_id.items():
            if follower.starting and id in self.least_by_id:
                least = self.find_highest_near(id)
                self.least_by_id[id] = min(self.least_by_id[id], least)

    def reaches(self, one, two):
        return (one in self.cut) == (two in self.cut)

    def post(self, id, event):
        for effect in self.followers_by_id[id].handle(event, self.now):
            if isinstance(effect, AskManifest | FetchRevision):
                self.messages.append((id, effect))
            elif isinstance(effect, PutInForce):
                revision = effect.manifest.revision
                assert revision > self.in_force_by_id[id], "went back"
                assert revision >= self.least_by_id[id], "older than its peers"
                self.in_force_by_id[id] = revision

    def answer(self, id, effect):
        if isinstance(effect, AskManifest):
            held = self.in_force_by_id[effect.peer]
            if not self.reaches(id, effect.peer):
                self.post(id, ManifestRead(effect.peer, None, answered=False))
            elif held and held >= effect.revision:
                self.post(id, ManifestRead(effect.peer, make_manifest(held)))
            else:
                self.post(id, ManifestRead(effect.peer, None))
            return
        revision = effect.manifest.revision
        found = self.seen_by_id[id] >= revision or any(
            source != SERVICE
            and self.reaches(id, source)
            and self.in_force_by_id[source] == revision
            for source in effect.sources
        )
        event = RevisionTaken if found else RevisionFailed
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
            self.post(id, ManifestRead(SERVICE, manifest))

    @rule(teller=instances, hearer=instances)
    def gossip(self, teller, hearer):
        held = self.in_force_by_id[teller]
        if held and self.reaches(teller, hearer):
            self.post(hearer, Heard(held, f"d{held}", teller))

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
        # Questions are answered or time out within a second.
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
        if self.cut != ids:
            self.cut = ids
            self.excuse_what_is_gone()

    @invariant()
    def nothing_unpublished_is_in_force(self):
        assert max(self.in_force_by_id.values()) <= self.published

    def teardown(self):
        """Heal all and let gossip reach each one: all agree on the highest."""
        self.cut = set()
        for _ in range(30):
            for teller in IDS:
                for hearer in IDS:
                    self.gossip(teller, hearer)
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

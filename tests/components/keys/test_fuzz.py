"""Stateful fuzzing of idempotency keys: at most one winner of a key."""

from collections import defaultdict
from functools import partial

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from fescuekeel.components.keys.const import DELISTED_HOLD_S
from fescuekeel.components.keys.decision import KeyHome
from fescuekeel.components.keys.quorum import QuorumCounter
from fescuekeel.messages import (
    KeyClaim,
    KeyPull,
    KeySettle,
    LiveEntry,
    LiveList,
    LiveRole,
)

KEYS = ["k1", "k2"]
LIFETIME_MS = 600_000
MANY = st.integers(0, 11)


class KeysMachine(RuleBasedStateMachine):
    """Claim keys while instances join, leave, restart and see old lists.

    Messages wait in one queue per connection, from which they are delivered or
    lost. At most one instance crashes within DELISTED_HOLD_S: the loss of two
    homes of a key within that time is outside the guarantee.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.nodes = {}
        self.incarnations = defaultdict(int)
        self.queues = defaultdict(list)
        self.lists = [LiveList()]
        self.requests = 0
        self.winners = defaultdict(set)
        self.last_crash = -DELISTED_HOLD_S
        for id in ("i1", "i2", "i3", "i4"):
            self.start(id)
        for id, node in self.nodes.items():
            node.apply_list(self.lists[-1], self.now)
            self.pull_from_others(id)
        self.deliver_all()

    # The platform.

    def start(self, id):
        self.incarnations[id] += 1
        self.nodes[id] = KeyHome(id, f"dc{int(id[1:]) % 2}")
        entry = LiveEntry(
            id, LiveRole.INSTANCE, "", f"dc{int(id[1:]) % 2}", self.incarnations[id]
        )
        self.lists.append(LiveList({**self.lists[-1].entries_by_id, id: entry}))
        self.nodes[id].apply_list(self.lists[-1], self.now)
        self.pull_from_others(id)

    def stop(self, id):
        del self.nodes[id]
        for pair in list(self.queues):
            if id in pair:
                del self.queues[pair]
        entries = dict(self.lists[-1].entries_by_id)
        del entries[id]
        self.lists.append(LiveList(entries))

    # Messages.

    def send(self, sender, target, action):
        self.queues[sender, target].append(action)

    def deliver(self, pair):
        action = self.queues[pair].pop(0)
        if pair[1] in self.nodes:
            action(self.nodes[pair[1]])

    def deliver_all(self):
        while pairs := [pair for pair, queue in self.queues.items() if queue]:
            for pair in pairs:
                if self.queues[pair]:
                    self.deliver(pair)

    def pull_from_others(self, id):
        for other in self.nodes[id].list_unsynced():
            self.send(id, other, partial(self.answer_pull, id, other))

    def answer_pull(self, id, other, node):
        copy = node.handle_pull(id, KeyPull(f"dc{int(id[1:]) % 2}"), self.now)
        incarnation = self.incarnations[id]

        def take(asker):
            if self.incarnations[id] == incarnation:
                asker.apply_copy(other, copy, self.now)

        self.send(other, id, take)

    @rule(number=MANY)
    def deliver_one(self, number):
        pairs = sorted(pair for pair, queue in self.queues.items() if queue)
        if pairs:
            self.deliver(pairs[number % len(pairs)])

    @rule(number=MANY)
    def lose_a_connection(self, number):
        pairs = sorted(pair for pair, queue in self.queues.items() if queue)
        if pairs:
            self.queues[pairs[number % len(pairs)]].clear()

    @rule()
    def deliver_everything(self):
        self.deliver_all()

    # Claims.

    @rule(number=MANY, key=st.sampled_from(KEYS))
    def claim(self, number, key):
        id = sorted(self.nodes)[number % len(self.nodes)]
        homes = self.nodes[id].find_homes(key, self.now)
        if not homes:
            return
        self.requests += 1
        request = f"r{self.requests}"
        claim = KeyClaim(key, request, "d", LIFETIME_MS, homes)
        state = {"counter": QuorumCounter(len(homes)), "over": False}
        for home in homes:
            self.send(id, home, partial(self.answer_claim, id, home, claim, state))

    @rule(number=MANY, key=st.sampled_from(KEYS), reached=st.sampled_from([3, 5, 6, 7]))
    def claim_at_once(self, number, key, reached):
        """Claim at some of the homes, with no event in between."""
        id = sorted(self.nodes)[number % len(self.nodes)]
        homes = self.nodes[id].find_homes(key, self.now)
        self.requests += 1
        claim = KeyClaim(key, f"r{self.requests}", "d", LIFETIME_MS, homes)
        state = {"counter": QuorumCounter(len(homes)), "over": not homes}
        for position, home in enumerate(homes):
            node = self.nodes.get(home) if reached >> position & 1 else None
            answer = node.claim(claim, self.now) if node else None
            self.count(id, claim, state, answer)

    def answer_claim(self, id, home, claim, state, node):
        answer = node.claim(claim, self.now)
        self.send(home, id, lambda _: self.count(id, claim, state, answer))

    def count(self, id, claim, state, answer):
        if state["over"]:
            return
        state["over"] = state["counter"].add(answer)
        if state["counter"].won:
            self.winners[claim.key].add((claim.request_id, id, claim.homes))
            assert len(self.winners[claim.key]) == 1, self.winners
        elif state["over"]:
            self.settle(id, claim.key, claim.request_id, claim.homes, "no")

    def settle(self, id, key, request, homes, ran):
        targets = {*homes, *self.nodes[id].find_homes(key, self.now)}
        settle = KeySettle(key, request, ran)
        for home in sorted(targets):
            self.send(id, home, lambda node: node.settle(settle, self.now))

    @rule(key=st.sampled_from(KEYS))
    def winner_did_not_run(self, key):
        for request, id, homes in self.winners.pop(key, set()):
            if id in self.nodes:
                self.settle(id, key, request, homes, "no")

    # Changes.

    @rule(number=MANY, back=st.integers(1, 3), at_once=st.booleans())
    def read_list(self, number, back, at_once):
        id = sorted(self.nodes)[number % len(self.nodes)]
        self.now += 1.0
        self.nodes[id].apply_list(self.lists[max(-back, -len(self.lists))], self.now)
        self.nodes[id].tick(self.now)
        self.pull_from_others(id)
        if at_once:
            self.deliver_all()

    @precondition(lambda self: len(self.nodes) < 7)
    @rule(number=st.integers(1, 9))
    def join(self, number):
        if f"i{number}" not in self.nodes:
            self.start(f"i{number}")

    @precondition(lambda self: len(self.nodes) > 3)
    @rule(number=MANY, lost=st.sampled_from([None, "i1", "i2", "i3", "i4"]))
    def leave(self, number, lost):
        id = sorted(self.nodes)[number % len(self.nodes)]
        for other, copies in self.nodes[id].hand_over(self.now).items():
            for copy in copies:
                self.send(
                    id,
                    other,
                    lambda node, copy=copy: node.apply_copy(id, copy, self.now),
                )
        self.queues.pop((id, lost), None)
        for pair in [pair for pair in self.queues if pair[0] == id]:
            while self.queues[pair]:
                self.deliver(pair)
        self.stop(id)

    @precondition(
        lambda self: (
            self.now - self.last_crash >= DELISTED_HOLD_S and len(self.nodes) > 2
        )
    )
    @rule(number=MANY, again=st.booleans())
    def crash(self, number, again):
        id = sorted(self.nodes)[number % len(self.nodes)]
        self.last_crash = self.now
        self.stop(id)
        if again:
            self.start(id)

    @rule()
    def all_read_the_list(self):
        for node in self.nodes.values():
            node.apply_list(self.lists[-1], self.now)
            node.tick(self.now + 1.0)

    @rule()
    def hold_is_over(self):
        """Let all claims expire, and all instances read the latest list."""
        self.queues.clear()
        self.winners.clear()
        for _ in range(2):
            for node in self.nodes.values():
                node.apply_list(self.lists[-1], self.now)
                node.tick(self.now)
            self.now += DELISTED_HOLD_S + 1
        for id, node in self.nodes.items():
            node.tick(self.now)
            self.pull_from_others(id)
        self.deliver_all()


TestKeysFuzz = KeysMachine.TestCase
TestKeysFuzz.settings = settings(
    max_examples=150, stateful_step_count=40, derandomize=True, deadline=None
)

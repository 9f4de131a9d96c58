"""A simulated network of membership decisions on a virtual clock."""

import heapq
import itertools
from collections import defaultdict
from functools import partial
from random import Random

from fescuekeel.components.membership.const import (
    INDIRECT_TIMEOUT_S,
    PROBE_TIMEOUT_S,
    TICK_S,
)
from fescuekeel.components.membership.decision import Membership
from fescuekeel.components.membership.events import (
    AnswerPing,
    IndirectProbe,
    IndirectProbeDone,
    PingReceived,
    Probe,
    ProbeAnswered,
    ProbeFailed,
    PublishTree,
    PublishView,
    SendNews,
    Tick,
)
from fescuekeel.messages import (
    LiveEntry,
    LiveList,
    LiveRole,
    Member,
    NewsKind,
    PeerMessage,
    Ping,
)

DELAY_S = 0.001


def make_live(ids, endpoints=()):
    entries = [LiveEntry(id, LiveRole.INSTANCE, f"{id}:1", "dc1", 1) for id in ids]
    return LiveList({entry.id: entry for entry in [*entries, *endpoints]})


class Network:
    """Deliver messages between instances; lose, partition, pause and kill."""

    def __init__(self, ids, seed=0):
        self.now = 0.0
        self.random = Random(seed)
        self.loss = 0.0
        self.partitioned = set()
        self.paused = set()
        self.dead = set()
        self.views = {}
        self.trees_by_id = {}
        self.sequence = itertools.count()
        self.queue = []
        self.deferred_by_id = {}
        self.reported_gone = defaultdict(set)
        self.nodes = {}
        self.incarnations_by_id = {}
        for id in ids:
            self.add(id, 1)
        for id in ids:
            self.deliver(id, make_live(ids))

    def add(self, id, incarnation):
        """Start an instance, or restart it with a new incarnation."""
        member = Member(id, f"{id}:1", "dc1", incarnation)
        self.nodes[id] = Membership(member, Random(id))
        self.incarnations_by_id[id] = incarnation
        self.dead.discard(id)
        self.schedule(0.0, id, lambda node=self.nodes[id]: self.tick(id, node))

    def schedule(self, delay, id, action):
        heapq.heappush(self.queue, (self.now + delay, next(self.sequence), id, action))

    def run(self, seconds):
        """Advance the clock; events of paused instances are deferred."""
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            self.now, _, id, action = heapq.heappop(self.queue)
            if id in self.paused:
                self.deferred_by_id.setdefault(id, []).append(action)
            else:
                action()
        self.now = end

    def resume(self, id):
        self.paused.discard(id)
        for action in self.deferred_by_id.pop(id, []):
            action()

    def tick(self, id, node):
        if self.nodes[id] is node and id not in self.dead:
            self.deliver(id, Tick())
            self.schedule(TICK_S, id, lambda: self.tick(id, node))

    def deliver(self, id, event):
        if id not in self.dead:
            for effect in self.handle(id, event):
                self.run_effect(id, effect)

    def handle(self, id, event):
        """Handle an event, and record whom its news reports dead or left."""
        for item in getattr(event, "news", ()):
            if item.kind in (NewsKind.DEAD, NewsKind.LEFT):
                self.reported_gone[id].add(item.subject)
        return self.nodes[id].handle(event, self.now)

    def reaches(self, one, other):
        lost = self.random.random() < self.loss
        apart = (one in self.partitioned) != (other in self.partitioned)
        return not lost and not apart and not {one, other} & self.dead

    def ping(self, id, target, news, timeout, on_end):
        """Ping a target; call back with its news, or None on a timeout."""
        state = []

        def finish(news):
            if not state:
                state.append(True)
                on_end(news)

        def arrive():
            message = PeerMessage(id, 1, Ping(news))
            if not self.reaches(id, target):
                return
            for effect in self.handle(target, PingReceived(message, news)):
                if isinstance(effect, AnswerPing):
                    if self.reaches(target, id):
                        self.schedule(DELAY_S, id, partial(finish, effect.news))
                else:
                    self.run_effect(target, effect)

        self.schedule(DELAY_S, target, arrive)
        self.schedule(timeout, id, lambda: finish(None))

    def run_effect(self, id, effect):
        match effect:
            case Probe(target, number, news):
                self.ping(
                    id,
                    target,
                    news,
                    PROBE_TIMEOUT_S,
                    lambda answer: self.deliver(
                        id,
                        ProbeFailed(target, number)
                        if answer is None
                        else ProbeAnswered(target, answer),
                    ),
                )
            case SendNews(target, news):
                if self.reaches(id, target):
                    event = PingReceived(PeerMessage(id, 0, Ping(news)), news)
                    self.schedule(DELAY_S, target, lambda: self.deliver(target, event))
            case IndirectProbe(helper, target, _):
                self.probe_indirectly(id, helper, target)
            case PublishView(view):
                self.views[id] = view
            case PublishTree(tree):
                self.trees_by_id[id] = tree

    def probe_indirectly(self, id, helper, target):
        state = []

        def finish(alive):
            if not state:
                state.append(True)
                self.deliver(id, IndirectProbeDone(helper, target, alive))

        def answer(news):
            if self.reaches(helper, id):
                self.schedule(DELAY_S, id, lambda: finish(news is not None))

        if self.reaches(id, helper):
            self.schedule(
                DELAY_S,
                helper,
                lambda: self.ping(helper, target, (), PROBE_TIMEOUT_S, answer),
            )
        self.schedule(INDIRECT_TIMEOUT_S, id, lambda: finish(False))

    def list_alive_members(self, id):
        """Return the members in a view that are alive in that incarnation."""
        return {
            member.id
            for member in self.views[id].members_by_id.values()
            if member.id not in self.dead
            and member.incarnation == self.incarnations_by_id[member.id]
        }

    def list_members(self, id):
        return set(self.views[id].members_by_id)

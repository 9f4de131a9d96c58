"""A model of instances that start, freeze, are cut off and die, and retry."""

import random
from bisect import bisect_right
from collections import deque
from dataclasses import dataclass, field
from itertools import combinations

from fescuekeel.components.forward.budget import RetryBudget
from fescuekeel.components.forward.const import RETRY_DELIVERY_S
from fescuekeel.components.forward.slack_share import SlackShare

TICK_S = 0.1
WINDOW_S = 10.0
RATIO = 0.2
# An instance notices that another one has started, or cannot be reached, after
# this time.
DETECTION_S = 1.5
# Longer than it serves on after it said that it leaves, and two windows.
LEFT_TTL_S = 28.0


def make_budget(slack, data_centre, data_centres, now):
    settle_s = WINDOW_S + RETRY_DELIVERY_S
    share = SlackShare(data_centre, len(data_centres), True, settle_s, now, LEFT_TTL_S)
    return RetryBudget(RATIO, slack, WINDOW_S, share)


def update_members(budget, data_centres_by_id, left, now):
    budget.update_members(data_centres_by_id, left, now)
    budget.record_alive(now)


@dataclass
class Life:
    """One start of an instance, and what it knows of the others."""

    id: str
    data_centre: str
    budget: RetryBudget
    known: dict = field(default_factory=dict)
    left: set = field(default_factory=set)
    differs_since: dict = field(default_factory=dict)
    frozen_until: float = 0.0
    backlog: int = 0
    leaves_at: float = float("inf")


@dataclass
class Fleet:
    """Instances by id; each request fails, and is retried if it may be."""

    seed: int
    instances: int = 8
    data_centres: int = 3
    slack: float = 56.0
    requests_per_s: float = 60.0
    seconds: float = 60.0
    failing: float = 0.9
    make_budget: object = make_budget
    update_members: object = update_members
    now: float = 0.0
    wanted: int = 0

    def __post_init__(self):
        self.random = random.Random(self.seed)
        self.names = [f"dc{number}" for number in range(self.data_centres)]
        self.centres_by_id = {
            f"i{number}": self.names[number % self.data_centres]
            for number in range(self.instances)
        }
        self.lives_by_id = {}
        self.weights_by_id = dict.fromkeys(self.centres_by_id, 1.0)
        self.cut_centres = {}
        self.cut_instances = {}
        self.starts = []
        self.requests = []
        self.retries = []

    # Disturbances; ``down_s`` and ``for_s`` are seconds.

    def start(self, id):
        centre = self.centres_by_id[id]
        budget = self.make_budget(self.slack, centre, self.names, self.now)
        self.lives_by_id[id] = Life(id, centre, budget, {id: centre})

    def kill(self, id, down_s=0.3):
        if self.lives_by_id.pop(id, None) is not None:
            self.starts.append((self.now + down_s, id))

    def leave(self, id, drain_s=2.0):
        """Announce that an instance leaves; it serves on for a while."""
        life = self.lives_by_id.get(id)
        if life is not None:
            life.leaves_at = self.now + drain_s

    def freeze(self, id, for_s):
        life = self.lives_by_id.get(id)
        if life is not None:
            life.frozen_until = self.now + for_s

    def cut_centre(self, name, for_s):
        self.cut_centres[name] = self.now + for_s

    def cut_instance(self, id, for_s):
        self.cut_instances[id] = self.now + for_s

    def disturb(self):
        """Draw a disturbance of any kind."""
        ids = self.random.sample(sorted(self.centres_by_id), k=self.instances)
        some = ids[: self.random.randint(1, self.instances)]
        match self.random.randrange(8):
            case 0:
                self.kill(ids[0], self.random.uniform(0.1, 2.0))
            case 1:
                for id in some:
                    self.kill(id, self.random.uniform(0.1, 1.0))
            case 2:
                for_s = self.random.uniform(0.2, 20.0)
                for id in some[:2]:
                    self.freeze(id, for_s)
            case 3:
                name = self.random.choice(self.names)
                self.cut_centre(name, self.random.uniform(1.0, 30.0))
            case 4:
                self.cut_instance(ids[0], self.random.uniform(1.0, 30.0))
            case 5:
                self.weights_by_id = {id: self.random.random() ** 4 for id in ids}
            case 6:
                self.requests_per_s *= self.random.choice((0.2, 0.5, 2.0, 5.0))
                self.requests_per_s = min(400.0, max(4.0, self.requests_per_s))
            case 7:
                for id in some:
                    self.leave(id, self.random.uniform(0.2, 8.0))

    # The course of time.

    def run(self, disturbances_per_s=0.3, script=()):
        """Play a script of (time, action), or draw disturbances."""
        script = deque(sorted(script, key=lambda item: item[0]))
        for id in self.centres_by_id:
            self.start(id)
        while self.now < self.seconds:
            self.now = round(self.now + TICK_S, 3)
            while script and script[0][0] <= self.now:
                script.popleft()[1](self)
            if self.random.random() < disturbances_per_s * TICK_S:
                self.disturb()
            self._end_leavers()
            self._start_again()
            self._observe()
            self._serve()
        return self

    def _end_leavers(self):
        for life in list(self.lives_by_id.values()):
            if life.leaves_at <= self.now:
                self.kill(life.id)

    def _start_again(self):
        due = [id for at, id in self.starts if at <= self.now]
        self.starts = [item for item in self.starts if item[0] > self.now]
        for id in due:
            self.start(id)

    def _is_cut(self, one, other):
        for life in (one, other):
            if self.cut_instances.get(life.id, 0.0) > self.now:
                return True
        if one.data_centre == other.data_centre:
            return False
        return any(
            self.cut_centres.get(life.data_centre, 0.0) > self.now
            for life in (one, other)
        )

    def _is_frozen(self, life):
        return life.frozen_until > self.now

    def _observe(self):
        """Let each instance notice who has come, leaves or is gone."""
        for life in self.lives_by_id.values():
            for id in list(life.left):
                other = self.lives_by_id.get(id)
                if other is not None and other.leaves_at == float("inf"):
                    life.left.discard(id)
        reachable = {id: {id} for id in self.lives_by_id}
        for one, other in combinations(self.lives_by_id.values(), 2):
            if self._is_cut(one, other):
                continue
            if self._is_frozen(one) or self._is_frozen(other):
                continue
            reachable[one.id].add(other.id)
            reachable[other.id].add(one.id)
        for life in self.lives_by_id.values():
            if not self._is_frozen(life):
                self._update_life(life, reachable[life.id])

    def _update_life(self, life, reachable):
        for id in reachable - {life.id}:
            if self.lives_by_id[id].leaves_at < float("inf"):
                life.left.add(id)
                life.known.pop(id, None)
        reachable = reachable - life.left
        for id in self.centres_by_id:
            if (id in reachable) == (id in life.known):
                life.differs_since.pop(id, None)
                continue
            since = life.differs_since.setdefault(id, self.now)
            if self.now - since < DETECTION_S:
                continue
            if id in reachable:
                life.known[id] = self.centres_by_id[id]
            else:
                del life.known[id]
        self.update_members(life.budget, life.known, life.left, self.now)

    def _serve(self):
        weights = [self.weights_by_id[id] for id in self.centres_by_id]
        ids = list(self.centres_by_id)
        expected = self.requests_per_s * TICK_S
        count = int(expected) + (self.random.random() < expected % 1)
        for id in self.random.choices(ids, weights, k=count):
            self.requests.append(self.now)
            life = self.lives_by_id.get(id)
            if life is not None:
                life.backlog += 1
        for life in self.lives_by_id.values():
            if self._is_frozen(life):
                continue
            for _ in range(life.backlog):
                life.budget.record_request("s", self.now)
                self._retry(life)
            life.backlog = 0

    def _retry(self, life):
        """Retry a request until it succeeds, up to three times."""
        for _ in range(3):
            if self.random.random() >= self.failing:
                return
            self.wanted += 1
            if not life.budget.spend("s", self.now):
                return
            self.retries.append(self.now)

    # What is allowed.

    def find_worst_window(self):
        """Return the largest share of the allowed retries, and its retries."""
        worst = (0.0, 0, 0.0)
        for end in sorted(set(self.retries)):
            count = _count(self.retries, end - WINDOW_S, end)
            allowed = self.slack + RATIO * max(
                _count(self.requests, end - WINDOW_S - earlier, end - earlier)
                for earlier in (0.0, WINDOW_S / 2, WINDOW_S)
            )
            worst = max(worst, (count / allowed, count, allowed))
        return worst


def _count(times, start, end):
    """Count the sorted times in an interval that excludes its start."""
    # Times are multiples of a tenth of a second.
    return bisect_right(times, end + 1e-6) - bisect_right(times, start + 1e-6)

"""A fleet on a virtual clock that admits requests of one account."""

import random
from collections import deque
from dataclasses import dataclass, field

from fescuekeel.components.allowance.bucket import TokenBucket
from fescuekeel.components.allowance.const import HOMES
from fescuekeel.components.allowance.fleet import FleetShare
from fescuekeel.components.allowance.holding import (
    AskHome,
    Holding,
    MayBegin,
)
from fescuekeel.components.allowance.home import AccountHome
from fescuekeel.helpers.published import ClientAccount
from fescuekeel.util import rendezvous

# What the users allow beyond a limit, over any window of so many seconds.
WINDOW_S = 8.0
OVERAGE = 0.25
# An instance stops serving so long after it last heard of the store.
REVOKED_S = 5.0
MEMORY_S = REVOKED_S + 2.0
# How long the others take to find that an instance is gone.
DETECT_S = 1.7


@dataclass
class Node:
    """One instance: what it holds, its buckets, and whom it reaches."""

    id: str
    home: AccountHome
    share: FleetShare
    holding: Holding
    side: int = 0
    cut_at: float = float("inf")


@dataclass
class Fleet:
    """Instances, the requests that they admitted, and those refused."""

    account: ClientAccount
    size: int
    seed: int = 1
    now: float = 100.0
    admitted: list[tuple[float, float]] = field(default_factory=list)
    refused: int = 0
    asked: int = 0
    sides_apart: bool = False

    def __post_init__(self):
        self.random = random.Random(self.seed)
        self.nodes = {
            f"i{number}": Node(
                f"i{number}",
                AccountHome(since=self.now - 10.0),
                FleetShare(MEMORY_S),
                Holding(TokenBucket(0.0, 0.0, 0.0, self.now)),
            )
            for number in range(self.size)
        }
        self._events = deque()
        self.tell_members()

    def tell_members(self):
        """Let each instance believe what is true of its own side."""
        for node in self.nodes.values():
            seen = {
                other.id: 1
                for other in self.nodes.values()
                if not self.sides_apart or other.side == node.side
            }
            before = node.share.present
            node.share.take(seen, set(), self.now)
            if node.share.present != before and before:
                kept = [self.account.name] if self.find_home(node) == node.id else []
                node.home.change_members(kept, self.now)

    def find_home(self, node):
        return rendezvous.choose(self.account.name, node.share.present)

    def reaches(self, node, other):
        return not self.sides_apart or node.side == other.side

    def request(self, id, price):
        """Send a request to an instance; return whether it was admitted."""
        node = self.nodes[id]
        if self.now > node.cut_at + REVOKED_S:
            self.refused += 1
            return False
        node.holding.change(self.account, node.share.count(self.now), self.now)
        for _ in range(4):
            decided = node.holding.spend(price, self.now)
            if isinstance(decided, MayBegin):
                self.admitted.append((self.now, price))
                return True
            if not isinstance(decided, AskHome):
                break
            self.ask(node, price)
        self.refused += 1
        return False

    def ask(self, node, price):
        ranked = rendezvous.rank(self.account.name, node.share.present)
        for id in ranked[:HOMES]:
            home = self.nodes[id]
            self.asked += 1
            if not self.reaches(node, home):
                continue
            share = home.share.read(self.now)
            deputy = self.find_home(home) != home.id or id != ranked[0]
            grant = home.home.grant(self.account, price, self.now, share, deputy)
            node.holding.take_grant(grant, self.now)
            return
        node.holding.note_silent(self.now)

    def cut(self, ids):
        """Part some instances from the others, which notice a moment later."""
        for id in ids:
            self.nodes[id].side = 1
        self.sides_apart = True
        self._events.append((self.now + DETECT_S, self.tell_members))

    def lose_power(self, down_s):
        """Start every instance anew, with nothing that it knew."""
        self.now += down_s
        for node in self.nodes.values():
            node.home = AccountHome(since=self.now)
            node.share = FleetShare(MEMORY_S)
            node.holding = Holding(TokenBucket(0.0, 0.0, 0.0, self.now))
        self.tell_members()

    def heal(self):
        self.sides_apart = False
        self._events.append((self.now + DETECT_S, self.tell_members))

    def play(self, seconds, per_s, price, ids=None):
        """Send requests at a steady rate to some of the instances."""
        ids = list(ids or self.nodes)
        until = self.now + seconds
        while self.now < until:
            self.now += self.random.expovariate(per_s)
            while self._events and self._events[0][0] <= self.now:
                self._events.popleft()[1]()
            self.request(self.random.choice(ids), price)

    def count_worst_window(self):
        """Return the most that was admitted in any window."""
        worst = total = 0.0
        window = deque()
        for at, price in self.admitted:
            window.append((at, price))
            total += price
            while at - window[0][0] > WINDOW_S:
                total -= window.popleft()[1]
            worst = max(worst, total)
        return worst

    @property
    def allowed(self):
        """Return what the users allow in a window."""
        limit = self.account.rate_per_s * WINDOW_S + self.account.burst
        return limit * (1 + OVERAGE)

"""A simulated fleet on a virtual clock that admits one account's requests."""

import random
from collections import deque
from dataclasses import dataclass, field

from fescuekeel.components.allowance.bucket import TokenBucket
from fescuekeel.components.allowance.const import MAX_HOMES_ASKED
from fescuekeel.components.allowance.home import LimitHome
from fescuekeel.components.allowance.local_allowance import (
    Admit,
    AskHome,
    LocalAllowance,
)
from fescuekeel.components.allowance.partition import PartitionShare
from fescuekeel.helpers.published import ClientAccount
from fescuekeel.util import rendezvous

# How much a limit may be exceeded in any window of WINDOW_S.
WINDOW_S = 8.0
OVERAGE = 0.25
# An instance stops serving this long after it last reached the store.
REVOKED_BOUND_S = 5.0
LOST_TTL_S = REVOKED_BOUND_S + 2.0
# Time until the other instances detect that one is unreachable.
DETECTION_S = 1.7


@dataclass
class Node:
    """One instance: its state, and its side of a partition."""

    id: str
    home: LimitHome
    share: PartitionShare
    local: LocalAllowance
    side: int = 0
    partitioned_at: float = float("inf")


@dataclass
class Fleet:
    """Instances, and the requests that they admitted and refused."""

    account: ClientAccount
    size: int
    seed: int = 1
    now: float = 100.0
    admitted: list[tuple[float, float]] = field(default_factory=list)
    refused: int = 0
    asked: int = 0
    is_partitioned: bool = False

    def __post_init__(self):
        self.random = random.Random(self.seed)
        self.nodes = {
            f"i{number}": Node(
                f"i{number}",
                LimitHome(known_since=self.now - 10.0),
                PartitionShare(LOST_TTL_S),
                LocalAllowance(TokenBucket(0.0, 0.0, 0.0, self.now)),
            )
            for number in range(self.size)
        }
        self._events = deque()
        self.update_members()

    def update_members(self):
        """Show each instance the members on its own side."""
        for node in self.nodes.values():
            seen = {
                other.id: 1
                for other in self.nodes.values()
                if not self.is_partitioned or other.side == node.side
            }
            before = node.share.reachable
            node.share.update_members(seen, set(), self.now)
            if node.share.reachable != before and before:
                kept = [self.account.name] if self.find_home(node) == node.id else []
                node.home.retain(kept, self.now)

    def find_home(self, node):
        return rendezvous.choose(self.account.name, node.share.reachable)

    def reaches(self, node, other):
        return not self.is_partitioned or node.side == other.side

    def request(self, id, price):
        """Send a request to an instance; return whether it was admitted."""
        node = self.nodes[id]
        if self.now > node.partitioned_at + REVOKED_BOUND_S:
            self.refused += 1
            return False
        node.local.set_limit(
            self.account, node.share.count_instances(self.now), self.now
        )
        for _ in range(4):
            decision = node.local.spend(price, self.now)
            if isinstance(decision, Admit):
                self.admitted.append((self.now, price))
                return True
            if not isinstance(decision, AskHome):
                break
            self.ask(node, price)
        self.refused += 1
        return False

    def ask(self, node, price):
        ranked = rendezvous.rank(self.account.name, node.share.reachable)
        for id in ranked[:MAX_HOMES_ASKED]:
            home = self.nodes[id]
            self.asked += 1
            if not self.reaches(node, home):
                continue
            share = home.share.compute(self.now)
            deputy = self.find_home(home) != home.id or id != ranked[0]
            grant = home.home.grant(self.account, price, self.now, share, deputy)
            node.local.apply_grant(grant, self.now)
            return
        node.local.start_fallback(self.now)

    def partition(self, ids):
        """Isolate some instances; both sides detect it after DETECTION_S."""
        for id in ids:
            self.nodes[id].side = 1
        self.is_partitioned = True
        self._events.append((self.now + DETECTION_S, self.update_members))

    def restart_all(self, down_s):
        """Restart every instance without its state."""
        self.now += down_s
        for node in self.nodes.values():
            node.home = LimitHome(known_since=self.now)
            node.share = PartitionShare(LOST_TTL_S)
            node.local = LocalAllowance(TokenBucket(0.0, 0.0, 0.0, self.now))
        self.update_members()

    def heal(self):
        self.is_partitioned = False
        self._events.append((self.now + DETECTION_S, self.update_members))

    def send_requests(self, seconds, per_s, price, ids=None):
        """Send requests to some of the instances, at random intervals."""
        ids = list(ids or self.nodes)
        until = self.now + seconds
        while self.now < until:
            self.now += self.random.expovariate(per_s)
            while self._events and self._events[0][0] <= self.now:
                self._events.popleft()[1]()
            self.request(self.random.choice(ids), price)

    def find_max_total(self):
        """Return the highest total admitted in any window."""
        highest = total = 0.0
        window = deque()
        for at, price in self.admitted:
            window.append((at, price))
            total += price
            while at - window[0][0] > WINDOW_S:
                total -= window.popleft()[1]
            highest = max(highest, total)
        return highest

    @property
    def max_allowed(self):
        """Return the highest total that a window may admit."""
        limit = self.account.rate_per_s * WINDOW_S + self.account.burst
        return limit * (1 + OVERAGE)

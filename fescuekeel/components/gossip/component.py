"""Spread facts to all instances, and catch up with what was missed.

A new fact is sent at once to this instance's contacts, which send it on to
theirs unless they are all the others. In addition each instance compares
digests with one contact at a time, so that one that starts, wakes up or was
cut off gets what it has missed. The number of messages depends on the number
of contacts, which grows with the logarithm of the fleet's size; without facts
none are sent.
"""

import asyncio
import random
from collections.abc import Callable, Iterable, Sequence

from fescuekeel.components.gossip.const import (
    CATCH_UP_FANOUT,
    DIGEST_PERIOD_S,
    DOMAIN,
    FLUSH_S,
    MAX_MESSAGE_BYTES,
    MAX_MESSAGE_FACTS,
    PAUSE_S,
    RECENT_S,
    REPEATED_MISMATCH_S,
)
from fescuekeel.components.gossip.table import (
    Fact,
    FactTable,
    TopicLimits,
    split_facts,
)
from fescuekeel.core import Instance
from fescuekeel.helpers.peer_link import get_peer_link
from fescuekeel.helpers.ticks import sleep_to_tick
from fescuekeel.messages import (
    GossipDigest,
    GossipFact,
    GossipFacts,
    MemberView,
    PeerMessage,
)
from fescuekeel.util.ring import list_contacts

__all__ = ["Gossip"]

MS_PER_S = 1000

Handler = Callable[[Fact], None]


class Gossip:
    """Own the table of facts; components register the topics that they use."""

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self._table = FactTable({})
        self._handlers_by_topic: dict[str, Handler] = {}
        self._pending_by_key: dict[tuple[str, str], Fact] = {}
        self._flush: asyncio.TimerHandle | None = None
        self._contacts: list[str] = []
        self._reaches_all = False
        self._mismatched_at_by_peer: dict[str, float] = {}

    async def start(self) -> None:
        """Subscribe to peers' messages and start the exchange of digests."""
        bus = self._instance.bus
        bus.subscribe_peer(GossipFacts, self._handle_facts)
        bus.subscribe_peer(GossipDigest, self._handle_digest)
        bus.subscribe(MemberView, self._handle_members)
        self._instance.metrics.add_gauge(
            "gossip_facts", lambda: {"": float(len(self._table))}
        )
        self._instance.keep_running(self._compare_forever, f"{DOMAIN}.compare")

    async def stop(self) -> None:
        """Send the facts that are still pending."""
        self._send_pending()

    # The interface for other components.

    def register(self, topic: str, limits: TopicLimits, handler: Handler) -> None:
        """Add a topic; its handler gets each new fact, also the own ones."""
        self._table.limits_by_topic[topic] = limits
        self._handlers_by_topic[topic] = handler

    def publish(self, topic: str, key: str, rank: int, payload: bytes) -> None:
        """Tell all instances a fact, unless a higher one is known."""
        fact = Fact(topic, key, rank, payload, self._instance.now())
        if self._merge(fact):
            self._queue(fact)

    def get_rank(self, topic: str, key: str) -> int:
        """Return the rank of the fact of a key, 0 if none is known."""
        fact = self._table.find(topic, key)
        return 0 if fact is None else fact.rank

    def knows(self, topic: str, key: str) -> bool:
        """Return whether a fact of this key is known."""
        return self._table.find(topic, key) is not None

    def _merge(self, fact: Fact) -> bool:
        if not self._table.merge(fact, self._instance.now()):
            return False
        self._handlers_by_topic[fact.topic](fact)
        return True

    def _queue(self, fact: Fact) -> None:
        self._pending_by_key[fact.topic, fact.key] = fact
        if self._flush is None:
            loop = asyncio.get_running_loop()
            self._flush = loop.call_later(FLUSH_S, self._send_pending)

    # Sending.

    def _handle_members(self, view: MemberView) -> None:
        """Catch up with new contacts, as after a start or a partition."""
        known = set(self._contacts)
        contacts = list_contacts(self._instance.id, view.members_by_id)
        self._contacts = sorted(contacts)
        others = view.members_by_id.keys() - {self._instance.id}
        self._reaches_all = contacts >= others
        self._send_digest(sorted(contacts - known)[:CATCH_UP_FANOUT])

    def _send_pending(self) -> None:
        self._flush = None
        facts = list(self._pending_by_key.values())
        self._pending_by_key.clear()
        self._send_facts(self._contacts, facts)

    def _send_facts(self, peers: Iterable[str], facts: Iterable[Fact]) -> None:
        now = self._instance.now()
        link = get_peer_link(self._instance)
        for part in split_facts(facts, MAX_MESSAGE_FACTS, MAX_MESSAGE_BYTES):
            message = GossipFacts(tuple(_to_wire(fact, now) for fact in part))
            link.send_all(peers, message)
            self._instance.metrics.count("gossip.facts_sent", len(part))

    def _send_digest(self, peers: Sequence[str], is_reply: bool = False) -> None:
        if not peers:
            return
        message = GossipDigest(self._table.digest, len(self._table), is_reply)
        get_peer_link(self._instance).send_all(peers, message)

    async def _compare_forever(self) -> None:
        last_tick = self._instance.now()
        while True:
            await sleep_to_tick(DIGEST_PERIOD_S)
            now = self._instance.now()
            self._table.expire(now)
            if now - last_tick > PAUSE_S:
                fanout = CATCH_UP_FANOUT
            else:
                fanout = 1 if len(self._table) else 0
            last_tick = now
            fanout = min(fanout, len(self._contacts))
            self._send_digest(random.sample(self._contacts, fanout))

    # Receiving.

    def _handle_facts(self, message: PeerMessage) -> None:
        assert isinstance(message.body, GossipFacts)
        now = self._instance.now()
        for item in message.body.facts:
            fact = _from_wire(item, now)
            # In a small fleet the first sender has reached all others.
            if self._merge(fact) and not self._reaches_all:
                self._queue(fact)

    def _handle_digest(self, message: PeerMessage) -> None:
        """Send facts to a peer whose table differs, and ask for its own."""
        assert isinstance(message.body, GossipDigest)
        body, peer = message.body, message.sender
        if body.digest == self._table.digest:
            self._mismatched_at_by_peer.pop(peer, None)
            return
        self._instance.metrics.count("gossip.digest_differs")
        now = self._instance.now()
        previous_at = self._mismatched_at_by_peer.get(peer, float("-inf"))
        self._mismatched_at_by_peer[peer] = now
        if not body.count or now - previous_at < REPEATED_MISMATCH_S:
            facts = self._table.list_all()
        else:
            facts = self._table.list_since(now - RECENT_S)
        self._send_facts([peer], facts)
        if not body.is_reply:
            self._send_digest([peer], is_reply=True)


def _to_wire(fact: Fact, now: float) -> GossipFact:
    age_ms = int(max(0.0, now - fact.created_at) * MS_PER_S)
    return GossipFact(fact.topic, fact.key, fact.rank, fact.payload, age_ms)


def _from_wire(item: GossipFact, now: float) -> Fact:
    created_at = now - item.age_ms / MS_PER_S
    return Fact(item.topic, item.key, item.rank, item.payload, created_at)

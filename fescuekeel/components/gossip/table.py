"""The facts that an instance knows, and what it has to send; pure.

Facts of one key replace each other by rank, so that all instances end with the
same fact in whatever order they receive them.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

import xxhash

from fescuekeel.components.gossip.const import MIN_TIME_LEFT_S

__all__ = ["Fact", "FactTable", "TopicLimits", "split_facts"]


@dataclass(frozen=True, slots=True)
class TopicLimits:
    """How long facts of a topic are kept, and how many; the oldest go."""

    ttl_s: float
    max_facts: int


@dataclass(frozen=True, slots=True)
class Fact:
    """What some instance has observed.

    ``rank`` orders the facts of one key: a higher one replaces a lower one.
    ``created_at`` is when it was observed, on this instance's clock.
    """

    topic: str
    key: str
    rank: int
    payload: bytes
    created_at: float

    def replaces(self, other: "Fact") -> bool:
        """Return whether this fact replaces another one of its key."""
        return (self.rank, self.payload) > (other.rank, other.payload)

    @property
    def digest(self) -> int:
        """Return a digest without the time, equal on all instances."""
        hasher = xxhash.xxh3_64(self.payload)
        hasher.update(f"{self.topic}\0{self.key}\0{self.rank}".encode())
        digest: int = hasher.intdigest()
        return digest


@dataclass(slots=True)
class FactTable:
    """Merge facts, expire them and collect those to send.

    ``digest`` is equal for tables with the same facts, and zero if empty.

    >>> table = FactTable({"t": TopicLimits(ttl_s=60.0, max_facts=10)})
    >>> table.merge(Fact("t", "k", 2, b"new", 0.0), now=0.0)
    True
    >>> table.merge(Fact("t", "k", 1, b"old", 0.0), now=1.0)
    False
    >>> [fact.payload for fact in table.list_all()], len(table.expire(60.0))
    ([b'new'], 1)
    """

    limits_by_topic: dict[str, TopicLimits]
    digest: int = 0
    _facts_by_key: dict[tuple[str, str], Fact] = field(default_factory=dict)
    _counts_by_topic: dict[str, int] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._facts_by_key)

    def merge(self, fact: Fact, now: float) -> bool:
        """Add a fact; return false if it is unknown, old or expired."""
        limits = self.limits_by_topic.get(fact.topic)
        if limits is None or fact.created_at + limits.ttl_s - now < MIN_TIME_LEFT_S:
            return False
        key = (fact.topic, fact.key)
        known = self._facts_by_key.get(key)
        if known is not None:
            if not fact.replaces(known):
                return False
            self._remove(known)
        elif self._counts_by_topic.get(fact.topic, 0) >= limits.max_facts:
            self._remove_oldest(fact.topic)
        self._facts_by_key[key] = fact
        self._counts_by_topic[fact.topic] = self._counts_by_topic.get(fact.topic, 0) + 1
        self.digest ^= fact.digest
        return True

    def _remove(self, fact: Fact) -> None:
        del self._facts_by_key[fact.topic, fact.key]
        self._counts_by_topic[fact.topic] -= 1
        self.digest ^= fact.digest

    def _remove_oldest(self, topic: str) -> None:
        facts = (fact for fact in self._facts_by_key.values() if fact.topic == topic)
        self._remove(min(facts, key=lambda fact: (fact.created_at, fact.key)))

    def find(self, topic: str, key: str) -> Fact | None:
        """Return the fact of a key, if it is known."""
        return self._facts_by_key.get((topic, key))

    def expire(self, now: float) -> list[Fact]:
        """Remove and return the facts that have expired."""
        expired = [
            fact
            for fact in self._facts_by_key.values()
            if now >= fact.created_at + self.limits_by_topic[fact.topic].ttl_s
        ]
        for fact in expired:
            self._remove(fact)
        return expired

    def list_all(self) -> list[Fact]:
        """Return all facts, the newest first."""
        return sorted(
            self._facts_by_key.values(), key=lambda fact: fact.created_at, reverse=True
        )

    def list_since(self, time: float) -> list[Fact]:
        """Return the facts observed after a time, the newest first."""
        return [fact for fact in self.list_all() if fact.created_at > time]


def split_facts(
    facts: Iterable[Fact], max_facts: int, max_bytes: int
) -> list[list[Fact]]:
    """Split facts into parts that each fit one message.

    >>> facts = [Fact("t", key, 1, b"x" * 10, 0.0) for key in "abcde"]
    >>> [len(part) for part in split_facts(facts, max_facts=4, max_bytes=30)]
    [3, 2]
    """
    parts: list[list[Fact]] = []
    size = 0
    for fact in facts:
        size += len(fact.payload)
        if not parts or len(parts[-1]) >= max_facts or size > max_bytes:
            parts.append([])
            size = len(fact.payload)
        parts[-1].append(fact)
    return parts

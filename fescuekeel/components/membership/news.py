"""The queue of news to gossip, each piece a bounded number of times."""

import heapq
import math

from fescuekeel.components.membership.const import (
    MAX_NEWS,
    MAX_RETRANSMITS,
    PUSH_TRANSMITS,
    RETRANSMIT_FACTOR,
)
from fescuekeel.messages import News, NewsKind

__all__ = ["NewsQueue"]


class NewsQueue:
    """Hold the latest news of each subject until it was sent often enough.

    A piece of news that every receiver sends
    ``RETRANSMIT_FACTOR * log2(fleet_size)`` times reaches nearly all members.

    >>> queue = NewsQueue()
    >>> queue.add(News(NewsKind.LEFT, "i2", 1))
    >>> [len(queue.take(fleet_size=2)) for _ in range(4)]
    [1, 1, 1, 0]
    """

    def __init__(self) -> None:
        self._news_by_key: dict[tuple[bool, str], News] = {}
        self._transmits_by_key: dict[tuple[bool, str], int] = {}

    def add(self, news: News) -> None:
        """Queue news, replacing older news of the same subject."""
        key = (news.kind is NewsKind.ENDPOINT_LEAVING, news.subject)
        self._news_by_key[key] = news
        self._transmits_by_key[key] = 0

    @property
    def needs_push(self) -> bool:
        """Return whether any news has to be pushed to more peers."""
        return any(sent < PUSH_TRANSMITS for sent in self._transmits_by_key.values())

    def take(self, fleet_size: int) -> tuple[News, ...]:
        """Return the news for the next message, the least often sent first."""
        keys = heapq.nsmallest(
            MAX_NEWS, self._transmits_by_key, key=self._transmits_by_key.__getitem__
        )
        news = tuple(self._news_by_key[key] for key in keys)
        rounds = max(1, math.ceil(math.log2(max(2, fleet_size))))
        limit = min(MAX_RETRANSMITS, RETRANSMIT_FACTOR * rounds)
        for key in keys:
            self._transmits_by_key[key] += 1
            if self._transmits_by_key[key] >= limit:
                del self._transmits_by_key[key], self._news_by_key[key]
        return news

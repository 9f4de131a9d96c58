"""The news that an instance passes on, each a bounded number of times."""

import heapq
import math

from fescuekeel.components.membership.const import (
    MAX_NEWS,
    MAX_RETRANSMITS,
    PUSHED_TIMES,
    RETRANSMIT_FACTOR,
)
from fescuekeel.messages import News, NewsKind

__all__ = ["NewsQueue"]


class NewsQueue:
    """Hold the latest news of each subject until it has been told enough.

    News told ``RETRANSMIT_FACTOR * log2(fleet)`` times by each that hears it
    reaches everyone with near certainty, at a cost that does not grow with
    what has been told before.

    >>> queue = NewsQueue()
    >>> queue.add(News(NewsKind.LEFT, "i2", 1))
    >>> [len(queue.take(fleet=2)) for _ in range(4)]
    [1, 1, 1, 0]
    """

    def __init__(self) -> None:
        self._news_by_key: dict[tuple[bool, str], News] = {}
        self._told_by_key: dict[tuple[bool, str], int] = {}

    def add(self, news: News) -> None:
        """Pass on news in place of what was told of the same subject."""
        key = (news.kind is NewsKind.ENDPOINT_LEAVING, news.subject)
        self._news_by_key[key] = news
        self._told_by_key[key] = 0

    @property
    def has_fresh(self) -> bool:
        """Tell whether there is news that few have been told."""
        return any(told < PUSHED_TIMES for told in self._told_by_key.values())

    def take(self, fleet: int) -> tuple[News, ...]:
        """Return what to tell next, the least told first."""
        keys = heapq.nsmallest(
            MAX_NEWS, self._told_by_key, key=self._told_by_key.__getitem__
        )
        news = tuple(self._news_by_key[key] for key in keys)
        spread = max(1, math.ceil(math.log2(max(2, fleet))))
        limit = min(MAX_RETRANSMITS, RETRANSMIT_FACTOR * spread)
        for key in keys:
            self._told_by_key[key] += 1
            if self._told_by_key[key] >= limit:
                del self._told_by_key[key], self._news_by_key[key]
        return news

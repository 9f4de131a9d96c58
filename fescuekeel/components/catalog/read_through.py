"""Brings the catalog up to date when a decision must not miss a change."""

import asyncio
from collections.abc import Callable

from fescuekeel.components.catalog.const import (
    MIN_READ_INTERVAL_S,
    READ_TIMEOUT_S,
)
from fescuekeel.components.catalog.follower import WatchChanges, mark_era
from fescuekeel.components.catalog.items import ItemStore
from fescuekeel.components.catalog.store_client import StoreClient
from fescuekeel.core import Instance
from fescuekeel.helpers.dialect import StoreReply, StoreStatus
from fescuekeel.helpers.freshness import Freshness
from fescuekeel.helpers.published import BEGINNING, Position

__all__ = ["ReadThrough"]


class ReadThrough:
    """Read changes from the store at once, beside the one that follows it.

    Decisions at the same time share a read. ``apply`` is called with the keys
    that changed.
    """

    def __init__(
        self,
        instance: Instance,
        client: StoreClient,
        items: ItemStore,
        freshness: Freshness,
        apply: Callable[[list[str]], None],
    ) -> None:
        self._instance = instance
        self._client = client
        self._items = items
        self._freshness = freshness
        self._apply = apply
        self._lock = asyncio.Lock()
        self._asked_at = float("-inf")

    async def confirm(self, until: float) -> bool:
        """Return whether all that was published until a time is known.

        Only an answer of the store to a call that was sent later proves that.
        Another call is made unless one has been made since.
        """
        async with self._lock:
            is_known = self._freshness.confirmed_at >= until
            if not is_known and self._asked_at < until:
                await self._read()
        return self._freshness.confirmed_at >= until

    async def _read(self) -> None:
        interval_s = self._instance.now() - self._asked_at
        await asyncio.sleep(max(0.0, MIN_READ_INTERVAL_S - interval_s))
        asked_at = self._asked_at = self._instance.now()
        if self._items.position == BEGINNING:
            return
        call = WatchChanges(self._items.position, 0.0, READ_TIMEOUT_S)
        self._instance.metrics.count("catalog.read_through")
        reply = await self._client.call(call)
        if reply is None or not self._is_usable(call, reply):
            self._instance.metrics.count("catalog.read_through_failed")
            return
        items = mark_era(reply, call.after.era)
        position = Position(call.after.era, reply.revision)
        self._apply(self._items.merge(items, position, self._instance.now()))
        self._freshness.record_confirmed(asked_at, 0.0)

    def _is_usable(self, call: WatchChanges, reply: StoreReply) -> bool:
        """Return whether a reply has all changes since the call's position.

        After the store came back from a copy it lacks what is written again.
        """
        era = call.after.era if reply.era is None else reply.era
        is_complete = reply.status is StoreStatus.OK and self._items.is_settled
        is_same_era = era == call.after.era == self._items.position.era
        return is_complete and is_same_era and reply.revision >= call.after.revision

    def close(self) -> None:
        """Close the connection to the store."""
        self._client.close()

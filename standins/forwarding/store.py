"""A stand-in of the platform's store, which instances may only read."""

import asyncio
import base64
from dataclasses import dataclass, field
from typing import Any

import orjson

from standins.server import Misbehaviour, Server, StandInHandler

__all__ = ["PlatformStore", "start_store"]

PAGE_ITEMS = 50


@dataclass(slots=True)
class Item:
    """One key's state; ``value`` is ``None`` after a removal."""

    key: str
    value: bytes | None
    revision: int

    def as_json(self) -> dict[str, Any]:
        """Return the item as the store writes it."""
        if self.value is None:
            return {"key": self.key, "revision": self.revision, "tombstone": True}
        text = base64.b64encode(self.value).decode()
        shared = {"revision": self.revision, "created": self.revision, "lease": 0}
        return {"key": self.key, "value": text, **shared}


@dataclass(eq=False)
class PlatformStore:
    """Hold items and their history.

    ``refuse`` is the status that every call gets, zero for none, and
    ``oldest`` the first revision that a watch may still begin after.
    """

    revision: int = 1
    refuse: int = 0
    oldest: int = 0
    calls: int = 0
    items_by_key: dict[str, Item] = field(default_factory=dict)
    history: list[Item] = field(default_factory=list)
    misbehaviour: Misbehaviour = field(default_factory=Misbehaviour)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def put(self, key: str, value: Any) -> None:
        """Write a value; ``None`` removes the key."""
        self.put_bytes(key, None if value is None else orjson.dumps(value))

    def put_bytes(self, key: str, encoded: bytes | None) -> None:
        """Write any bytes, as another writer may; ``None`` removes the key."""
        self.revision += 1
        item = Item(key, encoded, self.revision)
        self.items_by_key[key] = item
        if encoded is None:
            del self.items_by_key[key]
        self.history.append(item)
        self.changed.set()
        self.changed = asyncio.Event()

    def forget_history(self) -> None:
        """Drop the history: watches must begin anew."""
        self.oldest = self.revision
        self.history.clear()

    def control(self, orders: dict[str, Any]) -> None:
        """Take ``refuse``."""
        self.refuse = int(orders.get("refuse", self.refuse))

    def journal(self) -> dict[str, Any]:
        """Return what was asked so far."""
        return {"calls": self.calls, "revision": self.revision}


class StoreHandler(StandInHandler):
    """Refuse, or answer."""

    standin: PlatformStore

    async def prepare(self) -> None:
        """Count the call, and refuse it if told so."""
        await super().prepare()
        self.standin.calls += 1
        if self.standin.refuse and not self._finished:
            await self.answer(self.standin.refuse, {})


class RangeHandler(StoreHandler):
    """List items, a page at a time."""

    async def get(self) -> None:
        """Answer with the page after a key."""
        prefix = self.get_query_argument("prefix", "")
        after = self.get_query_argument("after", "")
        found = sorted(
            key
            for key in self.standin.items_by_key
            if key.startswith(prefix) and key > after
        )
        page = [self.standin.items_by_key[key] for key in found[:PAGE_ITEMS]]
        body = {
            "items": [item.as_json() for item in page],
            "has_more": len(found) > PAGE_ITEMS,
            "as_of": self.standin.revision,
        }
        await self.answer(200, body)


class WatchHandler(StoreHandler):
    """Wait for changes."""

    async def get(self) -> None:
        """Answer with all changes after a revision, at once if there are."""
        store = self.standin
        after = int(self.get_query_argument("after"))
        wait_s = int(self.get_query_argument("wait_ms", "0")) / 1000
        if after < store.oldest:
            await self.answer(410, {})
            return
        if not self.list_events(after):
            try:
                async with asyncio.timeout(wait_s):
                    await store.changed.wait()
            except TimeoutError:
                pass
        events = [item.as_json() for item in self.list_events(after)]
        await self.answer(200, {"events": events, "as_of": store.revision})

    def list_events(self, after: int) -> list[Item]:
        """Return the changes after a revision."""
        return [item for item in self.standin.history if item.revision > after]


def start_store() -> tuple[PlatformStore, Server]:
    """Start a store on a free loopback port."""
    store = PlatformStore()
    routes = [("/kv-range", RangeHandler), ("/kv-watch", WatchHandler)]
    return store, Server(store, routes)

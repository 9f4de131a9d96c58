"""Stand-in for the platform's store, which instances only read."""

import asyncio
import base64
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import orjson

from standins.server import ConnectionFaults, Server, StandInHandler

__all__ = ["Item", "PlatformStore", "StoreCopy", "serve_store", "start_store"]

PAGE_ITEMS = 50
ERA = "Store-Era"


@dataclass(slots=True)
class Item:
    """State of a key; ``value`` is ``None`` after a removal."""

    key: str
    value: bytes | None
    revision: int

    def as_json(self) -> dict[str, Any]:
        """Return the item in the store's JSON format."""
        if self.value is None:
            return {"key": self.key, "revision": self.revision, "tombstone": True}
        text = base64.b64encode(self.value).decode()
        shared = {"revision": self.revision, "created": self.revision, "lease": 0}
        return {"key": self.key, "value": text, **shared}


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """What a store held at a time, and what its mirrors held then."""

    revision: int
    oldest: int
    items_by_key: dict[str, Item]
    history: tuple[Item, ...]
    mirrors: tuple["StoreCopy", ...]


@dataclass(eq=False)
class PlatformStore:
    """Items and their history.

    ``refuse`` is the status that rejects every call, zero for none, and
    ``oldest`` the earliest revision that a watch can start after. ``copies``
    are called with each item that is written. ``mirrors`` are restored with
    this store. ``era`` is named in each answer, unless it is ``None``.
    """

    revision: int = 1
    era: int | None = 1
    refuse: int = 0
    oldest: int = 0
    calls: int = 0
    items_by_key: dict[str, Item] = field(default_factory=dict)
    history: list[Item] = field(default_factory=list)
    connection_faults: ConnectionFaults = field(default_factory=ConnectionFaults)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    copies: list[Callable[[Item], None]] = field(default_factory=list)
    mirrors: list["PlatformStore"] = field(default_factory=list)

    def put(self, key: str, value: Any) -> None:
        """Write a value; ``None`` removes the key."""
        self.put_bytes(key, None if value is None else orjson.dumps(value))

    def put_bytes(self, key: str, encoded: bytes | None) -> None:
        """Write arbitrary bytes; ``None`` removes the key."""
        self.apply(Item(key, encoded, self.revision + 1))

    def apply(self, item: Item) -> None:
        """Store an item under its own revision."""
        self.revision = item.revision
        if item.value is None:
            self.items_by_key.pop(item.key, None)
        else:
            self.items_by_key[item.key] = item
        self.history.append(item)
        self._wake_watches()
        for copy in self.copies:
            copy(item)

    def _wake_watches(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def take_copy(self) -> StoreCopy:
        """Copy the items and their history."""
        return StoreCopy(
            self.revision,
            self.oldest,
            dict(self.items_by_key),
            tuple(self.history),
            tuple(mirror.take_copy() for mirror in self.mirrors),
        )

    def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy, and begin the next era."""
        self.revision, self.oldest = copy.revision, copy.oldest
        self.items_by_key = dict(copy.items_by_key)
        self.history = list(copy.history)
        if self.era is not None:
            self.era += 1
        self._wake_watches()
        for mirror, mirrored in zip(self.mirrors, copy.mirrors, strict=True):
            mirror.restore(mirrored)

    def has_history_since(self, revision: int) -> bool:
        """Return whether all changes after a revision are known."""
        return self.oldest <= revision <= self.revision

    def compact_history(self) -> None:
        """Drop the history, so that older watches have to start again."""
        self.oldest = self.revision
        self.history.clear()

    def control(self, commands: dict[str, Any]) -> None:
        """Apply ``refuse``."""
        self.refuse = int(commands.get("refuse", self.refuse))

    def journal(self) -> dict[str, Any]:
        """Return the number of calls and the current revision."""
        return {"calls": self.calls, "revision": self.revision}


class StoreHandler(StandInHandler):
    """Base class of the store's handlers."""

    standin: PlatformStore

    async def prepare(self) -> None:
        """Count the call, and reject it if ``refuse`` is set."""
        await super().prepare()
        self.standin.calls += 1
        if self.standin.refuse and not self._finished:
            await self.respond(self.standin.refuse, {})

    async def respond(self, status: int, body: dict[str, Any]) -> None:
        """Send a JSON response with the store's era."""
        if self.standin.era is not None:
            self.set_header(ERA, str(self.standin.era))
        await super().respond(status, body)


class RangeHandler(StoreHandler):
    """List items page by page."""

    async def get(self) -> None:
        """Respond with the page after a key."""
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
        await self.respond(200, body)


class WatchHandler(StoreHandler):
    """Wait for changes."""

    async def get(self) -> None:
        """Respond with the changes after a revision; wait if none."""
        store = self.standin
        after = int(self.get_query_argument("after"))
        wait_s = int(self.get_query_argument("wait_ms", "0")) / 1000
        if not store.has_history_since(after):
            await self.respond(410, {})
            return
        if not self.list_events(after):
            try:
                async with asyncio.timeout(wait_s):
                    await store.changed.wait()
            except TimeoutError:
                pass
        if not store.has_history_since(after):
            await self.respond(410, {})
            return
        events = [item.as_json() for item in self.list_events(after)]
        await self.respond(200, {"events": events, "as_of": store.revision})

    def list_events(self, after: int) -> list[Item]:
        """Return the changes after a revision."""
        return [item for item in self.standin.history if item.revision > after]


def start_store() -> tuple[PlatformStore, Server]:
    """Start a store on a free loopback port."""
    store = PlatformStore()
    return store, serve_store(store)


def serve_store(store: PlatformStore) -> Server:
    """Serve a store on a free loopback port."""
    routes = [("/kv-range", RangeHandler), ("/kv-watch", WatchHandler)]
    return Server(store, routes)

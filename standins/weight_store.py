"""A stand-in of the weight store, whose rate is shared by all that fetch."""

import asyncio
import time
from collections import Counter
from dataclasses import dataclass
from typing import Any

from standins.server import Misbehaviour, Server, StandInHandler

__all__ = ["WeightStore", "start_weight_store"]

DONE = 1e-9


@dataclass(eq=False, slots=True)
class Fetch:
    """One fetch in progress; ``left`` is the share still to come."""

    left: float = 1.0


class WeightStore:
    """Share ``loads_per_s`` among the fetches in progress."""

    def __init__(self, loads_per_s: float) -> None:
        self.loads_per_s = loads_per_s
        self.misbehaviour = Misbehaviour()
        self.fetches: set[Fetch] = set()
        self.counts_by_model: Counter[str] = Counter()
        self.most_at_once = 0
        self.failing = 0
        self._updated = time.monotonic()
        self._changed = asyncio.Event()

    def control(self, orders: dict[str, Any]) -> None:
        """Take ``loads_per_s`` and ``fail``, a number of fetches."""
        self._advance()
        self.loads_per_s = float(orders.get("loads_per_s", self.loads_per_s))
        self.failing = int(orders.get("fail", self.failing))
        self._wake()

    def journal(self) -> dict[str, Any]:
        """Return the number of fetches by model."""
        return {
            "counts_by_model": dict(self.counts_by_model),
            "most_at_once": self.most_at_once,
        }

    async def fetch(self, model: str) -> bool:
        """Wait for one model's weights; return whether they came."""
        self._advance()
        self.counts_by_model[model] += 1
        fails = self.failing > 0
        self.failing -= 1 if fails else 0
        fetch = Fetch(left=0.5 if fails else 1.0)
        self.fetches.add(fetch)
        self.most_at_once = max(self.most_at_once, len(self.fetches))
        self._wake()
        try:
            await self._wait(fetch)
        finally:
            self._advance()
            self.fetches.discard(fetch)
            self._wake()
        return not fails

    async def _wait(self, fetch: Fetch) -> None:
        while fetch.left > DONE:
            changed = self._changed
            share = self.loads_per_s / len(self.fetches)
            try:
                async with asyncio.timeout(fetch.left / share):
                    await changed.wait()
            except TimeoutError:
                pass
            self._advance()

    def _advance(self) -> None:
        now = time.monotonic()
        elapsed = now - self._updated
        self._updated = now
        if not self.fetches:
            return
        done = elapsed * self.loads_per_s / len(self.fetches)
        for fetch in self.fetches:
            fetch.left -= done

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class FetchHandler(StandInHandler):
    """Answer when the weights have come."""

    async def post(self) -> None:
        """Fetch one model."""
        if await self.standin.fetch(str(self.read_json().get("model", ""))):
            await self.answer(200, {})
            return
        await self.answer(502, {"error": "fetch_failed"})


async def start_weight_store(loads_per_s: float) -> tuple[WeightStore, Server]:
    """Start a weight store on a free port."""
    store = WeightStore(loads_per_s)
    return store, Server(store, [("/fetch", FetchHandler)])

"""Stand-in for the weight store; concurrent fetches share its rate."""

import asyncio
import time
from collections import Counter
from dataclasses import dataclass
from typing import Any

from standins.server import ConnectionFaults, Server, StandInHandler

__all__ = ["WeightStore", "start_weight_store"]

ROUNDING_TOLERANCE = 1e-9


@dataclass(eq=False, slots=True)
class Fetch:
    """A fetch in progress; ``remaining`` is the share not yet fetched."""

    remaining: float = 1.0


class WeightStore:
    """Share ``loads_per_s`` among the fetches in progress."""

    def __init__(self, loads_per_s: float) -> None:
        self.loads_per_s = loads_per_s
        self.connection_faults = ConnectionFaults()
        self.fetches: set[Fetch] = set()
        self.counts_by_model: Counter[str] = Counter()
        self.max_concurrent_fetches = 0
        self.failures_left = 0
        self._updated = time.monotonic()
        self._changed = asyncio.Event()

    def control(self, commands: dict[str, Any]) -> None:
        """Apply ``loads_per_s`` and ``fail``, how many fetches fail."""
        self._advance()
        self.loads_per_s = float(commands.get("loads_per_s", self.loads_per_s))
        self.failures_left = int(commands.get("fail", self.failures_left))
        self._wake()

    def journal(self) -> dict[str, Any]:
        """Return the fetch counts by model and the highest concurrency."""
        return {
            "counts_by_model": dict(self.counts_by_model),
            "most_at_once": self.max_concurrent_fetches,
        }

    async def fetch(self, model: str) -> bool:
        """Fetch a model's weights; return whether that succeeded."""
        self._advance()
        self.counts_by_model[model] += 1
        fails = self.failures_left > 0
        self.failures_left -= 1 if fails else 0
        fetch = Fetch(remaining=0.5 if fails else 1.0)
        self.fetches.add(fetch)
        self.max_concurrent_fetches = max(
            self.max_concurrent_fetches, len(self.fetches)
        )
        self._wake()
        try:
            await self._wait(fetch)
        finally:
            self._advance()
            self.fetches.discard(fetch)
            self._wake()
        return not fails

    async def _wait(self, fetch: Fetch) -> None:
        while fetch.remaining > ROUNDING_TOLERANCE:
            changed = self._changed
            share = self.loads_per_s / len(self.fetches)
            try:
                async with asyncio.timeout(fetch.remaining / share):
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
            fetch.remaining -= done

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class FetchHandler(StandInHandler):
    """Respond when a fetch ends."""

    async def post(self) -> None:
        """Fetch one model."""
        if await self.standin.fetch(str(self.read_json().get("model", ""))):
            await self.respond(200, {})
            return
        await self.respond(502, {"error": "fetch_failed"})


async def start_weight_store(loads_per_s: float) -> tuple[WeightStore, Server]:
    """Start a weight store on a free port."""
    store = WeightStore(loads_per_s)
    return store, Server(store, [("/fetch", FetchHandler)])

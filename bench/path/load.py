"""A load generator: so many connections, at a rate or as fast as answered."""

import asyncio
import time

from pydantic import BaseModel

from bench.path.client import Caller, make_body
from bench.path.const import ADAPTERS, MODEL

__all__ = ["OK", "Generator", "LoadOrder", "LoadResult"]

OK = 200


class LoadOrder(BaseModel):
    """What to send: ``rate_per_s`` of 0 sends as answers come back."""

    address: str
    callers: int
    seconds: float
    max_tokens: int
    stream: bool
    rate_per_s: float = 0.0


class LoadResult(BaseModel):
    """What came back; times in seconds."""

    answered: int = 0
    tokens: int = 0
    failed: int = 0
    skipped: int = 0
    took_s: float = 0.0
    processor_s: float = 0.0
    totals_s: list[float] = []
    gaps_s: list[float] = []


class Generator:
    """Send requests over a fixed number of connections."""

    def __init__(self, order: LoadOrder) -> None:
        self.order = order
        self.result = LoadResult()
        self._numbers = 0
        self._due = time.monotonic()

    async def run(self) -> LoadResult:
        """Send for as long as ordered and return the result."""
        callers = [Caller(self.order.address) for _ in range(self.order.callers)]
        for caller in callers:
            await caller.open()
        began, worked = time.monotonic(), time.process_time()
        self._due = began
        await asyncio.gather(*(self._drive(caller, began) for caller in callers))
        self.result.took_s = time.monotonic() - began
        self.result.processor_s = time.process_time() - worked
        for caller in callers:
            caller.close()
        return self.result

    async def _drive(self, caller: Caller, began: float) -> None:
        end = began + self.order.seconds
        while time.monotonic() < end:
            if self.order.rate_per_s:
                due = self._due
                self._due += 1 / self.order.rate_per_s
                if due >= end:
                    return
                await self._wait_until(due)
            await self._ask(caller)

    async def _wait_until(self, due: float) -> None:
        late_s = time.monotonic() - due
        if late_s > 1.0:
            # All connections are busy: what could not be sent is told.
            self.result.skipped += 1
        elif late_s < 0:
            await asyncio.sleep(-late_s)

    async def _ask(self, caller: Caller) -> None:
        self._numbers += 1
        model = MODEL.format(number=self._numbers % ADAPTERS)
        order = self.order
        body = make_body(model, f"p{self._numbers}", order.max_tokens, order.stream)
        answer = await caller.ask(body)
        if answer.status != OK:
            self.result.failed += 1
            return
        self.result.answered += 1
        tokens = len(answer.arrivals) if order.stream else order.max_tokens
        if tokens != order.max_tokens:
            self.result.failed += 1
        self.result.tokens += tokens
        self.result.totals_s.append(answer.total_s)
        self.result.gaps_s += answer.gaps_s

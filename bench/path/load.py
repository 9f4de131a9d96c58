"""Load generator with a fixed number of connections."""

import asyncio
import time

from pydantic import BaseModel

from bench.path.client import Caller, make_body
from bench.path.const import ADAPTERS, MODEL

__all__ = ["OK", "LoadGenerator", "LoadResult", "LoadSpec"]

OK = 200


class LoadSpec(BaseModel):
    """Parameters of a load; without a rate it is a closed loop."""

    address: str
    callers: int
    seconds: float
    max_tokens: int
    stream: bool
    rate_per_s: float = 0.0


class LoadResult(BaseModel):
    """Counts and latencies of a load, in seconds."""

    answered: int = 0
    tokens: int = 0
    failed: int = 0
    skipped: int = 0
    took_s: float = 0.0
    processor_s: float = 0.0
    totals_s: list[float] = []
    gaps_s: list[float] = []


class LoadGenerator:
    """Send requests over a fixed number of connections."""

    def __init__(self, spec: LoadSpec) -> None:
        self.spec = spec
        self.result = LoadResult()
        self._numbers = 0
        self._due = time.monotonic()

    async def run(self) -> LoadResult:
        """Send requests for the given time and return the result."""
        callers = [Caller(self.spec.address) for _ in range(self.spec.callers)]
        for caller in callers:
            await caller.open()
        started_at, processor_started_at = time.monotonic(), time.process_time()
        self._due = started_at
        await asyncio.gather(
            *(self._send_requests(caller, started_at) for caller in callers)
        )
        self.result.took_s = time.monotonic() - started_at
        self.result.processor_s = time.process_time() - processor_started_at
        for caller in callers:
            caller.close()
        return self.result

    async def _send_requests(self, caller: Caller, started_at: float) -> None:
        ends_at = started_at + self.spec.seconds
        while time.monotonic() < ends_at:
            if self.spec.rate_per_s:
                due = self._due
                self._due += 1 / self.spec.rate_per_s
                if due >= ends_at:
                    return
                await self._wait_until(due)
            await self._send_request(caller)

    async def _wait_until(self, due: float) -> None:
        late_s = time.monotonic() - due
        if late_s > 1.0:
            # All connections are busy; the request counts as skipped.
            self.result.skipped += 1
        elif late_s < 0:
            await asyncio.sleep(-late_s)

    async def _send_request(self, caller: Caller) -> None:
        self._numbers += 1
        model = MODEL.format(number=self._numbers % ADAPTERS)
        spec = self.spec
        body = make_body(model, f"p{self._numbers}", spec.max_tokens, spec.stream)
        response = await caller.complete(body)
        if response.status != OK:
            self.result.failed += 1
            return
        self.result.answered += 1
        tokens = len(response.arrivals) if spec.stream else spec.max_tokens
        if tokens != spec.max_tokens:
            self.result.failed += 1
        self.result.tokens += tokens
        self.result.totals_s.append(response.total_s)
        self.result.gaps_s += response.gaps_s

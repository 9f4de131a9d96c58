"""How long one iteration of the event loop works; a measurement for tests."""

import asyncio
import time


class LoopMeter:
    """Measure the processor time of the longest iteration within a block."""

    async def __aenter__(self):
        self.longest_s = 0.0
        self.iterations = 0
        self._task = asyncio.ensure_future(self._measure())
        await asyncio.sleep(0)
        return self

    async def __aexit__(self, *error):
        await asyncio.sleep(0)
        self._task.cancel()

    async def _measure(self):
        while True:
            began_at = time.thread_time()
            await asyncio.sleep(0)
            self.iterations += 1
            self.longest_s = max(self.longest_s, time.thread_time() - began_at)

"""Tests of stand-in workers that requests crash."""

import asyncio

from standins.forwarding.platform import ENGINES, MODEL, StandInPlatform
from standins.forwarding.workers import Worker


class TestCrash:
    def test_a_worker_that_is_down_cannot_crash(self):
        """Guards against counting a crash once for each request in it."""

        async def work():
            platform = StandInPlatform()
            platform.start()
            worker = Worker(ENGINES, MODEL)
            platform.add(worker, "a")
            assert worker.crash()
            assert not worker.crash()
            await platform.stop()

        asyncio.run(work())

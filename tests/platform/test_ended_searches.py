"""End-to-end tests of searches for another endpoint that end early."""

import asyncio

from standins.forwarding.platform import ENGINES
from tests.common import eventually
from tests.platform.test_broken_answers import grant_retries
from tests.platform.test_path import run, start_world
from tests.platform.test_silent_endpoint import (
    ADAPTERS,
    EVENT_S,
    EVENTS,
    SILENT_AFTER_S,
    publish_long_routes,
    receive_stream,
)

SEARCH_ENDS_WITHIN_S = 0.25


def list_searches():
    """Return the searches that go on, of all instances."""
    return [
        task for task in asyncio.all_tasks() if task.get_name() == "forward.failover"
    ]


class TestAttemptsThatBreakDuringASearch:
    # Guards against a request that looks for an endpoint twice at once, and
    # takes two places, since its attempt broke while it looked.
    def test_the_search_ends_with_the_attempt(self):
        async def work():
            async with start_world(2) as world:
                grant_retries(world)
                await publish_long_routes(world)
                engines = world.platform.list_workers(ENGINES)
                for engine in engines:
                    engine.events, engine.event_s = EVENTS, EVENT_S
                streams = [
                    asyncio.ensure_future(
                        receive_stream(world, "resumed", f"a{n}", n % 2)
                    )
                    for n in range(ADAPTERS)
                ]
                await asyncio.sleep(SILENT_AFTER_S)
                for engine in engines:
                    engine.pause(4.0)
                await eventually(list_searches)
                for engine in engines:
                    engine.connection_faults.close_open()
                await asyncio.sleep(SEARCH_ENDS_WITHIN_S)
                assert not list_searches()
                await asyncio.gather(*streams)

        run(work)

"""End-to-end tests of streams whose direct path is lost."""

import asyncio
import re

import pytest

from standins.forwarding.platform import ENGINES, make_configuration, make_route
from standins.proxy import Cut
from tests.common import eventually
from tests.platform.test_broken_answers import grant_retries
from tests.platform.test_path import LONG_DEADLINE, run, start_world

EVENTS = 50
EVENT_S = 0.1
STREAMS = 12
# When all streams have begun, and have not ended yet.
CUT_AFTER_S = 1.0
# From the time at which a peer has a path: a little more than the rest of a
# stream takes.
WHOLE_WITHIN_S = 7.0


async def publish_route(world, max_attempts):
    """Publish a route of streams that may be sent to some endpoints."""
    times = {"timeout_ms": 20000, "target_latency_ms": 500}
    route = make_route(
        "resumed", "stream", ENGINES, resumable=True, max_attempts=max_attempts, **times
    )
    world.platform.publish_configuration(make_configuration(2, route))
    await eventually(lambda: world.get_oldest_version() == 2)
    for engine in world.platform.list_workers(ENGINES):
        engine.events, engine.event_s = EVENTS, EVENT_S


def begin_streams(world, number):
    """Send stream requests to the first instance."""
    return [
        asyncio.ensure_future(
            world.send_stream_request("/resumed/1", "", 0, **LONG_DEADLINE)
        )
        for _ in range(number)
    ]


async def check_whole(streams):
    """Check that all callers get all events in order and in time."""
    async with asyncio.timeout(WHOLE_WITHIN_S):
        answers = await asyncio.gather(*streams)
    expected = [str(number).encode() for number in range(1, EVENTS + 1)]
    for answer, _ in answers:
        assert re.findall(rb"id: (\d+)", answer.body) == expected


class TestStreamsAtLostPaths:
    # Guards against streams that stay on a lost path since the first one that
    # left it gets bytes of the same endpoint through a peer.
    @pytest.mark.parametrize("max_attempts", [1, 2])
    def test_all_go_on_through_a_peer(self, max_attempts):
        async def work():
            async with start_world(2, linked=True) as world:
                grant_retries(world)
                await publish_route(world, max_attempts)
                streams = begin_streams(world, STREAMS)
                await asyncio.sleep(CUT_AFTER_S)
                world.links[0].cut(Cut.HANG)
                await check_whole(streams)

        run(work)

    # Guards against looking for another path only in the first moments, while
    # no peer has one yet.
    def test_one_that_comes_late_is_found(self):
        async def work():
            async with start_world(2, linked=True) as world:
                grant_retries(world)
                await publish_route(world, 1)
                streams = begin_streams(world, STREAMS)
                await asyncio.sleep(CUT_AFTER_S)
                for links in world.links:
                    links.cut(Cut.HANG)
                await asyncio.sleep(2.5)
                await world.links[1].restore()
                await check_whole(streams)

        run(work)


class TestStreamsBesideNewOnes:
    # Guards against taking bytes that come through a peer for a sign that the
    # direct path works.
    def test_all_go_on_through_a_peer(self):
        async def work():
            async with start_world(2, linked=True) as world:
                grant_retries(world)
                await publish_route(world, 1)
                streams = begin_streams(world, STREAMS)
                await asyncio.sleep(CUT_AFTER_S)
                world.links[0].cut(Cut.HANG)
                later = []
                for _ in range(8):
                    later += begin_streams(world, 1)
                    await asyncio.sleep(0.2)
                await check_whole(streams)
                await asyncio.gather(*later)

        run(work)

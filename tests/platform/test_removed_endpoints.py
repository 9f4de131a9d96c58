"""End-to-end tests of endpoints that are removed as the store comes back."""

import asyncio
import time

import pytest

from standins.forwarding.platform import PLAIN
from tests.platform.load import Load, wait_until_served
from tests.platform.test_path import run, start_world
from tests.platform.test_quarantine import add_endpoints

PATH = "/lookup"
BOUND_S = 2.0
SECONDS_AFTER = 3.5


async def remove_one(world, away_s):
    """Let the store be away; remove an endpoint as it comes back."""
    store = world.platform.store
    store.refuse = 503
    await asyncio.sleep(away_s)
    store.refuse = 0
    removed = world.platform.list_workers(PLAIN)[0]
    world.platform.remove(removed)
    return removed, time.monotonic()


class TestStoreAwayForAMoment:
    # Guards against a removal that is taken for a lapsed entry, so that the
    # endpoint gets requests like any other for longer than the bound.
    @pytest.mark.parametrize("away_s", [1.0, 2.0])
    def test_none_is_sent_after_the_bound(self, away_s):
        async def work():
            async with start_world(4) as world:
                await add_endpoints(world, PLAIN, 2)
                await wait_until_served(world, PATH)
                load = Load(world, PATH, requests_per_s=80.0)
                playing = asyncio.ensure_future(load.run(away_s + SECONDS_AFTER))
                removed, removed_at = await remove_one(world, away_s)
                await playing
                late = load.list_arrivals(removed, removed_at + BOUND_S)
                assert not late, late
                assert load.get_served_share(0.0) >= 0.99

        run(work)

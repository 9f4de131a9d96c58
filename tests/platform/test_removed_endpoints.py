"""End-to-end tests of endpoints that are removed as the store comes back."""

import asyncio
import time

import pytest

from fescuekeel.helpers.incarnation import Incarnation
from fescuekeel.helpers.published import Catalog
from standins.forwarding.platform import PLAIN
from tests.common import eventually
from tests.platform.load import Load, wait_until_served
from tests.platform.test_path import run, start_world
from tests.platform.test_quarantine import add_endpoints

PATH = "/lookup"
BOUND_S = 2.0
SECONDS_AFTER = 3.5
AWAY_S = 2.5
# An answer of an endpoint shows for this time that it does not leave.
OWN_WORD_S = 0.6


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


async def lose_all_entries(world, away_s):
    """Let the store be away, and come back without the plain endpoints."""
    store = world.platform.store
    store.refuse = 503
    await asyncio.sleep(away_s)
    workers = world.platform.list_workers(PLAIN)
    for worker in workers:
        world.platform.remove(worker)
    store.refuse = 0
    return workers


def is_unconfirmed(instance, worker):
    catalog = instance.bus.latest(Catalog)
    names = {Incarnation.parse(id).name for id in catalog.unconfirmed_since_by_id}
    return worker.id in names


async def play_loss(leaves):
    """Send requests while all entries are missing; count what arrived."""
    async with start_world(4) as world:
        await wait_until_served(world, PATH)
        await asyncio.sleep(OWN_WORD_S)
        workers = await lose_all_entries(world, AWAY_S)
        await eventually(
            lambda: all(
                is_unconfirmed(instance, worker)
                for instance in world.instances
                for worker in workers
            )
        )
        for worker in workers:
            worker.leaves = leaves
        load = Load(world, PATH, requests_per_s=40.0)
        await load.run(0.5)
        arrived = sum(load.list_arrivals(each, 0.0).total() for each in workers)
        return arrived, load.get_served_share(0.0)


class TestAllEntriesLapse:
    # Guards against the loss of a service whose entries lapsed in an outage.
    def test_endpoints_that_live_are_used(self):
        async def work():
            _, served = await play_loss(leaves=False)
            assert served == 1.0

        run(work)

    # Guards against requests to endpoints whose entries are missing, without
    # asking them whether they leave.
    def test_endpoints_that_leave_are_not_used(self):
        async def work():
            arrived, _ = await play_loss(leaves=True)
            assert not arrived

        run(work)

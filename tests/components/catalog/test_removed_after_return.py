"""Endpoints that are removed just after the store came back from a copy."""

import asyncio
from functools import partial

import pytest

from fescuekeel.helpers.published import Catalog
from standins.forwarding.entries import (
    CONFIGURATION_KEY,
    describe_endpoint,
    make_endpoint_key,
)
from standins.forwarding.platform import make_configuration
from tests.components.catalog.simulation import SimulatedFleet, run_virtual

SIZES = [{"a": 2, "b": 2}, {"a": 3, "b": 2}, {"a": 4, "b": 3}]
KEY = make_endpoint_key("e0")
# How long the store is away, which decides who notices its return first.
AWAY_S = [step * 0.1 for step in range(5, 20)]
# How long after all instances know of the return the endpoint is removed.
REMOVED_AFTER_S = [0.0, 0.05, 0.15, 0.3, 0.6]
BOUND_S = 2.0
STEP_S = 0.01
LIMIT_S = 10.0


async def wait_until(condition):
    """Wait for a condition; return how long that took."""
    now = asyncio.get_running_loop().time
    began_at = now()
    while not condition():
        assert now() - began_at < LIMIT_S
        await asyncio.sleep(STEP_S)
    return now() - began_at


async def restore(fleet, away_s):
    """Let the store be away, and come back without an entry's last values."""
    store = fleet.store
    copy = store.take_copy()
    for refreshes in range(2, 10):
        store.put(KEY, describe_endpoint(False, refreshes))
    await asyncio.sleep(3.0)
    store.away = True
    store.wake()
    await asyncio.sleep(away_s)
    store.away = False
    store.restore(copy)
    store.put(KEY, describe_endpoint(False, 10))


async def measure(sizes, away_s, removed_after_s):
    """Return how long a removed endpoint is known somewhere."""
    fleet = SimulatedFleet(sizes)
    fleet.store.put(CONFIGURATION_KEY, make_configuration(1))
    fleet.store.put(KEY, describe_endpoint(False, 1))
    await fleet.start()
    await restore(fleet, away_s)
    nodes = fleet.nodes_by_id.values()
    buses = [node.instance.bus for node in nodes]
    era = fleet.store.era
    await wait_until(
        lambda: all(bus.latest(Catalog).position.era == era for bus in buses)
    )
    await asyncio.sleep(removed_after_s)
    fleet.store.put(KEY, None)
    return await wait_until(lambda: not any("e0" in node.endpoints for node in nodes))


class TestEndpointThatIsRemoved:
    # Guards against an instance that heard from a peer that the store is back,
    # and takes a removal before its own first listing for a lost entry.
    @pytest.mark.parametrize("removed_after_s", REMOVED_AFTER_S)
    @pytest.mark.parametrize("sizes", SIZES, ids=lambda sizes: str(sum(sizes.values())))
    def test_it_is_left_in_time(self, sizes, removed_after_s):
        took_s_by_away_s = {
            away_s: run_virtual(partial(measure, sizes, away_s, removed_after_s))
            for away_s in AWAY_S
        }
        assert max(took_s_by_away_s.values()) <= BOUND_S, took_s_by_away_s

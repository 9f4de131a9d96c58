"""Entries that a store lost, and that are written again or stay away."""

import asyncio

import pytest

from standins.forwarding.entries import (
    CONFIGURATION_KEY,
    describe_endpoint,
    make_endpoint_key,
)
from standins.forwarding.platform import make_configuration
from tests.components.catalog.simulation import SimulatedFleet, run_virtual

SIZES = {"a": 4, "b": 3}
KEY = make_endpoint_key("e0")
# Which instances the store turns away after its return, and how soon.
TURNED_AWAY = [
    (),
    ("a0",),
    ("a1",),
    ("a0", "a1", "a2"),
    ("b0", "b1"),
    ("b0", "b1", "b2"),
]
OFFSETS_S = [0.0, 0.3, 0.7, 1.1]
# How long after the store's return an entry that stays away still counts: the
# time to write it again, a wait of a watch, a pause and a period of news.
GONE_AFTER_S = 4.4


async def start_fleet():
    """Start a fleet; its store then loses the entry of a live endpoint."""
    fleet = SimulatedFleet(SIZES)
    store = fleet.store
    store.put(CONFIGURATION_KEY, make_configuration(1))
    await fleet.start()
    copy = store.take_copy()
    store.put(KEY, describe_endpoint(False, 1))
    await asyncio.sleep(3.0)
    assert all("e0" in node.endpoints for node in fleet.nodes_by_id.values())
    await stay_away(store, 1.0, lambda: store.restore(copy))
    return fleet


async def stay_away(store, seconds, come_back=lambda: None):
    store.away = True
    store.wake()
    await asyncio.sleep(seconds)
    store.away = False
    come_back()


def list_without(fleet):
    """Return the instances that do not have the endpoint."""
    nodes = fleet.nodes_by_id.items()
    return [id for id, node in nodes if "e0" not in node.endpoints]


class TestEntryThatStaysAway:
    # Guards against an endpoint that has ended and is kept for good, as the
    # peers of an instance that the store turns away know little of late.
    @pytest.mark.parametrize("turned_away", TURNED_AWAY, ids="-".join)
    @pytest.mark.parametrize("offset_s", OFFSETS_S)
    def test_its_endpoint_is_dropped(self, offset_s, turned_away):
        async def work():
            fleet = await start_fleet()
            await asyncio.sleep(offset_s)
            fleet.store.refuses |= set(turned_away)
            await asyncio.sleep(GONE_AFTER_S - offset_s)
            assert list_without(fleet) == list(fleet.nodes_by_id)

        run_virtual(work)

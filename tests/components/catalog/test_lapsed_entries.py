"""Entries that a store lost, and that are written again or stay away."""

import asyncio
import itertools

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
# When the store goes away again after its return, and for how long: beyond the
# age of what an instance knows that polls peers, or within it.
RETURNED_FOR_S = [0.1, 0.4, 0.8, 1.2, 1.6, 1.9]
AWAY_S = [2.4, 3.0]
MOMENTS_S = [0.2, 0.6, 1.0, 1.4, 2.0]
# An endpoint writes again within this time after the store is back.
REWRITTEN_AFTER_S = 1.9
STEP_S = 0.02
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


async def expect_kept(fleet, seconds):
    now = asyncio.get_running_loop().time
    until = now() + seconds
    while now() < until:
        await asyncio.sleep(STEP_S)
        assert not list_without(fleet), now() - until + seconds


def play_second_absence(returned_for_s, away_s):
    """Let the store go away again before an entry is written again."""

    async def work():
        fleet = await start_fleet()
        await expect_kept(fleet, returned_for_s)
        away = asyncio.ensure_future(stay_away(fleet.store, away_s))
        await expect_kept(fleet, away_s)
        await away
        await expect_kept(fleet, REWRITTEN_AFTER_S)
        fleet.store.put(KEY, describe_endpoint(False, 2))
        await expect_kept(fleet, 5.0)

    run_virtual(work)


class TestStoreThatGoesAwayAgain:
    # Guards against a live endpoint that is dropped, since time in which its
    # entry could not be written counts as if it could have been.
    @pytest.mark.parametrize("away_s", AWAY_S)
    @pytest.mark.parametrize("returned_for_s", RETURNED_FOR_S)
    def test_a_live_endpoint_is_kept(self, returned_for_s, away_s):
        play_second_absence(returned_for_s, away_s)

    # Guards against the same if the store is only away for a moment.
    def test_a_live_endpoint_is_kept_over_moments(self):
        dropped = []
        for case in itertools.product(RETURNED_FOR_S, MOMENTS_S):
            try:
                play_second_absence(*case)
            except AssertionError:
                dropped.append(case)
        assert dropped == []


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

"""Tests of data centres whose instances the store all turns away."""

import asyncio
from functools import partial

import pytest

from standins.forwarding.entries import (
    CONFIGURATION_KEY,
    describe_endpoint,
    make_adapter_version,
    make_endpoint_key,
)
from standins.forwarding.platform import make_configuration
from tests.components.catalog.simulation import SimulatedFleet, run_virtual

BOUND_S = 2.0
# For connects, a late event loop and the time between two looks at a clock.
MARGIN_S = 0.35
NEVER = 1e9
TURNED_AWAY = "a"
FLEETS = {
    "two_and_two": {"a": 2, "b": 2},
    "one_and_three": {"a": 1, "b": 3},
    "eight_in_three": {"a": 2, "b": 3, "c": 3},
}
# When changes follow the disturbance; 3.0 s between two of them.
OFFSETS_S = [0.01 + 0.31 * number for number in range(10)]
CHANGES = 3
GAP_S = 3.0
SERIES_GAP_S = 0.4


def list_turned_away(fleet):
    return [
        id for id, centre in fleet.data_centres_by_id.items() if centre == TURNED_AWAY
    ]


def reject(fleet, ids):
    """Let the store reject the instances' calls."""
    fleet.store.refuses.update(ids)
    fleet.store.wake()


def silence(fleet, ids):
    """Let the store no longer answer the instances."""
    fleet.store.silent_to.update(ids)


def do_nothing(fleet):
    """Disturb nothing else."""


def freeze_a_watcher_elsewhere(fleet):
    """Let one watcher of another data centre send and receive nothing."""
    elsewhere = [id for id in fleet.list_watchers() if id[0] != TURNED_AWAY]
    fleet.cut_off.add(elsewhere[0])


def ignore_asks_elsewhere(fleet):
    """Let one instance elsewhere announce changes and not send them."""
    elsewhere = [id for id in fleet.list_watchers() if id[0] != TURNED_AWAY]
    fleet.ignores_asks.add(elsewhere[0])


def lose_packets(fleet):
    """Let a fifth of the messages between instances be sent again."""
    fleet.resent_share = 0.2


def answer_slowly(fleet):
    """Let the messages between instances take long."""
    fleet.delay_s = 0.08


def lose_history(fleet):
    """Let the store forget its history again and again."""
    asyncio.get_running_loop().call_later(0.7, lose_history, fleet)
    fleet.store.compact_history()


OTHER_TROUBLES = [
    do_nothing,
    freeze_a_watcher_elsewhere,
    ignore_asks_elsewhere,
    lose_packets,
    answer_slowly,
    lose_history,
]


async def start_fleet(sizes, seed=0):
    fleet = SimulatedFleet(sizes, seed)
    fleet.store.put(CONFIGURATION_KEY, make_configuration(1))
    await fleet.start()
    return fleet


def get_delay_s(node, version, published_at):
    """Return how long a version took to be in force at an instance."""
    at = min((at for at, seen in node.versions if seen >= version), default=NEVER)
    return at - published_at


async def publish_changes(fleet, count, gap_s):
    """Publish versions one after another; return when each was published."""
    published_at_by_version = {}
    for version in range(2, 2 + count):
        fleet.store.put(CONFIGURATION_KEY, make_configuration(version))
        published_at_by_version[version] = asyncio.get_running_loop().time()
        await asyncio.sleep(gap_s)
    await asyncio.sleep(GAP_S)
    return published_at_by_version


async def measure(sizes, turn_away, trouble, offset_s, gap_s=GAP_S):
    """Return the longest delay of a change at the instances in touch."""
    fleet = await start_fleet(sizes, seed=int(offset_s * 1000))
    turn_away(fleet, list_turned_away(fleet))
    trouble(fleet)
    await asyncio.sleep(offset_s)
    published_at_by_version = await publish_changes(fleet, CHANGES, gap_s)
    return max(
        get_delay_s(node, version, published_at)
        for id, node in fleet.nodes_by_id.items()
        if id not in fleet.cut_off
        for version, published_at in published_at_by_version.items()
    )


class TestDataCentreThatTheStoreTurnsAway:
    """Guards against instances that are behind together and ask nobody."""

    @pytest.mark.parametrize("trouble", OTHER_TROUBLES)
    @pytest.mark.parametrize("sizes", FLEETS.values(), ids=FLEETS)
    @pytest.mark.parametrize("turn_away", [reject, silence])
    def test_changes_are_in_force_in_time(self, turn_away, sizes, trouble):
        longest_s = max(
            run_virtual(partial(measure, sizes, turn_away, trouble, offset_s))
            for offset_s in OFFSETS_S
        )
        assert longest_s <= BOUND_S - MARGIN_S, longest_s

    @pytest.mark.parametrize("turn_away", [reject, silence])
    def test_quick_series_of_changes_are_in_force_in_time(self, turn_away):
        sizes = FLEETS["two_and_two"]
        longest_s = max(
            run_virtual(
                partial(measure, sizes, turn_away, do_nothing, offset_s, SERIES_GAP_S)
            )
            for offset_s in OFFSETS_S
        )
        assert longest_s <= BOUND_S - MARGIN_S, longest_s


async def measure_at_large(sizes, offset_s):
    fleet = await start_fleet(sizes, seed=int(offset_s * 1000))
    reject(fleet, list_turned_away(fleet))
    await asyncio.sleep(offset_s)
    fleet.store.put(CONFIGURATION_KEY, make_configuration(2))
    published_at = asyncio.get_running_loop().time()
    await asyncio.sleep(GAP_S)
    return max(
        get_delay_s(node, 2, published_at) for node in fleet.nodes_by_id.values()
    )


class TestLargeFleet:
    # Guards against a delay that grows with the number of instances, as news
    # go to a few of them only.
    @pytest.mark.parametrize("centres", [7, 24], ids=["56", "192"])
    def test_changes_are_in_force_in_time(self, centres):
        sizes = {TURNED_AWAY: 2, **{f"c{number}": 8 for number in range(centres)}}
        longest_s = max(
            run_virtual(partial(measure_at_large, sizes, offset_s))
            for offset_s in (0.6, 2.2)
        )
        assert longest_s <= BOUND_S - MARGIN_S, longest_s


def is_version_known(node):
    catalog = node.catalog
    return any(item.key.startswith("op/version") for item in catalog._items.list_all())


class TestAllThatIsPublished:
    # Guards against a data centre that learns of configurations and not of
    # endpoints that leave or end, or of adapter versions.
    @pytest.mark.parametrize("turn_away", [reject, silence])
    def test_is_known_in_time(self, turn_away):
        async def work():
            fleet = await start_fleet(FLEETS["two_and_two"])
            for name in ("e1", "e2", "e3"):
                fleet.store.put(make_endpoint_key(name), describe_endpoint(False, 1))
            await asyncio.sleep(BOUND_S)
            turned_away = list_turned_away(fleet)
            turn_away(fleet, turned_away)
            await asyncio.sleep(4.0)
            fleet.store.put(make_endpoint_key("e1"), describe_endpoint(True, 2))
            fleet.store.put(make_endpoint_key("e2"), None)
            fleet.store.put(*make_adapter_version(1))
            await asyncio.sleep(BOUND_S - MARGIN_S)
            for id in turned_away:
                node = fleet.nodes_by_id[id]
                assert node.endpoints == {"e3"}, (id, node.endpoints)
                assert is_version_known(node)

        run_virtual(work)


class TestRestartWhereTheStoreTurnsAway:
    # Guards against an instance that starts behind and stays without a
    # configuration, or falls back to an older one.
    @pytest.mark.parametrize("turn_away", [reject, silence])
    def test_the_newest_configuration_is_in_force_in_time(self, turn_away):
        async def work():
            fleet = await start_fleet(FLEETS["two_and_two"])
            turn_away(fleet, list_turned_away(fleet))
            await asyncio.sleep(4.0)
            fleet.store.put(CONFIGURATION_KEY, make_configuration(2))
            fleet.stop_node("a0")
            node = await fleet.start_node("a0")
            await asyncio.sleep(BOUND_S - MARGIN_S)
            assert node.version == 2
            assert [version for _, version in node.versions] == sorted(
                version for _, version in node.versions
            )

        run_virtual(work)


class TestLostAnswerBesideFrozenWatchers:
    # Guards against an instance that waits for an answer of the store that is
    # lost, though its neighbours have the change already.
    def test_a_change_is_in_force_in_time(self):
        async def play(offset_s):
            fleet = await start_fleet({"a": 5})
            watchers = fleet.list_watchers()
            others = [id for id in fleet.nodes_by_id if id not in watchers]
            await asyncio.sleep(offset_s)
            fleet.cut_off.update(watchers)
            fleet.store.silent_to.update([*watchers, others[0]])
            fleet.store.put(CONFIGURATION_KEY, make_configuration(2))
            published_at = asyncio.get_running_loop().time()
            await asyncio.sleep(GAP_S)
            return max(
                get_delay_s(fleet.nodes_by_id[id], 2, published_at) for id in others
            )

        longest_s = max(run_virtual(partial(play, offset)) for offset in OFFSETS_S)
        assert longest_s <= BOUND_S - MARGIN_S, longest_s

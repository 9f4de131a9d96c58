"""End-to-end tests of a store that stops to answer some instances."""

import asyncio
import time

import pytest

from standins.forwarding.platform import make_configuration
from tests.common import eventually
from tests.platform.test_path import run, start_world

INSTANCES = 5
# Within this time a change must be in force.
BOUND_S = 2.0
# When the changes are published, after the store has become silent.
CHANGES_S = (0.3, 3.3, 6.3)
SILENCE_S = 5.0
WATCHERS = 2


def is_watching(instance):
    return instance.components_by_domain["catalog"]._watching


def list_watchers(world):
    return [number for number, each in enumerate(world.instances) if is_watching(each)]


def set_silent(links, silent):
    """Let the store of an instance stop to answer, or answer again."""
    commands = {"silence_open": silent, "swallow": 10**6 if silent else 0}
    links.store.connection_faults.control(commands)


def set_refused(links, refused):
    """Let the store of an instance reject all calls, or serve them again."""
    links.store.control({"refuse": 503 if refused else 0})


def read_version(instance):
    return instance.components_by_domain["forward"].read_version()


async def measure_delay(instance, version):
    """Return how long a version that was just published takes, in seconds."""
    published_at = time.monotonic()
    await eventually(lambda: read_version(instance) >= version)
    return time.monotonic() - published_at


async def measure_delays(world, numbers):
    """Publish changes on schedule; return the delays at some instances."""
    started_at = time.monotonic()
    delays = []
    for version, at_s in enumerate(CHANGES_S, start=2):
        await asyncio.sleep(started_at + at_s - time.monotonic())
        world.platform.publish_configuration(make_configuration(version))
        delays.append(
            asyncio.gather(
                *(measure_delay(world.instances[each], version) for each in numbers)
            )
        )
    return [delay for each in await asyncio.gather(*delays) for delay in each]


@pytest.mark.parametrize("disturb", [set_silent, set_refused])
class TestWatchersLoseTheStore:
    # Guards against instances that rely on watchers whose calls stay
    # unanswered, while the store would serve these instances.
    def test_a_change_is_in_force_in_time_at_the_others(self, disturb):
        async def work():
            async with start_world(INSTANCES, linked=True, data_centres="a") as world:
                await eventually(lambda: len(list_watchers(world)) == WATCHERS)
                watchers = list_watchers(world)
                others = [
                    number for number in range(INSTANCES) if number not in watchers
                ]
                for number in watchers:
                    disturb(world.links[number], True)
                changes = asyncio.ensure_future(measure_delays(world, others))
                await asyncio.sleep(SILENCE_S)
                for number in watchers:
                    disturb(world.links[number], False)
                delays = await changes
                assert max(delays) <= BOUND_S, delays

        run(work)


@pytest.mark.parametrize("disturb", [set_silent, set_refused])
class TestDataCentreLosesTheStore:
    # Guards against instances of one data centre that are behind together and
    # ask nobody, while another data centre has each change at once.
    def test_changes_are_in_force_in_time_everywhere(self, disturb):
        async def work():
            async with start_world(4, linked=True) as world:
                for links in world.links[0::2]:
                    disturb(links, True)
                delays = await measure_delays(world, range(4))
                for links in world.links[0::2]:
                    disturb(links, False)
                assert max(delays) <= BOUND_S, delays

        run(work)

"""Tests of tree revisions while the configuration service is stale or down."""

import asyncio
import json

from tests.common import eventually
from tests.daemons.common import open_world
from tests.daemons.load import TOKEN, make_tree

ONE_CENTRE = {"dc1": ("i1", "i2", "i3")}
# Longest time until a revision is in force at all instances.
IN_FORCE_BOUND_S = 5.0
COUNTED_BOUND_S = 15.0
POLL_S = 0.05


async def get_revision(world, daemon):
    answer = await world.fetch_operators_page(daemon, "/tree")
    return json.loads(answer.body)["revision"]


async def wait_until(condition, bound_s):
    for _ in range(int(bound_s / POLL_S)):
        if await condition():
            return
        await asyncio.sleep(POLL_S)
    raise AssertionError("the condition was not met in time")


async def wait_for_revision(world, revision):
    async def is_in_force():
        daemons = world.daemons_by_id.values()
        return {await get_revision(world, item) for item in daemons} == {revision}

    await wait_until(is_in_force, IN_FORCE_BOUND_S)


async def fetch_model(world, daemon):
    answer = await world.http.fetch(
        f"http://{daemon.callers}/v1/completions",
        method="POST",
        body=json.dumps({"model": "patter/a0", "prompt": "hi", "max_tokens": 2}),
        headers={"Authorization": f"Bearer {TOKEN}"},
    )
    return json.loads(answer.body)["model"]


class TestConfigurationService:
    def test_revision_reaches_readers_of_a_stale_service(self, tmp_path):
        """Guards against serving an old revision after a restart.

        Two of three instances read a service stuck at the first revision, and
        learn newer ones from the third. A new instance that reads the stale
        service must take the tree from its peers before it serves.
        """

        async def prepare(world):
            stale = await world.add_config_service(("i2", "i3", "fresh"))
            stale.publish(1, make_tree(1))

        async def run():
            async with open_world(tmp_path, ONE_CENTRE, prepare) as world:
                for revision in (2, 3):
                    world.platform.publish(revision, make_tree(revision))
                    await wait_for_revision(world, revision)
                fresh = await world.start_daemon("fresh", "dc1")
                await world.wait_until_serving(fresh)
                assert await get_revision(world, fresh) == 3
                for daemon in world.daemons_by_id.values():
                    assert await fetch_model(world, daemon) == "a0@3"

        asyncio.run(run())

    def test_older_revision_is_ignored_and_outage_survived(self, tmp_path):
        """Guards against a rollback when the service shows an old revision.

        Instances count it and keep theirs. Then the service is down, and a
        replaced instance must get the tree from its peers.
        """

        async def run():
            async with open_world(tmp_path, ONE_CENTRE) as world:
                config = world.platform.config
                first = config.change
                world.platform.publish(2, make_tree(2))
                await wait_for_revision(world, 2)
                config.control({"stale_at": first})

                async def is_counted():
                    daemons = world.daemons_by_id.values()
                    name = "tree.ignored.older"
                    return any([await world.count(item, name) for item in daemons])

                await wait_until(is_counted, COUNTED_BOUND_S)
                config.connection_faults.control({"down": True})
                replaced = world.daemons_by_id["i2"]
                replaced.process.kill()
                await replaced.process.wait()
                fresh = await world.start_daemon("fresh", "dc1")
                await world.wait_until_serving(fresh)
                del world.daemons_by_id["i2"]
                for daemon in world.daemons_by_id.values():
                    assert await get_revision(world, daemon) == 2
                    assert await fetch_model(world, daemon) == "a0@2"
                await eventually(lambda: world.find_owner("fenced-0"))

        asyncio.run(run())

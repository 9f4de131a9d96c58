"""Tests of the tree's revisions with a service that is stale or down."""

import asyncio
import json

from tests.common import eventually
from tests.daemons.common import open_world
from tests.daemons.load import TOKEN, make_tree

ONE_CENTRE = {"dc1": ("i1", "i2", "i3")}
# In force everywhere within seconds; what the project promises itself.
IN_FORCE_BOUND_S = 5.0
NOTICED_BOUND_S = 15.0
POLL_S = 0.05


async def get_revision(world, daemon):
    answer = await world.ask_operators(daemon, "/tree")
    return json.loads(answer.body)["revision"]


async def wait_until(holds, bound_s):
    for _ in range(int(bound_s / POLL_S)):
        if await holds():
            return
        await asyncio.sleep(POLL_S)
    raise AssertionError("it never came to hold")


async def wait_for_revision(world, revision):
    async def is_in_force():
        daemons = world.daemons_by_id.values()
        return {await get_revision(world, item) for item in daemons} == {revision}

    await wait_until(is_in_force, IN_FORCE_BOUND_S)


async def ask_which_runs(world, daemon):
    answer = await world.http.fetch(
        f"http://{daemon.callers}/v1/completions",
        method="POST",
        body=json.dumps({"model": "patter/a0", "prompt": "hi", "max_tokens": 2}),
        headers={"Authorization": f"Bearer {TOKEN}"},
    )
    return json.loads(answer.body)["model"]


class TestConfigurationService:
    def test_it_is_stale_for_all_but_one(self, tmp_path):
        """A recalled version of a script comes back after a restart.

        Two instances read a service that shows the first revision for good;
        one reads the true one. Each newer revision is in force at all of them
        within seconds. An instance that starts beside the stale service takes
        the newer tree from its peers before it serves its first request.
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
                    assert await ask_which_runs(world, daemon) == "a0@3"

        asyncio.run(run())

    def test_it_goes_back_and_then_down(self, tmp_path):
        """The service is restored from a backup of yesterday.

        It shows an older revision than the one in force, to all. They count
        it and stay. Then it is down, and an instance that is replaced gets
        the tree from its peers.
        """

        async def run():
            async with open_world(tmp_path, ONE_CENTRE) as world:
                config = world.platform.config
                first = config.change
                world.platform.publish(2, make_tree(2))
                await wait_for_revision(world, 2)
                config.control({"stale_at": first})

                async def is_noticed():
                    daemons = world.daemons_by_id.values()
                    name = "tree.ignored.older"
                    return any([await world.count(item, name) for item in daemons])

                await wait_until(is_noticed, NOTICED_BOUND_S)
                config.connection_faults.control({"down": True})
                replaced = world.daemons_by_id["i2"]
                replaced.process.kill()
                await replaced.process.wait()
                fresh = await world.start_daemon("fresh", "dc1")
                await world.wait_until_serving(fresh)
                del world.daemons_by_id["i2"]
                for daemon in world.daemons_by_id.values():
                    assert await get_revision(world, daemon) == 2
                    assert await ask_which_runs(world, daemon) == "a0@2"
                await eventually(lambda: world.find_owner("fenced-0"))

        asyncio.run(run())

"""End-to-end tests of endpoints that are listed again."""

import asyncio

from standins.forwarding.platform import PLAIN
from tests.common import eventually
from tests.platform.test_path import run, start_world

RUN_S = 1.0
# Longer than connections are kept idle.
IDLE_S = 1.6


class TestAttemptsThatEndAtUnlistedEndpoints:
    # Guards against endpoints that an instance never reaches again, since an
    # attempt ended there while their entries were away.
    def test_the_endpoints_are_reached_once_they_are_listed(self):
        async def work():
            async with start_world(1) as world:
                forward = world.instances[0].components_by_domain["forward"]
                workers = world.platform.list_workers(PLAIN)
                ids = [f"{worker.id}@{worker.born}" for worker in workers]
                assert all(map(forward.is_listed, ids))
                for worker in workers:
                    worker.run_s = RUN_S
                requests = [
                    asyncio.ensure_future(
                        world.send_request("/charge/x", method="POST")
                    )
                    for _ in range(4)
                ]
                await asyncio.sleep(RUN_S / 10)
                for worker in workers:
                    world.platform.remove(worker)
                await eventually(lambda: not any(map(forward.is_listed, ids)))
                await asyncio.gather(*requests)
                for worker in workers:
                    worker.run_s = 0.0
                    world.platform.publish_state(worker, "ready")
                await eventually(lambda: all(map(forward.is_listed, ids)))
                await asyncio.sleep(IDLE_S)
                for _ in range(4):
                    answer, _ = await world.send_request("/charge/x", method="POST")
                    assert answer.code == 200

        run(work)

"""End-to-end tests of endpoints that name a rate limit in their answers."""

import asyncio
import time
from collections import Counter
from itertools import cycle

import pytest

from standins.forwarding.platform import ENGINES, MODEL, PLAIN
from tests.platform.test_path import run, start_world
from tests.platform.test_quarantine import add_endpoints

# A limit must hold from this time after it was first named, in any window.
KNOWN_WITHIN_S = 3.0
WINDOW_S = 4.0
LIMIT_PER_S = 3.0
ALLOWED_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_S + 5
REQUESTS_PER_S = 40.0
SECONDS = 9.0
SERVICES_BY_PATH = {"/lookup": PLAIN, "/explain": ENGINES}


async def send(world, path, instance):
    headers = {}
    if not path.startswith("/lookup"):
        headers = {"Fescuekeel_Model": MODEL, "Fescuekeel_Token_Count": "500,20"}
    answer, _ = await world.send_request(path, instance, "POST", **headers)
    return answer.code


async def send_at_rate(world, path, requests_per_s=REQUESTS_PER_S, seconds=SECONDS):
    """Send requests to all instances in turn; return their statuses."""
    instances = cycle(range(len(world.instances)))
    tasks = []
    started_at = time.monotonic()
    for number in range(int(requests_per_s * seconds)):
        due_s = started_at + number / requests_per_s - time.monotonic()
        await asyncio.sleep(max(0.0, due_s))
        work = send(world, f"{path}/{number}", next(instances))
        tasks.append(asyncio.ensure_future(work))
    return Counter(await asyncio.gather(*tasks))


def count_most_in_window(worker):
    """Return the most runs in a window after the limit must be known."""
    if worker.limit_named_at is None:
        return 0
    since = worker.limit_named_at + KNOWN_WITHIN_S
    times = [record.started_at for record in worker.records]
    times = [at for at in times if at >= since]
    return max((sum(at <= t < at + WINDOW_S for t in times) for at in times), default=0)


@pytest.mark.parametrize("path", SERVICES_BY_PATH, ids=["safe", "resumable"])
class TestLimitOfAllEndpoints:
    # Guards against instances that send to an endpoint as before it named a
    # rate limit.
    def test_the_limit_holds_over_all_instances(self, path):
        async def work():
            async with start_world(4) as world:
                service = SERVICES_BY_PATH[path]
                await add_endpoints(world, service, 4)
                workers = world.platform.list_workers(service)
                for worker in workers:
                    worker.limit_per_s = LIMIT_PER_S
                await send_at_rate(world, path)
                most = [count_most_in_window(worker) for worker in workers]
                assert max(most) <= ALLOWED_IN_WINDOW, most

        run(work)

"""End-to-end tests of endpoints that name a rate limit in their answers."""

import asyncio
import time
from collections import Counter
from itertools import cycle

import pytest

from fescuekeel.errors import ErrorKind
from standins.forwarding.platform import ENGINES, MODEL, PLAIN
from tests.common import eventually
from tests.platform.test_path import run, start_world
from tests.platform.test_quarantine import add_endpoints

# A limit must hold from this time after it was first named, in any window.
KNOWN_WITHIN_S = 3.0
WINDOW_S = 4.0
LIMIT_PER_S = 3.0
ALLOWED_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_S + 5
REQUESTS_PER_S = 40.0
SECONDS = 9.0
# The share of a limit that must be used while there are enough requests.
MIN_USE = 0.7
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


def count_after(worker, seconds):
    """Return the runs of the last seconds of a worker's life."""
    since = time.monotonic() - seconds
    return sum(record.started_at >= since for record in worker.records)


def is_limited(instance, worker):
    limiter = instance.components_by_domain["forward"].limiter
    return any(id.startswith(f"{worker.id}@") for id in limiter._limits.list_limited())


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
                served = sum(count_after(worker, SECONDS - 4.0) for worker in workers)
                assert served >= MIN_USE * LIMIT_PER_S * len(workers) * 4.0, served

        run(work)


class TestOneInstance:
    def test_the_others_know_before_they_have_an_answer(self):
        async def work():
            async with start_world(4) as world:
                worker, *others = world.platform.list_workers(PLAIN)
                for other in others:
                    world.platform.remove(other)
                worker.limit_per_s = LIMIT_PER_S
                assert await send(world, "/lookup/x", 0) == 200
                await eventually(
                    lambda: all(
                        is_limited(instance, worker) for instance in world.instances
                    )
                )

        run(work)

    def test_an_instance_that_starts_later_knows(self):
        # Guards against dropping announcements of endpoints that are not in
        # the catalog yet.
        async def work():
            async with start_world(2) as world:
                worker, *others = world.platform.list_workers(PLAIN)
                for other in others:
                    world.platform.remove(other)
                worker.limit_per_s = LIMIT_PER_S
                assert await send(world, "/lookup/x", 0) == 200
                instance = await world.start_instance()
                forward = instance.components_by_domain["forward"]
                await eventually(lambda: forward.ready)
                await eventually(lambda: is_limited(instance, worker))

        run(work)

    def test_it_can_use_the_whole_limit(self):
        async def work():
            async with start_world(4) as world:
                worker, *others = world.platform.list_workers(PLAIN)
                for other in others:
                    world.platform.remove(other)
                worker.limit_per_s = LIMIT_PER_S
                tasks = []
                for number in range(100):
                    tasks.append(
                        asyncio.ensure_future(send(world, f"/lookup/{number}", 0))
                    )
                    await asyncio.sleep(0.08)
                await asyncio.gather(*tasks)
                assert count_most_in_window(worker) <= ALLOWED_IN_WINDOW
                assert count_after(worker, 4.0) >= MIN_USE * LIMIT_PER_S * 4.0

        run(work)


class TestEnd:
    def test_requests_go_there_again_when_the_limit_ends(self):
        async def work():
            async with start_world(2) as world:
                worker, *others = world.platform.list_workers(PLAIN)
                for other in others:
                    world.platform.remove(other)
                worker.limit_per_s = 0.0
                assert await send(world, "/lookup/x", 0) == 200
                await eventually(lambda: is_limited(world.instances[1], worker))
                worker.limit_per_s = None
                statuses = await send_at_rate(world, "/lookup", 10.0, 5.0)
                assert not any(
                    is_limited(instance, worker) for instance in world.instances
                )
                assert statuses[200] > 10

        run(work)

    @pytest.mark.parametrize("value", ["-1", "many", "1e99", "nan", "3, 4"])
    def test_an_invalid_limit_is_ignored(self, value):
        async def work():
            async with start_world(1) as world:
                for worker in world.platform.list_workers(PLAIN):
                    worker.limit_per_s = value
                statuses = await send_at_rate(world, "/lookup", 40.0, 0.5)
                assert statuses == {200: 20}

        run(work)


class TestRefusal:
    def test_a_request_is_refused_at_once_with_a_time_to_return(self):
        async def work():
            async with start_world(1) as world:
                for worker in world.platform.list_workers(PLAIN):
                    worker.limit_per_s = 0.5
                statuses = await send_at_rate(world, "/lookup", 40.0, 1.0)
                assert statuses[503] > 20
                started_at = time.monotonic()
                answer, id = await world.send_request("/lookup/x")
                assert answer.code == 503
                assert float(answer.headers["Retry-After"]) > 0
                assert time.monotonic() - started_at < 0.5
                assert world.count_runs(id) == 0
                counters = world.instances[0].metrics.counters_by_name
                assert counters[f"refused.{ErrorKind.ENDPOINTS_LIMITED}"] > 20

        run(work)

"""End-to-end tests of endpoints that say in their answers that they leave."""

import asyncio
import time

import pytest

from standins.forwarding.platform import ENGINES, PLAIN
from tests.platform.load import Load
from tests.platform.test_path import run, start_world
from tests.platform.test_quarantine import add_endpoints

# How long all instances may take until none sends to the endpoint any more.
KNOWN_WITHIN_S = 0.5
# The same where all endpoints leave: each gets its first request in turn.
ALL_KNOWN_WITHIN_S = 1.0
LEAVES_AFTER_S = 1.0
SECONDS = 5.0
SERVICES_BY_PATH = {"/lookup": PLAIN, "/explain": ENGINES}


async def play(world, path, leave):
    """Put load on four endpoints of a service, of which some leave."""
    service = SERVICES_BY_PATH[path]
    await add_endpoints(world, service, 2)
    workers = world.platform.list_workers(service)
    load = Load(world, path)
    playing = asyncio.ensure_future(load.run(SECONDS))
    await asyncio.sleep(LEAVES_AFTER_S)
    left_at = time.monotonic()
    leave(workers)
    await playing
    return load, workers, left_at


def find_busiest(workers):
    return max(workers, key=lambda worker: len(worker.arrivals))


def find_first_answer(worker, since):
    """Return when the endpoint first got a request after it began to leave."""
    return min(at for at, _ in worker.arrivals if at >= since)


@pytest.mark.parametrize("path", SERVICES_BY_PATH, ids=["safe", "resumable"])
class TestOneOfFour:
    # Guards against instances that send to an endpoint as before it said in
    # its answers that it leaves.
    def test_no_instance_sends_to_it_once_one_knows(self, path):
        async def work():
            async with start_world(4) as world:

                def leave(workers):
                    find_busiest(workers).leaves = True

                load, workers, left_at = await play(world, path, leave)
                leaving = next(each for each in workers if each.leaves)
                first_at = find_first_answer(leaving, left_at)
                late = load.list_arrivals(leaving, first_at + KNOWN_WITHIN_S)
                assert not late, late
                assert load.get_served_share(left_at) >= 0.99

        run(work)


class TestRejectsMeanwhile:
    # Guards against leaving endpoints whose rejections go unread.
    def test_it_is_believed_and_others_serve(self):
        async def work():
            async with start_world(4) as world:

                def leave(workers):
                    workers[0].leaves = True
                    workers[0].shed = 1000

                load, workers, left_at = await play(world, "/lookup", leave)
                first_at = find_first_answer(workers[0], left_at)
                late = load.list_arrivals(workers[0], first_at + KNOWN_WITHIN_S)
                assert not late, late
                assert load.get_served_share(left_at + KNOWN_WITHIN_S) >= 0.99

        run(work)


class TestAllLeave:
    # Guards against choosing leaving endpoints where there are no others.
    def test_requests_are_refused_with_a_retry_after(self):
        async def work():
            async with start_world(2) as world:

                def leave(workers):
                    for worker in workers:
                        worker.leaves = True

                load, workers, left_at = await play(world, "/lookup", leave)
                known_at = left_at + ALL_KNOWN_WITHIN_S
                late = [load.list_arrivals(each, known_at) for each in workers]
                assert not any(late), late
                refused = load.list_sent(known_at)
                assert {each.status for each in refused} == {503}
                assert all(each.retry_after_s for each in refused)

        run(work)

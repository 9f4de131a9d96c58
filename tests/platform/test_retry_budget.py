"""End-to-end tests of the retry budget, counted at the endpoints."""

import asyncio

import pytest

from standins.forwarding.platform import PLAIN
from tests.common import eventually
from tests.platform.test_path import start_world

WINDOW_S = 1.0
SLACK = 20
DOWN_S = 1.4
# How long an instance has to run until it may use its part of the slack.
SETTLE_S = 10.0
REQUESTS = 40


def list_repeats(world):
    """Return when requests arrived at endpoints that had arrived before."""
    arrivals = sorted(
        (record.started_at, record.request_id)
        for worker in world.platform.list_workers(PLAIN)
        for record in worker.records
    )
    seen, repeats = set(), []
    for at, id in arrivals:
        if id in seen:
            repeats.append(at)
        seen.add(id)
    return repeats


def find_most_in_a_window(times):
    """Return the largest number of times within any window."""
    return max(
        (sum(start <= at <= start + WINDOW_S for at in times) for start in times),
        default=0,
    )


class TestFailedAnswers:
    # Guards against our own error in place of an endpoint's whole answer where
    # the budget allows no retry.
    @pytest.mark.parametrize("ratio", [0.0, 0.05], ids=["empty", "nearly empty"])
    def test_the_caller_gets_the_endpoints_answer(self, ratio):
        async def work():
            async with start_world(1) as world:
                forward = world.instances[0].components_by_domain["forward"]
                forward.budget.configure(ratio, 0, 10.0)
                for worker in world.platform.list_workers(PLAIN):
                    worker.failing_share = 1.0
                answers = await asyncio.gather(
                    *(world.send_request(f"/lookup/{number}") for number in range(40))
                )
                assert {answer.code for answer, _ in answers} == {500}
                for answer, _ in answers:
                    assert "Fescuekeel-Server-Stamp" in answer.headers

        asyncio.run(asyncio.wait_for(work(), 30))


class TestWaitingRetries:
    # Guards against retries that are charged when they are decided, wait for
    # an endpoint, and arrive together with those of the next window.
    def test_they_count_when_they_are_sent(self):
        async def work():
            async with start_world(1) as world:
                forward = world.instances[0].components_by_domain["forward"]
                forward.budget.configure(0.0, SLACK, WINDOW_S)
                await asyncio.sleep(SETTLE_S)
                platform, workers = world.platform, world.platform.list_workers(PLAIN)
                for worker in workers:
                    worker.run_s = 0.5
                first = [
                    asyncio.ensure_future(world.send_request(f"/lookup/a{number}"))
                    for number in range(REQUESTS)
                ]
                await eventually(lambda: sum(each.running for each in workers) > 30)
                for worker in workers:
                    platform._begin_crash(worker, DOWN_S)
                await asyncio.sleep(DOWN_S)
                for worker in workers:
                    worker.run_s, worker.fail = 0.0, 1000
                second = [
                    asyncio.ensure_future(world.send_request(f"/lookup/b{number}"))
                    for number in range(REQUESTS)
                ]
                await asyncio.gather(*first, *second)
                repeats = list_repeats(world)
                assert repeats
                assert find_most_in_a_window(repeats) <= SLACK, len(repeats)

        asyncio.run(asyncio.wait_for(work(), 60))

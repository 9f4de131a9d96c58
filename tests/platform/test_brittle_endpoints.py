"""End-to-end tests of endpoints that fall over when they reject too many."""

import asyncio
import time
from itertools import cycle

import pytest

from standins.forwarding.platform import ENGINES, MODEL, PLAIN
from standins.forwarding.workers import Worker
from tests.platform.test_path import run, start_world

ENDPOINTS = 3
EVENTS = 4
REJECTIONS_PER_S = 4
# Endpoints let fewer wait from this time after they first named the number.
SHRINKS_AFTER_S = 3.0
SECONDS = 12.0
MAX_FALLS = 2 + ENDPOINTS // 10
MIN_USE = 0.8


class Load:
    """Requests at more than the endpoints can serve, and their answers."""

    def __init__(self, world, path, instances):
        self.world = world
        self.path = path
        self.instances = instances
        self.results = []

    async def send(self, number, instance):
        headers = {"Fescuekeel_Deadline_Ms": "2000"}
        if self.path == "/explain":
            headers |= {"Fescuekeel_Model": MODEL, "Fescuekeel_Token_Count": "50,20"}
        sent_at = time.monotonic()
        path = f"{self.path}/{number}"
        try:
            answer, _ = await self.world.send_request(path, instance, "POST", **headers)
            status = answer.code
        except Exception:
            status = 0
        self.results.append((sent_at, time.monotonic(), status))

    async def run(self, requests_per_s, seconds):
        instances = cycle(self.instances)
        tasks = []
        started_at = time.monotonic()
        for number in range(int(requests_per_s * seconds)):
            due_s = started_at + number / requests_per_s - time.monotonic()
            await asyncio.sleep(max(0.0, due_s))
            tasks.append(asyncio.ensure_future(self.send(number, next(instances))))
        await asyncio.gather(*tasks)

    def count_served(self, since, until):
        return sum(
            status == 200 and since <= ended_at <= until
            for _, ended_at, status in self.results
        )


def make_brittle(workers, slots, run_s):
    for worker in workers:
        worker.room.slots, worker.room.max_waiting = slots, 20
        worker.events = EVENTS
        worker.run_s, worker.event_s = run_s, run_s / EVENTS
        worker.room.brittle_per_s = REJECTIONS_PER_S


async def play(path, slots, run_s, requests_per_s, senders=(0, 1, 2, 3)):
    """Return the falls, and the share served of what endpoints could serve."""
    async with start_world(4) as world:
        service = PLAIN if path == "/lookup" else ENGINES
        workers = world.platform.list_workers(service)
        make_brittle(workers, slots, run_s)
        for worker in workers:
            world.platform.publish_state(worker, "ready")
        while len(workers) < ENDPOINTS:
            worker = Worker(service, MODEL if service == ENGINES else "")
            make_brittle([worker], slots, run_s)
            world.platform.add(worker, "ab"[len(workers) % 2])
            workers.append(worker)
        await asyncio.sleep(0.5)
        load = Load(world, path, senders)
        running = asyncio.ensure_future(load.run(requests_per_s, SECONDS))
        await asyncio.sleep(SHRINKS_AFTER_S)
        for worker in workers:
            worker.room.max_waiting = 1
        since = time.monotonic()
        await running
        until = since + SECONDS - SHRINKS_AFTER_S
        served = load.count_served(since, until)
        capacity = ENDPOINTS * slots / run_s * (until - since)
        return sum(len(worker.room.fell_at) for worker in workers), served / capacity


@pytest.mark.parametrize(
    ("path", "slots", "run_s", "requests_per_s"),
    [("/lookup", 2, 0.2, 40.0), ("/explain", 4, 0.4, 40.0)],
    ids=["safe", "resumable"],
)
class TestMoreRequestsThanRoom:
    # Guards against instances that each offer what an endpoint has no room
    # for, until it falls over.
    def test_endpoints_do_not_fall_over_and_are_used(
        self, path, slots, run_s, requests_per_s
    ):
        async def work():
            falls, use = await play(path, slots, run_s, requests_per_s)
            assert falls <= MAX_FALLS
            assert use >= MIN_USE

        run(work)

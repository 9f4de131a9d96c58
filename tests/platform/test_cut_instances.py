"""End-to-end tests of instances that lose their links to the endpoints."""

import asyncio
import time
from dataclasses import dataclass
from itertools import cycle

import pytest
from tornado.simple_httpclient import HTTPStreamClosedError

from standins.forwarding.platform import ENGINES, MODEL, PLAIN
from standins.proxy import Cut
from tests.platform.test_path import run, start_world
from tests.platform.test_quarantine import add_endpoints

# From this time after a cut, requests must be served as elsewhere.
KNOWN_WITHIN_S = 3.0
SECONDS = 7.0
REQUESTS_PER_S = 40.0
MIN_SHARE = 0.9
REQUEST_S = 3.0
SERVICES_BY_PATH = {"/lookup": PLAIN, "/charge": PLAIN, "/explain": ENGINES}


@dataclass
class Result:
    instance: int
    sent_at: float
    ended_at: float
    status: int
    request_id: str


async def send(world, path, instance):
    headers = {"Fescuekeel_Deadline_Ms": str(int(REQUEST_S * 1000))}
    if path.startswith("/explain"):
        headers |= {"Fescuekeel_Model": MODEL, "Fescuekeel_Token_Count": "500,20"}
    sent_at = time.monotonic()
    status, id = 0, ""
    try:
        answer, id = await world.send_request(path, instance, "POST", **headers)
        status = answer.code
        if status == 200 and path.startswith("/explain"):
            assert answer.body.count(b"data: piece") == 6
    except (HTTPStreamClosedError, ConnectionError):
        status = 0
    return Result(instance, sent_at, time.monotonic(), status, id)


async def send_at_rate(world, path, seconds):
    """Send requests to all instances in turn; return their results."""
    instances = cycle(range(len(world.instances)))
    tasks = []
    started_at = time.monotonic()
    for number in range(int(REQUESTS_PER_S * seconds)):
        due_s = started_at + number / REQUESTS_PER_S - time.monotonic()
        await asyncio.sleep(max(0.0, due_s))
        work = send(world, f"{path}/{number}", next(instances))
        tasks.append(asyncio.ensure_future(work))
    return await asyncio.gather(*tasks)


def compute_served(results, instances, since):
    """Return the share served of the requests that were sent after a time."""
    sent = [
        item for item in results if item.instance in instances and item.sent_at >= since
    ]
    assert sent
    return sum(item.status == 200 for item in sent) / len(sent)


@pytest.mark.parametrize("how", list(Cut))
@pytest.mark.parametrize("path", SERVICES_BY_PATH)
class TestCutFromAllEndpoints:
    # Guards against an instance that reaches its peers but no endpoint, and
    # fails the requests that its peers could serve.
    def test_requests_are_served_as_at_other_instances(self, path, how):
        async def work():
            async with start_world(4, linked=True) as world:
                await add_endpoints(world, SERVICES_BY_PATH[path], 4)
                load = asyncio.ensure_future(send_at_rate(world, path, SECONDS))
                await asyncio.sleep(0.5)
                cut_at = time.monotonic()
                for number in (0, 1):
                    world.links[number].cut(how)
                results = await load
                since = cut_at + KNOWN_WITHIN_S
                whole = compute_served(results, (2, 3), since)
                cut = compute_served(results, (0, 1), since)
                assert whole >= MIN_SHARE
                assert cut >= MIN_SHARE * whole
                for item in results:
                    runs = world.count_runs(item.request_id)
                    if path == "/charge":
                        assert runs <= 1
                    if item.status == 503 and path != "/lookup":
                        assert not runs or path == "/explain"

        run(work)

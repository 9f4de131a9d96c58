"""End-to-end tests of instances that lose their links to the endpoints."""

import asyncio
import re
import time
from dataclasses import dataclass
from itertools import cycle

import pytest
from tornado.simple_httpclient import HTTPStreamClosedError

from fescuekeel.helpers.placement_view import PlacementView
from standins.forwarding.platform import (
    ENGINES,
    MODEL,
    PLAIN,
    make_configuration,
    make_route,
)
from standins.proxy import Cut
from tests.common import eventually
from tests.platform.test_path import (
    LONG_DEADLINE,
    LONG_TIMEOUT,
    run,
    start_world,
)
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


class TestCutFromSomeEndpoints:
    # Guards against a request that waits for a load elsewhere, or fails, since
    # its adapter is only held where this instance has no link.
    def test_an_adapter_held_behind_the_cut_is_used_there(self):
        async def work():
            async with start_world(4, linked=True) as world:
                answer, _ = await world.send_stream_request("/explain/1", "a1", 3)
                assert answer.code == 200
                holding = [
                    worker
                    for worker in world.platform.list_workers(ENGINES)
                    if "a1" in worker.versions_by_adapter
                ]
                for worker in holding:
                    address = world.platform.get_address(worker)
                    world.links[0].cut(Cut.HANG, address)
                for _ in range(4):
                    answer, id = await world.send_stream_request("/explain/1", "a1", 0)
                    assert answer.code == 200
                    assert any(worker.runs[id] for worker in holding)

        run(work)


class TestCutDataCentre:
    # Guards against endpoints that nobody orders anything, since all instances
    # of their data centre have lost their links.
    def test_another_data_centre_holds_its_endpoints(self):
        async def work():
            async with start_world(4, linked=True) as world:
                for number in (0, 2):
                    world.links[number].cut(Cut.HANG)
                await asyncio.sleep(4.0)
                results = [await send_adapter(world, n) for n in range(8)]
                assert results.count(200) == len(results)
                await eventually(
                    lambda: all(
                        holder in ("i2", "i4")
                        for instance in world.instances
                        for holder in read_holders(instance)
                    )
                )
                for number in (0, 2):
                    await world.links[number].restore()

        run(work)


async def send_adapter(world, number):
    answer, _ = await world.send_stream_request(
        "/explain/1", f"a{number + 20}", number % 4
    )
    return answer.code


def read_holders(instance):
    view = instance.bus.latest(PlacementView)
    return list(view.holders_by_endpoint.values())


class TestPromisesOverARelay:
    # Guards against a run that goes on after the caller of the cut instance
    # has left.
    def test_a_caller_that_leaves_cancels_the_run(self):
        async def work():
            async with start_world(2, linked=True) as world:
                engines = world.platform.list_workers(ENGINES)
                for worker in engines:
                    worker.events, worker.event_s = 100, 0.05
                world.links[0].cut(Cut.HANG)
                await send(world, "/lookup/x", 0)
                request = asyncio.ensure_future(
                    world.send_stream_request("/script/1", "", 0)
                )
                await eventually(lambda: any(worker.running for worker in engines))
                world.client.close()
                await eventually(lambda: not any(worker.running for worker in engines))
                request.cancel()

        run(work)

    # Guards against a body or an answer that is cut where queues are full.
    def test_a_large_body_arrives_whole(self):
        async def work():
            async with start_world(2, linked=True) as world:
                world.links[0].cut(Cut.REFUSE)
                body = b"x" * 4_000_000
                answer, id = await world.send_request("/charge/x", 0, "POST", body)
                assert answer.code == 200
                assert answer.body == b"POST /charge/x " + body
                assert world.count_runs(id) == 1

        run(work)

    # Guards against an answer "not run" for a request that ran, and a second
    # run, when the peer that relays dies.
    def test_a_peer_that_dies_leaves_an_unsafe_outcome_unknown(self):
        async def work():
            async with start_world(2, linked=True) as world:
                for worker in world.platform.list_workers(PLAIN):
                    worker.run_s = 0.5
                world.links[0].cut(Cut.REFUSE)
                request = asyncio.ensure_future(
                    world.send_request("/charge/x", 0, "POST")
                )
                await eventually(lambda: count_all_runs(world))
                for spliced in list(get_relay(world.instances[1])._server._relayed):
                    spliced.close()
                answer, id = await request
                assert answer.code == 502
                assert world.count_runs(id) == 1

        run(work)

    # Guards against a stream that is lost or has a gap when links go or come
    # back while it runs.
    def test_a_stream_goes_on_while_cuts_change(self):
        async def work():
            async with start_world(4, linked=True) as world:
                route = make_route(
                    "long", "stream", ENGINES, resumable=True, **LONG_TIMEOUT
                )
                world.platform.publish_configuration(make_configuration(2, route))
                await eventually(lambda: world.get_oldest_version() == 2)
                for worker in world.platform.list_workers(ENGINES):
                    worker.events, worker.event_s = 40, 0.1
                streams = [
                    asyncio.ensure_future(
                        world.send_stream_request("/long/1", "", n % 4, **LONG_DEADLINE)
                    )
                    for n in range(8)
                ]
                for cut in ((0, 1), (1, 2)):
                    await asyncio.sleep(0.5)
                    for number in cut:
                        world.links[number].cut(Cut.HANG)
                    await asyncio.sleep(1.0)
                    for number in cut:
                        await world.links[number].restore()
                for answer, _ in await asyncio.gather(*streams):
                    ids = [int(id) for id in re.findall(rb"id: (\d+)", answer.body)]
                    assert ids == list(range(1, 41))

        run(work)


def count_all_runs(world):
    return sum(
        sum(worker.runs.values()) for worker in world.platform.workers_by_id.values()
    )


def get_relay(instance):
    return instance.components_by_domain["relay"]


class TestSilentEndpoint:
    # Guards against giving up a stream, a claim or an endpoint that is silent
    # for somewhat over a second and goes on.
    def test_streams_wait_for_an_endpoint_that_is_silent_for_a_second(self):
        async def work():
            async with start_world(2) as world:
                engines = world.platform.list_workers(ENGINES)
                for worker in engines:
                    worker.events, worker.event_s = 10, 0.1
                holders = [read_holders(instance) for instance in world.instances]
                streams = [
                    asyncio.ensure_future(
                        world.send_stream_request("/explain/1", "", n % 2)
                    )
                    for n in range(4)
                ]
                await asyncio.sleep(0.3)
                for worker in engines:
                    worker.pause(1.2)
                answers = await asyncio.gather(*streams)
                for answer, id in answers:
                    assert answer.body.count(b"data: piece") == 10
                    assert world.count_runs(id) == 1
                assert holders == [read_holders(item) for item in world.instances]

        run(work)

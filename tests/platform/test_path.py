"""End-to-end tests: a stand-in platform and several instances."""

import asyncio
import re
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest
from tornado.httpclient import AsyncHTTPClient
from tornado.simple_httpclient import HTTPStreamClosedError

from fescuekeel.core import Instance
from fescuekeel.helpers.placement_view import PlacementView
from fescuekeel.helpers.published import Catalog
from fescuekeel.helpers.settings import parse_settings
from fescuekeel.messages import MemberView
from standins.forwarding.links import InstanceLinks
from standins.forwarding.platform import (
    ENGINES,
    HOST,
    MODEL,
    PLAIN,
    StandInPlatform,
    make_configuration,
    make_route,
)
from tests.common import eventually

SETTINGS = """
[instance]
id = {id}
data_centre = {data_centre}
shutdown_s = {shutdown_s}

[callers]
address = 127.0.0.1:0

[operators]
address = 127.0.0.1:0
token_sha256 = 0000000000000000000000000000000000000000000000000000000000000000

[peers]
address = 127.0.0.1:0
keys = a-shared-secret-of-the-tests
seeds = {seeds}

[platform]
dialect = platform
dialect_module = fescuekeel_platform
store = {store}

[forwarding]
ready_address = 127.0.0.1:0
metrics_address = 127.0.0.1:0
lease_s = 0.5
retry_ratio = {retry_ratio}
"""

# A new instance has no part of the slack. With this ratio a single request may
# be retried, where the budget is not what is tested.
RETRY_RATIO = 20


# Leaves enough time for adapter loads on a busy machine.
LONG_DEADLINE = {"Fescuekeel_Deadline_Ms": "20000"}
LONG_TIMEOUT = {"timeout_ms": 20000, "target_latency_ms": 2000}


class World:
    """A stand-in platform and the instances that serve it."""

    def __init__(self, shutdown_s=2, linked=False):
        self.shutdown_s = shutdown_s
        self.linked = linked
        self.links = []
        self.platform = StandInPlatform()
        self.instances = []
        self.client = AsyncHTTPClient(force_instance=True, max_clients=500)
        self.request_numbers = iter(range(1, 10_000))

    async def start_instance(self, data_centre="a"):
        seeds = [
            instance.components_by_domain["peers"].address
            for instance in self.instances
        ]
        store = self.platform.store_server.address
        if self.linked:
            self.links.append(InstanceLinks(self.platform.store))
            await self.links[-1].wait_until_copied()
            store = self.links[-1].server.address
        text = SETTINGS.format(
            id=f"i{len(self.instances) + 1}",
            data_centre=data_centre,
            shutdown_s=self.shutdown_s,
            seeds=",".join(seeds),
            store=store,
            retry_ratio=RETRY_RATIO,
        )
        instance = Instance(parse_settings(text).unwrap())
        await instance.start()
        self.instances.append(instance)
        return instance

    async def wait_until_converged(self):
        """Wait until all instances know all members and holders."""

        def converged():
            for instance in self.instances:
                view = instance.bus.latest(MemberView)
                if view is None or len(view.members_by_id) != len(self.instances):
                    return False
                placement_view = instance.bus.latest(PlacementView)
                if len(placement_view.holders_by_endpoint) != 2:
                    return False
            return True

        await eventually(converged)

    async def send_request(
        self, path, instance=0, method="GET", body=b"body", **headers
    ):
        forward = self.instances[instance].components_by_domain["forward"]
        sent = {
            "Host": HOST,
            "Fescuekeel-Request-Id": f"{next(self.request_numbers):016x}",
            "Fescuekeel-Deadline-Ms": "5000",
        } | {name.replace("_", "-"): value for name, value in headers.items()}
        answer = await self.client.fetch(
            f"http://{forward.server.address}{path}",
            method=method,
            headers=sent,
            body=body if method == "POST" else None,
            raise_error=False,
            request_timeout=10,
        )
        return answer, sent["Fescuekeel-Request-Id"]

    async def send_stream_request(
        self, path="/script/1", adapter="a1", instance=0, **headers
    ):
        weights = f"{MODEL}/{adapter}" if adapter else MODEL
        return await self.send_request(
            path,
            instance,
            "POST",
            Fescuekeel_Model=weights,
            Fescuekeel_Token_Count="500,20",
            **headers,
        )

    def get_oldest_version(self):
        """Return the lowest configuration version in use at any instance."""
        return min(
            instance.components_by_domain["forward"].read_version()
            for instance in self.instances
        )

    def count_runs(self, request_id):
        return sum(
            worker.runs[request_id] for worker in self.platform.workers_by_id.values()
        )


@asynccontextmanager
async def start_world(instances=2, shutdown_s=2, linked=False, data_centres="ab"):
    """Start a platform and instances; ``linked`` gives each links to cut.

    The instances are in the data centres in turn, each named by a letter.
    """
    world = World(shutdown_s, linked)
    world.platform.start()
    for number in range(instances):
        await world.start_instance(data_centres[number % len(data_centres)])
    await world.wait_until_converged()
    try:
        yield world
    finally:
        await asyncio.gather(*(instance.stop() for instance in world.instances))
        await asyncio.gather(*(links.stop() for links in world.links))
        await world.platform.stop()


def run(work):
    asyncio.run(asyncio.wait_for(work(), 30))


class TestPlainRequests:
    def test_request_and_response_are_forwarded_unchanged(self):
        async def work():
            async with start_world(1) as world:
                answer, id = await world.send_request("/charge/x?q=1", method="POST")
                assert answer.code == 200
                assert answer.body == b"POST /charge/x?q=1 body"
                assert "Fescuekeel-Server-Stamp" in answer.headers
                assert world.count_runs(id) == 1

        run(work)

    def test_failed_safe_request_is_retried(self):
        async def work():
            async with start_world(1) as world:
                for worker in world.platform.list_workers(PLAIN):
                    worker.fail = 1
                    break
                answers = [await world.send_request("/lookup/x") for _ in range(4)]
                assert {answer.code for answer, _ in answers} == {200}

        run(work)

    def test_failed_unsafe_request_is_not_retried(self):
        """The endpoint may have executed it despite its error response."""

        async def work():
            async with start_world(1) as world:
                for worker in world.platform.list_workers(PLAIN):
                    worker.fail = 1
                answer, id = await world.send_request("/charge/x", method="POST")
                assert answer.code == 500
                assert world.count_runs(id) == 1

        run(work)

    def test_unresponsive_endpoint_leaves_the_outcome_unknown(self):
        async def work():
            async with start_world(1) as world:
                for worker in world.platform.list_workers(PLAIN):
                    worker.connection_faults.down = True
                answer, _ = await world.send_request("/charge/x", method="POST")
                assert answer.code == 502

        run(work)

    def test_unknown_path_is_refused(self):
        async def work():
            async with start_world(1) as world:
                answer, _ = await world.send_request("/nothing/")
                assert answer.code == 404

        run(work)

    def test_route_timeout_is_enforced(self):
        async def work():
            async with start_world(1) as world:
                slow = make_route("slow", "unsafe", PLAIN, timeout_ms=200)
                world.platform.store.put("op/config", make_configuration(2, slow))
                bus = world.instances[0].bus
                await eventually(lambda: bus.latest(Catalog).configuration.version == 2)
                for worker in world.platform.list_workers(PLAIN):
                    worker.connection_faults.swallow = 1
                start = asyncio.get_running_loop().time()
                answer, _ = await world.send_request("/slow/x", method="POST")
                assert answer.code == 504
                assert asyncio.get_running_loop().time() - start < 0.6

        run(work)


class TestStreams:
    def test_adapter_is_loaded_and_served(self):
        async def work():
            async with start_world() as world:
                answer, id = await world.send_stream_request()
                assert answer.code == 200
                assert answer.body.count(b"data: piece") == 6
                assert world.count_runs(id) == 1

        run(work)

    def test_engines_are_not_overloaded_by_many_adapters(self):
        """Deadlines are long, since loads take longer on a busy machine."""

        async def work():
            async with start_world() as world:
                route = make_route("patient", "stream", ENGINES, **LONG_TIMEOUT)
                configuration = make_configuration(2, route)
                world.platform.publish_configuration(configuration)
                await eventually(lambda: world.get_oldest_version() == 2)
                requests = [
                    world.send_stream_request(
                        "/patient/1",
                        f"a{n % 12}",
                        n % 2,
                        Fescuekeel_Deadline_Ms="20000",
                    )
                    for n in range(60)
                ]
                answers = await asyncio.gather(*requests)
                engines = world.platform.list_workers(ENGINES)
                assert not any(worker.overrun for worker in engines)
                codes = [answer.code for answer, _ in answers]
                assert codes.count(200) >= 30
                assert set(codes) <= {200, 503}
                for answer, id in answers:
                    assert world.count_runs(id) == (answer.code == 200)

        run(work)

    def test_broken_stream_is_resumed_without_a_gap(self):
        async def work():
            async with start_world() as world:
                await world.send_stream_request()
                for worker in world.platform.list_workers(ENGINES):
                    worker.cut = 1
                    break
                for _ in range(3):
                    answer, _ = await world.send_stream_request(
                        "/explain/1", adapter=""
                    )
                    assert answer.code == 200
                    ids = [
                        int(line[4:])
                        for line in answer.body.split(b"\n")
                        if line.startswith(b"id: ")
                    ]
                    assert ids == [1, 2, 3, 4, 5, 6]

        run(work)

    def test_long_stream_is_resumed_late(self):
        """The wait for an endpoint must count from the break.

        Counted from the request's arrival, it is over before a long stream
        breaks.
        """

        async def work():
            async with start_world(1) as world:
                for worker in world.platform.list_workers(ENGINES):
                    worker.cut, worker.event_s = 1, 0.8
                    break
                for _ in range(2):
                    answer, _ = await world.send_stream_request(
                        "/explain/1", adapter=""
                    )
                    ids = re.findall(rb"id: (\d)", answer.body)
                    assert ids == [b"1", b"2", b"3", b"4", b"5", b"6"]
                    worker.event_s = 0.005

        run(work)

    def test_stream_of_an_unresponsive_endpoint_is_resumed(self):
        """A partition may leave the connection open without any data."""

        async def work():
            async with start_world(1) as world:
                for worker in world.platform.list_workers(ENGINES):
                    worker.stall = 1
                    break
                for _ in range(2):
                    answer, _ = await world.send_stream_request(
                        "/explain/1", adapter=""
                    )
                    ids = re.findall(rb"id: (\d)", answer.body)
                    assert ids == [b"1", b"2", b"3", b"4", b"5", b"6"]
                assert worker.aborted_streams == 1

        run(work)

    def test_broken_stream_is_not_ended_normally(self):
        async def work():
            async with start_world() as world:
                for worker in world.platform.list_workers(ENGINES):
                    worker.cut = 1
                with pytest.raises(HTTPStreamClosedError):
                    await world.send_stream_request(adapter="")

        run(work)

    def test_request_is_cancelled_when_the_caller_disconnects(self):
        async def work():
            async with start_world(1) as world:
                engines = world.platform.list_workers(ENGINES)
                for worker in engines:
                    worker.events, worker.event_s = 1000, 0.02
                request = asyncio.ensure_future(world.send_stream_request(adapter=""))
                await eventually(lambda: any(worker.running for worker in engines))
                world.client.close()
                request.cancel()
                await eventually(lambda: not any(worker.running for worker in engines))
                world.client = AsyncHTTPClient(force_instance=True)

        run(work)

    def test_new_version_is_served_after_it_was_published(self):
        async def work():
            async with start_world() as world:
                await world.send_stream_request()
                for worker in world.platform.list_workers(ENGINES):
                    worker.latest_version_by_adapter["a1"] = 2
                published = {"model": MODEL, "adapter": "a1", "version": 2}
                world.platform.store.put(f"op/version/{MODEL}.a1", published)

                def list_updated_workers():
                    return [
                        worker
                        for worker in world.platform.list_workers(ENGINES)
                        if worker.versions_by_adapter.get("a1") == 2
                    ]

                await eventually(list_updated_workers)
                await asyncio.sleep(2.0)
                answer, id = await world.send_stream_request()
                assert answer.code == 200
                assert any(worker.runs[id] for worker in list_updated_workers())

        run(work)


class TestStore:
    def test_without_a_configuration_requests_get_a_retryable_error(self):
        async def work():
            world = World()
            world.platform.start()
            world.platform.store.refuse = 503
            instance = await world.start_instance()
            try:
                answer, _ = await world.send_request("/lookup/x")
                assert answer.code == 503
                assert not instance.components_by_domain["forward"].ready
            finally:
                await instance.stop()
                await world.platform.stop()

        run(work)

    def test_instance_rejected_by_the_store_learns_from_peers(self):
        """The configuration must also reach an instance without the store."""

        async def work():
            async with start_world() as world:
                rejected = world.instances[1].components_by_domain["catalog"]
                rejected.store_client.close()

                async def refuse(call):
                    return None

                rejected.store_client.call = refuse
                added = make_route("added", "safe", PLAIN)
                world.platform.store.put("op/config", make_configuration(2, added))
                bus = world.instances[1].bus
                await eventually(lambda: bus.latest(Catalog).configuration.version == 2)
                answer, _ = await world.send_request("/added/x", instance=1)
                assert answer.code == 200

        run(work)

    def test_invalid_configuration_is_not_applied(self):
        async def work():
            async with start_world(1) as world:
                world.platform.store.put("op/config", {"version": 2, "routes": 5})
                world.platform.store.put("op/other", {})
                bus = world.instances[0].bus
                revision = world.platform.store.revision
                follower = world.instances[0].components_by_domain["catalog"]
                await eventually(lambda: follower._items.revision >= revision)
                assert bus.latest(Catalog).configuration.version == 1
                answer, _ = await world.send_request("/lookup/x")
                assert answer.code == 200

        run(work)

    def test_removed_endpoint_gets_no_more_requests(self):
        async def work():
            async with start_world(1) as world:
                leaving = world.platform.list_workers(PLAIN)[0]
                world.platform.store.put(f"servers/{leaving.id}", None)
                bus = world.instances[0].bus
                await eventually(
                    lambda: leaving.id not in bus.latest(Catalog).endpoints_by_id
                )
                before = sum(leaving.runs.values())
                for _ in range(6):
                    await world.send_request("/lookup/x")
                assert sum(leaving.runs.values()) == before

        run(work)

    def test_store_is_listed_again_after_lost_history(self):
        async def work():
            async with start_world(1) as world:
                world.platform.store.compact_history()
                added = make_route("added", "safe", PLAIN)
                world.platform.store.put("op/config", make_configuration(2, added))
                bus = world.instances[0].bus
                await eventually(lambda: bus.latest(Catalog).configuration.version == 2)

        run(work)


class TestRestartedEndpoint:
    def test_adapter_is_loaded_again_after_an_endpoint_restarted(self):
        """An engine restarts under its old id without its adapters."""

        async def work():
            async with start_world() as world:
                answer, _ = await world.send_stream_request(**LONG_DEADLINE)
                assert answer.code == 200
                for worker in world.platform.list_workers(ENGINES):
                    worker.restart()
                    world.platform.publish_state(worker, "ready")
                await asyncio.sleep(1.0)
                answer, _ = await world.send_stream_request(**LONG_DEADLINE)
                assert answer.code == 200
                assert not any(w.overrun for w in world.platform.list_workers(ENGINES))

        run(work)

    def test_invalid_endpoint_entries_are_ignored(self):
        async def work():
            async with start_world(1) as world:
                store = world.platform.store
                store.put_bytes("servers/x1", b"\xff\x00")
                store.put("servers/x2", {"service": PLAIN, "state": "ready"})
                store.put("servers/x3", [1, 2, 3])
                answers = [await world.send_request("/lookup/x") for _ in range(4)]
                assert {answer.code for answer, _ in answers} == {200}

        run(work)


class TestShutdown:
    def test_requests_in_progress_are_finished(self):
        async def work():
            async with start_world() as world:
                for worker in world.platform.list_workers(ENGINES):
                    worker.events, worker.event_s = 10, 0.05
                request = asyncio.ensure_future(world.send_stream_request(adapter=""))
                await eventually(
                    lambda: any(w.running for w in world.platform.list_workers(ENGINES))
                )
                first = world.instances[0]
                stopping = asyncio.ensure_future(first.stop())
                await asyncio.sleep(0)
                assert not first.components_by_domain["forward"].ready
                answer, _ = await request
                assert answer.code == 200
                await stopping
                world.instances.remove(first)

        run(work)

    def test_orders_are_taken_over_by_another_instance(self):
        async def work():
            async with start_world() as world:
                first = world.instances.pop(0)
                await first.stop()
                placement_view = world.instances[0].bus.latest(PlacementView)
                # Wait for both engines: either may be the adapter's home.
                await eventually(
                    lambda: (
                        list(placement_view.holders_by_endpoint.values())
                        == 2 * [world.instances[0].id]
                    )
                )
                answer, _ = await world.send_stream_request(adapter="a9")
                assert answer.code == 200

        run(work)

    def test_next_holder_keeps_adapters_that_the_last_one_uses(self):
        """Unloading an adapter in use blocks the engine for other orders."""

        async def work():
            async with start_world(shutdown_s=6) as world:
                route = make_route("patient", "stream", ENGINES, **LONG_TIMEOUT)
                configuration = make_configuration(2, route)
                world.platform.publish_configuration(configuration)
                await eventually(lambda: world.get_oldest_version() == 2)

                def send_request(number):
                    work = world.send_stream_request(
                        "/patient/1", f"a{number}", **LONG_DEADLINE
                    )
                    return asyncio.ensure_future(work)

                engines = world.platform.list_workers(ENGINES)
                for worker in engines:
                    worker.events, worker.event_s = 60, 0.05
                streams = [send_request(number) for number in range(1, 7)]
                await eventually(lambda: sum(w.running for w in engines) == 6)
                for worker in engines:
                    worker.events = 2
                first = world.instances.pop(0)
                stopping = asyncio.ensure_future(first.stop())
                await asyncio.sleep(0.7)
                requests = [send_request(number) for number in range(11, 19)]
                answers = await asyncio.gather(*requests, *streams)
                assert {answer.code for answer, _ in answers} == {200}
                await stopping
                assert [worker.unloaded_in_use for worker in engines] == [[], []]

        run(work)


class TestClosedInstance:
    def test_stopped_instance_starts_no_request(self):
        """Its response would be lost when the connections are closed."""

        async def work():
            async with start_world(1) as world:
                forward = world.instances[0].components_by_domain["forward"]
                route = forward._table.find(HOST, "/charge/x")
                route = replace(route, timeout_s=0.1)
                await world.instances[0].stop()
                now = world.instances[0].now()
                assert not forward._shutdown.may_accept(route, now)

        run(work)


class TestMetrics:
    def test_gauges_counters_and_histograms_are_exported(self):
        async def work():
            async with start_world(1) as world:
                await world.send_request("/lookup/x")
                metrics = world.instances[0].components_by_domain["metrics"]
                url = f"http://{metrics.address}/metrics"
                text = (await world.client.fetch(url)).body.decode()
                for line in (
                    "fescuekeel_configuration_version 1",
                    'fescuekeel_members{kind="alive"} 1',
                    'fescuekeel_endpoints{kind="ready"} 4',
                    "fescuekeel_catalog_age_seconds",
                    'fescuekeel_retry_budget_left{kind="storefront"}',
                ):
                    assert line in text
                answer = await world.client.fetch(url)
                text = answer.body.decode()
                assert 'fescuekeel_ended_total{kind="answered"} 1' in text
                assert 'fescuekeel_request_seconds_count{kind="lookup"} 1' in text

        run(work)


def publish_services(world, *services, **changes):
    """Publish version 2, with changes to the route of streams."""
    configuration = make_configuration(2)
    configuration["services"] = list(services)
    configuration["routes"][2] |= changes
    configuration["routes"] = [
        route
        for route in configuration["routes"]
        if route.get("service") in {service["name"] for service in services}
        or "split" in route
    ]
    world.platform.publish_configuration(configuration)


class TestMovedModelRoute:
    # Guards against requests that wait for an adapter and block the instance,
    # as their service is no longer listed or has no engine.
    @pytest.mark.parametrize("is_split", [False, True])
    def test_requests_that_wait_do_not_block_the_instance(self, is_split):
        async def work():
            async with start_world(1) as world:
                engines, plain = make_configuration(1)["services"]
                for worker in world.platform.list_workers(ENGINES):
                    worker.report_lag_s = 0.5
                waiting = [
                    asyncio.ensure_future(world.send_stream_request(adapter=f"b{n}"))
                    for n in range(12)
                ]
                await asyncio.sleep(0.05)
                if is_split:
                    split = [{"service": PLAIN, "weight": 1}]
                    publish_services(world, engines, plain, split=split)
                else:
                    publish_services(world, engines | {"name": "others"}, plain)
                await eventually(lambda: world.get_oldest_version() == 2)
                waiting += [
                    asyncio.ensure_future(world.send_stream_request(adapter=f"c{n}"))
                    for n in range(4)
                ]
                for _ in range(20):
                    async with asyncio.timeout(1.0):
                        answer, _ = await world.send_request("/lookup/x")
                    assert answer.code == 200
                for answer, _ in await asyncio.gather(*waiting):
                    assert answer.code in (200, 404, 503)

        run(work)

    # Guards against a request that names a model on the route of a plain
    # service, and is chosen an endpoint for again and again.
    def test_plain_service_gets_requests_that_name_a_model(self):
        async def work():
            async with start_world(1) as world:
                answer, id = await world.send_stream_request("/lookup/1")
                assert answer.code in (200, 421, 503)
                assert world.count_runs(id) <= 1
                async with asyncio.timeout(1.0):
                    answer, _ = await world.send_request("/lookup/x")
                assert answer.code == 200

        run(work)

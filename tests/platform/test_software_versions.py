"""End-to-end tests of endpoints of several software versions side by side."""

import asyncio
import itertools
import signal
from collections import deque
from contextlib import asynccontextmanager

import pytest
from tornado.httpclient import AsyncHTTPClient

from fescuekeel.components.forward import exchange
from fescuekeel.errors import RESPONSES_BY_KIND, ErrorKind
from fescuekeel.helpers.published import Catalog
from standins.fleet import free_addresses
from standins.forwarding.answers import AnswerBreak, BreakPoint
from standins.forwarding.caller import make_headers
from standins.forwarding.daemons import (
    DaemonAddresses,
    DaemonSpec,
    start_daemon,
    wait_until_ready,
)
from standins.forwarding.platform import (
    ENGINES,
    HOST,
    MODEL,
    StandInPlatform,
    make_configuration,
    make_route,
)
from standins.forwarding.raw_caller import call_raw
from standins.forwarding.resuming_caller import (
    ResumedStream,
    StreamRequest,
    run_stream,
)
from standins.forwarding.workers import Worker
from tests.common import eventually
from tests.platform.test_accounts import make_account
from tests.platform.test_path import publish_services, run, start_world
from tests.platform.test_quarantine import add_endpoints

MODEL_HEADERS = (("Fescuekeel-Model", MODEL), ("Fescuekeel-Token-Count", "500,20"))
MAX_OF_TWO_VERSIONS = 0
MIN_SHARE = 0.9
EVENTS = 12
STREAM_NUMBERS = itertools.count(1)


def set_versions(platform):
    """Publish every other engine with another software version."""
    for number, worker in enumerate(platform.list_workers(ENGINES)):
        worker.software = ("v1", "v1.1")[number % 2]
        worker.names_software = True
        worker.events, worker.event_s = EVENTS, 0.01
        platform.publish_state(worker, "ready")


def stop_following(instance, monkeypatch):
    """Let an instance learn of changes only when it reads the store itself."""
    for task in instance._tasks:
        if task.get_name() in ("catalog.follow", "catalog.request"):
            task.cancel()
    catalog = instance.components_by_domain["catalog"]
    monkeypatch.setattr(catalog, "_start_request", lambda *arguments: None)


def make_request(path="/explain/1", **changes):
    id = f"{next(STREAM_NUMBERS):014x}"
    return StreamRequest(id, path, MODEL_HEADERS, **changes)


def list_callers(world):
    return [
        instance.components_by_domain["forward"].server.address
        for instance in world.instances
    ]


def knows_versions(instance):
    forward = instance.components_by_domain["forward"]
    records = forward._selector.records_by_service[ENGINES].values()
    return {record.software for record in records} == {"v1", "v1.1"}


def get_version(instance):
    return instance.bus.latest(Catalog).configuration.version


def check(streams):
    """Check that streams are of one version, and that they went on."""
    resumed = [stream for stream in streams if stream.resumed]
    assert len(resumed) >= 12
    of_two = [stream for stream in streams if stream.has_two_versions]
    whole = [
        stream
        for stream in resumed
        if stream.whole and stream.numbers == list(range(1, EVENTS + 1))
    ]
    assert len(of_two) <= MAX_OF_TWO_VERSIONS, of_two
    assert len(whole) >= MIN_SHARE * len(resumed), resumed


class TestWithinAnAnswer:
    # Guards against a broken stream that goes on, in the same answer, at an
    # endpoint of another software version.
    def test_a_stream_goes_on_at_its_version(self):
        async def work():
            async with start_world(4) as world:
                await add_endpoints(world, ENGINES, 4)
                set_versions(world.platform)
                await eventually(lambda: all(map(knows_versions, world.instances)))
                for instance in world.instances:
                    instance.components_by_domain["forward"].budget.slack = 1000
                streams = []
                for number in range(40):
                    broken = AnswerBreak(BreakPoint.WITHIN_EVENT, number % 2 == 0)
                    breaks = deque([broken])
                    for worker in world.platform.list_workers(ENGINES):
                        worker.breaks = breaks
                    address = list_callers(world)[number % 4]
                    streams.append(await run_stream(make_request(), [address]))
                of_two = [stream for stream in streams if stream.has_two_versions]
                in_one = [stream for stream in streams if stream.statuses == [200]]
                assert len(of_two) <= MAX_OF_TWO_VERSIONS, of_two
                assert len(in_one) >= MIN_SHARE * len(streams)

        run(work)


class TestOverTries:
    # Guards against a stream that a caller resumes at another instance, and
    # that goes on at an endpoint of another software version.
    def test_a_stream_goes_on_at_its_version(self):
        async def work():
            async with start_world(4) as world:
                await add_endpoints(world, ENGINES, 4)
                set_versions(world.platform)
                await eventually(lambda: all(map(knows_versions, world.instances)))
                addresses = list_callers(world)
                streams = await asyncio.gather(
                    *(
                        run_stream(
                            make_request(leaves_after=3),
                            addresses[number % 4 :] + addresses[: number % 4],
                        )
                        for number in range(60)
                    )
                )
                check(streams)

        run(work)


def send_raw(world, instance, resumes, time_left_s=5.0):
    headers = [
        *make_headers(f"{next(STREAM_NUMBERS):016x}", time_left_s),
        *MODEL_HEADERS,
        ("Last-Event-Id", "3"),
    ]
    if resumes is not None:
        headers.append(("Resumes", resumes))
    address = list_callers(world)[instance]
    return call_raw(address, "POST", "/explain/1", headers, b"body")


class TestUnknownStream:
    # Guards against a guess, or a wait for the deadline, where no instance
    # knows what began a stream, and against ids that fill the memory.
    @pytest.mark.parametrize("resumes", [None, "", "0123", "x" * 5000, "\xe9\xff"])
    def test_is_refused_at_once_while_two_versions_serve(self, resumes):
        async def work():
            async with start_world(2) as world:
                set_versions(world.platform)
                await eventually(lambda: all(map(knows_versions, world.instances)))
                async with asyncio.timeout(2.0):
                    answer = await send_raw(world, 0, resumes)
                expected = RESPONSES_BY_KIND[ErrorKind.STREAM_ORIGIN_UNKNOWN]
                assert answer.status == expected.status
                assert answer.body.decode().strip() == expected.text
                assert float(answer.headers["retry-after"]) > 0
                for instance in world.instances:
                    assert not len(instance.components_by_domain["origins"]._ledger)

        run(work)

    # Guards against a stream that is refused although only one version can
    # have begun it.
    def test_goes_on_while_one_version_has_served_all_along(self, monkeypatch):
        monkeypatch.setattr(
            "fescuekeel.components.origins.component.MIN_HORIZON_S", 0.5
        )

        async def work():
            async with start_world(2) as world:
                route = make_route("explain", "stream", ENGINES, resumable=True)
                route |= {"timeout_ms": 600, "max_attempts": 2}
                configuration = make_configuration(2)
                configuration["routes"][3] = route
                world.platform.publish_configuration(configuration)
                await eventually(lambda: world.get_oldest_version() == 2)
                await asyncio.sleep(1.0)
                answer = await send_raw(world, 0, "0123", time_left_s=0.9)
                assert answer.status == 200

        run(work)


class TestLostVersion:
    # Guards against a caller that waits although no endpoint of the version
    # that began its stream is left.
    def test_a_stream_is_refused_at_once(self):
        async def work():
            async with start_world(2) as world:
                set_versions(world.platform)
                await eventually(lambda: all(map(knows_versions, world.instances)))
                request = make_request(leaves_after=3, time_left_s=0.5)
                begun = await run_stream(request, list_callers(world)[:1])
                assert begun.versions
                first_id = begun.attempts[0]
                for worker in world.platform.list_workers(ENGINES):
                    if worker.software == begun.versions[0]:
                        world.platform.remove(worker)
                await asyncio.sleep(3.0)
                async with asyncio.timeout(1.5):
                    answer = await send_raw(world, 1, first_id)
                expected = RESPONSES_BY_KIND[ErrorKind.STREAM_VERSION_GONE]
                assert answer.status == expected.status
                assert answer.body.decode().strip() == expected.text
                assert "retry-after" not in answer.headers

        run(work)


class TestCatalogThatIsBehind:
    # Guards against a stream that is refused as gone at an instance that knows
    # what began it, and not yet the endpoints that serve that version.
    def test_a_stream_goes_on(self, monkeypatch):
        async def work():
            async with start_world(2) as world:
                set_versions(world.platform)
                await eventually(lambda: all(map(knows_versions, world.instances)))
                stop_following(world.instances[0], monkeypatch)
                for worker in world.platform.list_workers(ENGINES):
                    worker.software = "v2"
                    world.platform.publish_state(worker, "ready")
                await eventually(lambda: not knows_versions(world.instances[1]))
                request = make_request(leaves_after=3, time_left_s=2.0)
                stream = await run_stream(request, list_callers(world)[::-1])
                assert stream.statuses == [200, 200]
                assert stream.whole
                assert not stream.has_two_versions

        run(work)

    # Guards against a stream that is refused as gone at an instance that does
    # not know yet that its route has another service.
    def test_a_stream_of_a_moved_route_goes_on(self, monkeypatch):
        async def work():
            async with start_world(2) as world:
                stop_following(world.instances[0], monkeypatch)
                engines, plain = make_configuration(1)["services"]
                worker = Worker("others", MODEL)
                worker.events, worker.event_s = EVENTS, 0.01
                world.platform.add(worker, "a")
                others = engines | {"name": "others"}
                changes = {"service": "others", "resumable": True}
                publish_services(world, engines, others, plain, **changes)
                (ahead,) = world.instances[1:]
                forward = ahead.components_by_domain["forward"]
                await eventually(
                    lambda: (
                        forward.find_route(HOST, "/script/1").targets[0].service
                        == "others"
                    )
                )
                request = make_request("/script/1", leaves_after=3, time_left_s=4.0)
                stream = await run_stream(request, list_callers(world)[::-1])
                assert stream.statuses == [200, 200]
                assert stream.whole
                assert worker.runs

        run(work)

    # Guards against a stream that goes on without the key that its route has
    # asked for since.
    def test_a_stream_of_a_moved_route_needs_its_key(self, monkeypatch):
        async def work():
            async with start_world(2) as world:
                stop_following(world.instances[0], monkeypatch)
                worker = Worker("others", MODEL)
                worker.events, worker.event_s = EVENTS, 0.01
                world.platform.add(worker, "a")
                configuration = make_configuration(2)
                engines = configuration["services"][0]
                configuration["services"].append(engines | {"name": "others"})
                configuration["routes"][3]["service"] = "others"
                account = make_account("shop", "key-1")
                world.platform.publish_configuration(
                    configuration | {"tenants": [account]}
                )
                (ahead,) = world.instances[1:]
                await eventually(lambda: get_version(ahead) == 2)
                headers = (*MODEL_HEADERS, ("X-Api-Key", "key-1"))
                request = StreamRequest(
                    f"{next(STREAM_NUMBERS):014x}",
                    "/explain/1",
                    headers,
                    leaves_after=3,
                    time_left_s=0.5,
                )
                begun = await run_stream(request, list_callers(world)[1:])
                runs = len(worker.runs)
                assert runs
                answer = await send_raw(world, 0, begun.attempts[0])
                assert answer.status == 401
                assert len(worker.runs) == runs

        run(work)

    # Guards against a version that is said to be gone although the store did
    # not answer: it may serve.
    def test_a_stream_is_to_come_back_without_an_answer_of_the_store(self, monkeypatch):
        async def work():
            async with start_world(2) as world:
                set_versions(world.platform)
                await eventually(lambda: all(map(knows_versions, world.instances)))
                stop_following(world.instances[0], monkeypatch)
                for worker in world.platform.list_workers(ENGINES):
                    worker.software = "v2"
                    world.platform.publish_state(worker, "ready")
                await eventually(lambda: not knows_versions(world.instances[1]))
                request = make_request(leaves_after=3, time_left_s=0.5)
                begun = await run_stream(request, list_callers(world)[1:])
                world.platform.store.refuse = 503
                async with asyncio.timeout(2.0):
                    answer = await send_raw(world, 0, begun.attempts[0])
                assert answer.status == 503
                assert "retry-after" in answer.headers

        run(work)


class TestRestartWithAnotherVersion:
    # Guards against a stream that goes on at an endpoint whose entry still
    # shows the version it had before it restarted.
    def test_a_stale_entry_is_noticed(self):
        async def work():
            async with start_world(2) as world:
                await add_endpoints(world, ENGINES, 2)
                set_versions(world.platform)
                await eventually(lambda: all(map(knows_versions, world.instances)))
                addresses = list_callers(world)
                for round in range(8):
                    stale = world.platform.list_workers(ENGINES)[round % 4]
                    stale.restart()
                    stale.software = "v1" if stale.software == "v1.1" else "v1.1"
                    streams = await asyncio.gather(
                        *(
                            run_stream(make_request(leaves_after=3), addresses)
                            for _ in range(4)
                        )
                    )
                    world.platform.publish_state(stale, "ready")
                    assert not any(stream.has_two_versions for stream in streams)

        run(work)


class TestOneVersionSoFar:
    # Guards against the first endpoint that restarts with another version,
    # which all instances that have watched for long take for the old one.
    @pytest.mark.parametrize("down_s", [0.0, 0.3])
    def test_a_restart_is_noticed(self, down_s, monkeypatch):
        monkeypatch.setattr(exchange, "VERSIONS_WITHIN_S", 0.0)

        async def work():
            async with start_world(2) as world:
                await add_endpoints(world, ENGINES, 2)
                workers = world.platform.list_workers(ENGINES)
                for worker in workers:
                    worker.software, worker.names_software = "v1", True
                    worker.events, worker.event_s = EVENTS, 0.02
                    world.platform.publish_state(worker, "ready")
                await asyncio.sleep(1.0)
                running = [
                    asyncio.ensure_future(
                        run_stream(make_request(leaves_after=9), list_callers(world))
                    )
                    for _ in range(16)
                ]
                await asyncio.sleep(0.1)
                for worker in workers[:2]:
                    worker.restart()
                    worker.software = "v1.1"
                    await asyncio.sleep(down_s)
                streams = await asyncio.gather(*running)
                later = [
                    run_stream(make_request(leaves_after=3), list_callers(world))
                    for _ in range(8)
                ]
                streams += await asyncio.gather(*later)
                assert not any(stream.has_two_versions for stream in streams)

        run(work)


class TestStartedInstance:
    # Guards against an instance that trusts an entry of before its start,
    # though the endpoint has restarted with another version.
    def test_a_stale_entry_is_noticed(self):
        async def work():
            async with start_world(2) as world:
                await add_endpoints(world, ENGINES, 2)
                workers = world.platform.list_workers(ENGINES)
                for worker in workers:
                    worker.software, worker.names_software = "v1", True
                    worker.events, worker.event_s = EVENTS, 0.01
                    world.platform.publish_state(worker, "ready")
                await asyncio.sleep(1.0)
                workers[0].restart()
                workers[0].software = "v1.1"
                streams = await asyncio.gather(
                    *(
                        run_stream(make_request(leaves_after=3), list_callers(world))
                        for _ in range(16)
                    )
                )
                assert not any(stream.has_two_versions for stream in streams)

        run(work)


@asynccontextmanager
async def start_daemons(folder):
    """Start a platform with six engines and four daemons as processes."""
    platform = StandInPlatform()
    platform.start()
    for number in range(4):
        platform.add(Worker(ENGINES, MODEL), "ab"[number % 2])
    set_versions(platform)
    specs = []
    for number in range(4):
        addresses = DaemonAddresses(*free_addresses(4))
        seeds = tuple(spec.addresses.peers for spec in specs[:2])
        store = platform.store_server.address
        spec = DaemonSpec(
            f"i{number + 1}", "ab"[number % 2], addresses, addresses.peers, seeds, store
        )
        specs.append(spec)
    daemons = [await start_daemon(spec, folder) for spec in specs]
    client = AsyncHTTPClient(force_instance=True)
    try:
        for spec in specs:
            assert await wait_until_ready(client, spec.addresses.ready)
        await asyncio.sleep(2.0)
        yield platform, specs, daemons
    finally:
        for daemon in daemons:
            if daemon.returncode is None:
                daemon.kill()
            await daemon.wait()
        await platform.stop()


async def restart_all(daemons, specs, folder, how):
    """End all daemons at once, and start them again when they are gone."""
    for daemon in daemons:
        daemon.send_signal(how)
    await asyncio.gather(*(daemon.wait() for daemon in daemons))
    started = [start_daemon(spec, folder) for spec in specs]
    daemons[:] = await asyncio.gather(*started)


async def take_up_after_a_loss(folder, linger_s, how=signal.SIGKILL):
    """Let callers take up 40 streams after all instances were lost."""
    async with start_daemons(folder) as (platform, specs, daemons):
        for worker in platform.list_workers(ENGINES):
            worker.event_s, worker.linger_s = 0.2, linger_s
        addresses = [spec.addresses.callers for spec in specs]
        is_back = asyncio.Event()
        streams = [ResumedStream() for _ in range(40)]
        runs = []
        for number, stream in enumerate(streams):
            order = addresses[number % 4 :] + addresses[: number % 4]
            request = make_request(leaves_after=3, goes_on=is_back, time_left_s=20.0)
            runs.append(asyncio.ensure_future(run_stream(request, order, stream)))
        await eventually(lambda: all(len(each.numbers) >= 1 for each in streams))
        await restart_all(daemons, specs, folder, how)
        client = AsyncHTTPClient(force_instance=True)
        for spec in specs:
            assert await wait_until_ready(client, spec.addresses.ready)
        is_back.set()
        await asyncio.gather(*runs)
        assert all(stream.resumed for stream in streams)
        return streams


class TestAllInstancesLost:
    # Guards against streams that are joined from two versions, or all refused,
    # although endpoints still run what the lost instances began.
    def test_streams_go_on_at_the_version_that_endpoints_name(self, tmp_path):
        async def work():
            check(await take_up_after_a_loss(tmp_path, linger_s=5.0))

        run(work)

    # Guards against a guess where nobody knows any more.
    @pytest.mark.parametrize(
        "how", [signal.SIGKILL, signal.SIGTERM], ids=["killed", "ended"]
    )
    def test_none_is_joined_where_no_endpoint_runs_them(self, how, tmp_path):
        async def work():
            streams = await take_up_after_a_loss(tmp_path, 0.0, how)
            assert not any(stream.has_two_versions for stream in streams)

        run(work)


class TestLostDataCentre:
    # Guards against a stream whose version nobody knows any more, or guesses,
    # once all instances of the data centre that began it are gone.
    @pytest.mark.parametrize(
        "how", [signal.SIGKILL, signal.SIGSTOP], ids=["killed", "stopped"]
    )
    def test_streams_go_on_at_their_version(self, how, tmp_path):
        async def work():
            async with start_daemons(tmp_path) as (platform, specs, daemons):
                for worker in platform.list_workers(ENGINES):
                    worker.event_s = 0.2
                lost = [spec.addresses.callers for spec in specs[0::2]]
                left = [spec.addresses.callers for spec in specs[1::2]]
                is_lost = asyncio.Event()
                streams = [ResumedStream() for _ in range(40)]
                runs = []
                for number, stream in enumerate(streams):
                    first, *others = lost[number % 2 :] + lost[: number % 2]
                    addresses = [first, *left, *others]
                    request = make_request(
                        leaves_after=3, goes_on=is_lost, time_left_s=12.0
                    )
                    run_of_stream = run_stream(request, addresses, stream)
                    runs.append(asyncio.ensure_future(run_of_stream))
                await eventually(
                    lambda: all(len(each.numbers) >= 3 for each in streams)
                )
                for daemon in daemons[0::2]:
                    daemon.send_signal(how)
                is_lost.set()
                await asyncio.gather(*runs)
                for daemon in daemons[0::2]:
                    if how is signal.SIGSTOP:
                        daemon.send_signal(signal.SIGCONT)
                assert all(stream.resumed for stream in streams)
                check(streams)

        run(work)

"""Tests of instances that miss that endpoints of a new version join."""

import asyncio
import itertools
import signal
from contextlib import asynccontextmanager

from tornado.httpclient import AsyncHTTPClient

from fescuekeel.components.origins.const import MIN_HORIZON_S
from fescuekeel.errors import RESPONSES_BY_KIND, ErrorKind
from standins.fleet import free_addresses
from standins.forwarding.daemons import (
    DaemonAddresses,
    DaemonSpec,
    start_daemon,
    wait_until_ready,
)
from standins.forwarding.platform import ENGINES, MODEL, StandInPlatform
from standins.forwarding.resuming_caller import (
    ResumedStream,
    StreamRequest,
    run_stream,
)
from standins.forwarding.workers import Worker
from standins.proxy import Cut, Proxy
from tests.platform.test_path import run, start_world
from tests.platform.test_software_versions import MODEL_HEADERS, send_raw

STREAM_NUMBERS = itertools.count(1)
EVENTS = 40
# Until instances may infer what began a stream, with some seconds for starts.
WATCHED_S = MIN_HORIZON_S + 4.0
STREAMS = 30


class Daemons:
    """Four daemons in two data centres, whose links can be cut."""

    def __init__(self, folder):
        self.folder = folder
        self.platform = StandInPlatform()
        self.specs, self.processes = [], []
        self.peers, self.stores = [], []

    async def start(self):
        self.platform.start()
        for worker in self.platform.list_workers(ENGINES):
            self.prepare(worker, "v1")
        for number in range(4):
            addresses = DaemonAddresses(*free_addresses(4))
            self.peers.append(Proxy(addresses.peers))
            self.stores.append(Proxy(self.platform.store_server.address))
            seeds = tuple(proxy.address for proxy in self.peers[:2] if proxy.address)
            spec = DaemonSpec(
                f"i{number + 1}",
                "ab"[number // 2],
                addresses,
                await self.peers[-1].start(),
                seeds,
                await self.stores[-1].start(),
            )
            self.specs.append(spec)
            self.processes.append(await start_daemon(spec, self.folder))
        client = AsyncHTTPClient(force_instance=True)
        for spec in self.specs:
            assert await wait_until_ready(client, spec.addresses.ready)

    def prepare(self, worker, software):
        worker.software, worker.names_software = software, True
        worker.events, worker.event_s = EVENTS, 0.05
        self.platform.publish_state(worker, "ready")

    def release(self):
        """Let workers of a new version join, and those of the old leave."""
        before = self.platform.list_workers(ENGINES)
        for number in range(2):
            worker = Worker(ENGINES, MODEL)
            worker.software = "v2"
            self.platform.add(worker, "ab"[number % 2])
            self.prepare(worker, "v2")
        for worker in before:
            worker.max_loaded_adapters = 0
            self.platform.publish_state(worker, "draining")

    def list_callers(self, *numbers):
        return [self.specs[number].addresses.callers for number in numbers]

    async def stop(self):
        for process in self.processes:
            if process.returncode is None:
                process.kill()
            await process.wait()
        for proxy in (*self.peers, *self.stores):
            await proxy.stop()
        await self.platform.stop()


@asynccontextmanager
async def start_daemons(folder):
    folder.mkdir()
    daemons = Daemons(folder)
    try:
        await daemons.start()
        yield daemons
    finally:
        await daemons.stop()


def begin_streams(addresses, goes_on):
    """Begin streams at the first addresses, to be taken up at the last."""
    streams = [ResumedStream() for _ in range(STREAMS)]
    runs = []
    for number, stream in enumerate(streams):
        first = addresses[number % (len(addresses) - 1)]
        request = StreamRequest(
            f"{next(STREAM_NUMBERS):014x}",
            "/explain/1",
            MODEL_HEADERS,
            leaves_after=3,
            goes_on=goes_on,
            time_left_s=12.0,
        )
        run_of_stream = run_stream(request, [first, addresses[-1]], stream)
        runs.append(asyncio.ensure_future(run_of_stream))
    return streams, runs


async def finish(streams, runs):
    await asyncio.gather(*runs)
    assert sum(stream.resumed for stream in streams) >= 12
    assert not any(stream.has_two_versions for stream in streams), streams


async def stand_still(folder):
    async with start_daemons(folder) as daemons:
        await asyncio.sleep(WATCHED_S)
        goes_on = asyncio.Event()
        daemons.processes[0].send_signal(signal.SIGSTOP)
        daemons.release()
        await asyncio.sleep(0.7)
        streams, runs = begin_streams(daemons.list_callers(1, 2, 3, 0), goes_on)
        await asyncio.sleep(0.8)
        # Callers take streams up while the instance still stands still.
        goes_on.set()
        await asyncio.sleep(0.4)
        daemons.processes[0].send_signal(signal.SIGCONT)
        await finish(streams, runs)


async def cut_data_centre_off(folder):
    async with start_daemons(folder) as daemons:
        await asyncio.sleep(WATCHED_S)
        for number in range(2):
            daemons.stores[number].cut(Cut.HANG)
        # Peers of the other data centre are dialled at these addresses.
        for number in range(4):
            daemons.peers[number].cut(Cut.HANG)
        await asyncio.sleep(0.5)
        daemons.release()
        goes_on = asyncio.Event()
        await asyncio.sleep(2.0)
        streams, runs = begin_streams(daemons.list_callers(2, 3, 0), goes_on)
        await asyncio.sleep(1.0)
        goes_on.set()
        await asyncio.sleep(2.0)
        for proxy in (*daemons.stores, *daemons.peers):
            await proxy.restore()
        await finish(streams, runs)


class TestReleaseUnnoticed:
    # Guards against a stream that goes on at another version, at an instance
    # that was cut off or stood still as endpoints of a new version joined.
    def test_no_stream_is_of_two_versions(self, tmp_path):
        async def work():
            await asyncio.gather(
                stand_still(tmp_path / "still"), cut_data_centre_off(tmp_path / "cut")
            )

        asyncio.run(asyncio.wait_for(work(), 150.0))


class TestUnknownStream:
    # Guards against a guess from what instances have confirmed to each other.
    def test_is_refused_at_once_without_an_answer_of_the_store(self, monkeypatch):
        monkeypatch.setattr(
            "fescuekeel.components.origins.component.MIN_HORIZON_S", 0.1
        )

        async def work():
            async with start_world(2) as world:
                await asyncio.sleep(11.0)
                assert (await send_raw(world, 0, "0123")).status == 200
                world.platform.store.refuse = 503
                await asyncio.sleep(0.2)
                async with asyncio.timeout(2.0):
                    answer = await send_raw(world, 0, "0123")
                expected = RESPONSES_BY_KIND[ErrorKind.STREAM_ORIGIN_UNKNOWN]
                assert answer.status == expected.status
                assert answer.body.decode().strip() == expected.text

        run(work)

"""Tests of planned stops whose signal is handled late."""

import asyncio
import os
import re
import signal
import sys
from contextlib import asynccontextmanager

import pytest
from tornado.simple_httpclient import HTTPStreamClosedError

from fescuekeel.components.forward.shutdown import Shutdown
from standins.forwarding.platform import (
    ENGINES,
    HOST,
    MODEL,
    make_configuration,
    make_route,
)
from tests.common import eventually
from tests.components.forward.slow_caller import LAST_CHUNK, open_slow_caller
from tests.platform.test_path import (
    LONG_DEADLINE,
    LONG_TIMEOUT,
    RETRY_RATIO,
    SETTINGS,
    start_world,
)

SHUTDOWN_S = 7.2
# From the signal to the kill.
GRACE_S = 8.0
# Callers' own clock, from the signal.
EXCUSED_UNTIL_S = 3.0
# The first instances hold the engines and go on.
HOLDERS = 2
HANDLED_AFTER_S = (0.0, 0.1, 0.25, 0.3)
SENT_AFTER_S = (1.0, 2.5, 3.03, 3.12, 3.2)
EVENTS = 60
EVENT_S = 0.08
PATIENCE_S = 40


async def publish_patient_routes(world):
    """Publish a route of streams with a long timeout, and a resumable one."""
    routes = (
        make_route("patient", "stream", ENGINES, **LONG_TIMEOUT),
        make_route(
            "again",
            "stream",
            ENGINES,
            resumable=True,
            max_attempts=2,
            **LONG_TIMEOUT,
        ),
    )
    world.platform.publish_configuration(make_configuration(2, *routes))
    await eventually(lambda: world.get_oldest_version() == 2)


class LateStop:
    """Streams to instances that each handle the signal after another time.

    ``cut_at`` has the times of sending of streams that were passed on and cut,
    ``served_at`` those of whole streams, both by the delay of the signal.
    """

    def __init__(self, world):
        self.world = world
        self.cut_at = []
        self.served_at = []
        self.codes = set()
        self.stop_s = []

    async def prepare(self):
        await publish_patient_routes(self.world)
        answer, _ = await self.world.send_stream_request(
            "/patient/0", "a1", **LONG_DEADLINE
        )
        assert answer.code == 200
        for worker in self.world.platform.list_workers(ENGINES):
            worker.events, worker.event_s = EVENTS, EVENT_S

    async def stop(self, number, delay_s):
        await asyncio.sleep(delay_s)
        instance = self.world.instances[HOLDERS + number]
        await instance.stop()

    async def send(self, number, sent_s, path):
        await asyncio.sleep(sent_s)
        try:
            answer, _ = await self.world.send_stream_request(
                path, "a1", HOLDERS + number, **LONG_DEADLINE
            )
            print(
                number,
                sent_s,
                answer.code,
                answer.body[:60],
                answer.headers,
                answer.request_time,
            )
        except HTTPStreamClosedError:
            self.cut_at.append((HANDLED_AFTER_S[number], sent_s))
            return
        self.codes.add(answer.code)
        if answer.code == 200:
            self.served_at.append((HANDLED_AFTER_S[number], sent_s))

    async def play(self):
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        stops = [
            asyncio.ensure_future(self.stop(number, delay_s))
            for number, delay_s in enumerate(HANDLED_AFTER_S)
        ]
        for stop in stops:
            stop.add_done_callback(
                lambda done: self.stop_s.append(loop.time() - began_at)
            )
        sends = [
            self.send(number, sent_s, path)
            for number in range(len(HANDLED_AFTER_S))
            for sent_s, path in zip(
                SENT_AFTER_S,
                ("/patient/1", "/again/1", "/patient/1", "/again/1", "/patient/1"),
                strict=True,
            )
        ]
        await asyncio.gather(*sends, *stops)
        del self.world.instances[HOLDERS:]


@pytest.fixture(scope="module")
def late_stop():
    plays = []

    async def work():
        count = HOLDERS + len(HANDLED_AFTER_S)
        async with start_world(count, SHUTDOWN_S) as world:
            plays.append(LateStop(world))
            await plays[0].prepare()
            await plays[0].play()

    asyncio.run(asyncio.wait_for(work(), PATIENCE_S))
    return plays[0]


class TestLateStop:
    # Guards against streams that come late by callers' clocks, which begin at
    # the signal, and are passed on and cut.
    def test_no_late_stream_is_passed_on_and_cut(self, late_stop):
        unexcused = [cut for cut in late_stop.cut_at if cut[1] > EXCUSED_UNTIL_S]
        assert not unexcused
        assert late_stop.codes == {200, 503}

    # Guards against refusing streams that come early enough to end.
    def test_early_streams_end_whole(self, late_stop):
        early = {(delay_s, SENT_AFTER_S[0]) for delay_s in HANDLED_AFTER_S}
        assert early <= set(late_stop.served_at)

    # Guards against an exit that lasts until the process is killed.
    def test_instances_stop_within_the_grace(self, late_stop):
        assert len(late_stop.stop_s) == len(HANDLED_AFTER_S)
        assert max(late_stop.stop_s) < GRACE_S


class TestUnsentStreams:
    # Guards against a stream that waits for weights past the limit, is passed
    # on and cut.
    @pytest.mark.parametrize("path", ["/patient/1", "/again/1"])
    def test_stream_that_waits_for_weights_is_refused(self, path, monkeypatch):
        async def work():
            async with start_world(HOLDERS + 1, shutdown_s=2) as world:
                await publish_patient_routes(world)
                for worker in world.platform.list_workers(ENGINES):
                    worker.events, worker.event_s = EVENTS, EVENT_S
                monkeypatch.setattr("standins.forwarding.workers.LOAD_S", 1.5)
                stopping = asyncio.ensure_future(world.instances[HOLDERS].stop())
                began_at = asyncio.get_running_loop().time()
                answer, id = await world.send_stream_request(
                    path, "a7", HOLDERS, **LONG_DEADLINE
                )
                waited_s = asyncio.get_running_loop().time() - began_at
                await stopping
                world.instances.pop()
                assert (answer.code, world.count_runs(id)) == (503, 0)
                assert answer.body == b"The instance is leaving.\n"
                assert float(answer.headers["Retry-After"]) <= 0.1
                assert waited_s < 1.3

        asyncio.run(asyncio.wait_for(work(), PATIENCE_S))

    # Guards against a stream whose endpoint is found right after the limit.
    def test_stream_is_not_sent_where_the_limit_passes_in_the_search(self):
        async def work():
            async with start_world(1) as world:
                instance = world.instances[0]
                forward = instance.components_by_domain["forward"]
                select = forward._selector.select_endpoint

                async def select_past_the_limit(request, avoided=""):
                    choice = await select(request, avoided)
                    now = instance.now()
                    forward._shutdown = Shutdown(now - 3.0, now + 4.2)
                    return choice

                forward._selector.select_endpoint = select_past_the_limit
                answer, id = await world.send_stream_request()
                assert (answer.code, world.count_runs(id)) == (503, 0)
                assert answer.body == b"The instance is leaving.\n"

        asyncio.run(asyncio.wait_for(work(), PATIENCE_S))


@asynccontextmanager
async def open_slow_world(shutdown_s):
    """Start an instance with an answer that its caller has not read."""
    async with start_world(1, shutdown_s) as world:
        instance = world.instances.pop()
        async with open_slow_caller(instance, False) as (caller, raw):
            await caller.answering
            forward = instance.components_by_domain["forward"]
            await forward.server.stop()
            forward.server = caller.server
            yield instance, caller, raw


class TestUnwrittenAnswers:
    # Guards against cutting an answer that was made before the signal.
    def test_slow_caller_gets_its_whole_answer(self):
        async def work():
            async with open_slow_world(shutdown_s=4) as (instance, caller, raw):
                stopping = asyncio.ensure_future(instance.stop())
                await asyncio.sleep(3)
                assert (await caller.read_rest(raw)).endswith(LAST_CHUNK)
                await stopping

        asyncio.run(asyncio.wait_for(work(), PATIENCE_S))

    # Guards against an exit that waits for a caller that never reads.
    def test_caller_that_never_reads_does_not_delay_the_exit(self):
        async def work():
            async with open_slow_world(shutdown_s=2) as (instance, _, _):
                began_at = asyncio.get_running_loop().time()
                await instance.stop()
                stopped_s = asyncio.get_running_loop().time() - began_at
                assert 2 <= stopped_s < 2 + GRACE_S - SHUTDOWN_S

        asyncio.run(asyncio.wait_for(work(), PATIENCE_S))


class Daemon:
    """A real daemon that joins the instances of a world."""

    def __init__(self, world, path):
        seeds = [
            instance.components_by_domain["peers"].address
            for instance in world.instances
        ]
        path.write_text(
            SETTINGS.format(
                id="daemon",
                data_centre="a",
                shutdown_s=SHUTDOWN_S,
                seeds=",".join(seeds),
                store=world.platform.store_server.address,
                retry_ratio=RETRY_RATIO,
            )
        )
        self.world = world
        self.path = path
        self.lines = []
        self.address = ""

    async def start(self):
        paths = os.pathsep.join(path for path in sys.path if path)
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "fescuekeel.daemon",
            str(self.path),
            stdout=asyncio.subprocess.PIPE,
            env=os.environ | {"PYTHONPATH": paths},
        )
        self.reading = asyncio.ensure_future(self.read_lines())
        await eventually(lambda: self.address)

    async def read_lines(self):
        async for line in self.process.stdout:
            self.lines.append(line.decode())
            match = re.search(r"event=callers_listening address=(\S+)", self.lines[-1])
            if match:
                self.address = match[1]

    async def send(self, path="/patient/1"):
        headers = {
            "Host": HOST,
            "Fescuekeel-Request-Id": f"{next(self.world.request_numbers):016x}",
            "Fescuekeel-Deadline-Ms": "20000",
            "Fescuekeel-Model": f"{MODEL}/a1",
            "Fescuekeel-Token-Count": "500,20",
        }
        try:
            answer = await self.world.client.fetch(
                f"http://{self.address}{path}",
                method="POST",
                headers=headers,
                body=b"body",
                raise_error=False,
                request_timeout=20,
            )
        except HTTPStreamClosedError:
            return "cut"
        return answer.code

    async def send_after(self, wait_s):
        await asyncio.sleep(wait_s)
        return await self.send()

    async def signal_late(self, delay_s):
        """Send SIGTERM to a process that runs again after a delay."""
        self.process.send_signal(signal.SIGSTOP)
        self.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(delay_s)
        self.process.send_signal(signal.SIGCONT)

    async def wait_until_served(self):
        for _ in range(100):
            if await self.send() == 200:
                return
            await asyncio.sleep(0.1)
        raise AssertionError("the daemon did not become ready")

    async def kill(self):
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        await self.reading


@asynccontextmanager
async def open_daemon(world, path):
    daemon = Daemon(world, path)
    await daemon.start()
    try:
        yield daemon
    finally:
        await daemon.kill()


class TestDaemon:
    # Guards against late streams that are cut by a real process that handles
    # its signal late, and against one that outlives the grace.
    def test_daemon_cuts_no_late_stream_and_ends_in_time(self, tmp_path):
        async def work():
            async with start_world(HOLDERS, shutdown_s=2) as world:
                await publish_patient_routes(world)
                async with open_daemon(world, tmp_path / "settings.ini") as daemon:
                    await daemon.wait_until_served()
                    for worker in world.platform.list_workers(ENGINES):
                        worker.events, worker.event_s = EVENTS, EVENT_S
                    began_at = asyncio.get_running_loop().time()
                    sends = asyncio.gather(*map(daemon.send_after, SENT_AFTER_S))
                    await daemon.signal_late(HANDLED_AFTER_S[-1])
                    await daemon.process.wait()
                    stopped_s = asyncio.get_running_loop().time() - began_at
                    ends = await sends
                assert daemon.process.returncode == 0
                assert stopped_s < GRACE_S
                assert ends[0] == 200
                assert set(ends[2:]) == {503}

        asyncio.run(asyncio.wait_for(work(), PATIENCE_S))

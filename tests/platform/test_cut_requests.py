"""End-to-end tests of the log lines of requests that a process cuts."""

import asyncio
import signal
import time
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

from tornado.httpclient import AsyncHTTPClient

from fescuekeel.helpers.trace import parse_line
from standins.fleet import free_addresses
from standins.forwarding.caller import make_headers
from standins.forwarding.daemons import (
    DaemonAddresses,
    DaemonSpec,
    start_daemon,
    wait_until_ready,
)
from standins.forwarding.platform import ENGINES, MODEL, StandInPlatform
from standins.forwarding.raw_caller import call_raw
from tests.common import eventually
from tests.platform.test_path import run

SHUTDOWN_S = 1.0
PHASES = ("accept", "drain", "cancel", "close")
STOP_TIMEOUT_S = 10.0


@dataclass
class Daemon:
    platform: StandInPlatform
    addresses: DaemonAddresses
    process: asyncio.subprocess.Process
    log: Path

    def read_lines(self, event=""):
        """Return the log lines, or those of one event."""
        texts = self.log.read_text("utf-8").splitlines()
        lines = [parse_line("log", number, text) for number, text in enumerate(texts)]
        return [line for line in lines if event in ("", line.event)]

    def begin_stream(self, path, id):
        headers = [
            *make_headers(id, 20.0),
            ("Fescuekeel-Model", MODEL),
            ("Fescuekeel-Token-Count", "500,20"),
        ]
        work = call_raw(self.addresses.callers, "POST", path, headers, b"body")
        return asyncio.ensure_future(work)

    async def wait_until_running(self, count):
        """Wait until so many streams run, and some events have come."""
        engines = self.platform.list_workers(ENGINES)
        await eventually(lambda: sum(item.running for item in engines) >= count)
        await asyncio.sleep(0.2)

    async def stop(self):
        """Send SIGTERM; return the seconds until the process has ended."""
        began_at = time.monotonic()
        self.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(STOP_TIMEOUT_S):
            await self.process.wait()
        return time.monotonic() - began_at


@asynccontextmanager
async def start_world(folder, shutdown_s=SHUTDOWN_S):
    """Start a platform whose streams have no end, and a daemon."""
    platform = StandInPlatform()
    platform.start()
    for worker in platform.list_workers(ENGINES):
        worker.events, worker.event_s = 1000, 0.01
    addresses = DaemonAddresses(*free_addresses(4))
    store = platform.store_server.address
    spec = DaemonSpec(
        "i1", "a", addresses, addresses.peers, (), store, shutdown_s=shutdown_s
    )
    process = await start_daemon(spec, folder)
    try:
        client = AsyncHTTPClient(force_instance=True)
        assert await wait_until_ready(client, addresses.ready)
        yield Daemon(platform, addresses, process, folder / "i1.log")
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
        await platform.stop()


class TestStoppedDaemon:
    def test_each_cut_request_has_a_line(self, tmp_path):
        # Guards against streams that a stop cuts and no line names.
        async def work():
            async with start_world(tmp_path) as daemon:
                calls = [
                    daemon.begin_stream("/script/1", "01"),
                    daemon.begin_stream("/explain/1", "02"),
                ]
                await daemon.wait_until_running(2)
                await daemon.stop()
                answers = await asyncio.gather(*calls)
                assert [answer.status for answer in answers] == [200, 200]
                assert not any(answer.complete for answer in answers)
                cut = {
                    line.fields["request_id"]: line.fields
                    for line in daemon.read_lines("request_cut")
                }
                assert cut.keys() == {"01", "02"}
                assert cut["01"]["resumable"] == "False"
                assert cut["02"]["resumable"] == "True"
                assert cut["02"]["last_event"]
                for fields in cut.values():
                    assert fields["outcome"] == "answer_cut"
                    assert fields["reason"] == "shutdown"
                    assert fields["sends"] == "1"
                    assert int(fields["chunks"]) > 0
                    assert int(fields["since_signal_ms"]) >= SHUTDOWN_S * 1000
                    assert fields["endpoint"]

        run(work)

    def test_stop_has_a_line_for_its_begin_its_end_and_each_component(self, tmp_path):
        # Guards against a stop of which nobody can tell what took its time.
        async def work():
            async with start_world(tmp_path) as daemon:
                call = daemon.begin_stream("/script/1", "01")
                await daemon.wait_until_running(1)
                took_s = await daemon.stop()
                await call
                (began,) = daemon.read_lines("shutdown_began")
                (ended,) = daemon.read_lines("shutdown_ended")
                assert began.fields["requests"] == "1"
                assert began.fields["grace_ms"] == f"{SHUTDOWN_S * 1000:.0f}"
                assert ended.fields["cut"] == "1"
                assert ended.fields["outcome"] == "cut"
                phases_ms = sum(int(ended.fields[f"{phase}_ms"]) for phase in PHASES)
                assert SHUTDOWN_S * 1000 <= phases_ms <= took_s * 1000
                started = [
                    line.fields["domain"]
                    for line in daemon.read_lines("component_started")
                ]
                stopped = [
                    line.fields["domain"]
                    for line in daemon.read_lines("component_stopped")
                ]
                assert stopped == started[::-1]
                (end,) = daemon.read_lines("instance_stopped")
                assert phases_ms <= int(end.fields["took_ms"]) <= took_s * 1000

        run(work)


class TestKilledDaemon:
    def test_lines_of_cut_requests_precede_their_cut(self, tmp_path):
        # Guards against SIGKILL between the cut of a request and its line.
        async def work():
            async with start_world(tmp_path) as daemon:
                calls = [daemon.begin_stream("/script/1", f"0{n}") for n in range(4)]
                await daemon.wait_until_running(4)
                daemon.process.send_signal(signal.SIGTERM)
                await asyncio.wait(calls, return_when=asyncio.FIRST_COMPLETED)
                daemon.process.kill()
                await daemon.process.wait()
                await asyncio.gather(*calls)
                cut = daemon.read_lines("request_cut")
                assert len({line.fields["request_id"] for line in cut}) == 4

        run(work)

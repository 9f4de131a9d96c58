"""End-to-end tests of callers that use HTTP/1.0."""

import asyncio

from tornado.httpclient import AsyncHTTPClient

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
from tests.platform.test_broken_answers import set_answers
from tests.platform.test_path import run, start_world


def make_stream_headers(id):
    return [
        *make_headers(id, 20.0),
        ("Fescuekeel-Model", MODEL),
        ("Fescuekeel-Token-Count", "500,20"),
    ]


class TestKeepAlive:
    # Guards against a stream whose end a caller of HTTP/1.0 never sees, as its
    # connection is kept open.
    def test_answer_without_a_length_ends_the_connection(self):
        async def work():
            async with start_world(1) as world:
                set_answers(world, None, b"\n")
                forward = world.instances[0].components_by_domain["forward"]
                for path in ("/script/1", "/explain/1"):
                    headers = [*make_stream_headers("01"), ("Connection", "keep-alive")]
                    answer = await call_raw(
                        forward.server.address, "GET", path, headers, version="1.0"
                    )
                    assert answer.headers["connection"].lower() == "close"
                    assert answer.complete
                    assert answer.body.count(b"data: piece") == 6

        run(work)


class TestKilledDaemon:
    # Guards against a stream that looks complete to a caller of HTTP/1.0 since
    # the process that served it was killed.
    def test_stream_does_not_look_complete(self, tmp_path):
        async def work():
            platform = StandInPlatform()
            platform.start()
            for worker in platform.list_workers(ENGINES):
                worker.events, worker.event_s = 1000, 0.01
            addresses = DaemonAddresses(*free_addresses(4))
            store = platform.store_server.address
            spec = DaemonSpec("i1", "a", addresses, addresses.peers, (), store)
            daemon = await start_daemon(spec, tmp_path)
            try:
                client = AsyncHTTPClient(force_instance=True)
                assert await wait_until_ready(client, addresses.ready)
                call = asyncio.ensure_future(
                    call_raw(
                        addresses.callers,
                        "POST",
                        "/script/1",
                        make_stream_headers("01"),
                        b"body",
                        "1.0",
                    )
                )
                engines = platform.list_workers(ENGINES)
                await eventually(lambda: any(worker.running for worker in engines))
                await asyncio.sleep(0.2)
                daemon.kill()
                answer = await call
                assert answer.status == 200
                assert b"data: piece" in answer.body
                assert not answer.complete
            finally:
                if daemon.returncode is None:
                    daemon.kill()
                await daemon.wait()
                await platform.stop()

        run(work)

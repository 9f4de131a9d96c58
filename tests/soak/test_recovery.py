"""Tests of the requests that a soak sends after its faults."""

import asyncio

from bench.soak.command import request_until_status
from standins.forwarding.workers import Worker

CUT_ANSWER = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\npiece 1\n\r\n"


class TestRecovery:
    def test_cut_answer_fails_the_check(self):
        """Guards against a soak that ends without logs at a cut answer."""

        async def cut(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(CUT_ANSWER)
            await writer.drain()
            writer.close()

        async def run():
            server = await asyncio.start_server(cut, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            async with server:
                return await request_until_status(
                    f"{host}:{port}", "/healed/a1", "POST", "a1", 200
                )

        assert asyncio.run(run()) == 0

    def test_errors_of_faults_do_not_outlast_them(self):
        """Guards against blaming a daemon for an answer that a fault cuts."""
        worker = Worker("s")
        worker.control({"cut": 2, "shed": 1})
        assert worker.consume_fault("cut")
        assert worker.withdraw_faults() == 2
        assert not worker.consume_fault("cut")
        assert not worker.consume_fault("shed")

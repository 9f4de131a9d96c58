"""Tests of the HTTP server for callers."""

import asyncio

from tornado.httputil import HTTPHeaders, ResponseStartLine

from fescuekeel.components.forward.const import (
    MAX_BODIES_BYTES,
    MAX_BODY_BYTES,
    SMALL_BODY_BYTES,
)
from fescuekeel.components.forward.server import CallersServer
from tests.common import eventually

HEAD = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
OK = ResponseStartLine("HTTP/1.1", 200, "OK")
SMALL = b"small"
CALLERS = MAX_BODIES_BYTES // MAX_BODY_BYTES + 4


class OpenGate:
    """Admit all connections."""

    def admits(self):
        return True


def answer(connection, line, headers, body):
    connection.write_headers(OK, HTTPHeaders({"Content-Length": "0"}))
    connection.finish()


def hold(connection, line, headers, body):
    """Leave a request without an answer."""


async def send(server, declared, body):
    host, port = server.address.split(":")
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(HEAD % declared + body)
    await writer.drain()
    return reader, writer


async def wait_for_bodies(server, is_right):
    """Wait until the bytes that are counted are right."""
    await eventually(lambda: is_right(server.bodies.total_bytes))


async def read_head(reader):
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5.0)
    return head.split(b" ")[1], head


async def send_half_bodies(server):
    """Send bodies without their last byte, of more callers than are kept."""
    half = b"x" * (MAX_BODY_BYTES - 1)
    return [await send(server, MAX_BODY_BYTES, half) for _ in range(CALLERS)]


def run(work, accept=answer):
    async def serve():
        server = CallersServer(accept, "127.0.0.1:0", OpenGate())
        server.start()
        try:
            await work(server)
        finally:
            await server.stop()

    asyncio.run(asyncio.wait_for(serve(), 20))


class TestBodiesWithoutEnd:
    # Guards against callers that send bodies without their ends until the
    # instance has no memory left.
    def test_the_bytes_of_all_together_are_bounded(self):
        async def work(server):
            callers = await send_half_bodies(server)
            answers = []
            for reader, writer in callers:
                writer.write(b"x")
                answers.append(await read_head(reader))
            statuses = [status for status, _ in answers]
            assert set(statuses) == {b"200", b"503"}
            assert 1 <= statuses.count(b"503") <= 5
            refused = next(head for status, head in answers if status == b"503")
            assert b"Retry-After" in refused
            for _, writer in callers:
                writer.close()

        run(work)

    # Guards against requests of others that are refused meanwhile.
    def test_small_requests_are_served_meanwhile(self):
        async def work(server):
            callers = await send_half_bodies(server)
            reader, writer = await send(server, len(SMALL), SMALL)
            assert (await read_head(reader))[0] == b"200"
            writer.close()
            for _, other in callers:
                other.close()

        run(work)

    # Guards against bodies that count for ever, after which all are refused.
    def test_bodies_count_until_their_connections_close(self):
        async def work(server):
            for _, writer in await send_half_bodies(server):
                writer.close()
            await wait_for_bodies(server, lambda counted: counted == 0)
            body = b"x" * MAX_BODY_BYTES
            reader, writer = await send(server, MAX_BODY_BYTES, body)
            assert (await read_head(reader))[0] == b"200"
            writer.close()

        run(work)

    # Guards against bodies that are read, held by their requests, and no
    # longer counted.
    def test_bodies_count_while_their_requests_are_served(self):
        async def work(server):
            body = b"x" * MAX_BODY_BYTES
            _, writer = await send(server, MAX_BODY_BYTES, body)
            whole = MAX_BODY_BYTES - SMALL_BODY_BYTES
            await wait_for_bodies(server, lambda counted: counted == whole)
            await asyncio.sleep(0.05)
            assert server.bodies.total_bytes == whole
            writer.close()

        run(work, hold)

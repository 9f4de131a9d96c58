"""Tests of the HTTP server for callers."""

import asyncio

from tornado.httputil import HTTPHeaders, ResponseStartLine

from fescuekeel.components.forward.const import MAX_BODY_BYTES
from fescuekeel.components.forward.server import CallersServer
from fescuekeel.helpers.client_ledger import CONNECTION_BYTES, ClientPhase
from tests.common import eventually, make_resources

HEAD = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
OK = ResponseStartLine("HTTP/1.1", 200, "OK")
SMALL = b"small"
# The memory of clients holds so many of the largest bodies, with their copies.
KEPT = 4
CALLERS = KEPT + 4
CLIENT_MB = KEPT * 2 * MAX_BODY_BYTES / 1024**2 + 1
MEMORY = {"memory_mb": 4 * CLIENT_MB, "client_memory_share": 0.25}


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


def is_closed(reader):
    return reader.at_eof() or reader.exception() is not None


def count_closed(callers):
    return sum(is_closed(reader) for reader, _ in callers)


def count_served(resources):
    phases = [client.phase for client in resources.ledger.clients]
    return phases.count(ClientPhase.SERVING)


async def read_head(reader):
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5.0)
    return head.split(b" ")[1], head


async def send_half_bodies(server):
    """Send bodies without their last byte, of more callers than are kept."""
    half = b"x" * (MAX_BODY_BYTES - 1)
    return [await send(server, MAX_BODY_BYTES, half) for _ in range(CALLERS)]


def run(work, accept=answer):
    async def serve():
        resources = make_resources(**MEMORY)
        server = CallersServer(accept, "127.0.0.1:0", OpenGate(), resources)
        server.start()
        try:
            await work(server, resources)
        finally:
            await server.stop()

    asyncio.run(asyncio.wait_for(serve(), 20))


class TestBodiesWithoutEnd:
    # Guards against callers that send bodies without their ends until the
    # instance has no memory left.
    def test_the_bytes_of_all_together_are_bounded(self):
        async def work(server, resources):
            callers = await send_half_bodies(server)
            await eventually(lambda: count_closed(callers) >= CALLERS - KEPT)
            assert resources.ledger.total_bytes <= resources.ledger.limits.max_bytes
            answers = []
            for reader, writer in callers:
                if not is_closed(reader):
                    writer.write(b"x")
                    answers.append(await read_head(reader))
                writer.close()
            # Those that came last are kept, and complete.
            assert [status for status, _ in answers] == [b"200"] * len(answers)
            assert len(answers) >= KEPT - 1

        run(work)

    # Guards against requests of others that are refused meanwhile.
    def test_small_requests_are_served_meanwhile(self):
        async def work(server, resources):
            callers = await send_half_bodies(server)
            reader, writer = await send(server, len(SMALL), SMALL)
            assert (await read_head(reader))[0] == b"200"
            writer.close()
            for _, other in callers:
                other.close()

        run(work)

    # Guards against bodies that count for ever, after which all are refused.
    def test_bodies_count_until_their_connections_close(self):
        async def work(server, resources):
            for _, writer in await send_half_bodies(server):
                writer.close()
            await eventually(lambda: resources.ledger.total_bytes == 0)
            assert not resources.ledger.clients
            body = b"x" * MAX_BODY_BYTES
            reader, writer = await send(server, MAX_BODY_BYTES, body)
            assert (await read_head(reader))[0] == b"200"
            writer.close()

        run(work)

    # Guards against bodies that are read, held by their requests, and no
    # longer counted.
    def test_bodies_count_while_their_requests_are_served(self):
        async def work(server, resources):
            body = b"x" * MAX_BODY_BYTES
            _, writer = await send(server, MAX_BODY_BYTES, body)
            whole = CONNECTION_BYTES + 2 * MAX_BODY_BYTES
            await eventually(lambda: resources.ledger.total_bytes == whole)
            await asyncio.sleep(0.05)
            assert resources.ledger.total_bytes == whole
            writer.close()

        run(work, hold)

    # Guards against whole bodies that are held by their requests until the
    # instance has no memory left, and against a refusal without Retry-After.
    def test_a_body_without_room_is_refused_at_its_end(self):
        async def work(server, resources):
            body = b"x" * MAX_BODY_BYTES
            callers = [await send(server, MAX_BODY_BYTES, body) for _ in range(KEPT)]
            await eventually(lambda: count_served(resources) == KEPT)
            reader, writer = await send(server, MAX_BODY_BYTES, body)
            status, head = await read_head(reader)
            assert status == b"503"
            assert b"Retry-After" in head
            for _, other in (*callers, (reader, writer)):
                other.close()

        run(work, hold)

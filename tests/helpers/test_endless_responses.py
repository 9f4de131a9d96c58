"""Tests of responses whose bytes do not end until the caller closes."""

import asyncio
import contextlib
import time

import pytest

from fescuekeel.helpers.http_connection import (
    MAX_HEAD_BYTES,
    MAX_HEAD_LINES,
    MAX_INTERIM_RESPONSES,
    MAX_UNPARSED_BYTES,
    Connection,
    IncompleteResponseError,
    connect,
    fetch,
)
from fescuekeel.helpers.loop_turns import MIN_WORK_BYTES, TURN_BYTES

MAX_PARTS_PER_ITERATION = TURN_BYTES // MIN_WORK_BYTES
HEADERS = (("Host", "h"),)
MAX_BYTES = 64 * 1024
TIMEOUT_S = 2.0
# The kernel's buffers on both sides take some of what the server has sent.
MAX_SENT_BYTES = 8 * 1024 * 1024
KILOBYTE = b"x" * 1024

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
UNFRAMED = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
ENDLESS = {
    "body in chunks": (CHUNKED, b"400\r\n" + KILOBYTE + b"\r\n"),
    "body until the end": (UNFRAMED, KILOBYTE),
    "one header line": (b"HTTP/1.1 200 OK\r\nName: ", KILOBYTE),
    "header lines": (b"HTTP/1.1 200 OK\r\n", b"Name: value\r\n" * 64),
    "chunk size": (CHUNKED, b"0" * 1024),
    "trailer": (CHUNKED + b"0\r\n", b"Name: value\r\n" * 64),
    "no HTTP at all": (b"", KILOBYTE),
    "interim responses": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 32),
}


class EndlessServer:
    """Send a beginning, and then the same bytes until the connection ends."""

    def __init__(self, beginning, repeated):
        self.beginning = beginning
        self.repeated = repeated
        self.sent_bytes = 0

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def __aexit__(self, *error):
        self.server.close()

    async def serve(self, reader, writer):
        with contextlib.suppress(ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.beginning)
            while True:
                writer.write(self.repeated)
                self.sent_bytes += len(self.repeated)
                await writer.drain()
                await asyncio.sleep(0)


@pytest.mark.parametrize("kind", ENDLESS)
class TestEndlessResponses:
    # Guards against one endpoint that takes memory and processor time of all
    # instances that call it.
    def test_it_is_given_up_long_before_the_timeout(self, kind):
        async def work():
            async with EndlessServer(*ENDLESS[kind]) as server:
                connection = await connect(server.address, 1.0)
                began_at = time.monotonic()
                with pytest.raises(IncompleteResponseError) as raised:
                    await fetch(
                        connection, "GET", "/", HEADERS, b"", TIMEOUT_S, MAX_BYTES
                    )
                assert str(raised.value) != "timeout"
                assert time.monotonic() - began_at < TIMEOUT_S / 2
                assert server.sent_bytes < MAX_SENT_BYTES
                assert not connection.usable

        asyncio.run(asyncio.wait_for(work(), 10))


class PausableTransport(asyncio.Transport):
    """A transport without a socket that records whether it is read."""

    def __init__(self):
        super().__init__()
        self.is_read = True

    def is_closing(self):
        return False

    def write(self, data):
        pass

    def get_write_buffer_size(self):
        return 0

    def pause_reading(self):
        self.is_read = False

    def resume_reading(self):
        self.is_read = True

    def abort(self):
        self.is_read = False


def begin_request():
    """Return a connection that awaits its response, and its transport."""
    connection, transport = Connection(), PausableTransport()
    connection.connection_made(transport)
    connection.send("GET", "/", HEADERS, b"")
    return connection, transport


async def count_iterations(work):
    """Return how many iterations of the event loop some work has taken."""
    task = asyncio.ensure_future(work)
    iterations = 0
    while not task.done():
        iterations += 1
        await asyncio.sleep(0)
    await asyncio.gather(task, return_exceptions=True)
    return iterations


class TestManySmallParts:
    # Guards against an endpoint whose chunks of one byte hold the event loop,
    # and with it the requests of all others, for seconds.
    def test_others_run_between_chunks(self):
        chunks = 4096

        async def work():
            connection, _ = begin_request()
            connection.data_received(CHUNKED + b"1\r\nx\r\n" * chunks)

            async def read():
                await connection.read_head()
                for _ in range(chunks):
                    await connection.read_chunk()

            iterations = await count_iterations(read())
            assert iterations >= chunks // (2 * MAX_PARTS_PER_ITERATION)

        asyncio.run(asyncio.wait_for(work(), 10))

    # Guards against many such endpoints at a time, each with a part of every
    # iteration.
    def test_many_connections_take_turns(self):
        chunks, connections = 256, 8

        async def work():
            opened = [begin_request()[0] for _ in range(connections)]

            async def read(connection):
                await connection.read_head()
                for _ in range(chunks):
                    await connection.read_chunk()

            for connection in opened:
                connection.data_received(CHUNKED + b"1\r\nx\r\n" * chunks)
            iterations = await count_iterations(asyncio.gather(*map(read, opened)))
            turns = connections * chunks // (2 * MAX_PARTS_PER_ITERATION)
            assert iterations >= turns

        asyncio.run(asyncio.wait_for(work(), 10))

    # Guards against interim responses with many fields that do the same.
    def test_others_run_between_interim_responses(self):
        async def work():
            connection, _ = begin_request()
            interim = b"HTTP/1.1 103 Early Hints\r\n" + b"a:\r\n" * 200 + b"\r\n"
            connection.data_received(interim * (MAX_INTERIM_RESPONSES + 1))
            iterations = await count_iterations(connection.read_head())
            assert iterations >= MAX_INTERIM_RESPONSES

        asyncio.run(asyncio.wait_for(work(), 10))

    # Guards against a longer way of every usual answer through the loop.
    def test_a_short_response_is_read_at_once(self):
        async def work():
            connection, _ = begin_request()
            connection.data_received(CHUNKED + b"1\r\nx\r\n" * 8 + b"0\r\n\r\n")

            async def read():
                await connection.read_head()
                while await connection.read_chunk() is not None:
                    pass

            assert await count_iterations(read()) <= 2

        asyncio.run(asyncio.wait_for(work(), 10))


FIELDS = b"a:\r\n" * (MAX_HEAD_LINES - 2)
ENOUGH_FIELDS = b"HTTP/1.1 200 OK\r\n" + FIELDS + b"\r\n"
TOO_MANY_FIELDS = b"HTTP/1.1 200 OK\r\n" + FIELDS + b"a:\r\n\r\n"
FRAMED = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n"
WHOLE_ANSWERS = {
    "final": FRAMED + b"\na\n\nb\n",
    "after an interim one": b"HTTP/1.1 103 Early\r\nb:\r\n\r\n" + FRAMED + b"\n" * 6,
    "lines that end with LF": FRAMED.replace(b"\r", b"") + b"\n\r\n\r\n\n",
}


def pass_in_pieces(connection, data, piece_bytes):
    for start in range(0, len(data), piece_bytes):
        connection.data_received(data[start : start + piece_bytes])


@pytest.mark.parametrize("piece_bytes", [1, 2, 3, 1 << 16])
class TestHeads:
    # Guards against heads of thousands of short fields, each of which holds
    # the event loop for dozens of milliseconds.
    def test_too_many_fields_are_refused(self, piece_bytes):
        async def work():
            connection, _ = begin_request()
            pass_in_pieces(connection, TOO_MANY_FIELDS, piece_bytes)
            with pytest.raises(IncompleteResponseError, match="too many lines"):
                await connection.read_head()

        asyncio.run(asyncio.wait_for(work(), 10))

    # Guards against lines of the body that count as lines of the head.
    def test_lines_of_the_body_do_not_count(self, piece_bytes):
        async def work():
            connection, _ = begin_request()
            lines = b"\n" * MAX_HEAD_LINES
            pass_in_pieces(connection, ENOUGH_FIELDS + lines, piece_bytes)
            head = await connection.read_head()
            assert len(head.headers) == MAX_HEAD_LINES - 2
            body = b""
            while len(body) < len(lines):
                body += (await connection.read_chunk()).data
            assert body == lines

        asyncio.run(asyncio.wait_for(work(), 10))

    @pytest.mark.parametrize("kind", WHOLE_ANSWERS)
    def test_answers_are_read_whole(self, piece_bytes, kind):
        async def work():
            connection, _ = begin_request()
            pass_in_pieces(connection, WHOLE_ANSWERS[kind], piece_bytes)
            head = await connection.read_head()
            body = b""
            while (chunk := await connection.read_chunk()) is not None:
                body += chunk.data
            assert (head.status, body) == (200, WHOLE_ANSWERS[kind][-6:])
            assert connection.finish()

        asyncio.run(asyncio.wait_for(work(), 10))


class TestBackPressure:
    # Guards against an endpoint whose bytes are all kept while a slow caller
    # lets nothing be read.
    def test_the_socket_is_not_read_while_nobody_reads(self):
        async def work():
            connection, transport = begin_request()
            connection.data_received(CHUNKED)
            await connection.read_head()
            received = 0
            while transport.is_read:
                connection.data_received(b"400\r\n" + KILOBYTE + b"\r\n")
                received += 1024
                assert received <= 2 * MAX_UNPARSED_BYTES
            await connection.read_chunk()
            assert transport.is_read

        asyncio.run(asyncio.wait_for(work(), 10))


class TestInterimResponses:
    def test_a_few_are_passed_over(self):
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 103 Early Hints\r\n\r\n" * 3)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

        async def work():
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            connection = await connect(f"127.0.0.1:{port}", 1.0)
            answer = await fetch(
                connection, "GET", "/", HEADERS, b"", TIMEOUT_S, MAX_HEAD_BYTES
            )
            assert (answer.status, answer.body) == (200, b"ok")
            server.close()

        asyncio.run(asyncio.wait_for(work(), 10))

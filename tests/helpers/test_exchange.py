"""Tests of the HTTP connections, against servers that misbehave."""

import asyncio
import contextlib
import socket
import struct

import pytest

from fescuekeel.helpers.exchange import (
    AnswerBrokenError,
    ConnectionPool,
    NotConnectedError,
    connect,
    fetch,
)

HEADERS = (("Host", "h"),)
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Server:
    """Answer each request on a connection with the next piece of a script.

    A piece is bytes, or one of the words ``close`` and ``reset``.
    """

    def __init__(self, *script):
        self.script = list(script)
        self.requests = []

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def __aexit__(self, *error):
        self.server.close()

    async def serve(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while self.script:
                self.requests.append(await reader.readuntil(b"\r\n\r\n"))
                for piece in self.script.pop(0):
                    if piece == "reset":
                        linger = struct.pack("ii", 1, 0)
                        raw = writer.get_extra_info("socket")
                        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                    if piece in ("reset", "close"):
                        writer.close()
                        return
                    writer.write(piece)
                    await writer.drain()
                    await asyncio.sleep(0.02)


async def get(connection, timeout_s=1.0):
    return await fetch(connection, "GET", "/", HEADERS, b"", timeout_s)


def run(work):
    return asyncio.run(asyncio.wait_for(work, 5.0))


class TestWholeAnswers:
    def test_connection_is_used_again(self):
        async def work():
            async with Server([WHOLE], [WHOLE]) as server:
                connection = await connect(server.address, 1.0)
                first = await get(connection)
                second = await get(connection)
                assert (first.body, second.body) == (b"ok", b"ok")
                assert len(server.requests) == 2

        run(work())

    def test_answer_without_length_ends_with_its_connection(self):
        async def work():
            async with Server([b"HTTP/1.1 200 OK\r\n\r\nok", "close"]) as server:
                connection = await connect(server.address, 1.0)
                assert (await get(connection)).body == b"ok"
                assert not connection.usable

        run(work())


class TestBrokenAnswers:
    @pytest.mark.parametrize(
        "script",
        [
            [b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", "close"],
            [b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", "reset"],
            [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok", "close"],
            [b"HTTP/1.1 200 OK\r\n\r\nok", "reset"],
            [b"nonsense\r\n\r\n", "close"],
            ["close"],
            ["reset"],
        ],
    )
    def test_answer_that_ends_early_is_not_whole(self, script):
        """A caller took the first half of an answer for the whole one.

        The endpoint broke off; without a length the end of the connection
        looks like the end of the answer, unless it was a reset.
        """

        async def work():
            async with Server(script) as server:
                connection = await connect(server.address, 1.0)
                with pytest.raises(AnswerBrokenError):
                    await get(connection)

        run(work())

    def test_silence_ends_with_the_deadline(self):
        async def work():
            async with Server([b""], [b""]) as server:
                connection = await connect(server.address, 1.0)
                with pytest.raises(AnswerBrokenError, match="timeout"):
                    await get(connection, timeout_s=0.1)
                assert not connection.usable

        run(work())


class TestForeignBytes:
    def test_second_answer_is_nobodys(self):
        """A caller got the answer of another request.

        An endpoint sent one answer twice; the second copy was read as the
        answer to the next request on that connection.
        """

        async def work():
            async with Server([WHOLE + WHOLE]) as server:
                connection = await connect(server.address, 1.0)
                await get(connection)
                assert not connection.usable

        run(work())

    def test_late_second_answer_is_nobodys(self):
        async def work():
            async with Server([WHOLE, WHOLE]) as server:
                connection = await connect(server.address, 1.0)
                await get(connection)
                await asyncio.sleep(0.1)
                assert not connection.usable

        run(work())


class TestNothingSent:
    def test_refused_connection_says_so(self):
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{taken.getsockname()[1]}"
        with pytest.raises(NotConnectedError):
            run(connect(address, 1.0))

    def test_connection_that_closed_while_idle_is_not_taken(self):
        """A request that may not run twice ended with an unknown outcome.

        It went out on a kept connection that the endpoint had closed.
        """

        async def work():
            async with Server([WHOLE, "close"]) as server:
                pool = ConnectionPool(server.address)
                connection = await pool.open(1.0)
                await get(connection)
                pool.give_back(connection, until=1000.0)
                await asyncio.sleep(0.1)
                assert pool.take(now=0.0) is None

        run(work())

    def test_connection_is_not_kept_for_too_long(self):
        async def work():
            async with Server([WHOLE], [WHOLE]) as server:
                pool = ConnectionPool(server.address)
                connection = await pool.open(1.0)
                await get(connection)
                pool.give_back(connection, until=10.0)
                assert pool.take(now=10.0) is None
                assert not connection.usable

        run(work())


class TestClose:
    def test_what_was_not_delivered_is_dropped(self):
        """An engine was ordered to hold more than it has places for.

        An order was given up behind a cut, and its endpoint passed to another
        holder. When the cut healed, the kernel delivered the old order, which
        the new holder's count did not have.
        """

        async def work():
            ended = asyncio.get_running_loop().create_future()

            async def serve(reader, writer):
                await reader.readuntil(b"\r\n\r\n")
                try:
                    ended.set_result(await reader.read())
                except ConnectionResetError:
                    ended.set_result("reset")

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            connection = await connect(f"127.0.0.1:{port}", 1.0)
            connection.send("GET", "/", HEADERS, b"")
            await asyncio.sleep(0.05)
            connection.close()
            assert await ended == "reset"
            server.close()

        run(work())

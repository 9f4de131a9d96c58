"""Tests of HTTP connections to faulty servers."""

import asyncio
import contextlib
import socket
import struct
import time

import pytest

from fescuekeel.helpers.correlation import Correlation
from fescuekeel.helpers.http_connection import (
    ConnectionPool,
    IncompleteResponseError,
    NotConnectedError,
    connect,
    fetch,
)

HEADERS = (("Host", "h"),)
OK_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Server:
    """Answer each request on a connection with the next step of a script.

    A step is a list of actions: bytes to send, ``close`` or ``reset``.
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
                for action in self.script.pop(0):
                    if action == "reset":
                        linger = struct.pack("ii", 1, 0)
                        raw = writer.get_extra_info("socket")
                        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                    if action in ("reset", "close"):
                        writer.close()
                        return
                    writer.write(action)
                    await writer.drain()
                    await asyncio.sleep(0.02)


async def get(connection, timeout_s=1.0):
    return await fetch(connection, "GET", "/", HEADERS, b"", timeout_s, 65536)


def make_response(id, status=200, body=b"ok", framing=None):
    framing = f"Content-Length: {len(body)}\r\n" if framing is None else framing
    named = f"Request-Id: {id}\r\n" if id else ""
    head = f"HTTP/1.1 {status} Any\r\n{named}{framing}\r\n"
    return head.encode() + body


async def get_own(connection, id, method="GET", timeout_s=1.5):
    correlation = Correlation("request-id", id)
    return await fetch(
        connection, method, "/", HEADERS, b"", timeout_s, 65536, correlation
    )


def run(work):
    return asyncio.run(asyncio.wait_for(work, 5.0))


class TestCompleteResponses:
    def test_connection_is_reused(self):
        async def work():
            async with Server([OK_RESPONSE], [OK_RESPONSE]) as server:
                connection = await connect(server.address, 1.0)
                first = await get(connection)
                second = await get(connection)
                assert (first.body, second.body) == (b"ok", b"ok")
                assert len(server.requests) == 2

        run(work())

    def test_response_without_length_ends_with_its_connection(self):
        async def work():
            async with Server([b"HTTP/1.1 200 OK\r\n\r\nok", "close"]) as server:
                connection = await connect(server.address, 1.0)
                assert (await get(connection)).body == b"ok"
                assert not connection.usable

        run(work())


class TestIncompleteResponses:
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
    def test_truncated_response_is_an_error(self, script):
        """A truncated response must not be taken for a complete one."""

        async def work():
            async with Server(script) as server:
                connection = await connect(server.address, 1.0)
                with pytest.raises(IncompleteResponseError):
                    await get(connection)

        run(work())

    def test_missing_response_times_out(self):
        async def work():
            async with Server([b""], [b""]) as server:
                connection = await connect(server.address, 1.0)
                with pytest.raises(IncompleteResponseError, match="timeout"):
                    await get(connection, timeout_s=0.1)
                assert not connection.usable

        run(work())


class TestUnexpectedData:
    def test_duplicated_response_closes_the_connection(self):
        """It must not be taken for the response to the next request."""

        async def work():
            async with Server([OK_RESPONSE + OK_RESPONSE]) as server:
                connection = await connect(server.address, 1.0)
                await get(connection)
                assert not connection.usable

        run(work())

    def test_late_duplicated_response_closes_the_connection(self):
        async def work():
            async with Server([OK_RESPONSE, OK_RESPONSE]) as server:
                connection = await connect(server.address, 1.0)
                await get(connection)
                await asyncio.sleep(0.1)
                assert not connection.usable

        run(work())


class TestResponsesToOtherRequests:
    # Guards against a response to an earlier request that is taken for the
    # response to a later one.
    @pytest.mark.parametrize("id", ["r1", "r0", ""])
    @pytest.mark.parametrize("number", [1, 2, 4])
    def test_are_read_past(self, id, number):
        async def work():
            copies = [make_response(id, 503, b"full")] * number
            second = [*copies, make_response("r2", body=b"own")]
            async with Server([make_response("r1")], second) as server:
                connection = await connect(server.address, 1.0)
                assert (await get_own(connection, "r1")).status == 200
                own = await get_own(connection, "r2")
                assert (own.status, own.body) == (200, b"own")
                assert not connection.usable

        run(work())

    # Guards against a parser that waits on although the own response came
    # together with the one before it.
    def test_may_come_in_one_piece_with_the_own_one(self):
        async def work():
            both = make_response("r0", 503) + make_response("r2", body=b"own")
            async with Server([make_response("r1")], [both]) as server:
                connection = await connect(server.address, 1.0)
                await get_own(connection, "r1")
                assert (await get_own(connection, "r2")).body == b"own"

        run(work())

    @pytest.mark.parametrize(
        "second",
        [
            [make_response("r0", framing=""), "close"],
            [make_response("r0"), "close"],
            [make_response("r0")] * 6,
            [make_response("r0", framing="Connection: close\r\nContent-Length: 2\r\n")],
            [make_response("r0", body=b"o" * 2_000_000), make_response("r2")],
        ],
    )
    def test_are_never_taken_for_the_own_one(self, second):
        async def work():
            async with Server([make_response("r1")], second) as server:
                connection = await connect(server.address, 1.0)
                await get_own(connection, "r1")
                with pytest.raises(IncompleteResponseError):
                    await get_own(connection, "r2")

        run(work())

    # Guards against a body that a HEAD request's response declares but does
    # not have, and that would be cut out of the own response.
    def test_are_not_read_past_after_a_head_request(self):
        async def work():
            async with Server([make_response("r0")]) as server:
                connection = await connect(server.address, 1.0)
                with pytest.raises(IncompleteResponseError, match="another"):
                    await get_own(connection, "r1", "HEAD")

        run(work())


class TestResponsesWithoutAnId:
    # Guards against an endpoint that repeats no ids and could serve nothing.
    def test_first_on_a_connection_is_the_own_one(self):
        async def work():
            async with Server([make_response("", body=b"own")]) as server:
                connection = await connect(server.address, 1.0)
                assert (await get_own(connection, "r1")).body == b"own"
                assert not connection.repeats_ids

        run(work())

    # Guards against a caller that waits until its deadline for a response
    # that has come, but cannot be told apart from a copy.
    def test_later_one_ends_the_wait_soon(self):
        async def work():
            script = [make_response("r1")], [make_response("", body=b"own")]
            async with Server(*script) as server:
                connection = await connect(server.address, 1.0)
                await get_own(connection, "r1")
                with pytest.raises(IncompleteResponseError, match="no id"):
                    await get_own(connection, "r2", timeout_s=4.0)

        run(work())


class TestExcludedConnections:
    # Guards against two sends of one request on a connection, whose answers
    # nothing tells apart.
    def test_are_left_for_others(self):
        async def work():
            async with Server([OK_RESPONSE], [OK_RESPONSE]) as server:
                pool = ConnectionPool(server.address)
                connections = [await connect(server.address, 1.0) for _ in range(2)]
                for connection in connections:
                    await get(connection)
                    pool.release(connection, now=0.0, until=10.0)
                first, last = connections

                def may_use(connection):
                    return connection is not last

                assert pool.take(1.0, may_use=may_use) is first
                assert pool.take(1.0, may_use=may_use) is None
                assert pool.take(now=1.0) is last

        run(work())


class TestNothingSent:
    def test_refused_connection_raises_not_connected(self):
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{taken.getsockname()[1]}"
        with pytest.raises(NotConnectedError):
            run(connect(address, 1.0))

    def test_connection_closed_while_idle_is_not_reused(self):
        """The outcome of a request sent on it would be unknown."""

        async def work():
            async with Server([OK_RESPONSE, "close"]) as server:
                pool = ConnectionPool(server.address)
                connection = await connect(server.address, 1.0)
                await get(connection)
                pool.release(connection, now=0.0, until=1000.0)
                await asyncio.sleep(0.1)
                assert pool.take(now=0.0) is None

        run(work())

    def test_expired_connection_is_closed(self):
        async def work():
            async with Server([OK_RESPONSE], [OK_RESPONSE]) as server:
                pool = ConnectionPool(server.address)
                connection = await connect(server.address, 1.0)
                await get(connection)
                pool.release(connection, now=0.0, until=10.0)
                assert pool.take(now=10.0) is None
                assert not connection.usable

        run(work())


class TestLateLoop:
    # Guards against an endpoint that is taken for unreachable because this
    # process was too late to see that it accepted.
    def test_an_accepted_connection_is_used(self):
        async def work():
            async with Server() as server:
                connecting = asyncio.ensure_future(connect(server.address, 0.1))
                await asyncio.sleep(0)
                asyncio.get_running_loop().call_soon(time.sleep, 0.3)
                connection = await connecting
                assert connection.usable
                connection.close()

        asyncio.run(work())

    def test_a_host_that_does_not_answer_times_out(self):
        async def work():
            with socket.socket() as full:
                full.bind(("127.0.0.1", 0))
                full.listen(0)
                address = f"127.0.0.1:{full.getsockname()[1]}"
                queued = await connect(address, 0.1)
                with pytest.raises(NotConnectedError):
                    for _ in range(8):
                        await connect(address, 0.1)
                queued.close()

        asyncio.run(work())


class TestClose:
    def test_close_resets_the_connection(self):
        """The kernel must not deliver a cancelled order after a partition."""

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


class TestAwaitsData:
    # Guards against taking a caller that reads slowly for a silent endpoint.
    def test_is_false_while_there_is_data_to_read(self):
        async def work():
            head = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
            async with Server([head, b"ab"]) as server:
                connection = await connect(server.address, 1.0)
                connection.send("GET", "/", HEADERS, b"")
                await connection.read_head()
                await asyncio.sleep(0.1)
                assert not connection.awaits_data
                await connection.read_chunk()
                rest = asyncio.ensure_future(connection.read_chunk())
                await asyncio.sleep(0.05)
                assert connection.awaits_data
                rest.cancel()
                connection.close()

        asyncio.run(work())

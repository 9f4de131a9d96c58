"""Tests of how long received bytes hold the event loop, in each parser."""

import asyncio
import contextlib

import pytest
from hypothesis import HealthCheck, given, settings, strategies as st

from fescuekeel.components.engine.events import EventStream
from fescuekeel.components.engine.model import ReportBody, parse_body
from fescuekeel.components.forward.events import EventSplitter
from fescuekeel.helpers.endpoint_http import ConnectionLostError, EndpointClient
from fescuekeel.helpers.event_stream import EventTracker
from fescuekeel.helpers.http_connection import IncompleteResponseError
from tests.helpers.test_endless_responses import begin_request
from tests.helpers.turns import LoopMeter

# Processor time of one iteration of the event loop.
MAX_TURN_S = 0.03
# What one read of a socket brings.
READ_BYTES = 256 * 1024
STREAM = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
UNFRAMED = STREAM + b"Connection: close\r\n\r\n"
CHUNKED = STREAM + b"Transfer-Encoding: chunked\r\n\r\n"
UNITS = {
    "empty lines": b"\n",
    "empty lines by CRLF": b"\r\n",
    "empty lines by CR": b"\r",
    "comments": b":\n",
    "lines": b"a\n",
    "lines of data": b"data\n",
    "whole events": b"data: x\n\n",
    "events with an id": b"id: 1\ndata: x\n\n",
    "retry lines": b"retry: 1\n",
    "colons": b":",
    "one line": b"x",
    "engine events": b'data: {"position": 0}\n\n',
}


def repeat(unit):
    return (unit * (READ_BYTES // len(unit) + 1))[:READ_BYTES]


def make_chunks(data, chunk_bytes):
    parts = [data[at : at + chunk_bytes] for at in range(0, len(data), chunk_bytes)]
    return b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)


async def read_all(connection, follow):
    await connection.read_head()
    while (chunk := await connection.read_chunk()) is not None:
        follow(chunk.data)


async def measure_connections(received, follow, count=1):
    """Return the longest iteration while connections read what has arrived."""
    connections = [begin_request()[0] for _ in range(count)]
    for connection in connections:
        for data in received:
            connection.data_received(data)
        connection.eof_received()
        connection.connection_lost(None)
    async with LoopMeter() as meter:
        results = await asyncio.gather(
            *(read_all(connection, follow) for connection in connections),
            return_exceptions=True,
        )
    unexpected = [
        each
        for each in results
        if each is not None and not isinstance(each, IncompleteResponseError)
    ]
    assert not unexpected
    return meter.longest_s


def run(work):
    return asyncio.run(asyncio.wait_for(work, 60))


@pytest.mark.parametrize("make_tracker", [EventTracker, EventSplitter])
@pytest.mark.parametrize("unit", UNITS.values(), ids=UNITS)
class TestForwardedStreams:
    # Guards against lines without end that stop the instance for all others,
    # as each costs more to read than to send.
    def test_one_read_does_not_hold_the_loop(self, unit, make_tracker):
        received = [UNFRAMED, repeat(unit)]
        longest_s = run(measure_connections(received, make_tracker().feed))
        assert longest_s < MAX_TURN_S

    # Guards against the same in chunks, however short.
    def test_chunks_do_not_hold_the_loop(self, unit, make_tracker):
        received = [CHUNKED, make_chunks(repeat(unit)[: READ_BYTES // 8], 3)]
        longest_s = run(measure_connections(received, make_tracker().feed))
        assert longest_s < MAX_TURN_S


class TestManyStreams:
    # Guards against many such streams, each with its part of an iteration.
    @pytest.mark.parametrize("name", ["empty lines", "comments", "whole events"])
    def test_they_take_turns(self, name):
        received = [UNFRAMED, repeat(UNITS[name])]
        follow = EventTracker().feed
        assert run(measure_connections(received, follow, 24)) < MAX_TURN_S

    # Guards against a usual answer that waits for endless ones to end.
    def test_a_usual_answer_goes_before_endless_ones(self):
        usual_bytes = 100 * 1024

        async def work():
            endless = []
            for _ in range(24):
                connection, _ = begin_request()
                connection.data_received(UNFRAMED)
                for _ in range(4):
                    connection.data_received(repeat(b"\n"))
                endless.append(connection)
            tasks = [
                asyncio.ensure_future(read_all(each, EventTracker().feed))
                for each in endless
            ]
            # Each of them has read more than the usual answer has.
            for _ in range(24 * 12):
                await asyncio.sleep(0)
            usual, _ = begin_request()
            length = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % usual_bytes
            usual.data_received(length + b"x" * usual_bytes)
            iterations = 0
            reading = asyncio.ensure_future(read_all(usual, lambda data: None))
            while not reading.done():
                iterations += 1
                await asyncio.sleep(0)
            assert iterations < 40
            for task in tasks:
                task.cancel()

        run(work())


class TestTrailers:
    # Guards against a trailer of thousands of lines, which the parser reads
    # in one go.
    @pytest.mark.parametrize("ends", [False, True])
    def test_lines_are_bounded(self, ends):
        trailer = b"a:\r\n" * 15_000 + (b"\r\n" if ends else b"")
        received = [CHUNKED + b"0\r\n", trailer]
        assert run(measure_connections(received, lambda data: None)) < MAX_TURN_S


class TestDrawnBytes:
    # Guards against the next form of bytes that costs more than it should.
    @settings(
        max_examples=12,
        deadline=None,
        derandomize=True,
        suppress_health_check=[HealthCheck.too_slow],
    )
    @given(
        st.lists(
            st.sampled_from([b"\n", b"\r", b":", b"id", b"data", b"retry", b" ", b"x"]),
            min_size=1,
            max_size=6,
        ),
        st.sampled_from([UNFRAMED, CHUNKED]),
        st.integers(1, 40),
    )
    def test_no_line_form_holds_the_loop(self, words, head, chunk_bytes):
        body = repeat(b"".join(words))
        if head is CHUNKED:
            body = make_chunks(body[: READ_BYTES // 8], chunk_bytes)
        for tracker in (EventTracker(), EventSplitter()):
            longest_s = run(measure_connections([head, body], tracker.feed))
            assert longest_s < MAX_TURN_S


async def measure_client(answer, follow):
    """Return the longest iteration while the completions' client reads."""

    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            await writer.drain()
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    client = EndpointClient(f"127.0.0.1:{port}")
    async with LoopMeter() as meter:
        with contextlib.suppress(ConnectionLostError):
            await client.fetch("GET", "/", timeout_s=30.0, on_data=follow)
    client.close()
    server.close()
    return meter.longest_s


class TestCompletions:
    # Guards against the same bytes from an engine or a plain service of the
    # completions interface.
    @pytest.mark.parametrize("unit", UNITS.values(), ids=UNITS)
    def test_streams_do_not_hold_the_loop(self, unit):
        body = repeat(unit)
        assert run(measure_client(UNFRAMED + body, EventStream().feed)) < MAX_TURN_S

    @pytest.mark.parametrize("chunk_bytes", [1, 30])
    def test_small_chunks_do_not_hold_the_loop(self, chunk_bytes):
        body = make_chunks(repeat(b"\n")[: READ_BYTES // 2], chunk_bytes)
        assert run(measure_client(CHUNKED + body, EventStream().feed)) < MAX_TURN_S

    # Guards against heads of many short fields.
    @pytest.mark.parametrize("status", [b"200 OK", b"103 Early Hints"])
    def test_heads_do_not_hold_the_loop(self, status):
        head = b"HTTP/1.1 " + status + b"\r\n" + b"a:\r\n" * 15_000 + b"\r\n"
        assert run(measure_client(head * 4, EventStream().feed)) < MAX_TURN_S

    # Guards against a whole answer that counts as broken since its endpoint
    # closed while the answer waited for its turn.
    @pytest.mark.parametrize("framing", ["length", "chunks", "close"])
    def test_a_long_answer_that_ends_with_its_connection_is_whole(self, framing):
        body = b"x" * (4 * READ_BYTES)
        answer = {
            "length": b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
            + body,
            "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            + make_chunks(body, 50_000)
            + b"0\r\n\r\n",
            "close": b"HTTP/1.1 200 OK\r\n\r\n" + body,
        }[framing]

        async def work():
            async def serve(reader, writer):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(answer)
                await writer.drain()
                writer.close()

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            client = EndpointClient(f"127.0.0.1:{port}")
            received = await asyncio.gather(
                *(client.fetch("GET", "/", timeout_s=20.0) for _ in range(8))
            )
            client.close()
            server.close()
            assert all(each.body == body for each in received)

        run(work())


class TestEventsOfEngines:
    # Guards against an event without end, of which each part would be
    # searched again.
    def test_an_event_that_does_not_end_is_given_up(self):
        stream = EventStream()
        for _ in range(64):
            stream.feed(b"x" * 16 * 1024)
        assert stream.gap
        assert not stream._buffer


class TestReportsOfEngines:
    # Guards against a report of hundreds of thousands of values, which is
    # legal and decoded in one go.
    def test_values_are_bounded(self):
        names = b",".join([b'"a"'] * 100_000)
        assert parse_body(ReportBody, b'{"loaded":[' + names + b"]}") is None

"""Tests of answers whose first line is no status line, for each caller."""

import asyncio
import contextlib

import pytest
from hypothesis import example, given, settings, strategies as st

from fescuekeel.components.engine.driver import EngineDriver
from fescuekeel.components.plain.driver import PlainDriver
from fescuekeel.core import Instance
from fescuekeel.errors import Ran
from fescuekeel.helpers.driver import Call
from fescuekeel.helpers.endpoint_http import ConnectionLostError, EndpointClient
from fescuekeel.helpers.http_connection import (
    IncompleteResponseError,
    connect,
    fetch,
)
from fescuekeel.helpers.status_line import find_status_line_defect
from fescuekeel.messages import AdapterRef
from tests.common import make_settings

ODD_LINES = [
    b"HTTP/1.1 000 Unknown",
    b"HTTP/1.1 001 Unknown",
    b"HTTP/1.1 099 Unknown",
    b"HTTP/1.1 600 Unknown",
    b"HTTP/1.1 999 Unknown",
    b"HTTP/1.1 2000 Unknown",
    b"HTTP/1.1 20 Unknown",
    b"HTTP/1.1 +200 OK",
    b"HTTP/1.1 -200 OK",
    b"HTTP/1.1  200 OK",
    b"HTTP/1.1 101 Switching Protocols",
    b"HTTP/1.1 100 Continue",
    b"HTTP/2.0 200 OK",
    b"HTTP/0.9 200 OK",
    b"HTTP/11 200 OK",
    b"200 OK",
    b"",
]
FRAMINGS = {
    "length": (b"Content-Length: 4\r\n", b"body"),
    "chunks": (b"Transfer-Encoding: chunked\r\n", b"4\r\nbody\r\n0\r\n\r\n"),
    "close": (b"", b"body"),
}
DRAWN_LINES = st.builds(
    lambda version, status, reason: b" ".join([version, status, reason]),
    st.sampled_from([b"HTTP/1.1", b"HTTP/1.0", b"HTTP/2.0", b"HTTP/9.1", b"HTTP"]),
    st.one_of(
        st.integers(0, 1100).map(lambda number: b"%03d" % number),
        st.sampled_from([b"", b"20", b"2000", b"2x0", b"-200", b"0x200"]),
    ),
    st.sampled_from([b"OK", b"", b"Unknown \xff", b"a b"]),
)


def make_answer(line, framing):
    headers, body = FRAMINGS[framing]
    return line + b"\r\n" + headers + b"\r\n" + body


async def serve_each(answers, call):
    """Return what ``call`` returns of an address that sends an answer."""

    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(next(answers))
            await writer.drain()
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    try:
        return await call(f"127.0.0.1:{port}")
    finally:
        server.close()


async def call_connection(address):
    """Return the status by the client of the forwarding interface."""
    connection = await connect(address, 1.0)
    try:
        answer = await fetch(connection, "GET", "/", (("Host", "h"),), b"", 2.0, 1024)
    except IncompleteResponseError:
        return None
    return answer.status


async def call_endpoint(address):
    """Return the status by the client of the completions interface."""
    client = EndpointClient(address)
    try:
        return (await client.fetch("GET", "/", timeout_s=2.0)).code
    except ConnectionLostError:
        return None
    finally:
        client.close()


def make_call(stream):
    return Call("r1", AdapterRef("a", "1"), 0, 2.0, stream, "/x", b"{}", method="POST")


async def call_driver(driver, stream):
    received = []
    try:
        outcome = await driver.dispatch(
            make_call(stream), lambda at, data, tokens: received.append(data)
        )
    finally:
        driver.close()
    return outcome, received


async def call_plain(address):
    return await call_driver(PlainDriver(Instance(make_settings()), address), False)


async def call_engine(address, stream):
    return await call_driver(EngineDriver(Instance(make_settings()), address), stream)


def run(work):
    return asyncio.run(asyncio.wait_for(work, 20))


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("line", ODD_LINES, ids=repr)
class TestOddLines:
    # Guards against a client that gets an answer without a valid status.
    @pytest.mark.parametrize("call", [call_connection, call_endpoint])
    def test_are_broken_answers(self, line, framing, call):
        answer = make_answer(line, framing)
        assert run(serve_each(iter([answer]), call)) is None

    # Guards against such an answer that is passed on, is kept as the answer of
    # a key, or counts as one that has not run.
    def test_leave_the_outcome_of_a_plain_request_unknown(self, line, framing):
        answer = make_answer(line, framing)
        outcome, received = run(serve_each(iter([answer]), call_plain))
        assert outcome.failure is not None
        assert outcome.failure.outcome is Ran.UNKNOWN
        assert received == []


@pytest.mark.parametrize("stream", [True, False])
@pytest.mark.parametrize("line", ODD_LINES[:5], ids=repr)
class TestEngines:
    # Guards against an engine's odd answer that is read as a refusal.
    def test_leave_the_outcome_unknown(self, line, stream):
        answers = iter([make_answer(line, "length")] * 50)

        async def call(address):
            return await call_engine(address, stream)

        outcome, received = run(serve_each(answers, call))
        assert outcome.failure is not None
        assert outcome.failure.outcome is Ran.UNKNOWN
        assert received == []


class TestDrawnLines:
    # Guards against the next line that one caller takes for a status and
    # another does not.
    @settings(max_examples=150, deadline=None)
    @given(DRAWN_LINES, st.sampled_from(sorted(FRAMINGS)))
    @example(b"HTTP/1.1 200 OK", "length")
    @example(b"HTTP/1.1 599 Odd", "chunks")
    def test_all_callers_agree(self, line, framing):
        answer = make_answer(line, framing)
        by_connection = run(serve_each(iter([answer]), call_connection))
        by_client = run(serve_each(iter([answer]), call_endpoint))
        for status in (by_connection, by_client):
            assert status is None or 200 <= status <= 599
        if line.startswith(b"HTTP/1.") and line.count(b"\xff") == 0:
            assert by_connection == by_client

    @given(st.integers())
    def test_only_statuses_are_valid(self, status):
        is_valid = 100 <= status <= 599 and status != 101
        assert (find_status_line_defect("1.1", status) == "") is is_valid

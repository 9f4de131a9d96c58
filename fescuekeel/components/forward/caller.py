"""The connection to a caller during one request."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial
from http import HTTPStatus

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, RequestStartLine, ResponseStartLine
from tornado.iostream import IOStream, StreamClosedError

from fescuekeel.components.forward.const import (
    DEFAULT_RETRY_AFTER_S,
    FLUSH_POLL_S,
    MAX_FLUSH_S,
)
from fescuekeel.const import HEADER_RETRY_AFTER
from fescuekeel.errors import Failure
from fescuekeel.helpers.dialect import Header
from fescuekeel.helpers.linger import close_in_order, reset_on_close
from fescuekeel.helpers.unwritten import count_unwritten_bytes
from fescuekeel.helpers.whole_answer import Framing, find_framing

__all__ = ["CallerConnection", "CallerGoneError", "Unwritten"]

# Hop-by-hop headers of an endpoint's answer.
CONNECTION_HEADERS = frozenset(
    {"connection", "keep-alive", "proxy-connection", "transfer-encoding", "upgrade"}
)


class CallerGoneError(Exception):
    """The caller has closed its connection."""


@dataclass(frozen=True, slots=True)
class Unwritten:
    """The rest of an answer whose connection closed before it was written.

    ``error`` is empty if the connection was closed here.
    """

    bytes_left: int
    error: str


class CallerConnection:
    """Write one answer to the caller.

    ``is_last`` returns whether to close the connection afterwards.
    ``started`` is true once the head of the answer has been written.
    An answer to HTTP/1.0 may have neither a length nor chunks. Its connection
    is reset whenever it closes, until the answer is whole.
    """

    def __init__(
        self,
        connection: HTTP1Connection,
        line: RequestStartLine,
        headers: HTTPHeaders,
        is_last: Callable[[], bool],
    ) -> None:
        self.started = False
        self._connection = connection
        self._line = line
        self._request_headers = headers
        self._is_last = is_last
        self._closing = False
        self._ends_with_close = False
        self._on_unflushed: Callable[[Unwritten], None] | None = None

    def on_unflushed(self, callback: Callable[[Unwritten], None]) -> None:
        """Call back if an answer that has ended is not written completely."""
        self._on_unflushed = callback

    def on_close(self, callback: Callable[[], None]) -> None:
        """Call back if the caller closes before the answer is complete."""
        if self._connection.stream.closed():
            asyncio.get_running_loop().call_soon(callback)
        self._connection.set_close_callback(callback)

    async def begin(
        self, status: int, reason: str, headers: Sequence[Header], body: bytes = b""
    ) -> None:
        """Write the head of the answer and the first bytes of its body."""
        written = HTTPHeaders()
        for name, value in headers:
            if name.lower() not in CONNECTION_HEADERS:
                written.add(name, value)
        self._ends_with_close = self._is_ended_by_close(status, written)
        self._closing = self._is_last() or self._ends_with_close
        if self._closing:
            written["Connection"] = "close"
        if self._ends_with_close:
            # Tornado would promise to keep the connection open.
            self._request_headers["Connection"] = "close"
            reset_on_close(self._connection.stream.socket)
        self.started = True
        line = ResponseStartLine("HTTP/1.1", status, reason)
        try:
            await self._connection.write_headers(line, written, body or None)
        except StreamClosedError as error:
            raise CallerGoneError from error

    def _is_ended_by_close(self, status: int, written: HTTPHeaders) -> bool:
        if self._line.version != "HTTP/1.0":
            return False
        framing = find_framing(self._line.method, status, written)
        return framing is Framing.CLOSE

    async def write(self, data: bytes) -> None:
        """Write a part of the body."""
        try:
            await self._connection.write(data)
        except StreamClosedError as error:
            raise CallerGoneError from error

    async def finish(self) -> None:
        """Complete the answer."""
        stream = self._connection.stream
        if self._ends_with_close:
            close_in_order(stream.socket)
        self._connection.finish()
        self._watch_flush(stream)
        if self._closing:
            await self._close_when_flushed(stream)

    def _watch_flush(self, stream: IOStream) -> None:
        """Report if the connection closes before all is written."""
        if self._on_unflushed is None or stream.closed() or not stream.writing():
            return
        # An empty write ends with those before it.
        flushed = stream.write(b"")
        flushed.add_done_callback(partial(self._handle_flushed, stream))

    def _handle_flushed(self, stream: IOStream, flushed: asyncio.Future[None]) -> None:
        if flushed.cancelled() or flushed.exception() is None:
            return
        assert self._on_unflushed is not None
        error = str(stream.error) if stream.error is not None else ""
        self._on_unflushed(Unwritten(count_unwritten_bytes(stream), error))

    async def _close_when_flushed(self, stream: IOStream) -> None:
        """Close once all is written, however slowly the caller reads."""
        for _ in range(int(MAX_FLUSH_S / FLUSH_POLL_S)):
            if not stream.writing():
                stream.close()
                return
            await asyncio.sleep(FLUSH_POLL_S)
        self.abort()
        raise CallerGoneError

    def abort(self) -> None:
        """Close the connection so that the answer is seen as incomplete."""
        self._connection.close()

    async def refuse(self, failure: Failure, headers: Sequence[Header]) -> None:
        """Answer with an error generated here."""
        response = failure.response
        text = f"{response.text}\n".encode()
        own = [
            *headers,
            ("Content-Type", "text/plain"),
            ("Content-Length", str(len(text))),
        ]
        if response.retry:
            wait_s = failure.retry_after_s or DEFAULT_RETRY_AFTER_S
            own.append((HEADER_RETRY_AFTER, f"{wait_s:.2f}"))
        await self.begin(response.status, HTTPStatus(response.status).phrase, own, text)
        await self.finish()

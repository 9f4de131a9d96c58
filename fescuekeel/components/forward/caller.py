"""The connection to a caller during one request."""

import asyncio
from collections.abc import Callable, Sequence
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
from fescuekeel.helpers.whole_answer import Framing, find_framing

__all__ = ["CallerConnection", "CallerGoneError"]

# Hop-by-hop headers of an endpoint's answer.
CONNECTION_HEADERS = frozenset(
    {"connection", "keep-alive", "proxy-connection", "transfer-encoding", "upgrade"}
)


class CallerGoneError(Exception):
    """The caller has closed its connection."""


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

    def on_close(self, callback: Callable[[], None]) -> None:
        """Call back if the caller closes before the answer is complete."""
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
        if self._closing:
            await self._close_when_flushed(stream)

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

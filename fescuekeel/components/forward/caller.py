"""The connection to a caller, for the length of one request."""

import asyncio
from collections.abc import Callable, Sequence
from http import HTTPStatus

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, ResponseStartLine
from tornado.iostream import StreamClosedError

from fescuekeel.components.forward.const import RETRY_AFTER_S
from fescuekeel.const import HEADER_RETRY_AFTER
from fescuekeel.errors import Failure
from fescuekeel.helpers.dialect import Header

__all__ = ["CallerConnection", "CallerGoneError"]

FLUSH_POLL_S = 0.01
FLUSH_POLLS = 200
# Headers of an endpoint's answer that concern its own connection only.
CONNECTION_HEADERS = frozenset(
    {"connection", "keep-alive", "proxy-connection", "transfer-encoding", "upgrade"}
)


class CallerGoneError(Exception):
    """Say that the caller has closed its connection."""


class CallerConnection:
    """Write one answer; ``last`` asks the caller to close afterwards.

    ``begun`` says that the head of the answer has been written.
    """

    def __init__(self, connection: HTTP1Connection, last: Callable[[], bool]) -> None:
        self.begun = False
        self._connection = connection
        self._last = last
        self._closing = False

    def on_close(self, callback: Callable[[], None]) -> None:
        """Call back when the caller closes before the answer is whole."""
        self._connection.set_close_callback(callback)

    async def begin(
        self, status: int, reason: str, headers: Sequence[Header], body: bytes = b""
    ) -> None:
        """Write the head of an answer, and the body's first bytes."""
        written = HTTPHeaders()
        for name, value in headers:
            if name.lower() not in CONNECTION_HEADERS:
                written.add(name, value)
        self._closing = self._last()
        if self._closing:
            written["Connection"] = "close"
        self.begun = True
        line = ResponseStartLine("HTTP/1.1", status, reason)
        try:
            await self._connection.write_headers(line, written, body or None)
        except StreamClosedError as error:
            raise CallerGoneError from error

    async def write(self, data: bytes) -> None:
        """Write some bytes of the body."""
        try:
            await self._connection.write(data)
        except StreamClosedError as error:
            raise CallerGoneError from error

    async def finish(self) -> None:
        """End a whole answer."""
        stream = self._connection.stream
        self._connection.finish()
        if self._closing:
            await self._close_when_flushed(stream)

    async def _close_when_flushed(self, stream: object) -> None:
        for _ in range(FLUSH_POLLS):
            if stream.closed() or not stream.writing():  # type: ignore[attr-defined]
                break
            await asyncio.sleep(FLUSH_POLL_S)
        stream.close()  # type: ignore[attr-defined]

    def break_off(self) -> None:
        """Close in the middle of an answer, so that it cannot look whole."""
        self._connection.close()

    async def refuse(self, failure: Failure, headers: Sequence[Header]) -> None:
        """Write an answer of our own."""
        answer = failure.answer
        text = f"{answer.text}\n".encode()
        own = [
            *headers,
            ("Content-Type", "text/plain"),
            ("Content-Length", str(len(text))),
        ]
        if answer.retry:
            wait_s = failure.retry_after_s or RETRY_AFTER_S
            own.append((HEADER_RETRY_AFTER, f"{wait_s:.2f}"))
        await self.begin(answer.status, HTTPStatus(answer.status).phrase, own, text)
        await self.finish()

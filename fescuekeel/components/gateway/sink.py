"""Delivery of a response to the caller."""

import asyncio
from dataclasses import dataclass
from typing import Protocol

from tornado.iostream import IOStream, StreamClosedError
from tornado.web import RequestHandler

from fescuekeel.components.gateway.const import (
    CALLER_WRITE_TIMEOUT_S,
    HEADER_QUEUE_MS,
    HEADER_STALL_MS,
    JSON_CONTENT_TYPE,
    MAX_ANSWER_BYTES,
    STREAM_CONTENT_TYPE,
)
from fescuekeel.components.gateway.schemas import to_error_body
from fescuekeel.const import HEADER_RAN, HEADER_RETRY_AFTER
from fescuekeel.errors import Failure
from fescuekeel.helpers.linger import close_in_order, reset_on_close

__all__ = ["AnswerHead", "CallerSink", "HandlerSink"]


@dataclass(slots=True)
class AnswerHead:
    """Status and headers of a response."""

    status: int = 200
    content_type: str = JSON_CONTENT_TYPE
    stall_ms: int = 0
    queue_ms: int = 0


class CallerSink(Protocol):
    """Receive the response to one request.

    Each method returns false when it cannot be delivered to the caller.
    """

    async def deliver(self, data: bytes, head: AnswerHead) -> bool:
        """Receive a response chunk."""

    async def finish(self, head: AnswerHead) -> bool:
        """Complete a successful response."""

    async def fail(self, failure: Failure) -> bool:
        """Report a failure, as an event if the stream has already started."""


class HandlerSink:
    """Write the response through a Tornado handler.

    Streams are written chunk by chunk. Any other response is buffered until
    it is complete, so that a late failure can still set the HTTP status.
    A stream to HTTP/1.0 ends with its connection, which is reset whenever it
    closes, until the stream has ended.
    """

    def __init__(self, handler: RequestHandler, stream: bool) -> None:
        self._handler = handler
        self._stream = stream
        self._buffer = bytearray()
        self._head_written = False
        self._ended = False
        self._ends_with_close = False
        self._pending_write: asyncio.Future[None] | None = None

    async def deliver(self, data: bytes, head: AnswerHead) -> bool:
        """Receive a response chunk."""
        if not self._stream:
            self._buffer += data
            return len(self._buffer) <= MAX_ANSWER_BYTES
        if not self._head_written:
            self._begin(head, STREAM_CONTENT_TYPE)
            self._prepare_connection()
        self._handler.write(data)
        return await self._flush()

    async def finish(self, head: AnswerHead) -> bool:
        """Complete a successful response."""
        if not self._head_written:
            default = STREAM_CONTENT_TYPE if self._stream else JSON_CONTENT_TYPE
            self._begin(head, head.content_type or default)
        self._handler.write(bytes(self._buffer))
        return await self._end()

    async def fail(self, failure: Failure) -> bool:
        """Report a failure."""
        body = to_error_body(failure)
        if self._head_written:
            self._handler.write(b"data: " + body + b"\n\n")
            return await self._end()
        self._handler.set_status(failure.response.status)
        self._handler.set_header("Content-Type", JSON_CONTENT_TYPE)
        self._handler.set_header(HEADER_RAN, failure.outcome.value)
        if failure.retry_after_s > 0:
            seconds = max(1, round(failure.retry_after_s))
            self._handler.set_header(HEADER_RETRY_AFTER, str(seconds))
        self._handler.write(body)
        return await self._end()

    def _begin(self, head: AnswerHead, content_type: str) -> None:
        self._head_written = True
        self._handler.set_status(head.status)
        self._handler.set_header("Content-Type", content_type)
        self._handler.set_header(HEADER_STALL_MS, str(head.stall_ms))
        self._handler.set_header(HEADER_QUEUE_MS, str(head.queue_ms))

    @property
    def _connection_stream(self) -> IOStream | None:
        return getattr(self._handler.request.connection, "stream", None)

    def _prepare_connection(self) -> None:
        # Guards against bursts of tokens: Tornado re-enables Nagle's algorithm
        # for each request, which together with delayed ACKs holds back small
        # writes by 40 ms.
        stream = self._connection_stream
        if stream is None or stream.closed():
            return
        stream.set_nodelay(True)
        request = self._handler.request
        self._ends_with_close = request.version == "HTTP/1.0"
        if self._ends_with_close:
            # Tornado would promise to keep the connection open.
            request.headers["Connection"] = "close"
            reset_on_close(stream.socket)

    async def _flush(self) -> bool:
        """Start writing the chunk once the previous write has finished."""
        if not await self._wait_for_write():
            return False
        try:
            self._pending_write = asyncio.ensure_future(self._handler.flush())
        except StreamClosedError:
            return False
        return True

    async def _wait_for_write(self) -> bool:
        # Guards against a caller that stops reading: the write would never
        # finish and chunks would accumulate in memory.
        write, self._pending_write = self._pending_write, None
        if write is None or write.done():
            return write is None or write.exception() is None
        try:
            async with asyncio.timeout(CALLER_WRITE_TIMEOUT_S):
                await write
        except (StreamClosedError, TimeoutError):
            return False
        return True

    async def _end(self) -> bool:
        try:
            async with asyncio.timeout(CALLER_WRITE_TIMEOUT_S):
                if self._pending_write is not None:
                    await self._pending_write
                if self._ends_with_close:
                    await self._end_with_close()
                else:
                    await self._handler.finish()
        except (StreamClosedError, TimeoutError):
            return False
        self._ended = True
        return True

    async def _end_with_close(self) -> None:
        await self._handler.flush()
        stream = self._connection_stream
        if stream is not None:
            close_in_order(stream.socket)
            self._ended = True
            stream.close()

    def close_unfinished(self) -> None:
        """Close the connection of a stream that was begun and did not end.

        Guards against a broken stream that looks complete: Tornado ends the
        response of each handler that returns.
        """
        stream = self._connection_stream
        if self._head_written and not self._ended and stream is not None:
            stream.close()

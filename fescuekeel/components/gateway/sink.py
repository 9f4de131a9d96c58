"""Where the answer of one request goes."""

import asyncio
from dataclasses import dataclass
from typing import Protocol

from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler

from fescuekeel.components.gateway.border import to_error_body
from fescuekeel.components.gateway.const import (
    CALLER_WRITE_TIMEOUT_S,
    HEADER_QUEUE_MS,
    HEADER_STALL_MS,
    JSON_CONTENT_TYPE,
    MAX_ANSWER_BYTES,
    STREAM_CONTENT_TYPE,
)
from fescuekeel.const import HEADER_RAN, HEADER_RETRY_AFTER
from fescuekeel.errors import Failure

__all__ = ["AnswerHead", "CallerSink", "HandlerSink"]


@dataclass(slots=True)
class AnswerHead:
    """What is known of an answer apart from its body."""

    status: int = 200
    content_type: str = JSON_CONTENT_TYPE
    stall_ms: int = 0
    queue_ms: int = 0


class CallerSink(Protocol):
    """Take the answer to one request; return false when the caller is gone."""

    async def deliver(self, data: bytes, head: AnswerHead) -> bool:
        """Take a piece of the answer."""

    async def finish(self, head: AnswerHead) -> bool:
        """End a whole answer."""

    async def fail(self, failure: Failure) -> bool:
        """Tell of a failure, in a stream that has begun or as the answer."""


class HandlerSink:
    """Write the answer through a tornado handler.

    A stream goes out piece by piece. Any other answer is held until its end
    is known, so that a failure halfway still becomes a truthful status.
    """

    def __init__(self, handler: RequestHandler, stream: bool) -> None:
        self._handler = handler
        self._stream = stream
        self._held = bytearray()
        self._begun = False
        self._write: asyncio.Future[None] | None = None

    async def deliver(self, data: bytes, head: AnswerHead) -> bool:
        """Take a piece of the answer."""
        if not self._stream:
            self._held += data
            return len(self._held) <= MAX_ANSWER_BYTES
        if not self._begun:
            self._begin(head, STREAM_CONTENT_TYPE)
            self._set_nodelay()
        self._handler.write(data)
        return await self._flush()

    async def finish(self, head: AnswerHead) -> bool:
        """End a whole answer."""
        if not self._begun:
            default = STREAM_CONTENT_TYPE if self._stream else JSON_CONTENT_TYPE
            self._begin(head, head.content_type or default)
        self._handler.write(bytes(self._held))
        return await self._end()

    async def fail(self, failure: Failure) -> bool:
        """Tell of a failure."""
        body = to_error_body(failure)
        if self._begun:
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
        self._begun = True
        self._handler.set_status(head.status)
        self._handler.set_header("Content-Type", content_type)
        self._handler.set_header(HEADER_STALL_MS, str(head.stall_ms))
        self._handler.set_header(HEADER_QUEUE_MS, str(head.queue_ms))

    def _set_nodelay(self) -> None:
        # Guards against tokens that come in bursts: the library switches the
        # socket's delay on for each request, and a small write then waits for
        # the acknowledgement of the one before, which callers send 40 ms late.
        stream = getattr(self._handler.request.connection, "stream", None)
        if stream is not None and not stream.closed():
            stream.set_nodelay(True)

    async def _flush(self) -> bool:
        """Write on without waiting, once the piece before has gone out."""
        if not await self._wait_for_write():
            return False
        try:
            self._write = asyncio.ensure_future(self._handler.flush())
        except StreamClosedError:
            return False
        return True

    async def _wait_for_write(self) -> bool:
        # Guards against a caller that stops reading: the write would wait for
        # ever and the pieces of its answer would pile up in memory.
        write, self._write = self._write, None
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
                if self._write is not None:
                    await self._write
                await self._handler.finish()
        except (StreamClosedError, TimeoutError):
            return False
        return True

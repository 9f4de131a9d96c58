"""How stand-in workers frame their answers and break them off."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from tornado.iostream import IOStream
from tornado.web import RequestHandler

from fescuekeel.helpers.linger import close_in_order, reset_on_close

__all__ = [
    "AnswerBreak",
    "AnswerFraming",
    "AnswerWriter",
    "BreakPoint",
    "make_event",
]


class AnswerFraming(StrEnum):
    """What ends the body of an answer."""

    CHUNKS = "chunks"
    LENGTH = "length"
    CLOSE = "close"


class BreakPoint(StrEnum):
    """Where a stream breaks off; other answers break in their midst."""

    BETWEEN_EVENTS = "between_events"
    WITHIN_ID = "within_id"
    WITHIN_EVENT = "within_event"
    BEFORE_LAST_LINE_END = "before_last_line_end"


@dataclass(frozen=True, slots=True)
class AnswerBreak:
    """Where an answer breaks off, and whether by a reset or a close.

    A stream does so in the event after ``after_events``.
    """

    point: BreakPoint = BreakPoint.BETWEEN_EVENTS
    by_reset: bool = False
    after_events: int = 2

    def cut_event(self, event: bytes) -> bytes:
        """Return what is sent of the event in which the stream breaks."""
        match self.point:
            case BreakPoint.BETWEEN_EVENTS:
                return b""
            case BreakPoint.WITHIN_ID:
                return event[:2]
            case BreakPoint.WITHIN_EVENT:
                return event[: len(event) // 2]
            case BreakPoint.BEFORE_LAST_LINE_END:
                return event[: -len(find_line_end(event))]


def find_line_end(event: bytes) -> bytes:
    """Return the line end of an event's lines."""
    return b"\r\n" if event.endswith(b"\r\n") else event[-1:]


def make_event(number: int, line_end: bytes = b"\n", software: str = "") -> bytes:
    r"""Return an event of a stream, which may name its software version.

    >>> make_event(1, b"\r\n")
    b'id: 1\r\ndata: piece 1\r\n\r\n'
    >>> make_event(1, software="v2")
    b'id: 1\nsoftware: v2\ndata: piece 1\n\n'
    """
    lines = [f"id: {number}".encode(), f"data: piece {number}".encode(), b"", b""]
    if software:
        lines.insert(1, f"software: {software}".encode())
    return line_end.join(lines)


class AnswerWriter:
    """Write a handler's answer with a framing.

    Without one the handler decides. ``length`` is that of the whole body.
    """

    def __init__(
        self, handler: RequestHandler, framing: AnswerFraming | None, length: int
    ) -> None:
        self._handler = handler
        self._framing = framing
        self._stream: IOStream = handler.request.connection.stream  # type: ignore[union-attr]
        self._head_written = False
        if framing is AnswerFraming.LENGTH:
            handler.set_header("Content-Length", str(length))

    async def write(self, data: bytes) -> None:
        """Write a part of the body."""
        if self._framing is AnswerFraming.CLOSE:
            await self._stream.write(self._take_head() + data)
            return
        if data:
            self._handler.write(data)
        await self._handler.flush()

    def _take_head(self) -> bytes:
        """Return the head of an answer without length or chunks, once."""
        if self._head_written:
            return b""
        self._head_written = True
        # Whoever stops the worker must not end the answer in order.
        reset_on_close(self._stream.socket)
        headers: Any = self._handler._headers
        lines = [f"{name}: {value}" for name, value in headers.get_all()]
        head = "\r\n".join(["HTTP/1.1 200 OK", *lines, "Connection: close"])
        return head.encode("latin-1") + b"\r\n\r\n"

    async def finish(self) -> None:
        """End the answer."""
        if self._framing is not AnswerFraming.CLOSE:
            await self._handler.finish()
            return
        await self.write(b"")
        self._handler._finished = True
        close_in_order(self._stream.socket)
        self._stream.close()

    def break_off(self, how: AnswerBreak) -> None:
        """Close or reset the connection within the answer."""
        if how.by_reset:
            reset_on_close(self._stream.socket)
        else:
            close_in_order(self._stream.socket)
        self._handler._finished = True
        self._stream.close()

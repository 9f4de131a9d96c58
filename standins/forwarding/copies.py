"""Answers that a faulty worker sends once more, late."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random
from typing import Any

from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler

__all__ = ["AnswerCopies", "CopyMoment"]

REQUEST_ID_HEADER = "Fescuekeel-Request-Id"
FRAMING_HEADERS = ("Content-Length", "Transfer-Encoding")


class CopyMoment(StrEnum):
    """When a copy is sent.

    ``BEFORE_NEXT`` and ``AFTER_NEXT``: before or after the connection's next
    answer. ``LATER``: after a delay, whatever waits on the connection then.
    """

    BEFORE_NEXT = "before_next"
    AFTER_NEXT = "after_next"
    LATER = "later"


@dataclass(eq=False)
class AnswerCopies:
    """Which of a worker's whole answers are sent once more, and how.

    A ``share`` of the answers with ``statuses`` (all if empty) is copied
    ``number`` times, without the id unless ``with_id``. ``counts`` has the
    number of copies by path and status.
    """

    share: float = 0.0
    statuses: frozenset[int] = frozenset()
    moment: CopyMoment = CopyMoment.BEFORE_NEXT
    with_id: bool = True
    number: int = 1
    delay_s: tuple[float, float] = (0.05, 0.4)
    random: Random = field(default_factory=Random)
    counts: Counter[str] = field(default_factory=Counter)
    _due_by_stream: dict[Any, list[bytes]] = field(default_factory=dict)

    def begin_answer(self, stream: Any) -> None:
        """Send what is due before the next answer of a connection."""
        if self.moment is CopyMoment.BEFORE_NEXT:
            self._send_due(stream)

    def end_answer(self, handler: RequestHandler, body: bytes) -> None:
        """Send what is due after an answer, and decide whether to copy it."""
        stream = handler.request.connection.stream  # type: ignore[union-attr]
        if self.moment is CopyMoment.AFTER_NEXT:
            self._send_due(stream)
        if self.statuses and handler.get_status() not in self.statuses:
            return
        if self.random.random() >= self.share:
            return
        self.counts[f"{handler.request.path} {handler.get_status()}"] += 1
        copy = self._format(handler, body)
        self._forget_closed()
        self._due_by_stream[stream] = [copy] * self.number
        if self.moment is CopyMoment.LATER:
            loop = asyncio.get_running_loop()
            loop.call_later(self.random.uniform(*self.delay_s), self._send_due, stream)

    def _forget_closed(self) -> None:
        closed = [stream for stream in self._due_by_stream if stream.closed()]
        for stream in closed:
            del self._due_by_stream[stream]

    def _send_due(self, stream: Any) -> None:
        for copy in self._due_by_stream.pop(stream, []):
            try:
                stream.write(copy)
            except StreamClosedError:
                return

    def _format(self, handler: RequestHandler, body: bytes) -> bytes:
        headers: Any = handler._headers
        lines = [f"HTTP/1.1 {handler.get_status()} {handler._reason}"]
        for name, value in headers.get_all():
            is_left_out = name == REQUEST_ID_HEADER and not self.with_id
            if name not in FRAMING_HEADERS and not is_left_out:
                lines.append(f"{name}: {value}")
        lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join([*lines, "", ""]).encode("latin-1") + body

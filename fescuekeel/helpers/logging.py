"""Logging: eliot messages written as one line of key=value pairs."""

import queue
import sys
import threading
from typing import Any, TextIO

from eliot import add_destinations, log_message, remove_destination

__all__ = ["LineDestination", "format_line", "log_event"]

QUEUE_LINES = 10_000
HIDDEN_FIELDS = frozenset({"task_uuid", "task_level", "message_type"})


def format_line(message: dict[str, Any]) -> str:
    r"""Format an eliot message as ``key=value`` pairs, time and event first.

    >>> format_line({"timestamp": 1.5, "message_type": "started", "port": 80})
    'time=1.500 event=started port=80'
    >>> format_line({"timestamp": 2, "message_type": "x", "text": 'a "b"'})
    'time=2.000 event=x text="a \\"b\\""'
    """
    pairs = [
        f"time={float(message.get('timestamp', 0)):.3f}",
        f"event={message.get('message_type', 'unnamed')}",
    ]
    for key, value in message.items():
        if key == "timestamp" or key in HIDDEN_FIELDS:
            continue
        pairs.append(f"{key}={_format_value(value)}")
    return " ".join(pairs)


def _format_value(value: object) -> str:
    text = str(value)
    if text and not any(char in ' "=\n\r\t' for char in text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n").replace("\r", "\\r") + '"'


class LineDestination:
    """Write log lines from a thread of its own.

    Guards against a slow log sink: eliot calls its destinations in line, so
    a blocked pipe would stop every stream. The queue is bounded and a line
    that finds it full is dropped and counted in ``dropped``.
    """

    def __init__(self, stream: TextIO = sys.stderr) -> None:
        self._stream = stream
        self._lines: queue.Queue[str | None] = queue.Queue(QUEUE_LINES)
        self._thread = threading.Thread(target=self._write, daemon=True)
        self.dropped = 0

    def __call__(self, message: dict[str, Any]) -> None:
        """Queue one message."""
        try:
            self._lines.put_nowait(format_line(message))
        except queue.Full:
            self.dropped += 1

    def start(self) -> None:
        """Begin to receive messages."""
        self._thread.start()
        add_destinations(self)

    def stop(self) -> None:
        """Write what is queued and end."""
        remove_destination(self)
        self._lines.put(None)
        self._thread.join(timeout=2.0)

    def _write(self) -> None:
        while (line := self._lines.get()) is not None:
            self._stream.write(line + "\n")
            if self._lines.empty():
                self._stream.flush()


def log_event(event: str, **fields: object) -> None:
    """Log one event.

    >>> log_event("started", port=80)
    """
    log_message(event, **fields)

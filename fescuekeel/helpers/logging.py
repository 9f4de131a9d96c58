"""Structured logging: each event is one line of key=value pairs.

An event is a mapping with ``timestamp``, ``message_type`` and its fields, as
in eliot, which is not used because of its import time and cost per line.
"""

import sys
import threading
import time
from collections import Counter, deque
from collections.abc import Callable
from typing import Any, TextIO

__all__ = [
    "LineDestination",
    "add_destination",
    "format_line",
    "log_event",
    "remove_destination",
]

Destination = Callable[[dict[str, Any]], None]

MAX_QUEUED_LINES = 10_000
# Rate limits per event, for successes and for all other outcomes.
SUCCESS_LINES_PER_S = 100
OTHER_LINES_PER_S = 400
SUCCESS_OUTCOMES = frozenset(
    {"answered", "loaded", "accepted", "holds_already", "granted"}
)
FLUSH_INTERVAL_S = 0.05
HIDDEN_FIELDS = frozenset({"timestamp", "message_type"})


def format_line(message: dict[str, Any]) -> str:
    r"""Format an event as ``key=value`` pairs, time and event name first.

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
        if key in HIDDEN_FIELDS:
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
    """Write log lines in a background thread.

    A blocked log pipe must not block the event loop, in which destinations are
    called. The queue is bounded; ``dropped`` counts the lines that were
    dropped because it was full or by the rate limit.
    """

    def __init__(self, stream: TextIO | None = None) -> None:
        self._stream = stream or sys.stdout
        self._lines: deque[str] = deque()
        self._lines_pending = threading.Event()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._write, daemon=True)
        self.dropped = 0
        self._current_second = 0
        self._line_counts: Counter[tuple[str, bool]] = Counter()
        self._dropped_by_event: Counter[str] = Counter()

    def __call__(self, message: dict[str, Any]) -> None:
        """Queue one message, unless its event is over the rate limit.

        Successes have a lower limit than failures. A ``lines_dropped`` event
        gives the number of dropped lines of each event.
        """
        if not self._is_within_limit(message):
            return
        self._append(message)

    def _is_within_limit(self, message: dict[str, Any]) -> bool:
        second = int(message.get("timestamp") or time.time())
        if second != self._current_second:
            self._current_second = second
            self._line_counts.clear()
            self._log_dropped(second)
        success = message.get("outcome") in SUCCESS_OUTCOMES
        event = str(message.get("message_type", "unnamed"))
        self._line_counts[event, success] += 1
        limit = SUCCESS_LINES_PER_S if success else OTHER_LINES_PER_S
        if self._line_counts[event, success] <= limit:
            return True
        self._dropped_by_event[event] += 1
        self.dropped += 1
        return False

    def _log_dropped(self, second: int) -> None:
        for event, count in self._dropped_by_event.items():
            summary = {"timestamp": second, "message_type": "lines_dropped"}
            self._append({**summary, "dropped": event, "count": count})
        self._dropped_by_event.clear()

    def _append(self, message: dict[str, Any]) -> None:
        if len(self._lines) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        self._lines.append(format_line(message))
        # Waking the thread costs more than a line: once per flush is enough.
        if not self._lines_pending.is_set():
            self._lines_pending.set()

    def start(self) -> None:
        """Start the thread and receive events."""
        self._thread.start()
        add_destination(self)

    def stop(self) -> None:
        """Flush the queue and stop the thread."""
        remove_destination(self)
        self._stopping.set()
        self._lines_pending.set()
        self._thread.join(timeout=2.0)

    def _write(self) -> None:
        while not self._stopping.is_set():
            self._lines_pending.wait()
            # Cleared before the queue is read, so that a line added meanwhile
            # wakes the thread again.
            self._lines_pending.clear()
            self._write_queued()
            self._stopping.wait(FLUSH_INTERVAL_S)
        self._write_queued()

    def _write_queued(self) -> None:
        lines = [self._lines.popleft() for _ in range(len(self._lines))]
        if lines:
            self._stream.write("\n".join(lines) + "\n")
            self._stream.flush()


_destinations: list[Destination] = []


def add_destination(destination: Destination) -> None:
    """Call a function with each event from now on."""
    _destinations.append(destination)


def remove_destination(destination: Destination) -> None:
    """Stop calling a function with events."""
    _destinations.remove(destination)


def log_event(event: str, **fields: object) -> None:
    """Log one event.

    >>> log_event("started", port=80)
    """
    if not _destinations:
        return
    message = {"timestamp": time.time(), "message_type": event, **fields}
    for destination in _destinations:
        destination(message)

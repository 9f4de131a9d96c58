"""Logging: events written as one line of key=value pairs each.

An event is a mapping with ``timestamp``, ``message_type`` and its fields, as
eliot has it. That library itself is too dear for small machines, in the time
that a daemon takes to start and in what each line costs.
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

QUEUE_LINES = 10_000
# Lines a second of one event, for those that tell of success and for all
# others. Three times the load of the largest site is 300 requests a second
# over all its instances, so that one instance stays far below.
SUCCESS_LINES_PER_S = 100
OTHER_LINES_PER_S = 400
SUCCESSES = frozenset({"answered", "loaded", "accepted", "holds_already", "granted"})
PAUSE_S = 0.05
HIDDEN_FIELDS = frozenset({"timestamp", "message_type"})


def format_line(message: dict[str, Any]) -> str:
    r"""Format an event as ``key=value`` pairs, time and event first.

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
    """Write log lines from a thread of its own.

    Guards against a slow log sink: destinations are called in line, so that
    a blocked pipe would stop every stream. The queue is bounded and a line
    that finds it full is dropped and counted in ``dropped``.
    """

    def __init__(self, stream: TextIO | None = None) -> None:
        self._stream = stream or sys.stdout
        self._lines: deque[str] = deque()
        self._woken = threading.Event()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._write, daemon=True)
        self.dropped = 0
        self._second = 0
        self._passed: Counter[tuple[str, bool]] = Counter()
        self._left_out: Counter[str] = Counter()

    def __call__(self, message: dict[str, Any]) -> None:
        """Queue one message, unless there are too many of its kind.

        Guards against a log that grows without bound under load: each event
        has a number of lines a second, successes fewer than failures, and one
        line tells how many were left out.
        """
        if not self._may_pass(message):
            return
        self._append(message)

    def _may_pass(self, message: dict[str, Any]) -> bool:
        second = int(message.get("timestamp") or time.time())
        if second != self._second:
            self._second = second
            self._passed.clear()
            self._tell_dropped(second)
        success = message.get("outcome") in SUCCESSES
        event = str(message.get("message_type", "unnamed"))
        self._passed[event, success] += 1
        limit = SUCCESS_LINES_PER_S if success else OTHER_LINES_PER_S
        if self._passed[event, success] <= limit:
            return True
        self._left_out[event] += 1
        self.dropped += 1
        return False

    def _tell_dropped(self, second: int) -> None:
        for event, count in self._left_out.items():
            told = {"timestamp": second, "message_type": "lines_dropped"}
            self._append({**told, "dropped": event, "count": count})
        self._left_out.clear()

    def _append(self, message: dict[str, Any]) -> None:
        if len(self._lines) >= QUEUE_LINES:
            self.dropped += 1
            return
        self._lines.append(format_line(message))
        # To wake the thread costs more than the line itself, so that it is
        # done once for all the lines of a pause.
        if not self._woken.is_set():
            self._woken.set()

    def start(self) -> None:
        """Begin to receive messages."""
        self._thread.start()
        add_destination(self)

    def stop(self) -> None:
        """Write what is queued and end."""
        remove_destination(self)
        self._stopping.set()
        self._woken.set()
        self._thread.join(timeout=2.0)

    def _write(self) -> None:
        while not self._stopping.is_set():
            self._woken.wait()
            # Cleared before the queue is read: a line that comes later wakes
            # the thread again and does not lie there until the next one.
            self._woken.clear()
            self._write_queued()
            self._stopping.wait(PAUSE_S)
        self._write_queued()

    def _write_queued(self) -> None:
        lines = [self._lines.popleft() for _ in range(len(self._lines))]
        if lines:
            self._stream.write("\n".join(lines) + "\n")
            self._stream.flush()


_destinations: list[Destination] = []


def add_destination(destination: Destination) -> None:
    """Have a function called with each event from now on."""
    _destinations.append(destination)


def remove_destination(destination: Destination) -> None:
    """Call a function with no further event."""
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

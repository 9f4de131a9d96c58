"""Structured logging: each event is one line of key=value pairs.

An event is a mapping with ``timestamp``, ``message_type`` and its fields, as
in eliot, which is not used because of its import time and cost per line.
"""

import asyncio
import queue
import sys
import threading
import time
from collections import Counter, deque
from collections.abc import Callable
from typing import Any, TextIO

__all__ = [
    "LineDestination",
    "add_destination",
    "flush_destinations",
    "format_line",
    "log_event",
    "remove_destination",
    "wait_until_written",
]

Destination = Callable[[dict[str, Any]], None]

MAX_QUEUED_LINES = 10_000
# Rate limits per event, for all successes and for each other outcome.
SUCCESS_LINES_PER_S = 100
OTHER_LINES_PER_S = 400
# Events that tell how requests and the process end. They are written at once,
# and have places in the queue that no other event may take.
URGENT_EVENTS = frozenset(
    {
        "answer_unflushed",
        "component_stopped",
        "instance_blocked",
        "instance_failed",
        "instance_stopped",
        "instance_stopping",
        "lines_dropped",
        "request_cut",
        "shutdown_began",
        "shutdown_ended",
        "stop_error",
        "stop_timeout",
    }
)
URGENT_LINES_PER_S = 2_000
RESERVED_LINES = 4_000
SUCCESS_OUTCOMES = frozenset(
    {"answered", "loaded", "accepted", "holds_already", "granted"}
)
FLUSH_INTERVAL_S = 0.05
FLUSH_POLL_S = 0.005
STOP_TIMEOUT_S = 2.0
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
    dropped because it was full, by the rate limit or by a failed write.

    Destinations are also called in signal handlers. Locks that are not
    reentrant would deadlock there, so the thread is woken by simple queues.
    """

    def __init__(self, stream: TextIO | None = None) -> None:
        self._stream = stream or sys.stdout
        self._lines: deque[str] = deque()
        self._wakes: queue.SimpleQueue[None] = queue.SimpleQueue()
        self._urgent_wakes: queue.SimpleQueue[None] = queue.SimpleQueue()
        self._is_woken = False
        self._is_writing = False
        self._stopping = False
        self._thread = threading.Thread(target=self._write, daemon=True)
        self.dropped = 0
        self._current_second = 0
        self._line_counts: Counter[tuple[str, str]] = Counter()
        self._dropped_by_event: Counter[str] = Counter()
        self._unwritten = 0

    def __call__(self, message: dict[str, Any]) -> None:
        """Queue one message, unless its event is over the rate limit.

        Successes have a lower limit than failures, and one kind of failure
        takes no lines from another. A ``lines_dropped`` event gives the number
        of dropped lines of each event.
        """
        event = str(message.get("message_type", "unnamed"))
        if not self._is_within_limit(message, event) or not self._append(
            message, event
        ):
            self._dropped_by_event[event] += 1
            self.dropped += 1

    def _is_within_limit(self, message: dict[str, Any], event: str) -> bool:
        second = int(message.get("timestamp") or time.time())
        if second != self._current_second:
            self._current_second = second
            self._line_counts.clear()
            self._log_dropped(second)
        outcome = str(message.get("outcome", ""))
        is_success = outcome in SUCCESS_OUTCOMES
        key = (event, "" if is_success else outcome or "none")
        self._line_counts[key] += 1
        return self._line_counts[key] <= _get_limit(event, is_success)

    def _log_dropped(self, second: int) -> None:
        for event, count in list(self._dropped_by_event.items()):
            summary = {"timestamp": second, "message_type": "lines_dropped"}
            line = {**summary, "dropped": event, "count": count}
            if self._append(line, "lines_dropped"):
                del self._dropped_by_event[event]

    def _append(self, message: dict[str, Any], event: str) -> bool:
        """Queue a line; return whether there was room for it."""
        is_urgent = event in URGENT_EVENTS
        room = MAX_QUEUED_LINES + (RESERVED_LINES if is_urgent else 0)
        if len(self._lines) >= room:
            return False
        self._lines.append(format_line(message))
        # Waking the thread costs more than a line: once per flush is enough.
        if not self._is_woken:
            self._is_woken = True
            self._wakes.put(None)
        if is_urgent and self._urgent_wakes.empty():
            self._urgent_wakes.put(None)
        return True

    def start(self) -> None:
        """Start the thread and receive events."""
        self._thread.start()
        add_destination(self)

    def flush(self, timeout_s: float) -> bool:
        """Wait until all lines are written; return whether they are.

        It blocks its caller, so it is only for a process that ends.
        """
        self._log_dropped(int(time.time()))
        self._urgent_wakes.put(None)
        deadline = time.monotonic() + timeout_s
        while not self.is_written:
            if time.monotonic() >= deadline:
                return False
            time.sleep(FLUSH_POLL_S)
        return True

    @property
    def is_written(self) -> bool:
        """Return whether no line waits to be written."""
        return not self._lines and not self._is_writing

    def stop(self) -> None:
        """Flush the queue and stop the thread."""
        remove_destination(self)
        self._log_dropped(int(time.time()))
        self._stopping = True
        self._wakes.put(None)
        self._urgent_wakes.put(None)
        self._thread.join(timeout=STOP_TIMEOUT_S)

    def _write(self) -> None:
        while not self._stopping:
            self._wakes.get()
            # Cleared before the queue is read, so that a line added meanwhile
            # wakes the thread again.
            self._is_woken = False
            self._write_queued()
            self._pause()
        self._write_queued()

    def _pause(self) -> None:
        """Wait for more lines to write together, unless one is urgent."""
        try:
            self._urgent_wakes.get(timeout=FLUSH_INTERVAL_S)
        except queue.Empty:
            return

    def _write_queued(self) -> None:
        self._is_writing = True
        lines = [self._lines.popleft() for _ in range(len(self._lines))]
        if lines:
            self._write_lines(lines)
        self._is_writing = False

    def _write_lines(self, lines: list[str]) -> None:
        """Write lines; a failed write must not end the thread."""
        if self._unwritten:
            lines = [self._format_unwritten(), *lines]
        text = "\n".join(lines) + "\n"
        try:
            try:
                self._stream.write(text)
            except UnicodeEncodeError:
                self._stream.write(text.encode("ascii", "backslashreplace").decode())
            self._stream.flush()
        except (OSError, ValueError):
            # The next write that succeeds tells how many lines are missing.
            failed = len(lines) - bool(self._unwritten)
            self._unwritten += failed
            self.dropped += failed
            return
        self._unwritten = 0

    def _format_unwritten(self) -> str:
        summary = {"timestamp": time.time(), "message_type": "lines_dropped"}
        return format_line(
            {**summary, "dropped": "write_failed", "count": self._unwritten}
        )


def _get_limit(event: str, is_success: bool) -> int:
    """Return how many lines of an event a second may bring."""
    if event in URGENT_EVENTS:
        return URGENT_LINES_PER_S
    return SUCCESS_LINES_PER_S if is_success else OTHER_LINES_PER_S


_destinations: list[Destination] = []


def add_destination(destination: Destination) -> None:
    """Call a function with each event from now on."""
    _destinations.append(destination)


def remove_destination(destination: Destination) -> None:
    """Stop calling a function with events."""
    _destinations.remove(destination)


def flush_destinations(timeout_s: float) -> bool:
    """Wait until all destinations have written; return whether they have.

    Blocks, so it is only called right before a process ends abruptly.
    """
    deadline = time.monotonic() + timeout_s
    flushed = True
    for destination in _destinations:
        if isinstance(destination, LineDestination):
            flushed &= destination.flush(max(0.0, deadline - time.monotonic()))
    return flushed


async def wait_until_written(timeout_s: float) -> bool:
    """Wait until all urgent lines are written; return whether they are.

    The event loop goes on meanwhile.
    """
    deadline = time.monotonic() + timeout_s
    while not _is_written():
        if time.monotonic() >= deadline:
            return False
        await asyncio.sleep(FLUSH_POLL_S)
    return True


def _is_written() -> bool:
    return all(
        destination.is_written
        for destination in _destinations
        if isinstance(destination, LineDestination)
    )


def log_event(event: str, **fields: object) -> None:
    """Log one event.

    >>> log_event("started", port=80)
    """
    if not _destinations:
        return
    message = {"timestamp": time.time(), "message_type": event, **fields}
    for destination in _destinations:
        destination(message)

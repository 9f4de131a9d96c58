"""Tests of the background log writer."""

import io
import threading

from fescuekeel.helpers.logging import (
    FLUSH_INTERVAL_S,
    MAX_QUEUED_LINES,
    OTHER_LINES_PER_S,
    SUCCESS_LINES_PER_S,
    LineDestination,
)

PATIENCE_S = 10.0


class Sink(io.StringIO):
    """Signal each write, and block while ``open`` is cleared."""

    def __init__(self):
        super().__init__()
        self.wrote = threading.Event()
        self.open = threading.Event()
        self.open.set()

    def write(self, text):
        self.open.wait(PATIENCE_S)
        super().write(text)
        self.wrote.set()
        return len(text)


class TestLineDestination:
    def test_line_queued_between_flushes_is_written(self):
        """The last line before an idle period must not stay queued."""
        sink = Sink()
        destination = LineDestination(sink)
        destination.start()
        for text in ("first", "second"):
            destination({"message_type": text})
            assert sink.wrote.wait(PATIENCE_S)
            sink.wrote.clear()
        destination.stop()
        assert "event=first" in sink.getvalue()
        assert "event=second" in sink.getvalue()

    def test_blocked_sink_does_not_block_the_caller(self):
        """A full log pipe must not block the event loop."""
        sink = Sink()
        sink.open.clear()
        destination = LineDestination(sink)
        destination.start()
        destination({"message_type": "stuck"})
        threading.Event().wait(FLUSH_INTERVAL_S)
        # Distinct event names avoid the rate limit per event.
        for number in range(MAX_QUEUED_LINES + 5):
            destination({"message_type": f"next-{number}"})
        assert destination.dropped > 0
        sink.open.set()
        destination.stop()
        assert sink.getvalue().count("event=next-") >= MAX_QUEUED_LINES - 1


class TestRateLimit:
    def write(self, messages):
        sink = Sink()
        destination = LineDestination(sink)
        destination.start()
        for message in messages:
            destination(message)
        destination.stop()
        return sink.getvalue().splitlines()

    def test_successes_do_not_displace_failures(self):
        """The line of a single failure must survive a flood of successes."""
        many = [
            {"timestamp": 5.0, "message_type": "ended", "outcome": "answered"}
        ] * 3000
        failed = {"timestamp": 5.9, "message_type": "ended", "outcome": "broken"}
        lines = self.write([*many, failed])
        assert sum("outcome=answered" in line for line in lines) == SUCCESS_LINES_PER_S
        assert any("outcome=broken" in line for line in lines)

    def test_dropped_lines_are_counted(self):
        many = [{"timestamp": 5.0, "message_type": "refused"}] * 1000
        later = {"timestamp": 6.0, "message_type": "other"}
        lines = self.write([*many, later])
        count = 1000 - OTHER_LINES_PER_S
        assert f"time=6.000 event=lines_dropped dropped=refused count={count}" in lines

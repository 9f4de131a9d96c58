"""Tests of the log lines' own thread."""

import io
import threading

from fescuekeel.helpers.logging import (
    OTHER_LINES_PER_S,
    PAUSE_S,
    QUEUE_LINES,
    SUCCESS_LINES_PER_S,
    LineDestination,
)

PATIENCE_S = 10.0


class Sink(io.StringIO):
    """Tell when a text was written, and block while told to."""

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
    def test_a_line_that_comes_in_the_pause_is_written(self):
        """The last line before a quiet night comes right after another.

        It would be missing until the morning if nothing woke the writer.
        """
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

    def test_a_blocked_sink_stops_nobody(self):
        """The reader of the log hangs, and the pipe is full.

        Every stream would stop at the next line of any request.
        """
        sink = Sink()
        sink.open.clear()
        destination = LineDestination(sink)
        destination.start()
        destination({"message_type": "stuck"})
        threading.Event().wait(PAUSE_S)
        # Of one event there is a limit a second, which is not meant here.
        for number in range(QUEUE_LINES + 5):
            destination({"message_type": f"next-{number}"})
        assert destination.dropped > 0
        sink.open.set()
        destination.stop()
        assert sink.getvalue().count("event=next-") >= QUEUE_LINES - 1


class TestVolume:
    def write(self, messages):
        sink = Sink()
        destination = LineDestination(sink)
        destination.start()
        for message in messages:
            destination(message)
        destination.stop()
        return sink.getvalue().splitlines()

    def test_failures_are_kept_before_successes(self):
        """The line of the one request that failed was not in the log.

        Thousands of successes a second had filled it.
        """
        many = [
            {"timestamp": 5.0, "message_type": "ended", "outcome": "answered"}
        ] * 3000
        failed = {"timestamp": 5.9, "message_type": "ended", "outcome": "broken"}
        lines = self.write([*many, failed])
        assert sum("outcome=answered" in line for line in lines) == SUCCESS_LINES_PER_S
        assert any("outcome=broken" in line for line in lines)

    def test_what_was_left_out_is_counted(self):
        many = [{"timestamp": 5.0, "message_type": "refused"}] * 1000
        later = {"timestamp": 6.0, "message_type": "other"}
        lines = self.write([*many, later])
        count = 1000 - OTHER_LINES_PER_S
        assert f"time=6.000 event=lines_dropped dropped=refused count={count}" in lines

"""Tests of the log lines' own thread."""

import io
import threading

from fescuekeel.helpers.logging import PAUSE_S, QUEUE_LINES, LineDestination

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
        for _ in range(QUEUE_LINES + 5):
            destination({"message_type": "next"})
        assert destination.dropped > 0
        sink.open.set()
        destination.stop()
        assert sink.getvalue().count("event=next") >= QUEUE_LINES - 1

"""Tests of the background log writer."""

import io
import signal
import threading
import time

from fescuekeel.helpers.logging import (
    FLUSH_INTERVAL_S,
    MAX_QUEUED_LINES,
    OTHER_LINES_PER_S,
    RESERVED_LINES,
    SUCCESS_LINES_PER_S,
    URGENT_LINES_PER_S,
    LineDestination,
    flush_destinations,
    log_event,
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

    def test_one_failure_does_not_displace_another(self):
        # Guards against a cut request left out for callers that leave.
        gone = {"timestamp": 5.0, "message_type": "ended", "outcome": "caller_gone"}
        cut = {"timestamp": 5.5, "message_type": "ended", "outcome": "stopped"}
        lines = self.write([*[gone] * 3000, cut])
        assert sum("outcome=caller_gone" in line for line in lines) == OTHER_LINES_PER_S
        assert any("outcome=stopped" in line for line in lines)

    def test_urgent_lines_are_limited_apart(self):
        # Guards against cut requests left out when many are cut at once.
        cut = {"timestamp": 5.0, "message_type": "request_cut", "outcome": "cut"}
        lines = self.write([cut] * (URGENT_LINES_PER_S + 5))
        assert sum("=request_cut outcome" in line for line in lines) == (
            URGENT_LINES_PER_S
        )

    def test_lines_dropped_in_the_last_second_are_counted(self):
        # Guards against a process whose last dropped lines are told nowhere.
        lines = self.write([{"timestamp": 5.0, "message_type": "refused"}] * 1000)
        count = 1000 - OTHER_LINES_PER_S
        assert lines[-1].endswith(f"event=lines_dropped dropped=refused count={count}")


class TestFullQueue:
    """The reader of the log is slow or blocked."""

    def fill(self, sink):
        sink.open.clear()
        destination = LineDestination(sink)
        destination.start()
        destination({"message_type": "stuck"})
        threading.Event().wait(2 * FLUSH_INTERVAL_S)
        for number in range(MAX_QUEUED_LINES + 5):
            destination({"message_type": f"next-{number}"})
        return destination

    def test_lines_without_room_are_counted_by_event(self):
        # Guards against lines that a full queue drops without a word.
        sink = Sink()
        destination = self.fill(sink)
        sink.open.set()
        destination.stop()
        last = f"dropped=next-{MAX_QUEUED_LINES + 4} count=1"
        assert last in sink.getvalue()

    def test_urgent_lines_have_room_of_their_own(self):
        # Guards against cut requests left out while other lines queue up.
        sink = Sink()
        destination = self.fill(sink)
        destination({"message_type": "request_cut", "request_id": "r1"})
        sink.open.set()
        destination.stop()
        assert "event=request_cut request_id=r1" in sink.getvalue()

    def test_queue_is_bounded_for_urgent_lines_too(self):
        # Guards against memory without bound while nobody reads the log.
        sink = Sink()
        destination = self.fill(sink)
        for second in range(10):
            for _ in range(URGENT_LINES_PER_S):
                destination({"timestamp": second, "message_type": "request_cut"})
        sink.open.set()
        destination.stop()
        queued = sink.getvalue().count("\n")
        assert queued <= MAX_QUEUED_LINES + RESERVED_LINES + 1


class TestFailedWrite:
    def test_lines_after_a_failed_write_are_written(self):
        # Guards against a log that ends with the first failed write.
        sink = FailingSink(OSError("no space left on device"))
        destination = LineDestination(sink)
        destination.start()
        destination({"message_type": "lost"})
        assert sink.failed.wait(PATIENCE_S)
        destination({"message_type": "kept"})
        destination.stop()
        text = sink.getvalue()
        assert "event=kept" in text
        assert "event=lines_dropped dropped=write_failed count=1" in text

    def test_line_that_has_no_encoding_is_escaped(self):
        # Guards against lines lost for a character without an encoding.
        raw = io.BytesIO()
        destination = LineDestination(io.TextIOWrapper(raw, "utf-8"))
        destination.start()
        destination({"message_type": "odd", "detail": "\udc80"})
        destination.stop()
        assert b"event=odd detail=\\udc80" in raw.getvalue()


class FailingSink(Sink):
    """Fail at the first write."""

    def __init__(self, error):
        super().__init__()
        self.failed = threading.Event()
        self._error = error

    def write(self, text):
        if not self.failed.is_set():
            self.failed.set()
            raise self._error
        return super().write(text)


class TestFlush:
    def test_flush_waits_until_all_is_written(self):
        # Guards against the last lines lost when a process ends by itself.
        sink = Sink()
        destination = LineDestination(sink)
        destination.start()
        log_event("instance_blocked")
        assert flush_destinations(PATIENCE_S)
        assert "event=instance_blocked" in sink.getvalue()
        destination.stop()

    def test_flush_gives_up_on_a_blocked_reader(self):
        # Guards against a process that cannot end since nobody reads its log.
        sink = Sink()
        sink.open.clear()
        destination = LineDestination(sink)
        destination.start()
        log_event("instance_blocked")
        assert not flush_destinations(0.05)
        sink.open.set()
        destination.stop()

    def test_urgent_line_is_written_at_once(self):
        # Guards against a line that waits for a flush when SIGKILL comes.
        sink = Sink()
        destination = LineDestination(sink)
        destination.start()
        waits_s = []
        for _ in range(5):
            destination({"message_type": "first"})
            assert sink.wrote.wait(PATIENCE_S)
            sink.wrote.clear()
            began = time.monotonic()
            destination({"message_type": "request_cut"})
            assert sink.wrote.wait(PATIENCE_S)
            sink.wrote.clear()
            waits_s.append(time.monotonic() - began)
        destination.stop()
        assert min(waits_s) < FLUSH_INTERVAL_S / 2

    def test_signal_handler_may_log_while_a_line_is_logged(self):
        # Guards against a deadlock in the handler that ends a blocked process.
        sink = Sink()
        destination = LineDestination(sink)
        destination.start()
        handled = []

        def handle(number, frame):
            destination({"message_type": "instance_blocked"})
            handled.append(number)

        previous = signal.signal(signal.SIGALRM, handle)
        signal.setitimer(signal.ITIMER_REAL, 0.001, 0.001)
        try:
            deadline = time.monotonic() + PATIENCE_S
            while len(handled) < 100 and time.monotonic() < deadline:
                destination({"message_type": "busy"})
        finally:
            signal.setitimer(signal.ITIMER_REAL, 0.0)
            signal.signal(signal.SIGALRM, previous)
        destination.stop()
        assert len(handled) >= 100

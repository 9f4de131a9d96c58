"""Tests of the event stream tracker."""

import re

from hypothesis import given, strategies as st

from fescuekeel.helpers.event_stream import BYTE_ORDER_MARK, EventTracker

ONE_LINE_END = st.sampled_from([b"\n", b"\r\n", b"\r"])
LINES = st.sampled_from(
    [b"id: 7", b"data: a", b"data", b": note", b"retry: 5", b"weights: 3", b"id:8", b""]
)
LINE = re.compile(rb"(.*?)(\r\n|\n|\r)", re.DOTALL)


def is_within_event(stream):
    """Return whether a stream ends within an event; a second implementation.

    ``stream`` must not end with a carriage return.
    """
    open_fields, position = False, 0
    stream = stream.removeprefix(BYTE_ORDER_MARK)
    for match in LINE.finditer(stream):
        line, position = match.group(1), match.end()
        if not line:
            open_fields = False
        elif not line.startswith((b":", b"retry")):
            open_fields = True
    return open_fields or position < len(stream)


def feed_in_parts(tracker, stream, cuts):
    position = 0
    for cut in [*sorted(cuts), len(stream)]:
        tracker.feed(stream[position:cut])
        position = max(position, cut)


class LineByLineTracker(EventTracker):
    """The same tracker, which looks at each line by itself."""

    def feed(self, data):
        boundary = -1
        for position in range(len(data)):
            passed = super().feed(data[position : position + 1])
            if passed >= 0:
                boundary = position + passed
        return boundary


@st.composite
def streams(draw):
    end = draw(ONE_LINE_END)
    mark = draw(st.sampled_from([b"", BYTE_ORDER_MARK]))
    text = mark + end.join(draw(st.lists(LINES, max_size=12)))
    return text, end, draw(st.lists(st.integers(0, len(text)), max_size=5))


class TestWithinEvent:
    @given(streams())
    def test_is_the_same_however_the_stream_is_split(self, drawn):
        text, _, cuts = drawn
        whole, parts = EventTracker(), EventTracker()
        whole.feed(text)
        feed_in_parts(parts, text, cuts)
        assert parts.within_event == whole.within_event
        assert parts.last_id == whole.last_id

    @given(streams())
    def test_agrees_with_a_second_implementation(self, drawn):
        text, _, cuts = drawn
        if text.endswith(b"\r"):
            text += b"data"
        tracker = EventTracker()
        feed_in_parts(tracker, text, cuts)
        assert tracker.within_event == is_within_event(text)

    def test_event_needs_its_empty_line(self):
        for end in (b"\n", b"\r\n", b"\r"):
            tracker = EventTracker()
            tracker.feed(b"data: a" + end)
            assert tracker.within_event
            tracker.feed(end)
            assert not tracker.within_event

    def test_half_of_a_last_line_end_is_within_the_event(self):
        tracker = EventTracker()
        tracker.feed(b"data: a\r\n\r")
        assert tracker.within_event
        tracker.feed(b"\n")
        assert not tracker.within_event

    def test_stream_without_events_is_not_within_one(self):
        for stream in (b"", BYTE_ORDER_MARK, b": note\n", b"retry: 10\r\n", b"\n"):
            tracker = EventTracker()
            tracker.feed(stream)
            assert not tracker.within_event, stream

    def test_unfinished_line_is_within_an_event(self):
        for stream in (b"i", b": no", b"data: a\n\nid", b"\xef\xbb"):
            tracker = EventTracker()
            tracker.feed(stream)
            assert tracker.within_event, stream


ANY_LINES = st.lists(
    st.tuples(
        st.sampled_from(
            [
                *(
                    b"id: 7",
                    b"id",
                    b"id:",
                    b"idle: 3",
                    b"id:\x00",
                    b"id: " + b"9" * 4100,
                ),
                *(b"data: a", b"data", b"database", b": note", b":", b""),
                *(b"retry: 5", b"retry", b"retrying", b"weights: 3"),
            ]
        ),
        ONE_LINE_END,
    ),
    max_size=10,
)


class TestManyLinesAtOnce:
    # Guards against lines that are searched together and mean something else
    # than one by one.
    @given(ANY_LINES, st.booleans(), st.lists(st.integers(0, 90), max_size=4))
    def test_mean_what_they_mean_one_by_one(self, lines, has_mark, cuts):
        text = BYTE_ORDER_MARK * has_mark + b"".join(map(b"".join, lines))
        whole, single = EventTracker(), LineByLineTracker()
        position = 0
        for cut in [*sorted(cuts), len(text)]:
            part = text[position:cut]
            assert whole.feed(part) == single.feed(part)
            assert read_state(whole) == read_state(single)
            position = max(position, cut)


def read_state(tracker):
    state = dict(vars(tracker))
    if not tracker._has_fields:
        # Only within an event.
        del state["_has_data"]
    return state


class TestBoundary:
    @given(streams())
    def test_nothing_of_an_open_event_is_before_the_boundary(self, drawn):
        text, _, cuts = drawn
        tracker, position, passed = EventTracker(), 0, 0
        for cut in [*sorted(cuts), len(text)]:
            boundary = tracker.feed(text[position:cut])
            if boundary >= 0:
                passed = position + boundary
            position = max(position, cut)
        before = EventTracker()
        before.feed(text[:passed])
        half_line_end = text[:passed].endswith(b"\r")
        assert half_line_end or not before.within_event
        if not tracker.within_event and not text.endswith(b"\r"):
            assert text[passed:] in (b"", BYTE_ORDER_MARK)

    def test_bare_returns_do_not_delay_an_event(self):
        tracker = EventTracker()
        event = b"id: 1\rdata: a\r\r"
        assert tracker.feed(event) == len(event)
        assert tracker.feed(event) == len(event)


class TestLastId:
    def test_counts_once_the_event_is_complete(self):
        tracker = EventTracker()
        tracker.feed(b"id: 1\ndata: a\n\nid: 2\ndata: b\n")
        assert tracker.last_id == "1"
        tracker.feed(b"\n")
        assert tracker.last_id == "2"

    def test_byte_order_mark_is_no_part_of_the_field(self):
        tracker = EventTracker()
        tracker.feed(BYTE_ORDER_MARK + b"id: 1\ndata: a\n\n")
        assert tracker.last_id == "1"

    def test_event_without_an_id_is_not_the_last_one(self):
        tracker = EventTracker()
        tracker.feed(b"id: 1\ndata: a\n\n: note\n\nretry: 3\n\n")
        assert tracker.id_is_last
        tracker.feed(b"data: b\n\n")
        assert not tracker.id_is_last
        tracker.feed(b"id: 3\ndata: c\n\n")
        assert tracker.id_is_last

    def test_unusable_id_is_not_the_last_one(self):
        for id in (b"", b"1\x002", b"9" * 5000):
            tracker = EventTracker()
            tracker.feed(b"id: 1\ndata: a\n\nid: " + id + b"\ndata: b\n\n")
            assert not tracker.id_is_last

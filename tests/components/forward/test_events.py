"""Tests of how events are held back until they are complete."""

import re

import pytest
from hypothesis import given, strategies as st

from fescuekeel.components.forward.events import MAX_HELD_BYTES, EventSplitter
from fescuekeel.helpers.event_stream import BYTE_ORDER_MARK

LINE_ENDS = [b"\n", b"\r\n", b"\r"]


def make_event(number, end=b"\n"):
    return end.join([f"id: {number}".encode(), f"data: {number}".encode(), b"", b""])


def feed_in_parts(splitter, stream, cuts):
    passed, position = b"", 0
    for cut in [*sorted(cuts), len(stream)]:
        passed += splitter.feed(stream[position : max(position, cut)])
        position = max(position, cut)
    return passed


class TestWholeStream:
    # Guards against a stream that is held back for good by its line ends.
    @given(
        st.sampled_from(LINE_ENDS),
        st.integers(0, 6),
        st.lists(st.integers(0, 150), max_size=8),
    )
    def test_passes_whole_however_it_is_split(self, end, count, cuts):
        stream = b"".join(make_event(number, end) for number in range(1, count + 1))
        splitter = EventSplitter()
        passed = feed_in_parts(splitter, stream, cuts)
        if end == b"\r" and count:
            # The last line end may be half of one until the next byte.
            passed += splitter.feed(b": end\r")
            stream += b": end\r"
        assert passed in (stream, stream[:-1])
        assert splitter.last_id == (str(count) if count else "")

    def test_comments_pass_at_once(self):
        splitter = EventSplitter()
        assert splitter.feed(b": ping\n") == b": ping\n"
        assert splitter.feed(b"retry: 5\n\n") == b"retry: 5\n\n"
        assert splitter.can_go_on

    # Guards against bytes of a whole stream that are held back at its end.
    def test_rest_of_a_stream_is_not_lost(self):
        for stream in (b"\r", BYTE_ORDER_MARK, b"data: a\n\n\r"):
            splitter = EventSplitter()
            passed = splitter.feed(stream)
            assert not splitter.within_event
            assert passed + splitter.take_rest() == stream

    # Guards against a long event that cuts its stream off.
    def test_event_beyond_the_buffer_passes_in_fragments(self):
        splitter = EventSplitter()
        long = b"id: 1\ndata: " + b"x" * MAX_HELD_BYTES
        assert splitter.feed(long) == long
        assert not splitter.can_go_on
        assert splitter.feed(b"y\n\n") == b"y\n\n"
        assert splitter.can_go_on
        assert splitter.last_id == "1"


@st.composite
def broken_parts(draw):
    """Return line ends, and how many bytes arrive of each broken part."""
    parts = draw(st.integers(1, 4))
    return [
        (draw(st.sampled_from(LINE_ENDS)), draw(st.integers(0, 160)))
        for _ in range(parts)
    ]


class TestBrokenStream:
    # Guards against an event that is lost, joined or comes twice, wherever
    # parts break off and however their packets are split.
    @given(broken_parts(), st.lists(st.integers(0, 200), max_size=6))
    def test_caller_has_each_event_once(self, parts, cuts):
        last = 8
        splitter = EventSplitter()
        passed = b""
        for number, (end, length) in enumerate(parts):
            first = int(splitter.last_id or 0) + 1
            stream = b"".join(make_event(item, end) for item in range(first, last + 1))
            is_last = number == len(parts) - 1
            passed += feed_in_parts(
                splitter, stream[: None if is_last else length], cuts
            )
            if not is_last:
                assert splitter.can_go_on
                splitter.begin_next_part()
        passed += splitter.take_rest()
        found = [int(id) for id in re.findall(rb"id: (\d+)", passed)]
        assert found == list(range(1, last + 1))
        assert len(re.findall(rb"data: \d+", passed)) == last

    @pytest.mark.parametrize("end", LINE_ENDS)
    def test_goes_on_without_the_unfinished_event(self, end):
        splitter = EventSplitter()
        first, second = make_event(1, end), make_event(2, end)
        assert splitter.feed(first + second[:9]) == first
        assert splitter.within_event
        splitter.begin_next_part()
        assert splitter.last_id == "1"
        assert splitter.feed(second) == second
        assert splitter.last_id == "2"

    def test_last_id_outlasts_a_part_without_events(self):
        splitter = EventSplitter()
        splitter.feed(make_event(1))
        splitter.begin_next_part()
        splitter.feed(b"id: 2\nda")
        splitter.begin_next_part()
        assert (splitter.last_id, splitter.can_go_on) == ("1", True)

    # Guards against an event that comes twice since it has no id.
    def test_cannot_go_on_after_an_event_without_an_id(self):
        splitter = EventSplitter()
        splitter.feed(make_event(1) + b"data: more\n\n")
        assert not splitter.can_go_on
        splitter.begin_next_part()
        assert not splitter.can_go_on

    def test_byte_order_mark_of_a_later_part_is_dropped(self):
        splitter = EventSplitter()
        first = BYTE_ORDER_MARK + make_event(1)
        assert splitter.feed(first) == first
        splitter.begin_next_part()
        assert splitter.feed(BYTE_ORDER_MARK + make_event(2)) == make_event(2)

"""Tests of the event stream parser."""

import pytest

from fescuekeel.components.engine.events import END_MARK, EventStream


def make_event(position: int) -> bytes:
    return b'data: {"position": %d}\n\n' % position


class TestEventStream:
    def test_event_split_over_reads_is_reassembled(self) -> None:
        stream = EventStream()
        data = make_event(0) + make_event(1)
        chunks = [stream.feed(data[at : at + 1]) for at in range(len(data))]
        found = [chunk.position for found in chunks for chunk in found]
        assert found == [0, 1]

    # Guards against a whole stream that is lost since its lines do not end
    # with LF.
    @pytest.mark.parametrize("end", [b"\r\n", b"\r"])
    @pytest.mark.parametrize("size", [1, 7, 1000])
    def test_other_line_ends_make_the_same_chunks(self, end: bytes, size: int) -> None:
        stream = EventStream()
        data = (make_event(0) + make_event(1) + END_MARK).replace(b"\n", end)
        passed = b""
        for at in range(0, len(data), size):
            for chunk in stream.feed(data[at : at + size]):
                passed += chunk.data
        assert passed == make_event(0) + make_event(1)
        assert stream.done

    def test_events_below_the_position_are_dropped(self) -> None:
        """Guards against duplicate tokens when a stream resumes too early."""
        stream = EventStream(position=2)
        (chunk,) = stream.feed(b"".join(map(make_event, range(4))))
        assert (chunk.position, chunk.tokens) == (2, 2)
        assert chunk.data == make_event(2) + make_event(3)

    def test_one_token_per_chunk_splits_events(self) -> None:
        stream = EventStream(one_token_per_chunk=True)
        chunks = stream.feed(make_event(0) + make_event(1))
        assert [(chunk.position, chunk.tokens) for chunk in chunks] == [(0, 1), (1, 1)]

    def test_events_after_a_gap_are_ignored(self) -> None:
        stream = EventStream()
        (chunk,) = stream.feed(make_event(0) + make_event(2) + make_event(1))
        assert (chunk.tokens, stream.gap, stream.position) == (1, True, 1)

    def test_partial_event_of_a_lost_connection_is_discarded(self) -> None:
        stream = EventStream()
        stream.feed(make_event(0)[:10])
        stream.reset()
        (chunk,) = stream.feed(make_event(0))
        assert chunk.tokens == 1

    def test_error_event_is_not_a_token(self) -> None:
        stream = EventStream()
        assert stream.feed(b'data: {"error": "evicted"}\n\n') == []
        assert (stream.error, stream.done) == ("evicted", False)

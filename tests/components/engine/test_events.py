"""Tests of the parser of event streams."""

from fescuekeel.components.engine.events import EventStream


def make_event(position: int) -> bytes:
    return b'data: {"position": %d}\n\n' % position


class TestEventStream:
    def test_cut_bytes_are_put_together(self) -> None:
        stream = EventStream()
        data = make_event(0) + make_event(1)
        pieces = [stream.feed(data[at : at + 1]) for at in range(len(data))]
        found = [piece.position for found in pieces for piece in found]
        assert found == [0, 1]

    def test_known_events_are_dropped(self) -> None:
        """A stream is taken up again and its server starts a little earlier.

        The words that the caller has already must not be repeated.
        """
        stream = EventStream(position=2)
        (piece,) = stream.feed(b"".join(map(make_event, range(4))))
        assert (piece.position, piece.tokens) == (2, 2)
        assert piece.data == make_event(2) + make_event(3)

    def test_single_tokens_are_pieces_of_their_own(self) -> None:
        stream = EventStream(single=True)
        pieces = stream.feed(make_event(0) + make_event(1))
        assert [(piece.position, piece.tokens) for piece in pieces] == [(0, 1), (1, 1)]

    def test_nothing_is_taken_after_a_gap(self) -> None:
        stream = EventStream()
        (piece,) = stream.feed(make_event(0) + make_event(2) + make_event(1))
        assert (piece.tokens, stream.gap, stream.position) == (1, True, 1)

    def test_half_event_of_a_lost_connection_is_forgotten(self) -> None:
        stream = EventStream()
        stream.feed(make_event(0)[:10])
        stream.restart()
        (piece,) = stream.feed(make_event(0))
        assert piece.tokens == 1

    def test_error_event_is_no_token(self) -> None:
        stream = EventStream()
        assert stream.feed(b'data: {"error": "evicted"}\n\n') == []
        assert (stream.error, stream.done) == ("evicted", False)

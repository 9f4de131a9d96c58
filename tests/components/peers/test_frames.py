"""Tests of the frames between instances."""

from fescuekeel.components.peers.frames import Direction, FrameReader, FrameWriter
from fescuekeel.errors import ErrorKind

KEY, OTHER_KEY = b"k" * 16, b"o" * 16
SESSION = b"nonces"


def make_reader(*keys, session=SESSION, direction=Direction.CONNECTING):
    return FrameReader(keys or (KEY,), session, direction, limit=100)


def make_writer(key=KEY):
    return FrameWriter(key, SESSION, Direction.CONNECTING)


class TestFrameReader:
    def test_payloads_come_out_however_the_bytes_are_cut(self):
        writer = make_writer()
        data = b"".join(writer.seal(text) for text in (b"one", b"two", b"three"))
        reader = make_reader()
        seen = []
        for byte in data:
            seen += reader.feed(bytes([byte])).unwrap()
        assert seen == [b"one", b"two", b"three"]

    def test_each_of_two_keys_is_accepted(self):
        for key in (KEY, OTHER_KEY):
            reader = make_reader(KEY, OTHER_KEY)
            assert reader.feed(make_writer(key).seal(b"x")).unwrap() == [b"x"]

    def test_a_frame_signed_by_a_stranger_is_refused(self):
        failure = make_reader().feed(make_writer(OTHER_KEY).seal(b"x")).failure()
        assert failure.kind is ErrorKind.STRANGER

    def test_a_recorded_frame_is_worth_nothing_again(self):
        # A request would run twice: someone between two instances records a
        # signed frame and sends it again, on the same connection, on another
        # one, or back to its sender.
        frame = make_writer().seal(b"x")
        reader = make_reader()
        reader.feed(frame)
        for other in (
            reader,
            make_reader(session=b"others"),
            make_reader(direction=Direction.ACCEPTING),
        ):
            assert other.feed(frame).failure().kind is ErrorKind.STRANGER

    def test_a_length_out_of_bounds_is_refused_before_its_bytes_come(self):
        for length in (0, 32, 133, 2**32 - 1):
            failure = make_reader().feed(length.to_bytes(4, "big")).failure()
            assert failure.kind is ErrorKind.BAD_FRAME

"""Tests of the framing between instances."""

from fescuekeel.components.peers.frames import Direction, FrameReader, FrameWriter
from fescuekeel.errors import ErrorKind

KEY, OTHER_KEY = b"k" * 16, b"o" * 16
SESSION = b"nonces"


def make_reader(*keys, session=SESSION, direction=Direction.CONNECTING):
    return FrameReader(keys or (KEY,), session, direction, max_payload_bytes=100)


def make_writer(key=KEY):
    return FrameWriter(key, SESSION, Direction.CONNECTING)


class TestFrameReader:
    def test_payloads_are_reassembled_from_single_bytes(self):
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

    def test_a_replayed_frame_is_refused(self):
        # A replayed frame would run a request twice: on the same connection,
        # on another one, or reflected to its sender.
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

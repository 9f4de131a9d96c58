"""Tests of the codec of messages between instances."""

import dataclasses
import typing
import zlib

from hypothesis import given, strategies as st

from fescuekeel.const import MAX_FRAME_BYTES
from fescuekeel.errors import ErrorKind
from fescuekeel.helpers.wire import KINDS_BY_VARIANT, SCHEMA, decode, encode
from fescuekeel.messages import (
    AdapterRef,
    Envelope,
    News,
    NewsKind,
    Ping,
    RunningAnswer,
    RunningWork,
    Submit,
    WireMessage,
)

TEXT = st.text(st.characters(exclude_categories=["Cs"], exclude_characters="\0"))
SCALAR_STRATEGIES_BY_TYPE = {
    bool: st.booleans(),
    bytes: st.binary(),
    float: st.floats(allow_nan=False),
    int: st.integers(0, 255),
    str: TEXT,
}


def build(hint):
    """Return a strategy for values of a message field's type."""
    if hint in SCALAR_STRATEGIES_BY_TYPE:
        return SCALAR_STRATEGIES_BY_TYPE[hint]
    if typing.get_origin(hint) is tuple:
        return st.lists(build(typing.get_args(hint)[0]), max_size=3).map(tuple)
    if dataclasses.is_dataclass(hint):
        hints = typing.get_type_hints(hint)
        return st.builds(hint, **{name: build(part) for name, part in hints.items()})
    return st.sampled_from(hint)


MESSAGES = st.one_of([build(kind) for kind in typing.get_args(WireMessage)])


class TestCodec:
    def test_every_message_has_a_variant(self):
        variants = SCHEMA.Envelope.schema.fields["body"].schema.union_fields
        assert set(variants) == set(KINDS_BY_VARIANT)

    def test_nested_messages_round_trip(self):
        work = RunningWork("r1", AdapterRef("a", "1.10"), 900)
        news = News(NewsKind.SUSPECT, "i2", 4, "127.0.0.1:9", "dc1")
        for body in (RunningAnswer("e1", 2**60, (work,)), Ping((news, news))):
            envelope = Envelope(3, 2, body)
            assert decode(encode(envelope)).unwrap() == envelope

    @given(MESSAGES, st.integers(0, 2**32 - 1))
    def test_any_message_round_trips(self, body, number):
        envelope = Envelope(number, 0, body)
        assert decode(encode(envelope)).unwrap() == envelope

    def test_submit_keeps_the_version_as_text(self):
        submit = Submit(
            "r", 1, "e", "s", "v", AdapterRef("a", "1.10"), 0, 5, True, False, "/", b"x"
        )
        decoded = decode(encode(Envelope(1, 0, submit))).unwrap().body
        assert decoded == submit

    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_never_raise(self, frame):
        decode(frame)

    @given(st.integers(0, 10_000), st.integers(0, 255))
    def test_corrupted_frame_never_raises(self, where, value):
        frame = bytearray(encode(Envelope(1, 0, Ping((News(NewsKind.DEAD, "x", 1),)))))
        frame[where % len(frame)] = value
        decode(bytes(frame))


class TestCompression:
    def make_long(self, count=200):
        news = tuple(
            News(NewsKind.ALIVE, f"edge-{number}", number, "127.0.0.1:9", "dc1")
            for number in range(1, count + 1)
        )
        return Envelope(3, 0, Ping(news))

    def test_long_message_is_compressed(self):
        envelope = self.make_long()
        frame = encode(envelope)
        assert len(frame) < 8_000
        assert decode(frame).unwrap() == envelope

    def test_truncated_or_corrupted_frame_is_rejected(self):
        frame = encode(self.make_long())
        for damaged in (frame[:-5], frame[:40] + b"\0\0\0\0" + frame[44:], b"\x78"):
            assert decode(damaged).failure().kind is ErrorKind.BAD_FRAME

    def test_decompression_bomb_is_rejected(self):
        """A small frame must not exhaust the memory of an instance."""
        bomb = zlib.compress(bytes(20 * MAX_FRAME_BYTES))
        assert len(bomb) < MAX_FRAME_BYTES
        assert decode(bomb).failure().kind is ErrorKind.BAD_FRAME

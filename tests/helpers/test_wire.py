"""Tests of the codec between instances."""

from hypothesis import given, strategies as st

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
)


class TestCodec:
    def test_every_message_has_a_variant(self):
        variants = SCHEMA.Envelope.schema.fields["body"].schema.union_fields
        assert set(variants) == set(KINDS_BY_VARIANT)

    def test_nested_messages_return_unchanged(self):
        work = RunningWork("r1", AdapterRef("a", "1.10"), 900)
        news = News(NewsKind.SUSPECT, "i2", 4, "127.0.0.1:9", "dc1")
        for body in (RunningAnswer("e1", 2**60, (work,)), Ping((news, news))):
            envelope = Envelope(3, 2, body)
            assert decode(encode(envelope)).unwrap() == envelope

    def test_submit_keeps_the_version_as_text(self):
        submit = Submit(
            "r", 1, "e", "s", "v", AdapterRef("a", "1.10"), 0, 5, True, False, "/", b"x"
        )
        decoded = decode(encode(Envelope(1, 0, submit))).unwrap().body
        assert decoded == submit

    @given(st.binary(max_size=200))
    def test_any_bytes_give_a_message_or_a_failure(self, frame):
        decode(frame)

    @given(st.integers(0, 10_000), st.integers(0, 255))
    def test_a_damaged_frame_gives_a_message_or_a_failure(self, where, value):
        frame = bytearray(encode(Envelope(1, 0, Ping((News(NewsKind.DEAD, "x", 1),)))))
        frame[where % len(frame)] = value
        decode(bytes(frame))

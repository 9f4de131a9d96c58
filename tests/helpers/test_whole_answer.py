"""Tests of what makes an answer whole."""

import pytest

from fescuekeel.helpers.whole_answer import (
    BodyEnd,
    Framing,
    find_defect,
    find_framing,
    is_event_stream,
)


class TestFindDefect:
    @pytest.mark.parametrize(
        ("framing", "end", "whole"),
        [
            (Framing.LENGTH, BodyEnd.DECLARED, True),
            (Framing.LENGTH, BodyEnd.CLOSED, False),
            (Framing.LENGTH, BodyEnd.RESET, False),
            (Framing.CHUNKS, BodyEnd.DECLARED, True),
            (Framing.CHUNKS, BodyEnd.CLOSED, False),
            (Framing.CHUNKS, BodyEnd.RESET, False),
            (Framing.CLOSE, BodyEnd.CLOSED, True),
            (Framing.CLOSE, BodyEnd.RESET, False),
            (Framing.NO_BODY, BodyEnd.DECLARED, True),
        ],
    )
    def test_each_end_of_each_framing(self, framing, end, whole):
        assert (find_defect(framing, end, within_event=False) == "") is whole
        assert find_defect(framing, end, within_event=True)

    def test_no_answer_is_not_whole(self):
        assert find_defect(None, BodyEnd.CLOSED, within_event=False)


class TestFindFraming:
    def test_answers_without_a_body(self):
        headers = {"content-length": "3"}
        assert find_framing("HEAD", 200, headers) is Framing.NO_BODY
        assert find_framing("GET", 204, {}) is Framing.NO_BODY

    def test_chunks_win_over_a_length(self):
        headers = {"content-length": "3", "transfer-encoding": "chunked"}
        assert find_framing("GET", 200, headers) is Framing.CHUNKS

    def test_neither_ends_with_the_connection(self):
        assert find_framing("POST", 200, {}) is Framing.CLOSE


class TestIsEventStream:
    def test_type_wins_over_what_is_expected(self):
        assert not is_event_stream(200, "application/json", expected=True)
        assert is_event_stream(200, "Text/Event-Stream;charset=utf-8")

    def test_without_a_type(self):
        assert is_event_stream(200, "", expected=True)
        assert not is_event_stream(200, "")

    def test_errors_are_no_streams(self):
        assert not is_event_stream(500, "text/event-stream", expected=True)

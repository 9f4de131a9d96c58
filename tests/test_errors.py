"""Tests of the closed list of error kinds."""

from fescuekeel.errors import ANSWERS_BY_KIND, ErrorKind, Failure, Ran


class TestAnswers:
    def test_every_kind_has_an_answer(self):
        assert set(ANSWERS_BY_KIND) == set(ErrorKind)

    def test_a_failure_may_be_more_certain_than_its_kind(self):
        assert Failure(ErrorKind.INTERNAL, ran=Ran.NO).outcome is Ran.NO
        assert Failure(ErrorKind.INTERNAL).outcome is Ran.UNKNOWN

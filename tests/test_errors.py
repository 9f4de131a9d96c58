"""Tests of the error kinds."""

from fescuekeel.errors import RESPONSES_BY_KIND, ErrorKind, Failure, Ran


class TestResponses:
    def test_every_kind_has_a_response(self):
        assert set(RESPONSES_BY_KIND) == set(ErrorKind)

    def test_a_failure_may_override_the_outcome_of_its_kind(self):
        assert Failure(ErrorKind.INTERNAL, ran=Ran.NO).outcome is Ran.NO
        assert Failure(ErrorKind.INTERNAL).outcome is Ran.UNKNOWN

"""Tests of what becomes of a request after each attempt."""

import hypothesis.strategies as st
from hypothesis import given

from fescuekeel.components.forward.attempts import (
    AttemptEnd,
    RequestState,
    Step,
    decide,
)
from fescuekeel.errors import ErrorKind

RAN = (AttemptEnd.FAILED, AttemptEnd.BROKEN)


def make_state(safe=False, resumable=False, max_attempts=1, sent=("e1",)):
    state = RequestState(safe, resumable, max_attempts)
    for endpoint in sent:
        state.note_sent(endpoint)
    return state


class TestUnsafeRequest:
    def test_broken_answer_is_not_sent_again(self):
        """A charge was made twice.

        The endpoint ran the request and its answer was lost with the
        connection; the request was sent to another endpoint.
        """
        step = decide(make_state(max_attempts=3), AttemptEnd.BROKEN)
        assert step.step is Step.FAIL
        assert step.kind is ErrorKind.OUTCOME_UNKNOWN

    def test_word_that_it_did_not_run_lets_it_go_again(self):
        step = decide(make_state(max_attempts=2), AttemptEnd.NOT_RUN)
        assert step.step is Step.AGAIN
        assert step.spends
        assert step.kind is ErrorKind.ENDPOINT_REFUSED

    def test_nothing_sent_is_free(self):
        step = decide(make_state(sent=()), AttemptEnd.UNSENT)
        assert step.step is Step.AGAIN
        assert not step.spends


class TestSafeRequest:
    def test_failure_is_kept_from_the_caller_once(self):
        state = make_state(safe=True, max_attempts=2)
        assert decide(state, AttemptEnd.FAILED).step is Step.AGAIN
        state.note_sent("e2")
        assert decide(state, AttemptEnd.FAILED).step is Step.PASS_ON

    def test_endpoints_are_bounded_by_attempts(self):
        state = make_state(safe=True, max_attempts=2, sent=("e1", "e2"))
        assert state.may_go_to("e1")
        assert not state.may_go_to("e3")


class TestStream:
    def test_started_answer_is_broken_off(self):
        state = make_state()
        state.delivered = True
        assert decide(state, AttemptEnd.BROKEN).step is Step.BREAK_OFF

    def test_resumable_answer_goes_on_elsewhere(self):
        state = make_state(resumable=True, max_attempts=2)
        state.delivered = True
        assert decide(state, AttemptEnd.BROKEN).step is Step.RESUME


class TestPromises:
    @given(
        st.booleans(),
        st.booleans(),
        st.integers(1, 3),
        st.lists(st.sampled_from(AttemptEnd), max_size=8),
    )
    def test_not_run_is_never_told_of_what_may_have_run(
        self, safe, resumable, max_attempts, ends
    ):
        """Whatever happens in whatever order, refusals are true."""
        state = RequestState(safe, resumable, max_attempts)
        ran = False
        for number, end in enumerate(ends):
            if end is not AttemptEnd.UNSENT:
                state.note_sent(f"e{number}")
            ran = ran or end in RAN
            step = decide(state, end)
            if ran:
                assert step.kind is not ErrorKind.ENDPOINT_REFUSED
            if ran and not state.repeatable:
                assert step.step not in (Step.AGAIN, Step.RESUME) or (
                    end is AttemptEnd.UNSENT
                )
                return
            if step.step not in (Step.AGAIN, Step.RESUME):
                return

"""Tests of the next step after each attempt."""

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
        state.record_sent(endpoint)
    return state


class TestUnsafeRequest:
    def test_no_retry_after_broken_answer(self):
        """Guards against running an unsafe request twice.

        The endpoint may have run it although its answer was lost.
        """
        step = decide(make_state(max_attempts=3), AttemptEnd.BROKEN)
        assert step.step is Step.FAIL
        assert step.kind is ErrorKind.OUTCOME_UNKNOWN

    def test_retry_if_the_endpoint_reports_not_run(self):
        step = decide(make_state(max_attempts=2), AttemptEnd.NOT_RUN)
        assert step.step is Step.RETRY
        assert step.uses_budget
        assert step.kind is ErrorKind.ENDPOINT_REFUSED

    def test_retry_without_budget_if_nothing_was_sent(self):
        step = decide(make_state(sent=()), AttemptEnd.UNSENT)
        assert step.step is Step.RETRY
        assert not step.uses_budget


class TestSafeRequest:
    def test_failure_is_retried_up_to_max_attempts(self):
        state = make_state(safe=True, max_attempts=2)
        assert decide(state, AttemptEnd.FAILED).step is Step.RETRY
        state.record_sent("e2")
        assert decide(state, AttemptEnd.FAILED).step is Step.PASS_ON

    def test_distinct_endpoints_are_limited_by_max_attempts(self):
        state = make_state(safe=True, max_attempts=2, sent=("e1", "e2"))
        assert state.may_send_to("e1")
        assert not state.may_send_to("e3")


class TestStream:
    def test_started_answer_is_aborted(self):
        state = make_state()
        state.answer_started = True
        assert decide(state, AttemptEnd.BROKEN).step is Step.ABORT

    def test_resumable_answer_is_resumed(self):
        state = make_state(resumable=True, max_attempts=2)
        state.answer_started = True
        assert decide(state, AttemptEnd.BROKEN).step is Step.RESUME


class TestGuarantees:
    @given(
        st.booleans(),
        st.booleans(),
        st.integers(1, 3),
        st.lists(st.sampled_from(AttemptEnd), max_size=8),
    )
    def test_not_run_is_never_reported_if_it_may_have_run(
        self, safe, resumable, max_attempts, ends
    ):
        """Holds for any sequence of attempt ends."""
        state = RequestState(safe, resumable, max_attempts)
        ran = False
        for number, end in enumerate(ends):
            if end is not AttemptEnd.UNSENT:
                state.record_sent(f"e{number}")
            ran = ran or end in RAN
            step = decide(state, end)
            if ran:
                assert step.kind is not ErrorKind.ENDPOINT_REFUSED
            if ran and not state.repeatable:
                assert step.step not in (Step.RETRY, Step.RESUME) or (
                    end is AttemptEnd.UNSENT
                )
                return
            if step.step not in (Step.RETRY, Step.RESUME):
                return

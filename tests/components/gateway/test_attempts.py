"""Tests of the state machine of one request."""

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from fescuekeel.components.gateway.attempts import MAX_ATTEMPTS, RequestStateMachine
from fescuekeel.components.gateway.request_events import (
    Accepted,
    Admitted,
    AnswerStart,
    CallerDisconnected,
    CancelAttempt,
    CheckBudget,
    ChunkReceived,
    Deliver,
    Ended,
    Fail,
    Finish,
    OwnerLost,
    Refused,
    RetryDecided,
    SendAttempt,
    ShutdownTimedOut,
    Started,
    StartRequested,
    Submitted,
    TimerFired,
)
from fescuekeel.errors import ErrorKind, Failure, Ran

DEADLINE = 10.0


def make_state_machine(repeatable=True, stream=False):
    state_machine = RequestStateMachine(repeatable, stream, DEADLINE)
    state_machine.handle(Admitted(), 0.0)
    return state_machine


def allow(state_machine, effects):
    assert isinstance(effects[-1], CheckBudget)
    return state_machine.handle(RetryDecided(True), 1.0)


def get_failure(effects):
    return next(item.failure for item in effects if isinstance(item, Fail))


class TestBackOff:
    def test_attempt_that_was_never_sent_leaves_no_doubt(self):
        """Guards against "unknown" when the deadline ends a back-off."""
        refused = Refused(1, Failure(ErrorKind.ENDPOINT_REFUSED, ran=Ran.NO))
        for sent, ran in ((False, Ran.NO), (True, Ran.UNKNOWN)):
            state_machine = make_state_machine()
            allow(state_machine, state_machine.handle(refused, 1.0))
            if sent:
                assert state_machine.handle(Submitted(2), 2.0) == []
            effects = state_machine.handle(TimerFired(), DEADLINE + 1.0)
            assert get_failure(effects).outcome is ran


class TestStartPermission:
    def test_permission_is_granted_once(self):
        state_machine = make_state_machine(repeatable=False)
        assert state_machine.handle(StartRequested(1), 1.0) == [AnswerStart(1, True)]
        assert state_machine.handle(StartRequested(1), 1.0) == [AnswerStart(1, False)]

    def test_earlier_owner_gets_no_permission(self):
        """Guards against a second run by an owner that resumes after a pause.

        Attempt 2 has been submitted elsewhere in the meantime.
        """
        state_machine = make_state_machine(repeatable=False)
        allow(state_machine, state_machine.handle(OwnerLost(1), 1.0))
        assert state_machine.handle(StartRequested(1), 1.1) == [AnswerStart(1, False)]
        assert state_machine.handle(StartRequested(2), 1.2) == [AnswerStart(2, True)]

    def test_no_permission_after_not_run_was_reported(self):
        """Guards against a run by a paused owner after "not run" was reported.

        The owner resumes after the request has expired.
        """
        state_machine = make_state_machine(repeatable=False)
        state_machine.handle(Accepted(1), 0.1)
        effects = state_machine.handle(TimerFired(), DEADLINE + 1)
        assert get_failure(effects).outcome is Ran.NO
        assert CancelAttempt(1) in effects
        assert state_machine.handle(StartRequested(1), DEADLINE + 2) == [
            AnswerStart(1, False)
        ]

    def test_rejected_hand_over_allows_another_permission(self):
        state_machine = make_state_machine(repeatable=False)
        state_machine.handle(StartRequested(1), 1.0)
        refusal = Failure(ErrorKind.ENDPOINT_REFUSED)
        allow(state_machine, state_machine.handle(Ended(1, refusal), 1.1))
        assert state_machine.handle(StartRequested(2), 1.2) == [AnswerStart(2, True)]


class TestOutcome:
    def test_lost_owner_with_permission_leaves_outcome_unknown(self):
        """Guards against "not run" for a request that may have run."""
        state_machine = make_state_machine(repeatable=False)
        state_machine.handle(StartRequested(1), 1.0)
        failure = get_failure(state_machine.handle(OwnerLost(1), 1.1))
        assert failure.kind is ErrorKind.OUTCOME_UNKNOWN

    def test_outcome_is_unknown_if_an_earlier_attempt_may_have_run(self):
        """Attempt 1 is lost after its start, attempt 2 is rejected."""
        state_machine = make_state_machine()
        state_machine.handle(Started(1), 0.5)
        allow(state_machine, state_machine.handle(OwnerLost(1), 1.0))
        effects = state_machine.handle(Refused(2, Failure(ErrorKind.TOO_LATE)), 1.1)
        assert get_failure(effects).outcome is Ran.UNKNOWN

    def test_late_rejection_of_a_lost_attempt_means_not_run(self):
        state_machine = make_state_machine()
        allow(state_machine, state_machine.handle(OwnerLost(1), 1.0))
        state_machine.handle(Refused(1, Failure(ErrorKind.DRAINING)), 1.1)
        effects = state_machine.handle(Refused(2, Failure(ErrorKind.TOO_LATE)), 1.2)
        assert get_failure(effects).outcome is Ran.NO

    def test_spent_retry_budget_is_reported_as_not_run(self):
        state_machine = make_state_machine()
        state_machine.handle(Refused(1, Failure(ErrorKind.LOAD_FAILED)), 1.0)
        failure = get_failure(state_machine.handle(RetryDecided(False), 1.0))
        assert failure.kind is ErrorKind.RETRY_BUDGET_SPENT
        assert failure.outcome is Ran.NO

    def test_number_of_attempts_is_bounded(self):
        state_machine = make_state_machine()
        effects = []
        for attempt in range(1, MAX_ATTEMPTS + 1):
            effects = state_machine.handle(
                Refused(attempt, Failure(ErrorKind.NOT_OWNER)), 1.0
            )
            if isinstance(effects[-1], CheckBudget):
                state_machine.handle(RetryDecided(True), 1.0)
        assert get_failure(effects).kind is ErrorKind.NOT_OWNER

    def test_too_late_is_reported_without_a_retry(self):
        state_machine = make_state_machine()
        refusal = Failure(ErrorKind.TOO_LATE, retry_after_s=3.0)
        assert get_failure(state_machine.handle(Refused(1, refusal), 0.1)) == refusal

    def test_lost_repeatable_request_is_retried(self):
        state_machine = make_state_machine()
        state_machine.handle(Started(1), 0.5)
        lost = Failure(ErrorKind.OUTCOME_UNKNOWN)
        assert (
            allow(state_machine, state_machine.handle(Ended(1, lost), 1.0))[0].attempt
            == 2
        )
        assert state_machine.handle(Ended(2), 2.0) == [Finish()]

    def test_disconnected_caller_cancels_the_attempt(self):
        state_machine = make_state_machine()
        effects = state_machine.handle(CallerDisconnected(), 1.0)
        assert effects[0] == CancelAttempt(1)
        assert get_failure(effects).kind is ErrorKind.CANCELLED

    def test_attempt_that_was_never_sent_counts_as_not_run(self):
        """Guards against "outcome unknown" for a request that was never sent.

        The failed connection is also reported as the loss of the owner.
        """
        state_machine = make_state_machine()
        unsent = Failure(ErrorKind.PEER_UNREACHABLE, ran=Ran.NO)
        effects = state_machine.handle(Refused(1, unsent), 0.1)
        assert state_machine.handle(OwnerLost(1), 0.1) == []
        allow(state_machine, effects)
        refused = Refused(2, Failure(ErrorKind.TOO_LATE))
        assert state_machine.handle(refused, 0.2) == [Fail(Failure(ErrorKind.TOO_LATE))]


class TestStream:
    def test_stream_resumes_at_its_position_after_owner_loss(self):
        """Guards against duplicate or missing tokens when the owner is lost.

        A late chunk of the first owner arrives after the stream was resumed.
        """
        state_machine = make_state_machine(stream=True)
        state_machine.handle(ChunkReceived(1, 0, b"ab", tokens=2), 1.0)
        effects = allow(state_machine, state_machine.handle(OwnerLost(1), 1.1))
        assert effects[0].resume and effects[0].position == 2
        assert state_machine.handle(ChunkReceived(1, 1, b"b"), 1.2) == []
        assert state_machine.handle(ChunkReceived(2, 2, b"c"), 1.3) == [Deliver(b"c")]
        end_mark = ChunkReceived(2, 3, b"end", tokens=0)
        assert state_machine.handle(end_mark, 1.4) == [Deliver(b"end"), Finish()]

    def test_stream_that_cannot_be_resumed_is_reported_as_cut(self):
        state_machine = make_state_machine(stream=True)
        state_machine.handle(ChunkReceived(1, 0, b"a"), 1.0)
        allow(state_machine, state_machine.handle(OwnerLost(1), 1.1))
        effects = state_machine.handle(
            Ended(2, Failure(ErrorKind.ENDPOINT_REFUSED)), 1.2
        )
        assert get_failure(effects).kind is ErrorKind.ANSWER_CUT

    def test_resume_is_retried_until_there_is_a_new_owner(self):
        state_machine = make_state_machine(stream=True)
        state_machine.handle(ChunkReceived(1, 0, b"a"), 1.0)
        allow(state_machine, state_machine.handle(OwnerLost(1), 1.1))
        effects = allow(
            state_machine,
            state_machine.handle(Refused(2, Failure(ErrorKind.NOT_OWNER)), 2),
        )
        assert effects[0].resume and effects[0].attempt == 3

    def test_chunks_of_an_abandoned_attempt_are_dropped(self):
        """Guards against a response that mixes the tokens of two runs."""
        state_machine = make_state_machine(stream=True)
        state_machine.handle(Started(1), 0.5)
        lost = Failure(ErrorKind.OUTCOME_UNKNOWN)
        allow(state_machine, state_machine.handle(Ended(1, lost), 1.0))
        assert state_machine.handle(ChunkReceived(1, 0, b"old"), 1.1) == []
        assert state_machine.handle(ChunkReceived(2, 0, b"new"), 1.2) == [
            Deliver(b"new")
        ]

    def test_duplicate_chunks_are_dropped(self):
        state_machine = make_state_machine(stream=True)
        assert state_machine.handle(ChunkReceived(1, 0, b"a"), 1.0) == [Deliver(b"a")]
        assert state_machine.handle(ChunkReceived(1, 0, b"a"), 1.0) == []

    def test_missing_chunk_is_requested_again(self):
        """Guards against a gap when a chunk is lost with its connection."""
        state_machine = make_state_machine(stream=True)
        state_machine.handle(ChunkReceived(1, 0, b"a"), 1.0)
        effects = allow(
            state_machine, state_machine.handle(ChunkReceived(1, 2, b"c"), 1.1)
        )
        assert effects[0].resume and effects[0].position == 1

    def test_stream_without_end_mark_is_incomplete(self):
        """The last chunk is lost but the end of the attempt is reported."""
        state_machine = make_state_machine(stream=True)
        state_machine.handle(ChunkReceived(1, 0, b"a"), 1.0)
        effects = allow(state_machine, state_machine.handle(Ended(1), 1.1))
        assert effects[0].resume and effects[0].position == 1


ATTEMPTS = st.integers(1, MAX_ATTEMPTS)
NOT_RUN_KINDS = st.sampled_from(
    [
        ErrorKind.NOT_OWNER,
        ErrorKind.QUEUE_FULL,
        ErrorKind.TOO_LATE,
        ErrorKind.LOAD_FAILED,
    ]
)


class TestStrayCancellation:
    def test_stray_cancellation_is_not_reported_to_the_caller(self):
        """Guards against "cancelled" for a request that nobody cancelled.

        The engine identifies requests by id only, so a late cancellation of
        attempt 1 stops attempt 2.
        """
        state_machine = make_state_machine()
        stopped = Failure(ErrorKind.CANCELLED, ran=Ran.UNKNOWN)
        state_machine.handle(Started(1), 1.0)
        effects = allow(state_machine, state_machine.handle(Ended(1, stopped), 1.0))
        assert isinstance(effects[0], SendAttempt)
        charge = make_state_machine(repeatable=False)
        charge.handle(StartRequested(1), 1.0)
        failure = get_failure(charge.handle(Ended(1, stopped), 1.0))
        assert failure.kind is ErrorKind.OUTCOME_UNKNOWN


class ConcurrentOwners(RuleBasedStateMachine):
    """Owners of all attempts act in any order; an oracle counts the runs."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.state_machine = RequestStateMachine(
            repeatable=False, stream=False, deadline=DEADLINE
        )
        self.sent = set()
        self.refused = set()
        self.running = set()
        self.runs = 0
        self.answers = []
        self.feed(Admitted())

    def feed(self, event):
        pending = self.state_machine.handle(event, self.now)
        while pending:
            effect = pending.pop(0)
            if isinstance(effect, SendAttempt):
                self.sent.add(effect.attempt)
            elif isinstance(effect, AnswerStart) and effect.granted:
                self.runs += 1
                self.running.add(effect.attempt)
            elif isinstance(effect, CheckBudget):
                pending += self.state_machine.handle(RetryDecided(True), self.now)
            elif isinstance(effect, Finish | Fail):
                self.answers.append(effect)

    @rule(attempt=ATTEMPTS)
    def request_start(self, attempt):
        if attempt in self.sent - self.refused - self.running:
            self.feed(StartRequested(attempt))

    @rule(attempt=ATTEMPTS, kind=NOT_RUN_KINDS)
    def reject(self, attempt, kind):
        if attempt in self.sent - self.running - self.refused:
            self.refused.add(attempt)
            self.feed(Refused(attempt, Failure(kind)))

    @rule(attempt=ATTEMPTS)
    def reject_at_the_endpoint(self, attempt):
        if attempt in self.running:
            self.running.discard(attempt)
            self.refused.add(attempt)
            self.runs -= 1
            self.feed(Ended(attempt, Failure(ErrorKind.ENDPOINT_REFUSED)))

    @rule(attempt=ATTEMPTS)
    def handle_owner_loss(self, attempt):
        if attempt in self.sent:
            self.feed(OwnerLost(attempt))

    @rule(attempt=ATTEMPTS)
    def answer(self, attempt):
        if attempt in self.running:
            self.feed(Ended(attempt))

    @rule()
    def time_out_shutdown(self):
        self.feed(ShutdownTimedOut())

    @rule(step=st.sampled_from([0.1, 4.0, 11.0]))
    def pass_time(self, step):
        self.now += step
        self.feed(TimerFired())

    @invariant()
    def runs_at_most_once(self):
        assert self.runs <= 1

    @invariant()
    def one_answer_and_not_run_is_accurate(self):
        assert len(self.answers) <= 1
        for answer in self.answers:
            if isinstance(answer, Fail) and answer.failure.outcome is Ran.NO:
                assert self.runs == 0


class TestConcurrentOwners(ConcurrentOwners.TestCase):
    settings = settings(max_examples=150, stateful_step_count=30, deadline=None)

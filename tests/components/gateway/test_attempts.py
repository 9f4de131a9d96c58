"""Tests of what an entry instance decides about one request."""

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from fescuekeel.components.gateway.attempts import MAX_ATTEMPTS, RequestLife
from fescuekeel.components.gateway.life import (
    Accepted,
    AskRetry,
    Begin,
    CallerGone,
    CancelAttempt,
    ChunkCame,
    Deliver,
    Ended,
    Fail,
    Finish,
    GrantStart,
    OwnerLost,
    Refused,
    RetryDecided,
    SendAttempt,
    ShutdownEnded,
    StartAsked,
    Started,
    TimePassed,
)
from fescuekeel.errors import ErrorKind, Failure, Ran

DEADLINE = 10.0


def make_life(repeatable=True, stream=False):
    life = RequestLife(repeatable, stream, DEADLINE)
    life.handle(Begin(), 0.0)
    return life


def allow(life, effects):
    assert isinstance(effects[-1], AskRetry)
    return life.handle(RetryDecided(True), 1.0)


def get_failure(effects):
    return next(item.failure for item in effects if isinstance(item, Fail))


class TestLeaveToStart:
    def test_leave_is_given_once(self):
        life = make_life(repeatable=False)
        assert life.handle(StartAsked(1), 1.0) == [GrantStart(1, True)]
        assert life.handle(StartAsked(1), 1.0) == [GrantStart(1, False)]

    def test_an_earlier_owner_gets_no_leave(self):
        """A charge must not run twice after its first owner was paused.

        The owner of attempt 1 queues a charge and freezes. The entry loses
        it and submits attempt 2 elsewhere. The first owner wakes up and asks
        for leave, since it still believes in its queue.
        """
        life = make_life(repeatable=False)
        allow(life, life.handle(OwnerLost(1), 1.0))
        assert life.handle(StartAsked(1), 1.1) == [GrantStart(1, False)]
        assert life.handle(StartAsked(2), 1.2) == [GrantStart(2, True)]

    def test_no_leave_after_the_caller_heard_not_run(self):
        """A caller is told "not run", then the charge runs all the same.

        The owner is paused until the request has expired; the entry answers
        the caller. Then the owner wakes up and asks for leave.
        """
        life = make_life(repeatable=False)
        life.handle(Accepted(1), 0.1)
        effects = life.handle(TimePassed(), DEADLINE + 1)
        assert get_failure(effects).outcome is Ran.NO
        assert CancelAttempt(1) in effects
        assert life.handle(StartAsked(1), DEADLINE + 2) == [GrantStart(1, False)]

    def test_a_refused_hand_over_gives_the_leave_back(self):
        life = make_life(repeatable=False)
        life.handle(StartAsked(1), 1.0)
        refusal = Failure(ErrorKind.ENDPOINT_REFUSED)
        allow(life, life.handle(Ended(1, refusal), 1.1))
        assert life.handle(StartAsked(2), 1.2) == [GrantStart(2, True)]


class TestOutcome:
    def test_a_granted_request_whose_owner_is_lost_is_unknown(self):
        """A quote may have run when its owner dies; "not run" would be a lie.

        The owner gets leave, hands the quote over and is killed.
        """
        life = make_life(repeatable=False)
        life.handle(StartAsked(1), 1.0)
        failure = get_failure(life.handle(OwnerLost(1), 1.1))
        assert failure.kind is ErrorKind.OUTCOME_UNKNOWN

    def test_not_run_is_not_said_when_an_earlier_attempt_may_have_run(self):
        """Attempt 1 is lost after its start, attempt 2 is refused."""
        life = make_life()
        life.handle(Started(1), 0.5)
        allow(life, life.handle(OwnerLost(1), 1.0))
        effects = life.handle(Refused(2, Failure(ErrorKind.TOO_LATE)), 1.1)
        assert get_failure(effects).outcome is Ran.UNKNOWN

    def test_a_late_refusal_of_the_lost_attempt_clears_the_doubt(self):
        life = make_life()
        allow(life, life.handle(OwnerLost(1), 1.0))
        life.handle(Refused(1, Failure(ErrorKind.DRAINING)), 1.1)
        effects = life.handle(Refused(2, Failure(ErrorKind.TOO_LATE)), 1.2)
        assert get_failure(effects).outcome is Ran.NO

    def test_a_spent_budget_is_told_as_not_run(self):
        life = make_life()
        life.handle(Refused(1, Failure(ErrorKind.LOAD_FAILED)), 1.0)
        failure = get_failure(life.handle(RetryDecided(False), 1.0))
        assert failure.kind is ErrorKind.RETRY_BUDGET_SPENT
        assert failure.outcome is Ran.NO

    def test_attempts_are_bounded(self):
        life = make_life()
        effects = []
        for attempt in range(1, MAX_ATTEMPTS + 1):
            effects = life.handle(Refused(attempt, Failure(ErrorKind.NOT_OWNER)), 1.0)
            if isinstance(effects[-1], AskRetry):
                life.handle(RetryDecided(True), 1.0)
        assert get_failure(effects).kind is ErrorKind.NOT_OWNER

    def test_what_cannot_be_in_time_is_told_at_once(self):
        life = make_life()
        refusal = Failure(ErrorKind.TOO_LATE, retry_after_s=3.0)
        assert get_failure(life.handle(Refused(1, refusal), 0.1)) == refusal

    def test_a_lost_repeatable_request_runs_again(self):
        life = make_life()
        life.handle(Started(1), 0.5)
        lost = Failure(ErrorKind.OUTCOME_UNKNOWN)
        assert allow(life, life.handle(Ended(1, lost), 1.0))[0].attempt == 2
        assert life.handle(Ended(2), 2.0) == [Finish()]

    def test_a_caller_that_goes_away_cancels_the_work(self):
        life = make_life()
        effects = life.handle(CallerGone(), 1.0)
        assert effects[0] == CancelAttempt(1)
        assert get_failure(effects).kind is ErrorKind.CANCELLED

    def test_an_attempt_that_was_never_sent_leaves_no_doubt(self):
        """A caller hears "outcome unknown" of a request that nobody was sent.

        The owner has left; no connection to it comes to stand, which is told
        as its loss as well. The next owner refuses: it is too late.
        """
        life = make_life()
        unsent = Failure(ErrorKind.PEER_UNREACHABLE, ran=Ran.NO)
        effects = life.handle(Refused(1, unsent), 0.1)
        assert life.handle(OwnerLost(1), 0.1) == []
        allow(life, effects)
        refused = Refused(2, Failure(ErrorKind.TOO_LATE))
        assert life.handle(refused, 0.2) == [Fail(Failure(ErrorKind.TOO_LATE))]


class TestStream:
    def test_a_stream_goes_on_at_its_position_after_its_owner_died(self):
        """A reader sees each word once although the owner is killed.

        Two tokens arrive, the owner dies, the next owner resumes at token 2.
        A late copy of token 1 arrives from the first owner.
        """
        life = make_life(stream=True)
        life.handle(ChunkCame(1, 0, b"ab", tokens=2), 1.0)
        effects = allow(life, life.handle(OwnerLost(1), 1.1))
        assert effects[0].resume and effects[0].position == 2
        assert life.handle(ChunkCame(1, 1, b"b"), 1.2) == []
        assert life.handle(ChunkCame(2, 2, b"c"), 1.3) == [Deliver(b"c")]
        end_mark = ChunkCame(2, 3, b"end", tokens=0)
        assert life.handle(end_mark, 1.4) == [Deliver(b"end"), Finish()]

    def test_a_stream_that_cannot_be_resumed_is_cut_truthfully(self):
        life = make_life(stream=True)
        life.handle(ChunkCame(1, 0, b"a"), 1.0)
        allow(life, life.handle(OwnerLost(1), 1.1))
        effects = life.handle(Ended(2, Failure(ErrorKind.ENDPOINT_REFUSED)), 1.2)
        assert get_failure(effects).kind is ErrorKind.ANSWER_CUT

    def test_a_resume_waits_for_the_new_owner(self):
        life = make_life(stream=True)
        life.handle(ChunkCame(1, 0, b"a"), 1.0)
        allow(life, life.handle(OwnerLost(1), 1.1))
        effects = allow(life, life.handle(Refused(2, Failure(ErrorKind.NOT_OWNER)), 2))
        assert effects[0].resume and effects[0].attempt == 3

    def test_pieces_of_a_given_up_attempt_are_dropped(self):
        """A caller must not read the start of one run and the end of another.

        The endpoint of attempt 1 restarts before a token is out, attempt 2
        runs elsewhere, then a delayed first token of attempt 1 arrives.
        """
        life = make_life(stream=True)
        life.handle(Started(1), 0.5)
        lost = Failure(ErrorKind.OUTCOME_UNKNOWN)
        allow(life, life.handle(Ended(1, lost), 1.0))
        assert life.handle(ChunkCame(1, 0, b"old"), 1.1) == []
        assert life.handle(ChunkCame(2, 0, b"new"), 1.2) == [Deliver(b"new")]

    def test_doubled_pieces_are_dropped(self):
        life = make_life(stream=True)
        assert life.handle(ChunkCame(1, 0, b"a"), 1.0) == [Deliver(b"a")]
        assert life.handle(ChunkCame(1, 0, b"a"), 1.0) == []

    def test_a_missing_piece_is_asked_for(self):
        """A reader must not get a text with a hole in it.

        The connection between owner and entry breaks and stands again at
        once; token 1 is lost on the way and token 2 arrives.
        """
        life = make_life(stream=True)
        life.handle(ChunkCame(1, 0, b"a"), 1.0)
        effects = allow(life, life.handle(ChunkCame(1, 2, b"c"), 1.1))
        assert effects[0].resume and effects[0].position == 1

    def test_an_answer_without_its_end_is_not_whole(self):
        """The last piece is lost, the word that all went well arrives."""
        life = make_life(stream=True)
        life.handle(ChunkCame(1, 0, b"a"), 1.0)
        effects = allow(life, life.handle(Ended(1), 1.1))
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
    def test_it_is_no_answer_to_a_caller_that_waits(self):
        """A script ends as "cancelled" although its caller still waits.

        The owner is lost for a moment, and the entry cancels attempt 1 and
        sends attempt 2. The cancellation reaches the engine late and stops
        attempt 2, since the engine knows requests by their id only.
        """
        life = make_life()
        stopped = Failure(ErrorKind.CANCELLED, ran=Ran.UNKNOWN)
        life.handle(Started(1), 1.0)
        effects = allow(life, life.handle(Ended(1, stopped), 1.0))
        assert isinstance(effects[0], SendAttempt)
        charge = make_life(repeatable=False)
        charge.handle(StartAsked(1), 1.0)
        failure = get_failure(charge.handle(Ended(1, stopped), 1.0))
        assert failure.kind is ErrorKind.OUTCOME_UNKNOWN


class OneChargeManyOwners(RuleBasedStateMachine):
    """Owners of all attempts act at any time; an oracle counts the runs."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.life = RequestLife(repeatable=False, stream=False, deadline=DEADLINE)
        self.sent = set()
        self.refused = set()
        self.running = set()
        self.runs = 0
        self.answers = []
        self.feed(Begin())

    def feed(self, event):
        pending = self.life.handle(event, self.now)
        while pending:
            effect = pending.pop(0)
            if isinstance(effect, SendAttempt):
                self.sent.add(effect.attempt)
            elif isinstance(effect, GrantStart) and effect.granted:
                self.runs += 1
                self.running.add(effect.attempt)
            elif isinstance(effect, AskRetry):
                pending += self.life.handle(RetryDecided(True), self.now)
            elif isinstance(effect, Finish | Fail):
                self.answers.append(effect)

    @rule(attempt=ATTEMPTS)
    def ask_for_leave(self, attempt):
        if attempt in self.sent - self.refused - self.running:
            self.feed(StartAsked(attempt))

    @rule(attempt=ATTEMPTS, kind=NOT_RUN_KINDS)
    def refuse(self, attempt, kind):
        if attempt in self.sent - self.running - self.refused:
            self.refused.add(attempt)
            self.feed(Refused(attempt, Failure(kind)))

    @rule(attempt=ATTEMPTS)
    def refuse_at_the_endpoint(self, attempt):
        if attempt in self.running:
            self.running.discard(attempt)
            self.refused.add(attempt)
            self.runs -= 1
            self.feed(Ended(attempt, Failure(ErrorKind.ENDPOINT_REFUSED)))

    @rule(attempt=ATTEMPTS)
    def lose_owner(self, attempt):
        if attempt in self.sent:
            self.feed(OwnerLost(attempt))

    @rule(attempt=ATTEMPTS)
    def answer(self, attempt):
        if attempt in self.running:
            self.feed(Ended(attempt))

    @rule()
    def end_shutdown(self):
        self.feed(ShutdownEnded())

    @rule(step=st.sampled_from([0.1, 4.0, 11.0]))
    def pass_time(self, step):
        self.now += step
        self.feed(TimePassed())

    @invariant()
    def it_runs_at_most_once(self):
        assert self.runs <= 1

    @invariant()
    def there_is_one_answer_and_not_run_is_true(self):
        assert len(self.answers) <= 1
        for answer in self.answers:
            if isinstance(answer, Fail) and answer.failure.outcome is Ran.NO:
                assert self.runs == 0


class TestOneChargeManyOwners(OneChargeManyOwners.TestCase):
    settings = settings(max_examples=150, stateful_step_count=30, deadline=None)

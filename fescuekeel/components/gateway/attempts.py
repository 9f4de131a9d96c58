"""State machine for the attempts of one caller's request, without I/O.

``RequestStateMachine.handle`` takes an event and the time and returns effects.
It guarantees, from the local knowledge of the entry instance alone:

* A non-repeatable request is handed over at most once. An owner must request
  permission (``StartRequested``), which only the current attempt receives.
  Before that the request has not run, whatever happened to earlier owners.
* "Not run" is reported only if no attempt can have run: each one was rejected
  explicitly or never received permission.
* Response chunks are matched by attempt and token position. Late, duplicate
  and foreign chunks are dropped, and missing ones are requested again. A
  stream is complete only with its end mark at the expected position.
"""

from dataclasses import dataclass, field

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
    Phase,
    Refused,
    RequestEffect,
    RequestEvent,
    RetryDecided,
    SendAttempt,
    ShutdownTimedOut,
    Started,
    StartRequested,
    Submitted,
    TimerFired,
)
from fescuekeel.errors import ErrorKind, Failure, Ran, RetryReason

__all__ = [
    "OWNER_REPLY_GRACE_S",
    "RUNNING_GRACE_S",
    "UNBUDGETED_REASONS",
    "RequestStateMachine",
]

# The back-offs add up to more than the time to detect a dead owner, so that a
# request survives the loss of its owner.
MAX_ATTEMPTS = 8
FIRST_BACKOFF_S = 0.02
BACKOFF_FACTOR = 2.5
# The owner reports expiry; the entry instance waits this long past the
# deadline for that report before it fails the request itself.
OWNER_REPLY_GRACE_S = 0.5
# How long a running request may continue past its deadline.
RUNNING_GRACE_S = 30.0

RETRY_REASONS_BY_KIND: dict[ErrorKind, RetryReason] = {
    ErrorKind.NOT_OWNER: RetryReason.NOT_OWNER,
    ErrorKind.MOVED: RetryReason.MOVED,
    ErrorKind.DRAINING: RetryReason.OWNER_DRAINING,
    ErrorKind.PEER_UNREACHABLE: RetryReason.OWNER_UNREACHABLE,
    ErrorKind.QUEUE_FULL: RetryReason.QUEUE_FULL,
    ErrorKind.LOAD_FAILED: RetryReason.LOAD_FAILED,
    ErrorKind.ENDPOINT_REFUSED: RetryReason.ENDPOINT_REFUSED,
}
# Rejections caused by the state of the endpoint.
ENDPOINT_REFUSAL_KINDS = frozenset(
    {ErrorKind.QUEUE_FULL, ErrorKind.LOAD_FAILED, ErrorKind.ENDPOINT_REFUSED}
)
# These retries cost no endpoint any work, so they are limited by MAX_ATTEMPTS
# only and not by the retry budget.
UNBUDGETED_REASONS = frozenset(
    {
        RetryReason.NOT_OWNER,
        RetryReason.MOVED,
        RetryReason.OWNER_DRAINING,
        RetryReason.OWNER_UNREACHABLE,
        RetryReason.STREAM_RESUMED,
    }
)


@dataclass(slots=True)
class RequestStateMachine:
    """The state of one request at its entry instance.

    ``deadline`` is in monotonic seconds. With ``stream``, chunks are matched
    by token position and the response can be resumed.

    >>> sm = RequestStateMachine(repeatable=False, stream=False, deadline=9.0)
    >>> sm.handle(Admitted(), 0.0)
    [SendAttempt(attempt=1, delay_s=0.0, resume=False, position=0)]
    >>> sm.handle(OwnerLost(1), 0.1)[-1]
    CheckBudget(reason=<RetryReason.OWNER_UNREACHABLE: 'owner_unreachable'>)
    """

    repeatable: bool
    stream: bool
    deadline: float
    phase: Phase = Phase.RECEIVED
    attempt: int = 0
    uncertain_attempts: set[int] = field(default_factory=set)
    position: int = 0
    delivered: bool = False
    _pending_failure: Failure | None = None
    _last_refusal: Failure | None = None
    _pending_resume: bool = False
    _resuming: bool = False

    @property
    def may_have_run(self) -> bool:
        """Return whether any attempt may have run."""
        return bool(self.uncertain_attempts)

    def handle(self, event: RequestEvent, now: float) -> list[RequestEffect]:
        """Apply an event and return the effects to carry out."""
        if self.phase is Phase.ENDED:
            return self._handle_late(event)
        match event:
            case Admitted():
                return self._send(0.0)
            case Submitted(attempt):
                return self._submit(attempt)
            case Accepted(attempt):
                return self._accept(attempt)
            case Refused(attempt, failure):
                return self._refuse(attempt, failure, now)
            case OwnerLost(attempt):
                return self._handle_owner_loss(attempt, now)
            case StartRequested(attempt):
                return self._answer_start(attempt, now)
            case Started(attempt):
                return self._start(attempt)
            case ChunkReceived():
                return self._deliver(event)
            case Ended(attempt, failure):
                return self._end(attempt, failure, now)
            case RetryDecided(allowed):
                return self._decide_retry(allowed)
            case CallerDisconnected():
                return self._give_up(Failure(ErrorKind.CANCELLED))
            case ShutdownTimedOut():
                return self._time_out_shutdown()
            case TimerFired():
                return self._check_time(now)

    def _handle_late(self, event: RequestEvent) -> list[RequestEffect]:
        # Guards against a paused owner that requests permission after the
        # caller got the answer "not run".
        if isinstance(event, StartRequested):
            return [AnswerStart(event.attempt, granted=False)]
        return []

    def _send(self, delay_s: float) -> list[RequestEffect]:
        self.attempt += 1
        # No endpoint can run the attempt during its backoff.
        self.phase = Phase.RECEIVED if delay_s else Phase.SUBMITTED
        self._resuming = self._pending_resume
        self._pending_resume = False
        return [SendAttempt(self.attempt, delay_s, self._resuming, self.position)]

    def _submit(self, attempt: int) -> list[RequestEffect]:
        if attempt == self.attempt and self.phase is Phase.RECEIVED:
            self.phase = Phase.SUBMITTED
        return []

    def _accept(self, attempt: int) -> list[RequestEffect]:
        if attempt == self.attempt and self.phase is Phase.SUBMITTED:
            self.phase = Phase.QUEUED
        return []

    def _answer_start(self, attempt: int, now: float) -> list[RequestEffect]:
        current = attempt == self.attempt and now < self.deadline
        grant = current and not self.may_have_run
        if grant:
            self.uncertain_attempts.add(attempt)
            self.phase = Phase.HANDED_OVER
        return [AnswerStart(attempt, grant)]

    def _start(self, attempt: int) -> list[RequestEffect]:
        self.uncertain_attempts.add(attempt)
        if attempt == self.attempt:
            self.phase = Phase.HANDED_OVER
        return []

    def _deliver(self, chunk: ChunkReceived) -> list[RequestEffect]:
        if chunk.attempt != self.attempt:
            return []
        self.phase = Phase.HANDED_OVER
        self.uncertain_attempts.add(chunk.attempt)
        if not self.stream:
            self.delivered = True
            return [Deliver(chunk.data)]
        return self._deliver_at_position(chunk)

    def _deliver_at_position(self, chunk: ChunkReceived) -> list[RequestEffect]:
        # Guards against duplicate chunks after a stream was resumed.
        if chunk.position < self.position:
            return []
        # Guards against a gap in the response when chunks were lost with a
        # connection: resumes the stream at the missing position.
        if chunk.position > self.position:
            return self._resume()
        self.position += chunk.tokens
        self.delivered = True
        if chunk.tokens:
            return [Deliver(chunk.data)]
        # The end mark is at the expected position: the response is complete.
        self.phase = Phase.ENDED
        return [Deliver(chunk.data), Finish()]

    def _refuse(
        self, attempt: int, failure: Failure, now: float
    ) -> list[RequestEffect]:
        if self._resuming:
            return self._refuse_resume(attempt, failure)
        # A rejected attempt did not run, so that permission may be granted to
        # another one.
        self.uncertain_attempts.discard(attempt)
        if attempt != self.attempt:
            return []
        if failure.kind is ErrorKind.NO_ENDPOINT and self._last_refusal is not None:
            # Every endpoint rejected the request: report their reason.
            return self._fail(self._last_refusal)
        return self._retry_or_fail(failure, now)

    def _refuse_resume(self, attempt: int, failure: Failure) -> list[RequestEffect]:
        if attempt != self.attempt:
            return []
        if RETRY_REASONS_BY_KIND.get(failure.kind) in UNBUDGETED_REASONS:
            return self._resume()
        return self._fail(self._get_cut_failure())

    def _handle_owner_loss(self, attempt: int, now: float) -> list[RequestEffect]:
        # A lost connection is also reported for an attempt that was rejected.
        if attempt != self.attempt or self.phase is Phase.RECEIVED:
            return []
        running = self._resuming or self.phase is Phase.HANDED_OVER
        if self.stream and running:
            return self._resume()
        # The owner may only be slow; it must not run what it has queued.
        cancel = CancelAttempt(attempt)
        granted = not self.repeatable and self.may_have_run
        if granted or self.delivered:
            return [cancel, *self._fail(self._get_cut_failure())]
        failure = Failure(ErrorKind.PEER_UNREACHABLE)
        if self.repeatable:
            # The message about the hand-over may have been lost.
            self.uncertain_attempts.add(attempt)
            if running:
                failure = Failure(ErrorKind.OUTCOME_UNKNOWN)
        return [cancel, *self._retry_or_fail(failure, now)]

    def _resume(self) -> list[RequestEffect]:
        if self.attempt >= MAX_ATTEMPTS:
            return self._fail(self._get_cut_failure())
        self._pending_resume = True
        self._pending_failure = self._get_cut_failure()
        return [CheckBudget(RetryReason.STREAM_RESUMED)]

    def _end(
        self, attempt: int, failure: Failure | None, now: float
    ) -> list[RequestEffect]:
        if attempt != self.attempt:
            return []
        if failure is None and self.stream:
            # The chunk with the end mark was lost.
            return self._resume()
        if failure is None:
            self.phase = Phase.ENDED
            return [Finish()]
        if failure.outcome is Ran.NO:
            return self._refuse(attempt, failure, now)
        if failure.kind is ErrorKind.CANCELLED:
            # Guards against a late cancellation of an earlier attempt, which
            # stops this one at the endpoint.
            failure = Failure(ErrorKind.OUTCOME_UNKNOWN, failure.kind.value)
        self.uncertain_attempts.add(attempt)
        if self.delivered:
            return self._fail(self._get_cut_failure())
        if not self.repeatable or failure.kind is not ErrorKind.OUTCOME_UNKNOWN:
            return self._fail(failure)
        return self._retry_or_fail(failure, now)

    def _retry_or_fail(self, failure: Failure, now: float) -> list[RequestEffect]:
        reason = RETRY_REASONS_BY_KIND.get(failure.kind)
        if failure.kind is ErrorKind.OUTCOME_UNKNOWN:
            reason = RetryReason.ENDPOINT_LOST
        if reason is None or self.delivered:
            return self._fail(failure)
        if self.attempt >= MAX_ATTEMPTS or now >= self.deadline:
            return self._fail(failure)
        self._pending_failure = failure
        if failure.kind in ENDPOINT_REFUSAL_KINDS:
            self._last_refusal = failure
        self.phase = Phase.RECEIVED
        return [CheckBudget(reason)]

    def _decide_retry(self, allowed: bool) -> list[RequestEffect]:
        failure = self._pending_failure
        self._pending_failure = None
        if failure is None:
            return []
        if allowed:
            moved = failure.kind is ErrorKind.MOVED
            return self._send(0.0 if moved else self._get_backoff_s())
        self._pending_resume = False
        if failure.outcome is not Ran.NO:
            return self._fail(failure)
        return self._fail(
            Failure(
                ErrorKind.RETRY_BUDGET_SPENT,
                failure.kind.value,
                retry_after_s=failure.retry_after_s,
            )
        )

    def _get_backoff_s(self) -> float:
        return FIRST_BACKOFF_S * BACKOFF_FACTOR ** (self.attempt - 1)

    def _get_cut_failure(self) -> Failure:
        if self.delivered:
            return Failure(ErrorKind.ANSWER_CUT)
        return Failure(ErrorKind.OUTCOME_UNKNOWN)

    def _check_time(self, now: float) -> list[RequestEffect]:
        running = self.phase is Phase.HANDED_OVER
        grace_s = RUNNING_GRACE_S if running else OWNER_REPLY_GRACE_S
        if now < self.deadline + grace_s:
            return []
        return self._abandon(ErrorKind.EXPIRED)

    def _time_out_shutdown(self) -> list[RequestEffect]:
        # Guards against closing the connection without a response: the caller
        # could not tell whether its request ran.
        return self._abandon(ErrorKind.DRAINING)

    def _abandon(self, kind: ErrorKind) -> list[RequestEffect]:
        if self.phase is Phase.HANDED_OVER or self.delivered:
            return self._give_up(self._get_cut_failure())
        if self.repeatable and self.phase is not Phase.RECEIVED:
            self.uncertain_attempts.add(self.attempt)
        return self._give_up(Failure(kind))

    def _give_up(self, failure: Failure) -> list[RequestEffect]:
        attempt = self.attempt
        submitted = self.phase is not Phase.RECEIVED
        ended = self._fail(failure)
        return [CancelAttempt(attempt), *ended] if submitted else ended

    def _fail(self, failure: Failure) -> list[RequestEffect]:
        self.phase = Phase.ENDED
        # Guards against a false "not run": an earlier attempt may have run
        # although the last one was rejected.
        if self.may_have_run and failure.outcome is Ran.NO:
            failure = Failure(
                ErrorKind.OUTCOME_UNKNOWN,
                failure.kind.value,
                retry_after_s=failure.retry_after_s,
            )
        return [Fail(failure)]

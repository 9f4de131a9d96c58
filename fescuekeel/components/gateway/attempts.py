"""Decide what happens to one caller's request, from receipt to its end.

The decision is pure: ``RequestLife.handle`` takes an event and the time and
returns effects. It holds what the entry instance promises its caller, so it
rests only on facts that this instance knows by itself:

* A non-repeatable request is handed over once. An owner must ask for leave
  (``StartAsked``), and leave is given to the current attempt only. Until then
  the request certainly did not run, whatever became of earlier owners.
* "Not run" is said only when no attempt can have run: every attempt was
  refused explicitly or never got leave.
* Pieces of the answer are matched by attempt and token position. Late, doubled
  and foreign pieces are dropped, missing ones asked for again, and a stream is
  whole only when its end mark stands at the right position.
"""

from dataclasses import dataclass, field

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
    LifeEffect,
    LifeEvent,
    OwnerLost,
    Phase,
    Refused,
    RetryDecided,
    SendAttempt,
    ShutdownEnded,
    StartAsked,
    Started,
    TimePassed,
)
from fescuekeel.errors import ErrorKind, Failure, Ran, RetryReason

__all__ = ["FREE_REASONS", "OWNER_WORD_GRACE_S", "RUNNING_GRACE_S", "RequestLife"]

# Together the back-offs outlast the time in which members find out that an
# owner is dead, so that a request survives its owner.
MAX_ATTEMPTS = 8
FIRST_BACKOFF_S = 0.02
BACKOFF_FACTOR = 2.5
# The owner decides that work has expired; the entry waits this long for its
# word before it speaks for itself.
OWNER_WORD_GRACE_S = 0.5
# How far past its answer time a request that already runs may go on.
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
# What an endpoint or its owner says of the endpoint itself.
ENDPOINT_KINDS = frozenset(
    {ErrorKind.QUEUE_FULL, ErrorKind.LOAD_FAILED, ErrorKind.ENDPOINT_REFUSED}
)
# These move a request that cost no endpoint any work, so that they are bounded
# by the number of attempts alone and not by the service's budget.
FREE_REASONS = frozenset(
    {
        RetryReason.NOT_OWNER,
        RetryReason.MOVED,
        RetryReason.OWNER_DRAINING,
        RetryReason.OWNER_UNREACHABLE,
        RetryReason.STREAM_RESUMED,
    }
)


@dataclass(slots=True)
class RequestLife:
    """The state of one request at its entry instance.

    ``deadline`` is monotonic seconds. ``stream`` tells whether the answer is
    matched by token position and can be resumed.

    >>> life = RequestLife(repeatable=False, stream=False, deadline=9.0)
    >>> life.handle(Begin(), 0.0)
    [SendAttempt(attempt=1, delay_s=0.0, resume=False, position=0)]
    >>> life.handle(OwnerLost(1), 0.1)[-1]
    AskRetry(reason=<RetryReason.OWNER_UNREACHABLE: 'owner_unreachable'>)
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
        """Tell whether any attempt may have reached an endpoint."""
        return bool(self.uncertain_attempts)

    def handle(self, event: LifeEvent, now: float) -> list[LifeEffect]:
        """Return what follows from an event."""
        if self.phase is Phase.ENDED:
            return self._handle_late(event)
        match event:
            case Begin():
                return self._send(0.0)
            case Accepted(attempt):
                return self._accept(attempt)
            case Refused(attempt, failure):
                return self._refuse(attempt, failure, now)
            case OwnerLost(attempt):
                return self._lose_owner(attempt, now)
            case StartAsked(attempt):
                return self._answer_start(attempt, now)
            case Started(attempt):
                return self._start(attempt)
            case ChunkCame():
                return self._deliver(event)
            case Ended(attempt, failure):
                return self._end(attempt, failure, now)
            case RetryDecided(allowed):
                return self._decide_retry(allowed)
            case CallerGone():
                return self._give_up(Failure(ErrorKind.CANCELLED))
            case ShutdownEnded():
                return self._end_shutdown()
            case TimePassed():
                return self._check_time(now)

    def _handle_late(self, event: LifeEvent) -> list[LifeEffect]:
        # Guards against a paused owner that asks for leave after its request
        # was answered: without the refusal a charge could run after the
        # caller heard "not run".
        if isinstance(event, StartAsked):
            return [GrantStart(event.attempt, granted=False)]
        return []

    def _send(self, delay_s: float) -> list[LifeEffect]:
        self.attempt += 1
        self.phase = Phase.SUBMITTED
        self._resuming = self._pending_resume
        self._pending_resume = False
        return [SendAttempt(self.attempt, delay_s, self._resuming, self.position)]

    def _accept(self, attempt: int) -> list[LifeEffect]:
        if attempt == self.attempt and self.phase is Phase.SUBMITTED:
            self.phase = Phase.QUEUED
        return []

    def _answer_start(self, attempt: int, now: float) -> list[LifeEffect]:
        current = attempt == self.attempt and now < self.deadline
        grant = current and not self.may_have_run
        if grant:
            self.uncertain_attempts.add(attempt)
            self.phase = Phase.HANDED_OVER
        return [GrantStart(attempt, grant)]

    def _start(self, attempt: int) -> list[LifeEffect]:
        self.uncertain_attempts.add(attempt)
        if attempt == self.attempt:
            self.phase = Phase.HANDED_OVER
        return []

    def _deliver(self, chunk: ChunkCame) -> list[LifeEffect]:
        if chunk.attempt != self.attempt:
            return []
        self.phase = Phase.HANDED_OVER
        self.uncertain_attempts.add(chunk.attempt)
        if not self.stream:
            self.delivered = True
            return [Deliver(chunk.data)]
        return self._deliver_at_position(chunk)

    def _deliver_at_position(self, chunk: ChunkCame) -> list[LifeEffect]:
        # Guards against pieces that arrive twice after a resumed stream: the
        # caller would see words repeated. Positions count tokens, so a piece
        # below the mark is known already.
        if chunk.position < self.position:
            return []
        # Guards against a piece that was lost with its connection: the answer
        # would have a hole. What is missing is asked for by its position.
        if chunk.position > self.position:
            return self._resume()
        self.position += chunk.tokens
        self.delivered = True
        if chunk.tokens:
            return [Deliver(chunk.data)]
        # The end mark stands at the right position, so the answer is whole.
        self.phase = Phase.ENDED
        return [Deliver(chunk.data), Finish()]

    def _refuse(self, attempt: int, failure: Failure, now: float) -> list[LifeEffect]:
        if self._resuming:
            return self._refuse_resume(attempt, failure)
        # An explicit refusal shows that this attempt did not run, so leave
        # may be given once more.
        self.uncertain_attempts.discard(attempt)
        if attempt != self.attempt:
            return []
        if failure.kind is ErrorKind.NO_ENDPOINT and self._last_refusal is not None:
            # All that are left have refused: why they did is what helps.
            return self._fail(self._last_refusal)
        return self._retry_or_fail(failure, now)

    def _refuse_resume(self, attempt: int, failure: Failure) -> list[LifeEffect]:
        if attempt != self.attempt:
            return []
        if RETRY_REASONS_BY_KIND.get(failure.kind) in FREE_REASONS:
            return self._resume()
        return self._fail(self._get_cut_failure())

    def _lose_owner(self, attempt: int, now: float) -> list[LifeEffect]:
        # What was refused is told as lost as well when its connection falls.
        if attempt != self.attempt or self.phase is Phase.RECEIVED:
            return []
        running = self._resuming or self.phase is Phase.HANDED_OVER
        if self.stream and running:
            return self._resume()
        # The owner may only be slow: what it still queues would cost work.
        cancel = CancelAttempt(attempt)
        granted = not self.repeatable and self.may_have_run
        if granted or self.delivered:
            return [cancel, *self._fail(self._get_cut_failure())]
        failure = Failure(ErrorKind.PEER_UNREACHABLE)
        if self.repeatable:
            # It may have been handed over without our hearing of it.
            self.uncertain_attempts.add(attempt)
            if running:
                failure = Failure(ErrorKind.OUTCOME_UNKNOWN)
        return [cancel, *self._retry_or_fail(failure, now)]

    def _resume(self) -> list[LifeEffect]:
        if self.attempt >= MAX_ATTEMPTS:
            return self._fail(self._get_cut_failure())
        self._pending_resume = True
        self._pending_failure = self._get_cut_failure()
        return [AskRetry(RetryReason.STREAM_RESUMED)]

    def _end(
        self, attempt: int, failure: Failure | None, now: float
    ) -> list[LifeEffect]:
        if attempt != self.attempt:
            return []
        if failure is None and self.stream:
            # The end came without the end mark, which is lost.
            return self._resume()
        if failure is None:
            self.phase = Phase.ENDED
            return [Finish()]
        if failure.outcome is Ran.NO:
            return self._refuse(attempt, failure, now)
        if failure.kind is ErrorKind.CANCELLED:
            # Guards against a cancellation of an earlier attempt that reaches
            # the endpoint late and stops this one: nobody has asked for that.
            failure = Failure(ErrorKind.OUTCOME_UNKNOWN, failure.kind.value)
        self.uncertain_attempts.add(attempt)
        if self.delivered:
            return self._fail(self._get_cut_failure())
        if not self.repeatable or failure.kind is not ErrorKind.OUTCOME_UNKNOWN:
            return self._fail(failure)
        return self._retry_or_fail(failure, now)

    def _retry_or_fail(self, failure: Failure, now: float) -> list[LifeEffect]:
        reason = RETRY_REASONS_BY_KIND.get(failure.kind)
        if failure.kind is ErrorKind.OUTCOME_UNKNOWN:
            reason = RetryReason.ENDPOINT_LOST
        if reason is None or self.delivered:
            return self._fail(failure)
        if self.attempt >= MAX_ATTEMPTS or now >= self.deadline:
            return self._fail(failure)
        self._pending_failure = failure
        if failure.kind in ENDPOINT_KINDS:
            self._last_refusal = failure
        self.phase = Phase.RECEIVED
        return [AskRetry(reason)]

    def _decide_retry(self, allowed: bool) -> list[LifeEffect]:
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

    def _check_time(self, now: float) -> list[LifeEffect]:
        running = self.phase is Phase.HANDED_OVER
        grace_s = RUNNING_GRACE_S if running else OWNER_WORD_GRACE_S
        if now < self.deadline + grace_s:
            return []
        return self._abandon(ErrorKind.EXPIRED)

    def _end_shutdown(self) -> list[LifeEffect]:
        # Guards against a connection that ends without a word when the time
        # for a graceful shutdown is over: the caller could not tell whether
        # its charge ran.
        return self._abandon(ErrorKind.DRAINING)

    def _abandon(self, kind: ErrorKind) -> list[LifeEffect]:
        if self.phase is Phase.HANDED_OVER or self.delivered:
            return self._give_up(self._get_cut_failure())
        if self.repeatable and self.phase is not Phase.RECEIVED:
            self.uncertain_attempts.add(self.attempt)
        return self._give_up(Failure(kind))

    def _give_up(self, failure: Failure) -> list[LifeEffect]:
        attempt = self.attempt
        submitted = self.phase is not Phase.RECEIVED
        ended = self._fail(failure)
        return [CancelAttempt(attempt), *ended] if submitted else ended

    def _fail(self, failure: Failure) -> list[LifeEffect]:
        self.phase = Phase.ENDED
        # Guards against an untrue "not run": an earlier attempt may have run
        # although the last one was refused.
        if self.may_have_run and failure.outcome is Ran.NO:
            failure = Failure(
                ErrorKind.OUTCOME_UNKNOWN,
                failure.kind.value,
                retry_after_s=failure.retry_after_s,
            )
        return [Fail(failure)]

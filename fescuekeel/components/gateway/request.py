"""Task of one request, which applies the effects of its state machine."""

import asyncio
import random
from dataclasses import dataclass, field
from typing import Any, Protocol

from returns.result import Success

from fescuekeel.components.gateway.admission import Admission
from fescuekeel.components.gateway.attempts import (
    OWNER_REPLY_GRACE_S,
    RUNNING_GRACE_S,
    UNBUDGETED_REASONS,
    RequestStateMachine,
)
from fescuekeel.components.gateway.const import SUBMIT_TIMEOUT_S
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
    Started,
    StartRequested,
    Submitted,
    TimerFired,
)
from fescuekeel.components.gateway.sink import AnswerHead, CallerSink
from fescuekeel.core import Instance
from fescuekeel.errors import ErrorKind, Failure, Ran, RetryReason
from fescuekeel.helpers.peer_link import PeerLink
from fescuekeel.messages import (
    CancelWork,
    PeerMessage,
    StartAnswer,
    StartAsk,
    Submit,
    SubmitAnswer,
    WorkChunk,
    WorkEnd,
    WorkStarted,
)

__all__ = ["CallerRequest", "Placement", "Router"]


@dataclass(frozen=True, slots=True)
class Placement:
    """Endpoint of an attempt and the instance that owns it."""

    endpoint: str
    owner: str


class Router(Protocol):
    """Choose endpoints, record routing hints and check the retry budget."""

    def place(
        self, admission: Admission, request_id: str, tried: frozenset[str]
    ) -> Placement | None:
        """Choose an endpoint that has not rejected this request yet."""

    def record_moved(
        self, placement: Placement, admission: Admission, endpoint: str
    ) -> None:
        """Record that adapter requests are redirected to ``endpoint``."""

    def find_owner(self, endpoint: str) -> str | None:
        """Return the id of the instance that owns an endpoint now."""

    def record_sent(self, placement: Placement) -> None:
        """Count a request as in flight at an endpoint."""

    def record_done(self, placement: Placement) -> None:
        """Count a request at an endpoint as ended."""

    def record_answer(
        self, placement: Placement, admission: Admission, wait_s: float
    ) -> None:
        """Record that the adapter is loaded, and the wait without the load."""

    def record_refusal(self, placement: Placement, failure: Failure) -> None:
        """Record what a rejection says about the endpoint."""

    def find_quarantine_failure(
        self, submit: Submit, may_have_run: bool
    ) -> Failure | None:
        """Return a failure if the request has crashed several endpoints."""

    def may_retry(self, admission: Admission, reason: RetryReason) -> bool:
        """Take one retry from the service's retry budget, if any is left."""


@dataclass(slots=True)
class CallerRequest:
    """One request in progress; only its task changes the state machine."""

    instance: Instance
    link: PeerLink
    router: Router
    request_id: str
    admission: Admission
    sink: CallerSink
    state_machine: RequestStateMachine
    arrived_at: float
    events: asyncio.Queue[RequestEvent] = field(default_factory=asyncio.Queue)
    head: AnswerHead = field(default_factory=AnswerHead)
    placement: Placement | None = None
    tried: frozenset[str] = frozenset()
    failure: Failure | None = None
    moved: bool = False
    _moved_to: str = ""
    _placed_attempt: int = 0
    _start_requests_by_attempt: dict[int, PeerMessage] = field(default_factory=dict)
    _submit_tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def post(self, event: RequestEvent) -> None:
        """Queue an event for the request's task."""
        self.events.put_nowait(event)

    def post_message(self, message: PeerMessage) -> None:
        """Turn an owner's message into an event."""
        match message.body:
            case StartAsk(_, attempt, stall_ms, queue_ms):
                self._start_requests_by_attempt[attempt] = message
                self._record_waits(stall_ms, queue_ms)
                self.post(StartRequested(attempt))
            case WorkStarted(_, attempt, stall_ms, queue_ms):
                self._record_waits(stall_ms, queue_ms)
                self.post(Started(attempt))
            case WorkChunk(_, attempt, position, data, tokens):
                self.post(ChunkReceived(attempt, position, data, tokens))
            case WorkEnd() as end:
                self._post_end(end)

    def _record_waits(self, stall_ms: int, queue_ms: int) -> None:
        self.head.stall_ms = stall_ms
        self.head.queue_ms = queue_ms

    def _post_end(self, end: WorkEnd) -> None:
        if end.kind:
            self.post(Ended(end.attempt, _make_failure(end)))
            return
        if end.attempt == self.state_machine.attempt:
            self.head.status = end.status
            self.head.content_type = end.content_type
        self.post(Ended(end.attempt))

    def handle_owner_loss(self, owner: str) -> None:
        """Fail the placed attempt if it belongs to an owner that was lost.

        Guards against a loss that is reported repeatedly: it must not fail
        the next attempt, which is not sent before its back-off ends.
        """
        if self.placement is not None and self.placement.owner == owner:
            self.post(OwnerLost(self._placed_attempt))

    async def run(self) -> Failure | None:
        """Run the request to completion; return its failure, if any."""
        loop = asyncio.get_running_loop()
        remaining_s = self.state_machine.deadline - self.instance.now()
        timers = [
            loop.call_later(remaining_s + OWNER_REPLY_GRACE_S, self.post, TimerFired()),
            loop.call_later(remaining_s + RUNNING_GRACE_S, self.post, TimerFired()),
        ]
        self.post(Admitted())
        try:
            while self.state_machine.phase is not Phase.ENDED:
                await self._handle(await self.events.get())
        finally:
            for timer in timers:
                timer.cancel()
            for task in self._submit_tasks:
                task.cancel()
            if self.placement is not None:
                self.router.record_done(self.placement)
        return self.failure

    async def _handle(self, event: RequestEvent) -> None:
        pending: list[RequestEffect] = self.state_machine.handle(
            event, self.instance.now()
        )
        while pending:
            effect = pending.pop(0)
            if isinstance(effect, CheckBudget):
                decided = RetryDecided(self._check_budget(effect.reason))
                pending += self.state_machine.handle(decided, self.instance.now())
            else:
                await self._apply(effect)

    def _check_budget(self, reason: RetryReason) -> bool:
        free = reason in UNBUDGETED_REASONS
        if not free and not self.router.may_retry(self.admission, reason):
            return False
        self.instance.metrics.count(f"retry.{reason}")
        return True

    async def _apply(self, effect: RequestEffect) -> None:
        match effect:
            case SendAttempt():
                self._spawn_submit(effect)
            case AnswerStart(attempt, granted):
                self._answer_start(attempt, granted)
            case CancelAttempt(attempt):
                self._cancel(attempt)
            case Deliver(data):
                if not await self.sink.deliver(data, self.head):
                    self.post(CallerDisconnected())
            case Finish():
                self._record_answer()
                await self.sink.finish(self.head)
            case Fail(failure):
                self.failure = failure
                await self.sink.fail(failure)

    def _record_answer(self) -> None:
        if self.placement is not None:
            wait_s = max(0, self.head.queue_ms - self.head.stall_ms) / 1000
            self.router.record_answer(self.placement, self.admission, wait_s)

    def _answer_start(self, attempt: int, granted: bool) -> None:
        question = self._start_requests_by_attempt.pop(attempt, None)
        if question is not None:
            self.link.answer(question, StartAnswer(granted))

    def _cancel(self, attempt: int) -> None:
        if self.placement is not None:
            self.link.send(self.placement.owner, CancelWork(self.request_id, attempt))

    def _spawn_submit(self, effect: SendAttempt) -> None:
        task = self.instance.spawn(self._submit(effect), "submit")
        self._submit_tasks.add(task)
        task.add_done_callback(self._submit_tasks.discard)

    async def _submit(self, effect: SendAttempt) -> None:
        if effect.delay_s:
            await asyncio.sleep(effect.delay_s * random.uniform(0.5, 1.0))
        placement = self._place(effect)
        if placement is None:
            failure = Failure(ErrorKind.NO_ENDPOINT, retry_after_s=1.0)
            self.post(Refused(effect.attempt, failure))
            return
        self._set_placement(placement, effect.attempt)
        self.post(Submitted(effect.attempt))
        submit = self._make_submit(effect, placement)
        quarantined = self._find_quarantine_failure(submit)
        if quarantined is not None:
            self.post(Refused(effect.attempt, quarantined))
            return
        result = await self.link.ask(placement.owner, submit, SUBMIT_TIMEOUT_S)
        self._post_submit_result(effect.attempt, placement, result)

    def _find_quarantine_failure(self, submit: Submit) -> Failure | None:
        if submit.resume:
            # Its run goes on; nothing is sent to another endpoint.
            return None
        return self.router.find_quarantine_failure(
            submit, self.state_machine.may_have_run
        )

    def _set_placement(self, placement: Placement, attempt: int) -> None:
        if self.placement is None:
            self.instance.metrics.count("routed")
        else:
            self.router.record_done(self.placement)
        self.placement = placement
        self._placed_attempt = attempt
        self.router.record_sent(placement)

    def _place(self, effect: SendAttempt) -> Placement | None:
        endpoint, self._moved_to = self._moved_to, ""
        if effect.resume and self.placement is not None:
            # The stream stays on its endpoint even if the owner has changed.
            endpoint = self.placement.endpoint
        if not endpoint:
            return self.router.place(self.admission, self.request_id, self.tried)
        owner = self.router.find_owner(endpoint)
        return None if owner is None else Placement(endpoint, owner)

    def _make_submit(self, effect: SendAttempt, placement: Placement) -> Submit:
        policy = self.admission.policy
        caller = self.admission.caller
        remaining_s = max(0.0, self.state_machine.deadline - self.instance.now())
        return Submit(
            request_id=self.request_id,
            attempt=effect.attempt,
            endpoint=placement.endpoint,
            shop=policy.shop,
            service=policy.service,
            adapter=policy.adapter,
            urgency=policy.urgency,
            remaining_ms=int(remaining_s * 1000),
            repeatable=policy.repeatable,
            stream=self.admission.stream,
            path=caller.path,
            body=caller.body,
            max_tokens=self.admission.max_tokens,
            resume=effect.resume,
            resume_position=effect.position,
            method=caller.method,
            content_type=caller.content_type,
            idempotency_key=caller.idempotency_key,
            moved=self.moved,
        )

    def _post_submit_result(
        self, attempt: int, placement: Placement, result: Any
    ) -> None:
        if not isinstance(result, Success):
            failure = result.failure()
            unsent = failure.ran is Ran.NO
            self.post(Refused(attempt, failure) if unsent else OwnerLost(attempt))
            return
        answer = result.unwrap()
        if not isinstance(answer, SubmitAnswer):
            self.post(OwnerLost(attempt))
            return
        if answer.accepted:
            self.post(Accepted(attempt))
            return
        failure = _make_refusal(answer)
        self.router.record_refusal(placement, failure)
        if failure.kind is ErrorKind.QUEUE_FULL:
            self.tried |= {placement.endpoint}
        if failure.kind is ErrorKind.MOVED:
            self._record_move(placement, answer.endpoint)
        self.post(Refused(attempt, failure))

    def _record_move(self, placement: Placement, endpoint: str) -> None:
        # Prevents two owners from redirecting the request to each other.
        self.moved = True
        self._moved_to = endpoint
        self.router.record_moved(placement, self.admission, endpoint)


def _make_refusal(answer: SubmitAnswer) -> Failure:
    kind = ErrorKind(answer.kind)
    return Failure(kind, answer.detail, Ran.NO, answer.retry_after_ms / 1000)


def _make_failure(end: WorkEnd) -> Failure:
    retry_after_s = end.retry_after_ms / 1000
    return Failure(ErrorKind(end.kind), end.detail, Ran(end.ran), retry_after_s)

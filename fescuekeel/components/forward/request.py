"""The task of one request, from its receipt to its end."""

import asyncio
from dataclasses import dataclass, field
from http import HTTPStatus

from fescuekeel.components.forward.attempts import (
    AttemptEnd,
    RequestState,
    Step,
    decide,
)
from fescuekeel.components.forward.caller import CallerConnection, CallerGoneError
from fescuekeel.components.forward.choice import Choice
from fescuekeel.components.forward.const import (
    KEEP_MARGIN_S,
    KEEP_UNSAFE_S,
    KEEP_UNSAID_S,
    MAX_FIT_WAIT_S,
    MAX_UNSENT_PAUSE_S,
    MIN_SEND_S,
    UNSENT_PAUSE_S,
)
from fescuekeel.components.forward.events import EventSplitter
from fescuekeel.components.forward.host import RequestHost
from fescuekeel.components.forward.times import PieceTimes
from fescuekeel.errors import ErrorKind, Failure
from fescuekeel.helpers.dialect import AnswerHead, CallerHead, Header, SendHead
from fescuekeel.helpers.exchange import (
    AnswerBrokenError,
    Connection,
    NotConnectedError,
    ResponseHead,
)
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.published import ClientAccount, Route, RouteKind, Weights

__all__ = ["Attempt", "ForwardedRequest"]

FAILURE_STATUS = 500


@dataclass(slots=True)
class Attempt:
    """One sending of the request to an endpoint."""

    endpoint: str
    began: float
    tokens: int
    tokens_ahead: int
    first_piece: bool = False
    first_s: float = -1.0
    head: ResponseHead | None = None
    connection: Connection | None = None


@dataclass(slots=True, eq=False)
class ForwardedRequest:
    """Carry a request to an endpoint and the answer back.

    ``deadline`` is when the final answer is due, in the instance's seconds.
    """

    forwarder: "RequestHost[ForwardedRequest, Attempt]"
    caller: CallerConnection
    head: CallerHead
    method: str
    target: str
    host: str
    body: bytes
    route: Route
    service: str
    arrived: float
    deadline: float
    state: RequestState
    account: ClientAccount | None = None
    resume_after: str = ""
    outcome: str = ""
    times: PieceTimes = field(default_factory=PieceTimes)
    waited_s: float = 0.0
    _attempt_now: Attempt | None = None
    _splitter: EventSplitter | None = None
    _closed_by_caller: bool = field(default=False)

    @property
    def weights(self) -> Weights | None:
        """Return the weights that the request needs, if any."""
        return self.head.weights

    @property
    def priority(self) -> int:
        """Return the urgency: the account's goes before the route's."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    async def run(self) -> None:
        """Serve the request; every way out gives the caller its final word."""
        instance = self.forwarder.instance
        left_s = self.deadline - instance.now()
        try:
            async with asyncio.timeout(max(0.0, left_s)):
                await self._serve()
        except TimeoutError:
            await self._end_late()
        except CallerGoneError:
            self.outcome = "caller_gone"
        except asyncio.CancelledError:
            self.outcome = "caller_gone" if self._closed_by_caller else "stopped"
            if not self._closed_by_caller:
                await self._end_stopped()
        finally:
            self.forwarder.note_end(self)

    def lose_caller(self, task: asyncio.Task[None]) -> None:
        """Stop the work for a caller that is gone."""
        self._closed_by_caller = True
        task.cancel()

    def leave_silent_endpoint(self) -> bool:
        """Break the attempt under way off, if another endpoint may go on.

        Guards against a stream that waits for the bytes of an endpoint behind
        a cut until its caller leaves, four targets later: another endpoint
        can go on with it from the last event. Returns whether it was left.
        """
        attempt = self._attempt_now
        if attempt is None or attempt.connection is None:
            return False
        if not self.state.repeatable or not self.state.may_go_elsewhere:
            return False
        attempt.connection.close()
        return True

    @property
    def endpoint_now(self) -> str:
        """Return the endpoint that the request is at, if any."""
        return self._attempt_now.endpoint if self._attempt_now else ""

    async def _serve(self) -> None:
        unsent = 0
        while True:
            choice = await self.forwarder.place(self)
            if isinstance(choice, Failure):
                await self._refuse_unplaced(choice)
                return
            barred = self._find_bar()
            if barred is not None:
                await self._refuse_unplaced(barred)
                return
            end = await self._attempt(choice)
            if end is None:
                return
            step = decide(self.state, end)
            if step.spends and not self.forwarder.spend_retry(self, end):
                await self._give_up(step.kind, "budget")
                return
            if end is AttemptEnd.UNSENT:
                # Guards against hammering endpoints that all refuse
                # connections: it shows as a new try every millisecond.
                unsent += 1
                await asyncio.sleep(min(MAX_UNSENT_PAUSE_S, UNSENT_PAUSE_S * unsent))
            if step.step in (Step.AGAIN, Step.RESUME):
                continue
            await self._give_up(step.kind, end.value)
            return

    def _find_bar(self) -> Failure | None:
        """Look again whether the caller's key is good.

        Guards against a request that waited for its weights or its turn, or
        in a process that was suspended, while its key was taken away.
        """
        if self.account is None or self.state.delivered:
            return None
        found = self.forwarder.find_account(self.route, self.head)
        return found if isinstance(found, Failure) else None

    async def _refuse_unplaced(self, failure: Failure) -> None:
        if self.state.may_have_run and not self.state.delivered:
            failure = Failure(ErrorKind.OUTCOME_UNKNOWN, failure.detail)
        await self._fail(failure)

    async def _give_up(self, kind: ErrorKind, detail: str) -> None:
        if self.state.may_have_run and kind is ErrorKind.ENDPOINT_REFUSED:
            kind = ErrorKind.OUTCOME_UNKNOWN
        await self._fail(Failure(kind, detail))

    async def _fail(self, failure: Failure) -> None:
        self.outcome = failure.kind.value
        if self.caller.begun:
            self.caller.break_off()
            return
        headers = self.forwarder.dialect.write_refusal(
            self.head.request_id, failure.kind
        )
        await self.caller.refuse(failure, headers)
        self.forwarder.note_refused(self, failure)

    async def _end_late(self) -> None:
        """Say that the time is over; only what was not sent "has not run"."""
        kind = ErrorKind.EXPIRED if self.state.sends else ErrorKind.TOO_LATE
        try:
            await self._fail(Failure(kind, "timeout"))
        except CallerGoneError:
            self.outcome = "caller_gone"

    async def _end_stopped(self) -> None:
        kind = ErrorKind.OUTCOME_UNKNOWN if self.state.sends else ErrorKind.DRAINING
        try:
            await self._fail(Failure(kind, "shutdown"))
        except CallerGoneError:
            self.outcome = "caller_gone"

    # One attempt.

    async def _attempt(self, choice: Choice) -> AttemptEnd | None:
        """Send the request once; ``None`` when the caller has its answer."""
        now = self.forwarder.instance.now()
        if self.deadline - now < MIN_SEND_S:
            raise TimeoutError
        load = self.forwarder.get_load(choice.endpoint)
        tokens = self.head.prompt_tokens if self.weights else 0
        ahead = self.forwarder.count_ahead(choice.endpoint, tokens)
        attempt = self._attempt_now = Attempt(choice.endpoint, now, tokens, ahead)
        load.begin(self.weights, tokens)
        load.health.note_sent(now)
        end: AttemptEnd | None = AttemptEnd.BROKEN
        try:
            end = await self._exchange(attempt, choice)
        finally:
            self._attempt_now = None
            done = self.forwarder.instance.now()
            left = 0 if attempt.first_piece else tokens
            load.end(self.weights, left)
            self.forwarder.note_use_ended()
            load.health.note_ended(done)
            if attempt.connection is not None:
                attempt.connection.close()
        failed = end in (AttemptEnd.FAILED, AttemptEnd.BROKEN)
        load.health.note_result(failed, done)
        self.forwarder.note_attempt(self, choice, attempt, end)
        return end

    async def _exchange(self, attempt: Attempt, choice: Choice) -> AttemptEnd | None:
        try:
            connection = await self._connect(attempt.endpoint)
        except NotConnectedError:
            return AttemptEnd.UNSENT
        attempt.connection = connection
        try:
            self._send(connection, choice)
        except NotConnectedError:
            return AttemptEnd.UNSENT
        try:
            return await self._read_answer(attempt, connection)
        except (AnswerBrokenError, ValueError) as error:
            log_event(
                "answer_broken",
                request_id=self.head.request_id,
                endpoint=attempt.endpoint,
                kept=not connection.fresh,
                age_ms=round((self.forwarder.instance.now() - attempt.began) * 1000),
                error=str(error),
                outcome=AttemptEnd.BROKEN.value,
            )
            if self._splitter is not None:
                self._splitter.drop_held()
            return AttemptEnd.BROKEN

    async def _connect(self, endpoint: str) -> Connection:
        pool = self.forwarder.get_pool(endpoint)
        kept = pool.take(self.forwarder.instance.now())
        if kept is not None:
            return kept
        return await self.forwarder.open(endpoint, pool)

    def _send(self, connection: Connection, choice: Choice) -> None:
        now = self.forwarder.instance.now()
        send = SendHead(
            choice.endpoint,
            self.deadline - now,
            self.forwarder.get_priority(self),
            choice.version or None,
            self.resume_after,
            self.account.name if self.account else "",
        )
        headers = self.forwarder.dialect.write_request(self.head, send)
        framing: tuple[Header, ...] = ()
        if self.body or self.method not in ("GET", "HEAD", "DELETE"):
            framing = (("Content-Length", str(len(self.body))),)
        connection.send(self.method, self.target, (*headers, *framing), self.body)
        self.state.note_sent(choice.endpoint)

    async def _read_answer(
        self, attempt: Attempt, connection: Connection
    ) -> AttemptEnd | None:
        head = await connection.read_head()
        self._note_heard(attempt)
        attempt.head = head
        answer = self.forwarder.dialect.read_answer(head.status, dict(head.headers))
        if answer.request_id and answer.request_id != self.head.request_id:
            raise AnswerBrokenError("the answer of another request")
        if answer.not_run:
            await self._drain(connection, attempt, answer)
            if answer.misdirected:
                return AttemptEnd.MISDIRECTED
            return AttemptEnd.NOT_RUN
        if self._may_try_again(head):
            await self._drain(connection, attempt, answer)
            return AttemptEnd.FAILED
        await self._pass_on(attempt, connection, head)
        self._keep(attempt, connection, answer)
        return None

    def _may_try_again(self, head: ResponseHead) -> bool:
        """Tell whether a failure of the endpoint is kept from the caller."""
        if head.status < FAILURE_STATUS:
            return False
        if self.state.delivered:
            return True
        if not self.state.repeatable:
            return False
        return len(self.state.endpoints) < self.state.max_attempts

    def _note_heard(self, attempt: Attempt) -> None:
        now = self.forwarder.instance.now()
        self.forwarder.get_load(attempt.endpoint).health.note_heard(now)

    async def _drain(
        self, connection: Connection, attempt: Attempt, answer: AnswerHead
    ) -> None:
        """Read the rest of an answer that is not passed on."""
        while await connection.read_piece() is not None:
            self._note_heard(attempt)
        self._keep(attempt, connection, answer)

    def _keep(
        self, attempt: Attempt, connection: Connection, answer: AnswerHead
    ) -> None:
        attempt.connection = None
        if not connection.finish():
            return
        idle_s = KEEP_UNSAID_S
        if answer.idle_s is not None:
            idle_s = max(0.0, answer.idle_s - KEEP_MARGIN_S)
        if not self.state.safe:
            idle_s = min(idle_s, KEEP_UNSAFE_S)
        pool = self.forwarder.get_pool(attempt.endpoint)
        pool.give_back(connection, self.forwarder.instance.now() + idle_s)

    # Passing the answer on.

    async def _pass_on(
        self, attempt: Attempt, connection: Connection, head: ResponseHead
    ) -> None:
        if self.state.resumable and head.status == HTTPStatus.OK:
            self._splitter = self._splitter or EventSplitter()
        if not self.state.delivered:
            await self._begin(head)
        elif head.status != HTTPStatus.OK:
            raise AnswerBrokenError(f"status {head.status} to a resumed stream")
        while (piece := await connection.read_piece()) is not None:
            self._note_heard(attempt)
            self._note_piece(attempt)
            data = piece.data
            if self._splitter is not None:
                data = self._splitter.feed(data)
                self.resume_after = self._splitter.last_id
            if data:
                await self.caller.write(data)
        if self._splitter is not None and self._splitter.held:
            raise AnswerBrokenError("the stream ends within an event")
        self.outcome = "answered"
        self.state.may_have_run = True
        await self.caller.finish()

    async def _begin(self, head: ResponseHead) -> None:
        self.state.delivered = True
        phrase = "OK"
        try:
            phrase = HTTPStatus(head.status).phrase
        except ValueError:
            phrase = "Answer"
        await self.caller.begin(head.status, phrase, head.headers)

    def _note_piece(self, attempt: Attempt) -> None:
        now = self.forwarder.instance.now()
        load = self.forwarder.get_load(attempt.endpoint)
        gap_s = self.times.note(now, attempt.first_piece)
        if gap_s and self.route.gap_target_s:
            load.note_pause(gap_s / self.route.gap_target_s)
        if attempt.first_piece:
            return
        attempt.first_piece = True
        wait_s = now - attempt.began
        attempt.first_s = wait_s
        fit = self.forwarder.get_fit(self.service)
        load.note_first_piece(
            attempt.tokens, attempt.tokens_ahead, wait_s, fit.overhead_s, now
        )
        if attempt.tokens and wait_s < MAX_FIT_WAIT_S:
            fit.note(attempt.tokens, wait_s)
        if self.route.kind is not RouteKind.STREAM:
            load.note_service(wait_s)

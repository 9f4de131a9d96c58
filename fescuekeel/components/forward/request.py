"""The handling of one request, from its receipt to its end."""

import asyncio
from dataclasses import dataclass, field
from http import HTTPStatus

from fescuekeel.components.allowance import PermitOutcome
from fescuekeel.components.forward.attempt import Attempt, get_permit_outcome
from fescuekeel.components.forward.attempts import (
    AttemptEnd,
    RequestState,
    Step,
    decide,
)
from fescuekeel.components.forward.broken_run import BrokenRun
from fescuekeel.components.forward.caller import CallerConnection, CallerGoneError
from fescuekeel.components.forward.choice import Choice
from fescuekeel.components.forward.chunk_times import ChunkTimes
from fescuekeel.components.forward.const import (
    CONNECT_BACKOFF_S,
    DEFAULT_KEEP_ALIVE_S,
    KEEP_ALIVE_MARGIN_S,
    MAX_CONNECT_BACKOFF_S,
    MAX_RELAYED_AGE_S,
    MAX_RELAYED_IDLE_S,
    MAX_SAMPLE_WAIT_S,
    MAX_UNSAFE_IDLE_S,
    MIN_TIME_LEFT_S,
)
from fescuekeel.components.forward.events import EventSplitter
from fescuekeel.components.forward.host import RequestHost
from fescuekeel.errors import ErrorKind, Failure
from fescuekeel.helpers.dialect import (
    CallerMetadata,
    ForwardMetadata,
    Header,
    ResponseMetadata,
)
from fescuekeel.helpers.event_stream import EventTracker
from fescuekeel.helpers.fingerprint import compute_fingerprint
from fescuekeel.helpers.http_connection import (
    Connection,
    IncompleteResponseError,
    NotConnectedError,
    ResponseHead,
)
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.published import ClientAccount, Route, RouteKind, Weights
from fescuekeel.helpers.whole_answer import is_event_stream

__all__ = ["ForwardedRequest"]

FAILURE_STATUS = 500


@dataclass(slots=True, eq=False)
class ForwardedRequest:
    """Forward a request to an endpoint and the answer to the caller.

    ``deadline`` is the time at which the answer must be complete, on the
    instance's clock.
    """

    forwarder: "RequestHost[ForwardedRequest, Attempt]"
    caller: CallerConnection
    metadata: CallerMetadata
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
    times: ChunkTimes = field(default_factory=ChunkTimes)
    waited_s: float = 0.0
    _current_attempt: Attempt | None = None
    _splitter: EventSplitter | None = None
    _caller_closed: bool = field(default=False)
    _fingerprint: str = ""
    _broken_run: BrokenRun | None = None

    @property
    def fingerprint(self) -> str:
        """Return the digest of what an endpoint is asked to run."""
        if not self._fingerprint:
            self._fingerprint = compute_fingerprint(
                self.body,
                self.method,
                self.host,
                self.target,
                str(self.weights or ""),
                self.account.name if self.account else "",
            )
        return self._fingerprint

    @property
    def weights(self) -> Weights | None:
        """Return the weights that the request needs, if any."""
        return self.metadata.weights

    @property
    def priority(self) -> int:
        """Return the priority; the account's overrides the route's."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    async def run(self) -> None:
        """Serve the request; every exit path answers the caller."""
        instance = self.forwarder.instance
        left_s = self.deadline - instance.now()
        try:
            async with asyncio.timeout(max(0.0, left_s)):
                await self._serve()
        except TimeoutError:
            await self._end_expired()
        except CallerGoneError:
            self.outcome = "caller_gone"
        except asyncio.CancelledError:
            self.outcome = "caller_gone" if self._caller_closed else "stopped"
            if not self._caller_closed:
                await self._end_stopped()
        finally:
            self.forwarder.record_end(self)

    def handle_caller_closed(self, task: asyncio.Task[None]) -> None:
        """Cancel the request after its caller has disconnected."""
        self._caller_closed = True
        task.cancel()

    def abort_for_failover(self, by_another_path: bool) -> bool:
        """Abort the current attempt if the request may be sent once more.

        Guards against a stream that waits for an unreachable endpoint until
        its caller gives up. With ``by_another_path`` the endpoint itself may
        get it again, and only direct connections are affected. Returns whether
        the attempt was aborted.
        """
        attempt = self._current_attempt
        if attempt is None or attempt.connection is None or not self.state.repeatable:
            return False
        if by_another_path and attempt.connection.relayed_by:
            return False
        if not self.state.may_send_again(by_another_path):
            return False
        attempt.connection.close()
        return True

    @property
    def current_endpoint(self) -> str:
        """Return the endpoint of the current attempt, empty if none."""
        return self._current_attempt.endpoint if self._current_attempt else ""

    async def _serve(self) -> None:
        unsent = 0
        while True:
            quarantined = self.forwarder.crashes.find_failure(self)
            if quarantined is not None:
                await self._fail(quarantined)
                return
            choice = await self.forwarder.select_endpoint(self)
            if isinstance(choice, Failure):
                await self._refuse_before_attempt(choice)
                return
            refusal = self._recheck_account()
            if refusal is not None:
                self._end_permit(choice, PermitOutcome.UNUSED)
                await self._refuse_before_attempt(refusal)
                return
            end = await self._attempt(choice)
            if end is None:
                return
            if self._broken_run is not None:
                await self._report_broken(self._broken_run)
            step = decide(self.state, end)
            if step.uses_budget and not self.forwarder.spend_retry(self, end):
                await self._give_up(step.kind, "budget")
                return
            if end is AttemptEnd.UNSENT:
                # Guards against a busy loop while all endpoints refuse
                # connections.
                unsent += 1
                await asyncio.sleep(
                    min(MAX_CONNECT_BACKOFF_S, CONNECT_BACKOFF_S * unsent)
                )
            if step.step in (Step.RETRY, Step.RESUME):
                continue
            await self._give_up(step.kind, end.value)
            return

    def _recheck_account(self) -> Failure | None:
        """Authenticate the request again; return a failure if rejected.

        Guards against sending a request whose key was revoked while it waited
        for weights or admission, or while the process was suspended.
        """
        if self.account is None or self.state.answer_started:
            return None
        found = self.forwarder.find_account(self.route, self.metadata)
        return found if isinstance(found, Failure) else None

    async def _refuse_before_attempt(self, failure: Failure) -> None:
        if self.state.may_have_run and not self.state.answer_started:
            failure = Failure(ErrorKind.OUTCOME_UNKNOWN, failure.detail)
        await self._fail(failure)

    async def _give_up(self, kind: ErrorKind, detail: str) -> None:
        if self.state.may_have_run and kind is ErrorKind.ENDPOINT_REFUSED:
            kind = ErrorKind.OUTCOME_UNKNOWN
        await self._fail(Failure(kind, detail))

    async def _fail(self, failure: Failure) -> None:
        self.outcome = failure.kind.value
        if self.caller.started:
            self.caller.abort()
            return
        headers = self.forwarder.dialect.make_error_headers(
            self.metadata.request_id, failure.kind
        )
        await self.caller.refuse(failure, headers)
        self.forwarder.record_refused(self, failure)

    async def _end_expired(self) -> None:
        """Answer that the deadline has passed; "not run" only if unsent."""
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
        """Send the request once; return ``None`` if it was answered."""
        now = self.forwarder.instance.now()
        if self.deadline - now < MIN_TIME_LEFT_S:
            raise TimeoutError
        load = self.forwarder.get_load(choice.endpoint)
        tokens = self.metadata.prompt_tokens if self.weights else 0
        tokens_ahead = self.forwarder.count_tokens_ahead(choice.endpoint, tokens)
        attempt = self._current_attempt = Attempt(
            choice.endpoint, now, tokens, tokens_ahead
        )
        self._broken_run = None
        load.begin(self.weights, tokens)
        load.health.record_sent(now)
        end: AttemptEnd | None = AttemptEnd.BROKEN
        try:
            end = await self._exchange(attempt, choice)
        finally:
            self._current_attempt = None
            self._end_permit(choice, get_permit_outcome(end))
            done = self.forwarder.instance.now()
            left = 0 if attempt.first_chunk_received else tokens
            load.end(self.weights, left)
            self.forwarder.record_use_ended()
            load.health.record_ended(done)
            if attempt.connection is not None:
                attempt.connection.close()
        failed = end in (AttemptEnd.FAILED, AttemptEnd.BROKEN)
        load.health.record_result(failed, done)
        self.forwarder.record_attempt(self, choice, attempt, end)
        return end

    def _end_permit(self, choice: Choice, outcome: PermitOutcome) -> None:
        limiter = self.forwarder.limiter
        if choice.permit is not None:
            limiter.end_permit(choice.permit, outcome)
            return
        needs_permit = limiter.get_max_rejections_per_s(self.service) is not None
        if needs_permit and outcome is PermitOutcome.REJECTED:
            limiter.report_rejected(choice.endpoint)

    async def _exchange(self, attempt: Attempt, choice: Choice) -> AttemptEnd | None:
        try:
            connection = await self._connect(attempt.endpoint)
        except NotConnectedError:
            return AttemptEnd.UNSENT
        attempt.connection = connection
        if not self._may_send(choice):
            return AttemptEnd.UNSENT
        attempt.sent_at = self.forwarder.instance.now()
        try:
            self._send(connection, choice)
        except NotConnectedError:
            return AttemptEnd.UNSENT
        try:
            return await self._read_answer(attempt, connection)
        except (IncompleteResponseError, ValueError) as error:
            log_event(
                "answer_broken",
                request_id=self.metadata.request_id,
                fingerprint=self.fingerprint,
                endpoint=attempt.endpoint,
                kept=not connection.fresh,
                age_ms=round(
                    (self.forwarder.instance.now() - attempt.started_at) * 1000
                ),
                error=str(error),
                outcome=AttemptEnd.BROKEN.value,
            )
            if self._splitter is not None:
                self._splitter.drop_buffered()
            shown_alive = not connection.fresh or attempt.head is not None
            now = self.forwarder.instance.now()
            self._broken_run = BrokenRun(
                attempt.endpoint,
                attempt.sent_at,
                now - attempt.sent_at,
                shown_alive,
            )
            return AttemptEnd.BROKEN

    def _may_send(self, choice: Choice) -> bool:
        """Return whether the chosen endpoint may still get the request.

        While the request waited for a connection, it may have been quarantined
        or the endpoint may have named a rate limit.
        """
        if self.forwarder.crashes.find_failure(self) is not None:
            return False
        limiter = self.forwarder.limiter
        if (
            choice.permit is None
            and limiter.get_max_rejections_per_s(self.service) is not None
        ):
            return False
        return choice.within_limit or not limiter.is_limited(choice.endpoint)

    async def _report_broken(self, run: BrokenRun) -> None:
        address = self.forwarder.get_pool(run.endpoint).address
        await self.forwarder.crashes.handle_broken(self, run, address)

    async def _connect(self, endpoint: str) -> Connection:
        pool = self.forwarder.get_pool(endpoint)
        failed_at = self.forwarder.relay.get_failed_at(endpoint)
        pooled = pool.take(self.forwarder.instance.now(), failed_at)
        if pooled is not None:
            return pooled
        return await self.forwarder.open(endpoint, pool)

    def _send(self, connection: Connection, choice: Choice) -> None:
        now = self.forwarder.instance.now()
        forward_metadata = ForwardMetadata(
            choice.endpoint,
            self.deadline - now,
            self.forwarder.get_priority(self),
            choice.version or None,
            self.resume_after,
            self.account.name if self.account else "",
        )
        headers = self.forwarder.dialect.make_request_headers(
            self.metadata, forward_metadata
        )
        framing: tuple[Header, ...] = ()
        if self.body or self.method not in ("GET", "HEAD", "DELETE"):
            framing = (("Content-Length", str(len(self.body))),)
        connection.send(self.method, self.target, (*headers, *framing), self.body)
        self.state.record_sent(choice.endpoint)

    async def _read_answer(
        self, attempt: Attempt, connection: Connection
    ) -> AttemptEnd | None:
        try:
            return await self._read_whole_answer(attempt, connection)
        finally:
            attempt.framing = connection.framing
            attempt.ended_by = connection.ended_by

    async def _read_whole_answer(
        self, attempt: Attempt, connection: Connection
    ) -> AttemptEnd | None:
        head = await connection.read_head()
        self._record_received(attempt)
        if not connection.relayed_by:
            self.forwarder.relay.record_contact(attempt.endpoint)
        attempt.head = head
        response = self.forwarder.dialect.read_response(head.status, dict(head.headers))
        if response.request_id and response.request_id != self.metadata.request_id:
            raise IncompleteResponseError("answer has the id of another request")
        self.forwarder.limiter.record_max_rejections(
            self.service, response.max_rejections_per_s
        )
        if not response.misdirected:
            self.forwarder.limiter.record_answer(
                attempt.endpoint, response.limit_per_s, attempt.started_at
            )
        if response.not_run:
            await self._drain(connection, attempt, response)
            if response.misdirected:
                return AttemptEnd.MISDIRECTED
            return AttemptEnd.NOT_RUN
        if self._may_retry(head):
            await self._drain(connection, attempt, response)
            return AttemptEnd.FAILED
        await self._pass_on(attempt, connection, head)
        self._release(attempt, connection, response)
        return None

    def _may_retry(self, head: ResponseHead) -> bool:
        """Return whether to retry after an error of the endpoint."""
        if head.status < FAILURE_STATUS:
            return False
        if self.state.answer_started:
            return True
        if not self.state.repeatable:
            return False
        return len(self.state.endpoints) < self.state.max_attempts

    def _record_received(self, attempt: Attempt) -> None:
        now = self.forwarder.instance.now()
        self.forwarder.get_load(attempt.endpoint).health.record_received(now)

    async def _drain(
        self, connection: Connection, attempt: Attempt, response: ResponseMetadata
    ) -> None:
        """Read the rest of an answer that is not forwarded."""
        while await connection.read_chunk() is not None:
            self._record_received(attempt)
        self._release(attempt, connection, response)

    def _release(
        self, attempt: Attempt, connection: Connection, response: ResponseMetadata
    ) -> None:
        attempt.connection = None
        if not connection.finish():
            return
        idle_s = DEFAULT_KEEP_ALIVE_S
        if response.keep_alive_s is not None:
            idle_s = max(0.0, response.keep_alive_s - KEEP_ALIVE_MARGIN_S)
        if not self.state.safe:
            idle_s = min(idle_s, MAX_UNSAFE_IDLE_S)
        now = self.forwarder.instance.now()
        until = now + idle_s
        if connection.relayed_by:
            until = min(until, now + MAX_RELAYED_IDLE_S)
            until = min(until, connection.opened_at + MAX_RELAYED_AGE_S)
        self.forwarder.get_pool(attempt.endpoint).release(connection, now, until)

    # Forwarding the answer.

    async def _pass_on(
        self, attempt: Attempt, connection: Connection, head: ResponseHead
    ) -> None:
        if self.state.resumable and head.status == HTTPStatus.OK:
            self._splitter = self._splitter or EventSplitter()
        if not self.state.answer_started:
            await self._begin(head)
        elif head.status != HTTPStatus.OK:
            raise IncompleteResponseError(f"status {head.status} for a resumed stream")
        content_type = head.get("content-type")
        is_stream = self.route.kind is RouteKind.STREAM
        tracker = EventTracker()
        while (chunk := await connection.read_chunk()) is not None:
            self._record_received(attempt)
            self._record_chunk(attempt)
            data = chunk.data
            if is_event_stream(head.status, content_type, is_stream):
                tracker.feed(data)
                attempt.within_event = tracker.within_event
            if self._splitter is not None:
                data = self._splitter.feed(data)
                self.resume_after = self._splitter.last_id
            if data:
                await self.caller.write(data)
        if self._splitter is not None and self._splitter.buffered:
            raise IncompleteResponseError("stream ended within an event")
        self.outcome = "answered"
        self.state.may_have_run = True
        self.forwarder.crashes.record_completed(self)
        await self.caller.finish()

    async def _begin(self, head: ResponseHead) -> None:
        self.state.answer_started = True
        phrase = "OK"
        try:
            phrase = HTTPStatus(head.status).phrase
        except ValueError:
            phrase = "Answer"
        await self.caller.begin(head.status, phrase, head.headers)

    def _record_chunk(self, attempt: Attempt) -> None:
        now = self.forwarder.instance.now()
        load = self.forwarder.get_load(attempt.endpoint)
        gap_s = self.times.note(now, attempt.first_chunk_received)
        if gap_s and self.route.gap_target_s:
            load.record_pause(gap_s / self.route.gap_target_s)
        if attempt.first_chunk_received:
            return
        attempt.first_chunk_received = True
        wait_s = now - attempt.started_at
        attempt.first_s = wait_s
        estimator = self.forwarder.get_overhead_estimator(self.service)
        load.record_first_chunk(
            attempt.tokens, attempt.tokens_ahead, wait_s, estimator.overhead_s, now
        )
        if attempt.tokens and wait_s < MAX_SAMPLE_WAIT_S:
            estimator.note(attempt.tokens, wait_s)
        if self.route.kind is not RouteKind.STREAM:
            load.record_service(wait_s)

"""One attempt's exchange with an endpoint: connect, send, read the answer."""

from http import HTTPStatus
from typing import TYPE_CHECKING

from fescuekeel.components.allowance import PermitOutcome
from fescuekeel.components.forward.attempt import Attempt, FailedAnswer, Transfer
from fescuekeel.components.forward.attempts import AttemptEnd
from fescuekeel.components.forward.broken_run import BrokenRun
from fescuekeel.components.forward.choice import Choice
from fescuekeel.components.forward.const import (
    DEFAULT_KEEP_ALIVE_S,
    INCARNATION_TIMEOUT_S,
    KEEP_ALIVE_MARGIN_S,
    MAX_KEPT_ANSWER_BYTES,
    MAX_RELAYED_AGE_S,
    MAX_RELAYED_IDLE_S,
    MAX_SAMPLE_WAIT_S,
    MAX_UNSAFE_IDLE_S,
    MIN_RESTART_S,
    VERSIONS_WITHIN_S,
)
from fescuekeel.helpers.dialect import (
    MAX_REPORT_BYTES,
    ForwardMetadata,
    Header,
    ResponseMetadata,
)
from fescuekeel.helpers.endpoint_call import call_endpoint
from fescuekeel.helpers.http_connection import (
    Connection,
    HttpResponse,
    IncompleteResponseError,
    NotConnectedError,
    ResponseHead,
)
from fescuekeel.helpers.incarnation import UNKNOWN_BORN_MS, Incarnation
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.published import RouteKind

if TYPE_CHECKING:
    from fescuekeel.components.forward.request import ForwardedRequest

__all__ = ["Exchange"]

FAILURE_STATUS = 500


class Exchange:
    """Send a request to the chosen endpoint once, and pass its answer on."""

    def __init__(
        self, request: "ForwardedRequest", attempt: Attempt, choice: Choice
    ) -> None:
        self.request = request
        self.forwarder = request.forwarder
        self.attempt = attempt
        self.choice = choice
        # Whether the retry budget was charged before the request is sent.
        self.is_charged = False
        # Whether the endpoint has said in the check before this request that
        # it leaves: it still serves what it is sent now.
        self._has_just_left = False

    @property
    def is_relayed(self) -> bool:
        """Return whether the connection leads through a peer."""
        connection = self.attempt.connection
        return connection is not None and bool(connection.relayed_by)

    async def connect(self) -> AttemptEnd | None:
        """Connect; return why the request cannot be sent, or ``None``.

        Whatever is waited for here, the last look at the catalog comes after
        it, in the iteration of the event loop in which the request is written.
        """
        try:
            connection = await self._connect()
        except NotConnectedError:
            return AttemptEnd.UNSENT
        self.attempt.connection = connection
        if not self._may_send():
            return AttemptEnd.UNSENT
        if self._needs_incarnation(connection):
            try:
                if not await self._check_incarnation(connection):
                    return AttemptEnd.MISDIRECTED
            except (IncompleteResponseError, NotConnectedError, ValueError):
                return AttemptEnd.UNSENT
        elif self._goes_by_incarnation():
            connection.incarnation = self.attempt.endpoint
        if self._needs_own_word():
            try:
                if not await self._ask_for_own_word(connection):
                    return AttemptEnd.MISDIRECTED
            except (IncompleteResponseError, NotConnectedError):
                return AttemptEnd.UNSENT
        return None if self._may_send() else AttemptEnd.UNSENT

    async def run(self) -> AttemptEnd | None:
        """Return how the attempt ended, ``None`` if it was answered."""
        connection = self.attempt.connection
        if connection is None:
            unconnected = await self.connect()
            if unconnected is not None:
                return unconnected
            connection = self.attempt.connection
            assert connection is not None
        elif not self._may_send():
            self._refund()
            return AttemptEnd.UNSENT
        unsent = self._send_within_budget(connection)
        if unsent is not None:
            return unsent
        try:
            return await self._read_answer(connection)
        except (IncompleteResponseError, ValueError) as error:
            self._record_broken(connection, error)
            return AttemptEnd.BROKEN
        finally:
            self.attempt.framing = connection.framing
            self.attempt.ended_by = connection.ended_by

    def _record_broken(self, connection: Connection, error: Exception) -> None:
        now = self.forwarder.instance.now()
        attempt = self.attempt
        self.forwarder.get_load(attempt.endpoint).identified_at = float("-inf")
        log_event(
            "answer_broken",
            request_id=self.request.metadata.request_id,
            fingerprint=self.request.fingerprint,
            endpoint=attempt.endpoint,
            kept=not connection.fresh,
            age_ms=round((now - attempt.started_at) * 1000),
            error=str(error),
            outcome=AttemptEnd.BROKEN.value,
        )
        self.request.answer.end_broken_part()
        shown_alive = not connection.fresh or attempt.head is not None
        written_s = (
            now - attempt.first_chunk_at if attempt.first_chunk_received else 0.0
        )
        self.request.broken_run = BrokenRun(
            attempt.endpoint,
            attempt.sent_at,
            now - attempt.sent_at,
            shown_alive,
            written_s,
        )

    # Sending.

    def _may_send(self) -> bool:
        """Return whether the chosen endpoint may still get the request.

        While the request waited for a connection, it may have been
        quarantined, or the endpoint may have left, backed off or named a rate
        limit.
        """
        if self.forwarder.crashes.find_failure(self.request) is not None:
            return False
        endpoint = self.choice.endpoint
        if not self.forwarder.is_listed(endpoint) and not self._has_just_left:
            return False
        if self._is_unconfirmed() and not self.choice.unconfirmed:
            return False
        if self.forwarder.endpoints.find_block(endpoint) is not None:
            return False
        limiter = self.forwarder.limiter
        service = self.request.service
        needs_permit = limiter.get_max_rejections_per_s(service) is not None
        if self.choice.permit is None and needs_permit:
            return False
        return self.choice.within_limit or not limiter.is_limited(self.choice.endpoint)

    async def _connect(self) -> Connection:
        endpoint = self.attempt.endpoint
        pool = self.forwarder.get_pool(endpoint)
        failed_at = self.forwarder.relay.get_failed_at(endpoint)
        now = self.forwarder.instance.now()
        pooled = pool.take(now, failed_at, self._may_use)
        if pooled is not None:
            return pooled
        return await self.forwarder.open(endpoint, pool)

    def _may_use(self, connection: Connection) -> bool:
        """Return whether a connection that has carried requests may be used.

        On one that has carried this request, a second answer to its first send
        could be taken for the answer to this one. The check of the endpoint's
        incarnation has no id, and needs a new connection.
        """
        request = self.request
        if not request.metadata.request_id:
            return False
        if connection.number in request.state.connections:
            return False
        if self._needs_own_word():
            return False
        return not self._needs_incarnation(connection)

    def _needs_incarnation(self, connection: Connection) -> bool:
        """Return whether to check which start of the endpoint has answered.

        An endpoint that keeps its name may have restarted with another
        software version, and the catalog may not show it yet. It has not if
        it answered on a connection to the chosen incarnation just now.
        """
        endpoint = self.attempt.endpoint
        if connection.incarnation == endpoint or not self._goes_by_incarnation():
            return False
        origins = self.forwarder.origins
        if origins.may_have_several(self.request.service, VERSIONS_WITHIN_S):
            return True
        identified_at = self.forwarder.get_load(endpoint).identified_at
        return self.forwarder.instance.now() - identified_at > MIN_RESTART_S

    def _goes_by_incarnation(self) -> bool:
        """Return whether another start of the endpoint must not answer."""
        born_ms = Incarnation.parse(self.attempt.endpoint).born_ms
        return self.request.route.resumable and born_ms != UNKNOWN_BORN_MS

    async def _check_incarnation(self, connection: Connection) -> bool:
        """Return whether the connection leads to the chosen incarnation.

        A connection does not outlast a restart, so that one check is enough.
        """
        endpoint = self.attempt.endpoint
        answer = await self._request_report(connection)
        if answer.status == HTTPStatus.OK:
            report = self.forwarder.dialect.read_report(answer.body)
            if report.born_ms == Incarnation.parse(endpoint).born_ms:
                connection.incarnation = endpoint
                self._record_identified(connection)
                response = self._read_response(answer)
                self._has_just_left = response.leaving
                self.forwarder.endpoints.record_response(endpoint, response)
                return True
        self.request.state.record_sent(endpoint, connection.number)
        return False

    def _is_unconfirmed(self) -> bool:
        return self.forwarder.read_unconfirmed_s(self.choice.endpoint) >= 0

    def _needs_own_word(self) -> bool:
        """Return whether the endpoint has to say first that it does not leave.

        Its entry is missing: it may have been removed, or have lapsed.
        """
        if not self._is_unconfirmed():
            return False
        return not self.forwarder.endpoints.has_answered_lately(self.choice.endpoint)

    async def _ask_for_own_word(self, connection: Connection) -> bool:
        """Let the endpoint answer; return whether it is the chosen one.

        An answer of any status counts, since not every endpoint has a report.
        """
        endpoint = self.choice.endpoint
        response = self._read_response(await self._request_report(connection))
        self.forwarder.endpoints.record_response(endpoint, response)
        if response.misdirected:
            self.request.state.record_sent(endpoint, connection.number)
        return not response.misdirected

    async def _request_report(self, connection: Connection) -> HttpResponse:
        """Let the chosen endpoint answer a call on a new connection."""
        endpoint = self.choice.endpoint
        return await call_endpoint(
            connection,
            self.forwarder.dialect,
            self.forwarder.dialect.make_report_call(endpoint),
            self.forwarder.get_pool(endpoint).address,
            INCARNATION_TIMEOUT_S,
            MAX_REPORT_BYTES,
        )

    def _read_response(self, answer: HttpResponse) -> ResponseMetadata:
        headers = dict(answer.headers)
        return self.forwarder.dialect.read_response(answer.status, headers)

    def _send_within_budget(self, connection: Connection) -> AttemptEnd | None:
        """Send the request; return why it was not sent, or ``None``.

        A repeated one is charged as it is sent: it may have waited for an
        endpoint for longer than the budget's window.
        """
        request = self.request
        if request.state.sends > 0 and not self.is_charged:
            self.is_charged = self.forwarder.spend_retry(request)
            if not self.is_charged:
                return AttemptEnd.OVER_BUDGET
        self.attempt.sent_at = self.forwarder.instance.now()
        try:
            self._send(connection)
        except NotConnectedError:
            self._refund()
            return AttemptEnd.UNSENT
        return None

    def abandon(self) -> None:
        """Return what was taken for an attempt that is not made."""
        if self.attempt.connection is not None:
            self.attempt.connection.close()
        self._refund()
        if self.choice.within_limit:
            self.forwarder.limiter.refund(self.choice.endpoint)
        if self.choice.permit is not None:
            self.forwarder.limiter.end_permit(self.choice.permit, PermitOutcome.UNUSED)

    def _refund(self) -> None:
        """Return the retry of a request that is not sent after all."""
        if self.is_charged:
            self.is_charged = False
            self.forwarder.refund_retry(self.request)

    def _send(self, connection: Connection) -> None:
        request = self.request
        forward_metadata = ForwardMetadata(
            self.choice.endpoint,
            request.deadline - self.forwarder.instance.now(),
            self.forwarder.get_priority(request),
            self.choice.version or None,
            request.resume_after,
            request.account.name if request.account else "",
        )
        headers = self.forwarder.dialect.make_request_headers(
            request.metadata, forward_metadata
        )
        framing: tuple[Header, ...] = ()
        if request.body or request.method not in ("GET", "HEAD", "DELETE"):
            framing = (("Content-Length", str(len(request.body))),)
        connection.send(
            request.method,
            request.target,
            (*headers, *framing),
            request.body,
            self.forwarder.dialect.make_correlation(request.metadata.request_id),
        )
        self.attempt.transfer = Transfer(
            connection.number,
            connection.age_s,
            connection.sends,
            len(request.body),
            self.forwarder.read_unconfirmed_s(self.choice.endpoint),
        )
        if self.attempt.transfer.unconfirmed_s >= 0:
            self.forwarder.instance.metrics.count("endpoint.sent_unconfirmed")
        request.state.record_sent(self.choice.endpoint, connection.number)
        self.attempt.is_return = self.forwarder.endpoints.record_sent(
            self.choice.endpoint
        )

    # Reading.

    async def _read_answer(self, connection: Connection) -> AttemptEnd | None:
        head = await connection.read_head()
        self._record_received()
        if not connection.relayed_by:
            self.forwarder.relay.record_contact(self.attempt.endpoint)
        self.attempt.head = head
        response = self.forwarder.dialect.read_response(head.status, dict(head.headers))
        is_success = HTTPStatus.OK <= head.status < HTTPStatus.MULTIPLE_CHOICES
        if is_success and not response.signed:
            raise IncompleteResponseError("success without the endpoint's stamp")
        if response.not_run and not self._may_believe_rejection(response):
            raise IncompleteResponseError("rejection without the request's id")
        self._record_response(response)
        self._record_limits(response)
        self._record_rejection(head, response)
        if response.not_run:
            await self._drain(connection, response)
            if response.misdirected:
                return AttemptEnd.MISDIRECTED
            return AttemptEnd.NOT_RUN
        if self._may_retry(head):
            await self._keep_failed(connection, head, response)
            return AttemptEnd.FAILED
        await self._pass_on(connection, head)
        self._release(connection, response)
        return None

    def _may_believe_rejection(self, response: ResponseMetadata) -> bool:
        """Return whether a rejection proves that the request has not run.

        Another send must not follow one that may still run.
        """
        return bool(response.request_id) or self.request.state.repeatable

    def _record_response(self, response: ResponseMetadata) -> None:
        endpoints = self.forwarder.endpoints
        endpoints.record_response(self.choice.endpoint, response)
        if self.attempt.is_return:
            endpoints.record_ended(self.choice.endpoint, not response.not_run)

    def _record_limits(self, response: ResponseMetadata) -> None:
        limiter = self.forwarder.limiter
        limiter.record_max_rejections(
            self.request.service, response.max_rejections_per_s
        )
        if not response.misdirected:
            limiter.record_answer(
                self.attempt.endpoint, response.limit_per_s, self.attempt.started_at
            )

    def _record_rejection(self, head: ResponseHead, response: ResponseMetadata) -> None:
        """Record whether the endpoint took the request or rejected it."""
        forwarder, attempt = self.forwarder, self.attempt
        health = forwarder.get_load(attempt.endpoint).health
        if not response.not_run:
            health.record_accepted(attempt.started_at)
            return
        is_rejection = head.status == HTTPStatus.SERVICE_UNAVAILABLE
        if not is_rejection or response.asks_for_back_off:
            return
        now = forwarder.instance.now()
        if health.record_rejected(attempt.started_at, now):
            forwarder.instance.metrics.count("endpoint_rejecting")
            log_event(
                "endpoint_rejecting",
                endpoint=attempt.endpoint,
                request_id=self.request.metadata.request_id,
                avoided_ms=round((health.rejecting_until - now) * 1000),
            )

    def _may_retry(self, head: ResponseHead) -> bool:
        """Return whether to retry after an error of the endpoint."""
        state = self.request.state
        if head.status < FAILURE_STATUS:
            return False
        if state.answer_started:
            return True
        if not state.repeatable or len(state.endpoints) >= state.max_attempts:
            return False
        return self.forwarder.has_retry_budget(self.request)

    async def _keep_failed(
        self, connection: Connection, head: ResponseHead, response: ResponseMetadata
    ) -> None:
        """Read an answer with an error; keep it if no retry is answered.

        One that is too long is not read to its end, which may never come: the
        connection is closed with the attempt.
        """
        body = bytearray()
        while (chunk := await connection.read_chunk()) is not None:
            self._record_received()
            body += chunk.data
            if len(body) > MAX_KEPT_ANSWER_BYTES:
                return
        if not self.request.state.answer_started:
            self.request.failed_answer = FailedAnswer(head, bytes(body))
        self._release(connection, response)

    async def _drain(self, connection: Connection, response: ResponseMetadata) -> None:
        """Read the rest of an answer that is not forwarded.

        A long one is not read to its end; see ``_keep_failed``.
        """
        drained_bytes = 0
        while (chunk := await connection.read_chunk()) is not None:
            self._record_received()
            drained_bytes += len(chunk.data)
            if drained_bytes > MAX_KEPT_ANSWER_BYTES:
                return
        self._release(connection, response)

    def _release(self, connection: Connection, response: ResponseMetadata) -> None:
        self.attempt.connection = None
        if not connection.finish():
            return
        if not connection.repeats_ids:
            connection.close()
            return
        idle_s = DEFAULT_KEEP_ALIVE_S
        if response.keep_alive_s is not None:
            idle_s = max(0.0, response.keep_alive_s - KEEP_ALIVE_MARGIN_S)
        if not self.request.state.safe:
            idle_s = min(idle_s, MAX_UNSAFE_IDLE_S)
        now = self.forwarder.instance.now()
        until = now + idle_s
        if connection.relayed_by:
            until = min(until, now + MAX_RELAYED_IDLE_S)
            until = min(until, connection.opened_at + MAX_RELAYED_AGE_S)
        self.forwarder.get_pool(self.attempt.endpoint).release(connection, now, until)

    async def _pass_on(self, connection: Connection, head: ResponseHead) -> None:
        answer = self.request.answer
        answer.begin_part(head)
        while (chunk := await connection.read_chunk()) is not None:
            self._record_received()
            self._record_chunk()
            await answer.pass_on(chunk.data)
            self.attempt.within_event = answer.within_event
            self.request.resume_after = answer.last_id or self.request.resume_after
        answer.check_end(connection)
        self.request.record_answered()
        await answer.finish()

    # Observations of the endpoint.

    def _record_received(self) -> None:
        self.request.failover.end_search()
        now = self.forwarder.instance.now()
        self.attempt.received_at = now
        self.forwarder.get_load(self.attempt.endpoint).health.record_received(now)
        if self.attempt.connection is not None:
            self._record_identified(self.attempt.connection)

    def _record_identified(self, connection: Connection) -> None:
        """Record that the chosen incarnation of the endpoint answers."""
        endpoint = self.attempt.endpoint
        if connection.incarnation == endpoint:
            now = self.forwarder.instance.now()
            self.forwarder.get_load(endpoint).identified_at = now

    def _record_chunk(self) -> None:
        attempt = self.attempt
        now = self.forwarder.instance.now()
        load = self.forwarder.get_load(attempt.endpoint)
        gap_s = self.request.times.note(now, attempt.first_chunk_received)
        if gap_s and self.request.route.gap_target_s:
            load.record_pause(gap_s / self.request.route.gap_target_s)
        if attempt.first_chunk_received:
            return
        attempt.first_chunk_received = True
        attempt.first_chunk_at = now
        wait_s = now - attempt.started_at
        attempt.first_s = wait_s
        estimator = self.forwarder.get_overhead_estimator(self.request.service)
        load.record_first_chunk(
            attempt.tokens, attempt.tokens_ahead, wait_s, estimator.overhead_s, now
        )
        if attempt.tokens and wait_s < MAX_SAMPLE_WAIT_S:
            estimator.note(attempt.tokens, wait_s)
        if self.request.route.kind is not RouteKind.STREAM:
            load.record_service(wait_s)

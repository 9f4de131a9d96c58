"""The handling of one request, from its receipt to its end."""

import asyncio
from dataclasses import dataclass, field
from http import HTTPStatus

from fescuekeel.components.allowance import PermitOutcome
from fescuekeel.components.forward.answer import ForwardedAnswer
from fescuekeel.components.forward.attempt import (
    Attempt,
    FailedAnswer,
    get_permit_outcome,
)
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
    DRAINING_RETRY_S,
    FAULT_ANSWER_S,
    MAX_CONNECT_BACKOFF_S,
    MAX_DETAIL_CHARS,
    MIN_TIME_LEFT_S,
    ORIGIN_RETRY_S,
)
from fescuekeel.components.forward.exchange import Exchange
from fescuekeel.components.forward.failover import Failover
from fescuekeel.components.forward.host import RequestHost
from fescuekeel.components.origins import StreamOrigin
from fescuekeel.components.quarantine import MAX_PARTS
from fescuekeel.errors import ErrorKind, Failure
from fescuekeel.helpers.catalog_link import get_catalog_link
from fescuekeel.helpers.dialect import CallerMetadata
from fescuekeel.helpers.fingerprint import compute_fingerprint, fingerprint_parts
from fescuekeel.helpers.published import ClientAccount, Route, RouteKind, Weights

__all__ = ["ForwardedRequest"]


@dataclass(slots=True, eq=False)
class ForwardedRequest:
    """Forward a request to an endpoint and the answer to the caller.

    ``caller_left_s`` is how long the caller waits. ``deadline`` is the time at
    which the answer must be complete, on the instance's clock. ``origin`` is
    set once an event has been sent to the caller, or if the caller resumes a
    stream.
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
    caller_left_s: float
    deadline: float
    state: RequestState
    account: ClientAccount | None = None
    resume_after: str = ""
    origin: StreamOrigin | None = None
    outcome: str = ""
    times: ChunkTimes = field(default_factory=ChunkTimes)
    waited_s: float = 0.0
    broken_run: BrokenRun | None = None
    failed_answer: FailedAnswer | None = None
    answer: ForwardedAnswer = field(init=False)
    failover: Failover = field(init=False)
    _current_attempt: Attempt | None = None
    _caller_closed: bool = field(default=False)
    _fingerprint: str = ""
    _parts: tuple[str, ...] | None = None

    def __post_init__(self) -> None:
        """Make the answer, which all attempts share."""
        self.failover = Failover(self)
        expects_events = self.route.kind is RouteKind.STREAM
        self.answer = ForwardedAnswer(
            self.caller, self.state, expects_events, self._record_first_event
        )

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
    def parts(self) -> tuple[str, ...]:
        """Return the caller's key and those of the parts it may share."""
        if self._parts is None:
            ids = dict.fromkeys(self.metadata.prompt_parts[:MAX_PARTS])
            if self.account is not None:
                owner = f"account {self.account.name}"
            else:
                owner = f"host {self.route.host}"
            self._parts = fingerprint_parts(ids, owner)
        return self._parts

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
        except Exception:
            # The task logs the error.
            await self._end_failed()
            raise
        finally:
            self.failover.cancel()
            self.forwarder.record_end(self)

    def handle_caller_closed(self, task: asyncio.Task[None]) -> None:
        """Cancel the request after its caller has disconnected."""
        self._caller_closed = True
        task.cancel()

    def begin_failover(self, by_another_path: bool) -> bool:
        """Look for another endpoint if the request may be sent once more.

        Guards against a stream that waits for an unreachable endpoint until
        its caller gives up. With ``by_another_path`` the endpoint itself may
        get it again, and only direct connections are affected. Returns whether
        a search has begun.
        """
        attempt = self._current_attempt
        if attempt is None or attempt.connection is None:
            return False
        if not self.state.repeatable or not self.answer.can_go_on:
            return False
        if not attempt.connection.awaits_data:
            return False
        if by_another_path and attempt.connection.relayed_by:
            return False
        if not self.state.may_send_again(by_another_path):
            return False
        if not self.forwarder.has_retry_budget(self):
            return False
        return self.failover.begin(attempt, by_another_path)

    def is_current(self, attempt: Attempt) -> bool:
        """Return whether an attempt is under way."""
        return self._current_attempt is attempt

    @property
    def silent_s(self) -> float:
        """Return for how long the current attempt has brought nothing."""
        attempt = self._current_attempt
        if attempt is None or not attempt.sent_at:
            return 0.0
        since = max(attempt.sent_at, attempt.received_at)
        return self.forwarder.instance.now() - since

    @property
    def resumes_stream(self) -> bool:
        """Return whether the caller resumes a stream of an earlier attempt."""
        return self.route.resumable and bool(self.metadata.resume_after)

    @property
    def _stream_id(self) -> str:
        """Return the id under which the stream's origin is stored."""
        if self.resumes_stream:
            return self.metadata.resumes
        return self.metadata.request_id

    async def _find_origin(self) -> Failure | None:
        """Find the stream's origin; return a failure if it has none."""
        if not self.resumes_stream:
            return None
        origin = await self.forwarder.origins.find(
            self.metadata.request_id,
            self.metadata.resumes,
            self.service,
            max(self.route.timeout_s, self.caller_left_s),
        )
        if origin is None:
            return Failure(
                ErrorKind.STREAM_ORIGIN_UNKNOWN,
                self.metadata.resumes[:MAX_DETAIL_CHARS],
                retry_after_s=ORIGIN_RETRY_S,
            )
        if not self._may_be_served_by(origin.service):
            refused = await self._update_route(origin.service)
            if refused is not None:
                return refused
        self.service = origin.service
        self.origin = origin
        return None

    def _may_be_served_by(self, service: str) -> bool:
        return service in {target.service for target in self.route.targets}

    async def _update_route(self, service: str) -> Failure | None:
        """Use the route now in force; return a failure if it lacks a service.

        The stream may have begun under a configuration that this instance did
        not know when the caller came back. The route may ask for a key now.
        """
        link = get_catalog_link(self.forwarder.instance)
        is_confirmed = await link.confirm(self.arrived)
        route = self.forwarder.find_route(self.host, self.target)
        if route is not None:
            account = self.forwarder.find_account(route, self.metadata)
            if isinstance(account, Failure):
                return account
            self.route, self.account = route, account
        if self._may_be_served_by(service):
            return None
        if is_confirmed:
            return Failure(ErrorKind.STREAM_VERSION_GONE, service)
        return Failure(
            ErrorKind.CONFIGURATION_STALE, service, retry_after_s=ORIGIN_RETRY_S
        )

    def _record_first_event(self) -> None:
        """Store the stream's origin, before the caller gets the event."""
        attempt = self._current_attempt
        if attempt is None:
            return
        if self.origin is None:
            self.origin = StreamOrigin(self.service, attempt.software)
        waited_s = self.forwarder.instance.now() - self.arrived
        self.forwarder.origins.record_begun(
            self._stream_id, self.origin, self.caller_left_s - waited_s
        )

    def record_answered(self) -> None:
        """Record that the caller gets a whole answer."""
        if self.origin is not None:
            self.forwarder.origins.record_ended(self._stream_id)
        self.outcome = "answered"
        self.state.may_have_run = True
        attempt = self._current_attempt
        head = attempt.head if attempt is not None else None
        succeeded = head is not None and head.status < HTTPStatus.BAD_REQUEST
        self.forwarder.crashes.record_completed(self, succeeded)

    @property
    def current_endpoint(self) -> str:
        """Return the endpoint of the current attempt, empty if none."""
        return self._current_attempt.endpoint if self._current_attempt else ""

    async def _serve(self) -> None:
        unsent = 0
        lost = await self._find_origin()
        if lost is not None:
            await self._fail(lost)
            return
        while True:
            quarantined = self.forwarder.crashes.find_failure(self)
            if quarantined is not None:
                await self._fail(quarantined)
                return
            found = self.failover.take() or await self._find_attempt()
            if isinstance(found, Failure):
                await self._refuse_before_attempt(found)
                return
            refusal = self._recheck_account()
            if refusal is not None:
                found.abandon()
                await self._refuse_before_attempt(refusal)
                return
            end = await self._attempt(found)
            if end is None:
                return
            if self.broken_run is not None:
                await self._report_broken(self.broken_run)
            if self.failover.is_prepared:
                self.state.may_have_run = True
                continue
            step = decide(self.state, end)
            if step.uses_budget and not self.forwarder.may_retry(self, end):
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

    async def _find_attempt(self) -> Exchange | Failure:
        """Wait for an endpoint; return the attempt there."""
        began_at = self.forwarder.instance.now()
        choice = await self.forwarder.select_endpoint(self)
        self.waited_s += self.forwarder.instance.now() - began_at
        if isinstance(choice, Failure):
            return choice
        return Exchange(self, self.make_attempt(choice), choice)

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
        kept = self.failed_answer
        if kept is not None and failure.kind is ErrorKind.OUTCOME_UNKNOWN:
            await self._pass_on_failed(kept)
            return
        headers = self.forwarder.dialect.make_error_headers(
            self.metadata.request_id, failure.kind
        )
        await self.caller.refuse(failure, headers)
        self.forwarder.record_refused(self, failure)

    async def _pass_on_failed(self, kept: FailedAnswer) -> None:
        """Answer with an endpoint's own error, as no retry is answered."""
        self.answer.begin_part(kept.head)
        await self.answer.pass_on(kept.body)
        self.record_answered()
        await self.answer.finish()

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
            await self._fail(Failure(kind, "shutdown", retry_after_s=DRAINING_RETRY_S))
        except CallerGoneError:
            self.outcome = "caller_gone"

    async def _end_failed(self) -> None:
        """Answer after a fault of this program.

        The caller must not wait, or take a broken answer for a whole one.
        """
        kind = ErrorKind.OUTCOME_UNKNOWN if self.state.sends else ErrorKind.INTERNAL
        try:
            async with asyncio.timeout(FAULT_ANSWER_S):
                await self._fail(Failure(kind, "fault"))
        except (CallerGoneError, TimeoutError):
            self.caller.abort()
        self.outcome = "error"

    # One attempt.

    def make_attempt(self, choice: Choice) -> Attempt:
        """Return an attempt that begins now."""
        now = self.forwarder.instance.now()
        tokens = self.metadata.prompt_tokens if self.weights else 0
        tokens_ahead = self.forwarder.count_tokens_ahead(choice.endpoint, tokens)
        return Attempt(
            choice.endpoint, now, tokens, tokens_ahead, software=choice.software
        )

    async def _attempt(self, exchange: Exchange) -> AttemptEnd | None:
        """Send the request once; return ``None`` if it was answered."""
        now = self.forwarder.instance.now()
        choice, attempt = exchange.choice, exchange.attempt
        if self.deadline - now < MIN_TIME_LEFT_S:
            exchange.abandon()
            raise TimeoutError
        load = self.forwarder.get_load(choice.endpoint)
        attempt.started_at = now
        tokens = attempt.tokens
        self._current_attempt = attempt
        self.broken_run = None
        load.begin(self.weights, tokens)
        load.health.record_sent(now)
        end: AttemptEnd | None = AttemptEnd.BROKEN
        try:
            end = await exchange.run()
        finally:
            self._current_attempt = None
            self.failover.end_search()
            self._end_permit(choice, get_permit_outcome(end))
            done = self.forwarder.instance.now()
            left = 0 if attempt.first_chunk_received else tokens
            load.end(self.weights, left)
            self.forwarder.record_use_ended()
            load.health.record_ended(done)
            if attempt.is_return and attempt.head is None:
                self.forwarder.endpoints.record_ended(choice.endpoint, False)
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

    async def _report_broken(self, run: BrokenRun) -> None:
        address = self.forwarder.get_pool(run.endpoint).address
        await self.forwarder.crashes.handle_broken(self, run, address)

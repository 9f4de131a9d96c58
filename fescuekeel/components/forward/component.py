"""The forwarder: it owns callers' requests and the pools of connections."""

import asyncio
import random

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, RequestStartLine

from fescuekeel.components.catalog.component import get_dialect
from fescuekeel.components.forward.attempts import AttemptEnd, RequestState
from fescuekeel.components.forward.budget import RetryBudget
from fescuekeel.components.forward.caller import CallerConnection, CallerGoneError
from fescuekeel.components.forward.choice import (
    Choice,
    EngineQuestion,
    choose_engine,
    choose_plain,
)
from fescuekeel.components.forward.const import (
    CONNECT_TIMEOUT_S,
    DEFAULT_TIME_LEFT_S,
    DOMAIN,
    DRAIN_POLL_S,
    DRAIN_SERVE_S,
    LOAD_WAIT_SHARE,
    MAX_TURN_REFUSALS,
    PATIENCE_TARGETS,
    READING_S,
    RETRY_FROM_S,
    RETRY_TO_S,
    TURN_GRACE_S,
)
from fescuekeel.components.forward.endpoints import EndpointLoad
from fescuekeel.components.forward.loading import LoadAsker
from fescuekeel.components.forward.request import ForwardedRequest
from fescuekeel.components.forward.routes import RouteTable, choose_service
from fescuekeel.components.forward.server import CallersServer, ReadyServer
from fescuekeel.components.forward.use import UseReporter
from fescuekeel.components.forward.versions import VersionClock
from fescuekeel.core import Instance
from fescuekeel.errors import ErrorKind, Failure
from fescuekeel.helpers.dialect import CallerHead
from fescuekeel.helpers.exchange import Connection, ConnectionPool, NotConnectedError
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.peer_link import get_peer_link
from fescuekeel.helpers.placement import LOADS_WAIT, PlacementBoard
from fescuekeel.helpers.published import (
    Catalog,
    EndpointRecord,
    EngineSpec,
    RouteKind,
)
from fescuekeel.messages import AdmitAnswer, AdmitAsk, MemberView, SettingsReloaded

__all__ = ["Forwarder"]

SWEEP_PERIOD_S = 0.5
LOWEST_PRIORITY = 9


class Forwarder:
    """Serve callers: find the route, choose the endpoint, pass on."""

    def __init__(self, instance: Instance) -> None:
        settings = instance.settings
        bounds = settings.forwarding
        self.instance = instance
        self.dialect = get_dialect(instance)
        self.server = CallersServer(self, settings.callers.address)
        self.ready_server = ReadyServer(
            self, bounds.ready_address, self.dialect.ready_path
        )
        self.budget = RetryBudget(
            bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s
        )
        self.loads_by_id: dict[str, EndpointLoad] = {}
        self._asker = LoadAsker(instance)
        self._use = UseReporter(instance, self.loads_by_id)
        self._versions = VersionClock()
        self._pools_by_id: dict[str, ConnectionPool] = {}
        self._table: RouteTable | None = None
        self._records_by_service: dict[str, dict[str, EndpointRecord]] = {}
        self._open: set[asyncio.Task[None]] = set()
        self._draining_since: float | None = None

    @property
    def ready(self) -> bool:
        """Tell whether new requests are welcome."""
        known = self._table is not None and bool(self._records_by_service)
        return known and not self.instance.draining

    async def start(self) -> None:
        """Listen."""
        bus = self.instance.bus
        bus.subscribe(Catalog, self._take_catalog)
        bus.subscribe(MemberView, self._note_members)
        bus.subscribe(SettingsReloaded, self._take_settings)
        self.server.start()
        self.ready_server.start()
        self.instance.spawn(self._sweep_forever(), f"{DOMAIN}.sweep")
        self.instance.spawn(self._use.tell_forever(), f"{DOMAIN}.use")
        log_event("callers_listening", address=self.server.address)

    async def stop(self) -> None:
        """Serve what still comes for a while, let it end, then close."""
        now = self.instance.now()
        self._draining_since = now
        end = now + self.instance.settings.instance.shutdown_s
        await asyncio.sleep(min(DRAIN_SERVE_S, max(0.0, end - now)))
        if self._open:
            await asyncio.wait(self._open, timeout=max(0.0, end - self.instance.now()))
        for task in list(self._open):
            task.cancel()
        await asyncio.sleep(DRAIN_POLL_S)
        await self.ready_server.stop()
        await self.server.stop()
        for pool in self._pools_by_id.values():
            pool.close()

    # What others tell.

    def _take_catalog(self, catalog: Catalog) -> None:
        now = self.instance.now()
        configuration = catalog.configuration
        known = self._table.version if self._table is not None else None
        if configuration is not None and configuration.version != known:
            self._table = RouteTable(configuration)
        by_service: dict[str, dict[str, EndpointRecord]] = {}
        for id, record in catalog.endpoints_by_id.items():
            by_service.setdefault(record.service, {})[id] = record
        self._records_by_service = by_service
        self._versions.update(catalog.versions_by_weights, now)

    def _take_settings(self, reloaded: SettingsReloaded) -> None:
        bounds = self.instance.settings.forwarding
        self.budget.ratio = bounds.retry_ratio
        self.budget.slack = bounds.retry_slack
        self.budget.window_s = bounds.retry_window_s

    def _note_members(self, view: MemberView) -> None:
        known = len(view.members_by_id)
        # A cut hides instances that go on spending the shared budget.
        self.budget.instances = max(self.budget.instances, known)

    # Callers.

    def accept(
        self,
        connection: HTTP1Connection,
        line: RequestStartLine,
        headers: HTTPHeaders,
        body: bytes,
    ) -> None:
        """Begin to serve a request that was read whole."""
        caller = CallerConnection(connection, lambda: self.instance.draining)
        work = self._serve(caller, line, headers, body)
        task = self.instance.spawn(work, f"{DOMAIN}.request")
        self._open.add(task)
        task.add_done_callback(self._open.discard)

    async def _serve(
        self,
        caller: CallerConnection,
        line: RequestStartLine,
        headers: HTTPHeaders,
        body: bytes,
    ) -> None:
        arrived = self.instance.now()
        request_id = ""
        try:
            head = self.dialect.read_caller(headers)
            request_id = head.request_id
            request = self._admit(caller, line, headers, body, head, arrived)
        except ValueError as error:
            request = Failure(ErrorKind.BAD_REQUEST, str(error))
        if isinstance(request, Failure):
            await self._refuse(caller, request_id, request)
            return
        task = asyncio.current_task()
        assert task is not None
        caller.on_close(lambda: request.lose_caller(task))
        await request.run()

    def _admit(
        self,
        caller: CallerConnection,
        line: RequestStartLine,
        headers: HTTPHeaders,
        body: bytes,
        head: CallerHead,
        arrived: float,
    ) -> ForwardedRequest | Failure:
        if self._table is None:
            return Failure(ErrorKind.TREE_NOT_READY)
        host = headers.get("Host", "")
        path = line.path.split("?", 1)[0]
        route = self._table.find(host, path)
        if route is None:
            return Failure(ErrorKind.UNKNOWN_SERVICE, f"{host}{path}")
        since = self._draining_since
        if since is not None and arrived - since > DRAIN_SERVE_S:
            return Failure(ErrorKind.DRAINING)
        left_s = DEFAULT_TIME_LEFT_S if head.time_left_s is None else head.time_left_s
        service = choose_service(route, head.request_id)
        self.budget.note_request(service, arrived)
        return ForwardedRequest(
            forwarder=self,
            caller=caller,
            head=head,
            method=line.method,
            target=line.path,
            host=host,
            body=body,
            route=route,
            service=service,
            arrived=arrived,
            deadline=arrived + min(left_s, route.timeout_s),
            state=RequestState(
                route.kind is RouteKind.SAFE, route.resumable, route.max_attempts
            ),
            resume_after=head.resume_after,
        )

    async def _refuse(
        self, caller: CallerConnection, request_id: str, failure: Failure
    ) -> None:
        self.instance.metrics.count(f"refused.{failure.kind}")
        log_event(
            "request_refused",
            request_id=request_id,
            kind=failure.kind.value,
            detail=failure.detail,
            configuration=self._table.version if self._table else 0,
        )
        headers = self.dialect.write_refusal(request_id, failure.kind)
        try:
            await caller.refuse(failure, headers)
        except CallerGoneError:
            self.instance.metrics.count("caller_gone")

    # What requests ask for.

    def get_load(self, endpoint: str) -> EndpointLoad:
        """Return what is seen of an endpoint."""
        load = self.loads_by_id.get(endpoint)
        if load is None:
            load = self.loads_by_id[endpoint] = EndpointLoad()
        return load

    def count_ahead(self, endpoint: str, tokens: int) -> int:
        """Return the tokens that wait at an engine before a prompt.

        The holder's count, which has just come with the prompt's turn, has
        the prompt itself in it.
        """
        own = self.get_load(endpoint).pending_tokens
        board = self.instance.bus.latest(PlacementBoard)
        state = board.states_by_endpoint.get(endpoint) if board else None
        if state is None:
            return own
        return max(own, state.pending_tokens - tokens, 0)

    def get_pool(self, endpoint: str) -> ConnectionPool:
        """Return the connections to an endpoint."""
        pool = self._pools_by_id.get(endpoint)
        if pool is None:
            record = self._find_record(endpoint)
            pool = ConnectionPool(record.address if record else "0.0.0.0:0")
            self._pools_by_id[endpoint] = pool
        return pool

    def _find_record(self, endpoint: str) -> EndpointRecord | None:
        for records in self._records_by_service.values():
            if endpoint in records:
                return records[endpoint]
        return None

    async def open(self, endpoint: str, pool: ConnectionPool) -> Connection:
        """Open a connection, and learn whether the endpoint is reachable."""
        health = self.get_load(endpoint).health
        self.instance.metrics.count("endpoint.connections")
        try:
            connection = await pool.open(CONNECT_TIMEOUT_S)
        except NotConnectedError as error:
            health.note_unreachable(self.instance.now())
            log_event("endpoint_unreachable", endpoint=endpoint, error=str(error))
            raise
        health.note_connected()
        return connection

    def get_priority(self, request: ForwardedRequest) -> int | None:
        """Return the priority that an engine gets, none at plain services."""
        if request.weights is None:
            return None
        return min(LOWEST_PRIORITY, max(0, request.route.priority))

    def _get_engine(self, service: str) -> EngineSpec | None:
        catalog = self.instance.bus.latest(Catalog)
        if catalog is None or catalog.configuration is None:
            return None
        spec = catalog.configuration.services_by_name.get(service)
        return spec.engine if spec else None

    async def place(self, request: ForwardedRequest) -> Choice | Failure:
        """Choose an endpoint; wait for its weights and the prompt's turn."""
        began = self.instance.now()
        until = min(
            request.arrived + PATIENCE_TARGETS * request.route.target_s,
            began + LOAD_WAIT_SHARE * (request.deadline - began),
        )
        result = await self._place_until(request, until)
        request.waited_s += self.instance.now() - began
        return result

    async def _place_until(
        self, request: ForwardedRequest, until: float
    ) -> Choice | Failure:
        failure = Failure(ErrorKind.NO_ENDPOINT, "no endpoint")
        refusals = 0
        while True:
            choice = self._choose(request)
            if choice is None:
                return failure
            if choice.needs_load:
                detail = await self._wait_for_load(request, choice, until)
                if detail == LOADS_WAIT or self.instance.now() >= until:
                    return _refuse_for_load(ErrorKind.LOAD_FAILED, detail or "late")
                continue
            if request.weights is None:
                return choice
            self._spread(request, choice)
            wait_s = await self._wait_for_turn(request, choice, until)
            if wait_s is None and self._still_serves(request, choice):
                return choice
            if wait_s is None:
                continue
            refusals += 1
            failure = _refuse_for_load(ErrorKind.QUEUE_FULL, f"{wait_s:.1f} s wait")
            if refusals >= MAX_TURN_REFUSALS or self.instance.now() >= until:
                return failure

    def _still_serves(self, request: ForwardedRequest, choice: Choice) -> bool:
        """Look again at what may have changed while a prompt waited.

        Guards against work for an endpoint that has announced its leaving
        meanwhile, and against a prompt for an adapter that was told to go.
        """
        if self._find_record(choice.endpoint) is None:
            return False
        board = self.instance.bus.latest(PlacementBoard)
        state = board.states_by_endpoint.get(choice.endpoint) if board else None
        return state is None or request.weights in state.held

    def _spread(self, request: ForwardedRequest, choice: Choice) -> None:
        if choice.spread_to and request.weights is not None:
            newest = self._versions.get_newest(request.weights)
            self._asker.spread(choice.spread_to, request.weights, newest)

    async def _wait_for_turn(
        self, request: ForwardedRequest, choice: Choice, until: float
    ) -> float | None:
        """Wait until the engine's holder lets the prompt go there.

        Return ``None`` if it may go, else how long the queue is in seconds.
        Without a holder, or its answer, the prompt goes at once: pacing is a
        favour to others' streams and must never lose a request.
        """
        board = self.instance.bus.latest(PlacementBoard)
        holder = board.holders_by_endpoint.get(choice.endpoint) if board else None
        if holder is None or board is None:
            return None
        asked = self.instance.now()
        on_time = request.arrived + request.route.target_s - READING_S
        patience_s = max(0.0, until - asked)
        ask = AdmitAsk(
            choice.endpoint,
            request.head.prompt_tokens,
            request.route.priority,
            int(max(0.0, on_time - asked) * 1000),
            int(patience_s * 1000),
        )
        link = get_peer_link(self.instance)
        answered = await link.ask(holder, ask, patience_s + TURN_GRACE_S)
        answer = answered.value_or(None)
        self.instance.metrics.observe("turn_wait", self.instance.now() - asked)
        if not isinstance(answer, AdmitAnswer):
            self.instance.metrics.count("turn_missed")
            return None
        board.note_pending(choice.endpoint, answer.pending_tokens)
        return None if answer.granted else answer.wait_ms / 1000

    async def _wait_for_load(
        self, request: ForwardedRequest, choice: Choice, until: float
    ) -> str:
        assert request.weights is not None
        left_s = max(0.01, until - self.instance.now())
        asking = self._asker.load(
            choice.endpoint,
            request.weights,
            self._versions.get_newest(request.weights),
            request.route.priority,
        )
        try:
            detail = await asyncio.wait_for(asking, left_s)
        except TimeoutError:
            return "load takes too long"
        return detail

    def _choose(self, request: ForwardedRequest) -> Choice | None:
        now = self.instance.now()
        records = self._records_by_service.get(request.service, {})
        state = request.state
        allowed = {id: rec for id, rec in records.items() if state.may_go_to(id)}
        # After a failure another endpoint is better, where one is allowed.
        tried = state.endpoints if len(allowed) > len(state.endpoints) else ()
        engine = self._get_engine(request.service)
        weights = request.weights
        if engine is None or weights is None:
            centre = self.instance.settings.instance.data_centre
            return choose_plain(allowed, self.get_load, tried, centre, now)
        board = self.instance.bus.latest(PlacementBoard) or PlacementBoard()
        question = EngineQuestion(
            weights,
            request.head.prompt_tokens,
            engine.slots,
            self._versions.get_newest(weights),
            self._versions.get_oldest_allowed(weights, now),
        )
        return choose_engine(
            question, allowed, self.get_load, board.states_by_endpoint, tried, now
        )

    def spend_retry(self, request: ForwardedRequest, end: AttemptEnd) -> bool:
        """Take from the budget; return whether the request may go again."""
        allowed = self.budget.spend(request.service, self.instance.now())
        outcome = "granted" if allowed else "denied"
        self.instance.metrics.count(f"retry.{end}.{outcome}")
        log_event(
            "retry_decided",
            request_id=request.head.request_id,
            reason=end.value,
            sends=request.state.sends,
            outcome=outcome,
        )
        return allowed

    # What requests tell.

    def note_attempt(
        self,
        request: ForwardedRequest,
        choice: Choice,
        began: float,
        end: AttemptEnd | None,
    ) -> None:
        """Log one attempt."""
        outcome = "answered" if end is None else end.value
        self.instance.metrics.count(f"attempt.{outcome}")
        if end is AttemptEnd.MISDIRECTED and request.weights is not None:
            board = self.instance.bus.latest(PlacementBoard)
            if board is not None:
                board.note_missing(choice.endpoint, request.weights)
        log_event(
            "attempt_ended",
            request_id=request.head.request_id,
            endpoint=choice.endpoint,
            reason=choice.reason.value,
            cost_ms=round(choice.cost_s * 1000),
            weights=str(request.weights or ""),
            version=choice.version or 0,
            took_ms=round((self.instance.now() - began) * 1000),
            outcome=outcome,
        )

    def note_refused(self, request: ForwardedRequest, failure: Failure) -> None:
        """Count a refusal."""
        self.instance.metrics.count(f"refused.{failure.kind}")
        log_event(
            "request_refused",
            request_id=request.head.request_id,
            kind=failure.kind.value,
            detail=failure.detail,
            sends=request.state.sends,
            may_have_run=request.state.may_have_run,
            age_ms=round((self.instance.now() - request.arrived) * 1000),
        )

    def note_end(self, request: ForwardedRequest) -> None:
        """Log the end of a request."""
        now = self.instance.now()
        metrics = self.instance.metrics
        metrics.count(f"ended.{request.outcome or 'error'}")
        metrics.observe("request", now - request.arrived)
        first_s = request.first_piece_at - request.arrived
        if request.first_piece_at:
            metrics.observe("first_piece", first_s)
        log_event(
            "request_ended",
            request_id=request.head.request_id,
            route=request.route.name,
            service=request.service,
            configuration=self._table.version if self._table else 0,
            sends=request.state.sends,
            waited_ms=round(request.waited_s * 1000),
            first_ms=round(first_s * 1000) if request.first_piece_at else -1,
            gap_ms=round(request.longest_gap_s * 1000),
            gap_at_ms=round(max(0.0, request.longest_gap_at - request.arrived) * 1000),
            took_ms=round((now - request.arrived) * 1000),
            outcome=request.outcome or "error",
        )

    async def _sweep_forever(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_PERIOD_S)
            now = self.instance.now()
            known = {
                id for records in self._records_by_service.values() for id in records
            }
            for id, pool in list(self._pools_by_id.items()):
                pool.close_idle(now)
                if id not in known:
                    pool.close()
                    del self._pools_by_id[id]
            for id in list(self.loads_by_id):
                if id not in known and self.loads_by_id[id].running <= 0:
                    del self.loads_by_id[id]


def _refuse_for_load(kind: ErrorKind, detail: str) -> Failure:
    retry_after_s = random.uniform(RETRY_FROM_S, RETRY_TO_S)
    return Failure(kind, detail, retry_after_s=retry_after_s)

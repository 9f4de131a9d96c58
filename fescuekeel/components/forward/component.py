"""The forwarder: owns callers' requests and the connection pools."""

import asyncio
from functools import partial
from http import HTTPStatus
from typing import cast

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, RequestStartLine

from fescuekeel.components.allowance import PermitOutcome
from fescuekeel.components.endpoints import (
    DOMAIN as ENDPOINTS_DOMAIN,
    EndpointLoad,
    EndpointStates,
)
from fescuekeel.components.forward.attempt import Attempt
from fescuekeel.components.forward.attempts import AttemptEnd, RequestState
from fescuekeel.components.forward.budget import make_budget
from fescuekeel.components.forward.caller import CallerConnection, CallerGoneError
from fescuekeel.components.forward.choice import (
    Choice,
)
from fescuekeel.components.forward.connection_gate import ConnectionGate
from fescuekeel.components.forward.const import (
    DEFAULT_TIME_LEFT_S,
    DOMAIN,
    DRAIN_POLL_S,
    DRAINING_RETRY_S,
    IDLE_DESCRIPTOR_SHARE,
    LAST_FLUSH_S,
    LAST_LINES_S,
    LOWEST_PRIORITY,
    MONITOR_PERIOD_S,
)
from fescuekeel.components.forward.crashes import CrashReporter
from fescuekeel.components.forward.endpoint_limiter import EndpointLimiter
from fescuekeel.components.forward.gate import AccountGate
from fescuekeel.components.forward.gauges import ForwardingGauges
from fescuekeel.components.forward.open_requests import CutReason, OpenRequests
from fescuekeel.components.forward.overhead import OverheadEstimator
from fescuekeel.components.forward.reachability import ReachabilityMonitor
from fescuekeel.components.forward.records import RequestRecords
from fescuekeel.components.forward.request import ForwardedRequest
from fescuekeel.components.forward.routes import RouteTable, choose_service
from fescuekeel.components.forward.selection import EndpointSelector
from fescuekeel.components.forward.server import CallersServer
from fescuekeel.components.forward.shutdown import Shutdown
from fescuekeel.components.forward.shutdown_record import (
    ShutdownPhase,
    ShutdownRecord,
)
from fescuekeel.components.forward.use import UseReporter
from fescuekeel.components.origins import DOMAIN as ORIGINS_DOMAIN, Origins
from fescuekeel.components.relay import (
    DOMAIN as RELAY_DOMAIN,
    PathState,
    PathUnavailableError,
    Relay,
)
from fescuekeel.core import Instance
from fescuekeel.errors import ErrorKind, Failure
from fescuekeel.helpers.client_resources import get_descriptors
from fescuekeel.helpers.dialect import CallerMetadata, get_dialect
from fescuekeel.helpers.http_connection import (
    MAX_IDLE_CONNECTIONS,
    Connection,
    ConnectionPool,
    NotConnectedError,
)
from fescuekeel.helpers.logging import log_event, wait_until_written
from fescuekeel.helpers.pages import Page, PageServer
from fescuekeel.helpers.placement_view import PlacementView
from fescuekeel.helpers.published import (
    Catalog,
    ClientAccount,
    Route,
    RouteKind,
)
from fescuekeel.helpers.ticks import sleep_to_tick
from fescuekeel.messages import MemberView, SettingsReloaded

__all__ = ["Forwarder"]

SWEEP_PERIOD_S = 0.5
UNKNOWN_ADDRESS = "0.0.0.0:0"


class Forwarder:
    """Accept requests, route them and forward them to endpoints."""

    def __init__(self, instance: Instance) -> None:
        settings = instance.settings
        self.instance = instance
        self.dialect = get_dialect(instance.settings.platform)
        self.server = CallersServer(
            self.accept,
            settings.callers.address,
            ConnectionGate(instance),
            instance.client_resources,
        )
        self.ready_server = PageServer(
            {self.dialect.ready_path: self._serve_ready_page},
            instance.client_resources,
            "ready",
        )
        self.budget = make_budget(settings, instance.now())
        self.endpoints = cast(
            EndpointStates, instance.components_by_domain[ENDPOINTS_DOMAIN]
        )
        self.relay = cast(Relay, instance.components_by_domain[RELAY_DOMAIN])
        self.origins = cast(Origins, instance.components_by_domain[ORIGINS_DOMAIN])
        self.loads_by_id: dict[str, EndpointLoad] = {}
        self.records = RequestRecords(instance, self.read_version)
        self.limiter = EndpointLimiter(instance)
        self._selector = EndpointSelector(
            instance,
            self.get_load,
            self._is_cut_off,
            self.limiter,
            self.origins,
            self.endpoints,
        )
        self._reachability = ReachabilityMonitor(
            instance, self.loads_by_id, self._selector.find_record, self.relay
        )
        self._use = UseReporter(instance, self.loads_by_id)
        self._pools_by_id: dict[str, ConnectionPool] = {}
        self._overheads_by_service: dict[str, OverheadEstimator] = {}
        self._table: RouteTable | None = None
        self._open_tasks: set[asyncio.Task[None]] = set()
        self._tasks_by_request: dict[ForwardedRequest, asyncio.Task[None]] = {}
        self.open_requests = OpenRequests(instance, self.dialect)
        instance.end_reporters.append(self.open_requests.record_all_cut)
        self._shutdown: Shutdown | None = None
        self._gate = AccountGate(instance)
        self.crashes = CrashReporter(
            instance,
            self.dialect,
            self._selector.find_record,
            self.relay,
            self.endpoints,
        )

    @property
    def ready(self) -> bool:
        """Return whether this instance is ready for new requests."""
        known = self._table is not None and bool(self._selector.records_by_service)
        cut_off = self._reachability.cut_off or self._is_configuration_stale()
        stopped = self.instance.draining or self.instance.is_failing
        return known and not stopped and not cut_off

    @property
    def closes_connections(self) -> bool:
        """Return whether connections are closed after their next answer."""
        return self.instance.draining or self._reachability.cut_off

    def _serve_ready_page(self) -> Page:
        """Answer the platform's readiness probe."""
        if self.ready:
            return Page()
        return Page(status=HTTPStatus.SERVICE_UNAVAILABLE)

    def _is_configuration_stale(self) -> bool:
        """Return whether requests with keys must be rejected."""
        return self._table is None or self._gate.is_stale(self._table.configuration)

    async def start(self) -> None:
        """Subscribe to updates and start the servers."""
        bus = self.instance.bus
        self._gate.start()
        self.limiter.start()
        bus.subscribe(Catalog, self._handle_catalog)
        bus.subscribe(MemberView, self._update_members)
        bus.subscribe(SettingsReloaded, self._apply_settings)
        self.relay.add_listener(self._handle_path_changed)
        self._add_gauges()
        self.server.start()
        bounds = self.instance.settings.forwarding
        self.ready_server.start(bounds.ready_address)
        self.instance.keep_running(self._sweep_forever, f"{DOMAIN}.sweep")
        self.instance.keep_running(self._monitor_forever, f"{DOMAIN}.monitor")
        self.instance.keep_running(self._use.report_forever, f"{DOMAIN}.use")
        log_event("callers_listening", address=self.server.address)

    async def stop(self) -> None:
        """Drain: accept requests for a while, let them end, then close."""
        shutdown = Shutdown.begin(
            self.instance.now(),
            self.instance.settings.instance.shutdown_s,
            self.instance.loop_lag_s,
        )
        self._shutdown = shutdown
        record = ShutdownRecord(self.instance, self.open_requests)
        limit = shutdown.accepts_all_until
        await asyncio.sleep(limit - self.instance.now())
        record.end_phase(ShutdownPhase.ACCEPT)
        self._refuse_unsent(shutdown, max(limit, self.instance.now()))
        await self._wait_for_answers(shutdown.ends_at)
        record.end_phase(ShutdownPhase.DRAIN)
        self._shutdown = shutdown.close(self.instance.now())
        self.open_requests.record_all_cut(CutReason.SHUTDOWN)
        await wait_until_written(LAST_LINES_S)
        for task in list(self._open_tasks):
            task.cancel()
        await asyncio.sleep(DRAIN_POLL_S)
        if self._open_tasks:
            await asyncio.wait(self._open_tasks, timeout=LAST_FLUSH_S)
        record.end_phase(ShutdownPhase.CANCEL)
        await self.ready_server.stop()
        await self.server.stop()
        for pool in self._pools_by_id.values():
            pool.close()
        record.end_phase(ShutdownPhase.CLOSE)
        record.end()

    def _refuse_unsent(self, shutdown: Shutdown, now: float) -> None:
        """End the requests that were not sent and may not end in time.

        Their callers find another instance; sent now, they would be cut.
        """
        for request, task in self._tasks_by_request.items():
            if request.caller.started or request.state.sends:
                continue
            if not shutdown.may_send(request.route.kind, request.deadline, now):
                task.cancel()

    async def _wait_for_answers(self, until: float) -> None:
        """Wait until all requests have ended and their answers are written."""
        while self._open_tasks or self.server.is_writing:
            left_s = until - self.instance.now()
            if left_s <= 0:
                return
            if self._open_tasks:
                await asyncio.wait(self._open_tasks, timeout=left_s)
            else:
                await asyncio.sleep(min(left_s, DRAIN_POLL_S))

    def _is_cut_off(self) -> bool:
        return self._reachability.cut_off

    # Updates from other components.

    def _handle_catalog(self, catalog: Catalog) -> None:
        configuration = catalog.configuration
        known = self._table.version if self._table is not None else None
        if configuration is not None and configuration.version != known:
            self._table = RouteTable(configuration)
        now = self.instance.now()
        self._selector.update_catalog(catalog, now)
        self.crashes.update_catalog(catalog, now)

    def _handle_path_changed(self, endpoint: str, state: PathState) -> None:
        """Use an endpoint as soon as it is reached again."""
        load = self.get_load(endpoint)
        load.is_relayed = state is PathState.RELAYED
        if state is PathState.DIRECT:
            load.health.record_connected()

    def _apply_settings(self, reloaded: SettingsReloaded) -> None:
        bounds = self.instance.settings.forwarding
        self.budget.configure(
            bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s
        )

    def _update_members(self, view: MemberView) -> None:
        centres = {id: member.data_centre for id, member in view.members_by_id.items()}
        self.budget.update_members(centres, set(view.left), self.instance.now())

    # Requests of callers.

    def accept(
        self,
        connection: HTTP1Connection,
        line: RequestStartLine,
        headers: HTTPHeaders,
        body: bytes,
    ) -> None:
        """Start serving a request that was read completely."""
        caller = CallerConnection(
            connection, line, headers, lambda: self.closes_connections
        )
        work = self._serve(caller, line, headers, body)
        task = self.instance.spawn(work, f"{DOMAIN}.request")
        self._open_tasks.add(task)
        self.open_requests.add(task, headers)
        task.add_done_callback(self._open_tasks.discard)

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
            metadata = self.dialect.read_request(headers)
            request_id = metadata.request_id
            request = await self._admit(caller, line, headers, body, metadata, arrived)
        except ValueError as error:
            request = Failure(ErrorKind.BAD_REQUEST, str(error))
        if isinstance(request, Failure):
            await self._refuse(caller, request_id, request)
            return
        task = asyncio.current_task()
        assert task is not None
        caller.on_close(lambda: request.handle_caller_closed(task))
        caller.on_unflushed(partial(self.records.unflushed, request))
        self.open_requests.admit(task, request)
        self._tasks_by_request[request] = task
        try:
            await request.run()
        finally:
            del self._tasks_by_request[request]
            if request.account is not None and not request.state.sends:
                self._gate.refund(request.account, metadata)

    async def _admit(
        self,
        caller: CallerConnection,
        line: RequestStartLine,
        headers: HTTPHeaders,
        body: bytes,
        metadata: CallerMetadata,
        arrived: float,
    ) -> ForwardedRequest | Failure:
        if self._table is None:
            return Failure(ErrorKind.TREE_NOT_READY)
        host = headers.get("Host", "")
        route = self.find_route(host, line.path)
        if route is None:
            path = line.path.split("?", 1)[0]
            return Failure(ErrorKind.UNKNOWN_SERVICE, f"{host}{path}")
        shutdown = self._shutdown
        if shutdown is not None and not shutdown.may_accept(route, arrived):
            return Failure(ErrorKind.DRAINING, retry_after_s=DRAINING_RETRY_S)
        account = self.find_account(route, metadata)
        if isinstance(account, Failure):
            return account
        if account is not None:
            refused = await self._gate.admit(account, metadata)
            if refused is not None:
                return refused
        left_s = (
            DEFAULT_TIME_LEFT_S
            if metadata.time_left_s is None
            else metadata.time_left_s
        )
        service = choose_service(route, metadata.request_id)
        self.budget.record_request(service, arrived)
        return ForwardedRequest(
            forwarder=self,
            caller=caller,
            metadata=metadata,
            method=line.method,
            target=line.path,
            host=host,
            body=body,
            route=route,
            service=service,
            arrived=arrived,
            caller_left_s=left_s,
            deadline=arrived + min(left_s, route.timeout_s),
            state=RequestState(
                route.kind is RouteKind.SAFE, route.resumable, route.max_attempts
            ),
            resume_after=metadata.resume_after,
            account=account,
        )

    async def _refuse(
        self, caller: CallerConnection, request_id: str, failure: Failure
    ) -> None:
        self.records.unrouted(request_id, failure)
        headers = self.dialect.make_error_headers(request_id, failure.kind)
        try:
            await caller.refuse(failure, headers)
        except CallerGoneError:
            self.instance.metrics.count("caller_gone")

    # Services to requests, see ``RequestHost``.

    def find_route(self, host: str, target: str) -> Route | None:
        """Return the route in force of a request, if any."""
        if self._table is None:
            return None
        return self._table.find(host, target.split("?", 1)[0])

    def find_account(
        self, route: Route, metadata: CallerMetadata
    ) -> ClientAccount | Failure | None:
        """Authenticate a request with the current configuration."""
        assert self._table is not None
        return self._gate.find(self._table.configuration, route, metadata)

    def is_listed(self, endpoint: str) -> bool:
        """Return whether an endpoint may get requests by the catalog."""
        return self._selector.find_record(endpoint) is not None

    def read_unconfirmed_s(self, endpoint: str) -> float:
        """Return for how long its entry has been missing, else -1."""
        return self._selector.read_unconfirmed_s(endpoint, self.instance.now())

    def get_load(self, endpoint: str) -> EndpointLoad:
        """Return the observed load of an endpoint."""
        load = self.loads_by_id.get(endpoint)
        if load is None:
            load = self.loads_by_id[endpoint] = EndpointLoad()
        return load

    def get_overhead_estimator(self, service: str) -> OverheadEstimator:
        """Return the estimator of a service's first-chunk overhead."""
        return self._overheads_by_service.setdefault(service, OverheadEstimator())

    def count_tokens_ahead(self, endpoint: str, tokens: int) -> int:
        """Return the tokens queued at an engine ahead of a prompt.

        The holder's count, received with the admission, includes the prompt
        itself.
        """
        own = self.get_load(endpoint).pending_tokens
        view = self.instance.bus.latest(PlacementView)
        known = view.read_load(endpoint, self.instance.now()) if view else None
        if known is None:
            return own
        return max(own, known.pending_tokens - tokens, 0)

    def get_pool(self, endpoint: str) -> ConnectionPool:
        """Return the connection pool of an endpoint.

        One that is not listed has no known address until it is listed again.
        """
        pool = self._pools_by_id.get(endpoint)
        if pool is None:
            pool = self._pools_by_id[endpoint] = ConnectionPool(UNKNOWN_ADDRESS)
            self._limit_idle_connections()
        if pool.address == UNKNOWN_ADDRESS:
            record = self._selector.find_record(endpoint)
            pool.address = record.address if record else UNKNOWN_ADDRESS
        return pool

    def _limit_idle_connections(self) -> None:
        """Divide the descriptors for idle connections among all endpoints."""
        descriptors = get_descriptors(self.instance.settings.resources)
        share = int(IDLE_DESCRIPTOR_SHARE * descriptors / len(self._pools_by_id))
        for pool in self._pools_by_id.values():
            pool.max_idle = min(MAX_IDLE_CONNECTIONS, max(1, share))

    async def open(self, endpoint: str, pool: ConnectionPool) -> Connection:
        """Open a connection, and record whether the endpoint is reachable."""
        health = self.get_load(endpoint).health
        self.instance.metrics.count("endpoint.connections")
        try:
            connection = await self.relay.connect(endpoint, pool.address)
        except PathUnavailableError:
            self.instance.metrics.count("endpoint.no_path")
            raise
        except NotConnectedError as error:
            now = self.instance.now()
            health.record_unreachable(now)
            self.get_load(endpoint).identified_at = float("-inf")
            self._reachability.record_connect_failed(endpoint)
            log_event(
                "endpoint_unreachable",
                endpoint=endpoint,
                error=str(error),
                avoided_ms=round((health.unreachable_until - now) * 1000),
            )
            raise
        health.record_connected()
        self._reachability.record_reached(endpoint)
        return connection

    def get_priority(self, request: ForwardedRequest) -> int | None:
        """Return the priority for an engine, ``None`` for plain services."""
        if request.weights is None:
            return None
        return min(LOWEST_PRIORITY, max(0, request.priority))

    async def select_endpoint(
        self, request: ForwardedRequest, avoided: str = ""
    ) -> Choice | Failure:
        """Select an endpoint; wait for its weights and for admission."""
        choice = await self._selector.select_endpoint(request, avoided)
        shutdown = self._shutdown
        if isinstance(choice, Failure) or shutdown is None:
            return choice
        state = request.state
        if state.answer_started or state.may_have_run:
            # Its caller has a part of the answer, or cannot be told "not run".
            return choice
        if shutdown.may_send(request.route.kind, request.deadline, self.instance.now()):
            return choice
        if choice.within_limit:
            self.limiter.refund(choice.endpoint)
        if choice.permit is not None:
            self.limiter.end_permit(choice.permit, PermitOutcome.UNUSED)
        return Failure(ErrorKind.DRAINING, retry_after_s=DRAINING_RETRY_S)

    def record_use_ended(self) -> None:
        """Report the end of a use of weights to the holders soon."""
        self._use.record_ended()

    def has_retry_budget(self, request: ForwardedRequest) -> bool:
        """Return whether the retry budget has a retry left."""
        return self.budget.count_left(request.service, self.instance.now()) > 0

    def may_retry(self, request: ForwardedRequest, end: AttemptEnd) -> bool:
        """Return whether the retry budget allows a retry of an attempt."""
        left = self.budget.count_left(request.service, self.instance.now())
        self.records.retry(request, end, left)
        return left > 0

    def spend_retry(self, request: ForwardedRequest) -> bool:
        """Use the retry budget for a request that is sent now."""
        now = self.instance.now()
        allowed = self.budget.spend(request.service, now)
        self.records.retry_sent(
            request, self.budget.count_left(request.service, now), allowed
        )
        return allowed

    def refund_retry(self, request: ForwardedRequest) -> None:
        """Return the retry of a request that was not sent after all."""
        self.budget.refund(request.service)

    # Reports of requests.

    def record_attempt(
        self,
        request: ForwardedRequest,
        choice: Choice,
        attempt: Attempt,
        end: AttemptEnd | None,
    ) -> None:
        """Record one attempt; a misdirected one also corrects the view."""
        if end is AttemptEnd.MISDIRECTED and request.weights is not None:
            view = self.instance.bus.latest(PlacementView)
            if view is not None:
                now = self.instance.now()
                view.record_missing(choice.endpoint, request.weights, now)
        self.records.attempt(request, choice, attempt, end)

    def record_refused(self, request: ForwardedRequest, failure: Failure) -> None:
        """Record a refusal."""
        self.records.refused(request, failure)

    def record_end(self, request: ForwardedRequest) -> None:
        """Record the end of a request."""
        self.records.end(request)

    # Gauges and periodic work.

    def _add_gauges(self) -> None:
        """Register the component's gauges."""
        metrics = self.instance.metrics
        metrics.add_gauge(
            "configuration_version", lambda: {"": float(self.read_version())}
        )
        ForwardingGauges(
            self.instance, self._selector, self.budget, self.get_load
        ).add()
        metrics.add_gauge("cut_off", lambda: {"": float(self._reachability.cut_off)})
        metrics.add_gauge("requests_open", lambda: {"": float(len(self._open_tasks))})

    def read_version(self) -> int:
        """Return the version of the configuration, 0 if there is none."""
        return self._table.version if self._table else 0

    async def _monitor_forever(self) -> None:
        while True:
            await sleep_to_tick(MONITOR_PERIOD_S)
            self._reachability.check_silent(self._tasks_by_request.keys())

    async def _sweep_forever(self) -> None:
        while True:
            await sleep_to_tick(SWEEP_PERIOD_S)
            now = self.instance.now()
            self.budget.record_alive(now)
            self._reachability.update()
            known = self._selector.list_endpoints()
            for id, pool in list(self._pools_by_id.items()):
                pool.close_idle(now)
                if id not in known:
                    pool.close()
                    del self._pools_by_id[id]
            for id in list(self.loads_by_id):
                if id not in known and self.loads_by_id[id].running <= 0:
                    del self.loads_by_id[id]

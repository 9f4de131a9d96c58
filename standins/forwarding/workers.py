"""Stand-ins for the platform's workers: engines and plain services."""

import asyncio
import itertools
import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from tornado.iostream import StreamClosedError

from standins.forwarding.room import Admission, WorkerRoom
from standins.server import ConnectionFaults, Server, StandInHandler

__all__ = [
    "CRASH_AFTER_FIRST_EVENT",
    "CRASH_BEFORE_FIRST_EVENT",
    "CrashRecord",
    "RunRecord",
    "Worker",
    "start_worker",
]

NOT_EXECUTED_HEADER = "Fescuekeel-Not-Executed"
API_KEY_HEADER = "X-Api-Key"
TENANT_HEADER = "Fescuekeel-Tenant"
SERVER_LIMIT_HEADER = "Fescuekeel-Server-Limit"
SERVER_BRITTLE_HEADER = "Server-Brittle"
SERVER_STAMP_HEADER = "Fescuekeel-Server-Stamp"
REQUEST_ID_HEADER = "Fescuekeel-Request-Id"
LOAD_S = 0.1
# Beyond this many concurrent loads, load time grows in proportion.
LOADS_AT_FULL_SPEED = 2
IDS = itertools.count(1)
# A body that starts with one of these crashes each worker that runs it.
CRASH_BEFORE_FIRST_EVENT = b"crash before the first event"
CRASH_AFTER_FIRST_EVENT = b"crash after the first event"
CRASH_DELAY_S = 0.02
# What a worker publishes that runs any number of requests at a time.
PUBLISHED_SLOTS = 8


@dataclass(frozen=True, slots=True)
class RunRecord:
    """A run as of its start; ``started_at`` is in monotonic seconds.

    ``account`` is the client account in the request. ``key`` is the caller's
    API key, which instances must not forward.
    """

    request_id: str
    started_at: float
    adapter: str = ""
    version: int = 0
    account: str = ""
    key: str = ""


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """A crash and the request that caused it, in monotonic seconds."""

    request_id: str
    path: str
    body: bytes
    crashed_at: float


@dataclass(eq=False)
class Worker:
    """A worker: a plain service, or an engine if it has a model.

    Of the next requests, ``fail`` run and respond with 500, ``shed`` are
    rejected without running, ``cut`` drop the connection after some events
    and ``stall`` become unresponsive after some events. ``overrun`` is set
    by a load beyond ``max_loaded_adapters``; ``unloaded_in_use`` lists
    adapters that were evicted while serving. ``fencing_tokens`` and
    ``holders`` are the tokens and senders of the accepted orders, in order of
    arrival. Reports are ``report_lag_s`` old, and plain runs take ``run_s``.
    ``crash`` stops the worker's server and starts it again later; ``None``
    ignores bodies that crash it.
    While ``limit_per_s`` is set, answers name it as the worker's rate limit;
    ``limit_named_at`` is when the first one did.
    ``room`` bounds the requests that run and wait.
    """

    service: str
    model: str = ""
    max_loaded_adapters: int = 4
    events: int = 6
    event_s: float = 0.005
    run_s: float = 0.0
    report_lag_s: float = 0.0
    connection_faults: ConnectionFaults = field(default_factory=ConnectionFaults)
    id: str = field(default_factory=lambda: f"w-{next(IDS)}")
    born: int = field(default_factory=lambda: time.time_ns() // 1_000_000)
    runs: Counter[str] = field(default_factory=Counter)
    records: list[RunRecord] = field(default_factory=list)
    served_by_weights: Counter[str] = field(default_factory=Counter)
    versions_by_adapter: dict[str, int] = field(default_factory=dict)
    pending: set[str] = field(default_factory=set)
    latest_version_by_adapter: dict[str, int] = field(default_factory=dict)
    running: int = 0
    aborted_streams: int = 0
    sequence: int = 0
    fencing_tokens: list[int] = field(default_factory=list)
    holders: list[str] = field(default_factory=list)
    overrun: bool = False
    running_by_adapter: Counter[str] = field(default_factory=Counter)
    unloaded_in_use: list[str] = field(default_factory=list)
    fail: int = 0
    shed: int = 0
    cut: int = 0
    stall: int = 0
    limit_per_s: float | None = None
    limit_named_at: float | None = None
    crash: Callable[[], None] | None = None
    crashes: list[CrashRecord] = field(default_factory=list)
    room: WorkerRoom = field(default_factory=WorkerRoom)
    _silent_until: float = 0.0
    _past_states: deque[tuple[float, dict[str, Any]]] = field(default_factory=deque)

    def control(self, commands: dict[str, Any]) -> None:
        """Apply ``fail``, ``shed`` and ``cut``."""
        for name in ("fail", "shed", "cut"):
            setattr(self, name, int(commands.get(name, getattr(self, name))))

    def pause(self, seconds: float) -> None:
        """Be silent for a while: accept everything, answer nothing."""
        self._silent_until = time.monotonic() + seconds

    async def wait_while_silent(self) -> None:
        """Wait until a pause is over."""
        await asyncio.sleep(max(0.0, self._silent_until - time.monotonic()))

    def withdraw_faults(self) -> int:
        """Withdraw the faults that no request has met; return how many."""
        left = self.fail + self.shed + self.cut
        self.fail = self.shed = self.cut = 0
        return left

    def journal(self) -> dict[str, Any]:
        """Return run counts by request and by weights."""
        return {"runs": dict(self.runs), "served": dict(self.served_by_weights)}

    def restart(self) -> None:
        """Restart with the same id and empty state."""
        self.born = max(self.born + 1, time.time_ns() // 1_000_000)
        self.versions_by_adapter.clear()
        self.pending.clear()
        self.fencing_tokens.clear()
        self.holders.clear()
        self.sequence = 0
        self._past_states.clear()

    def consume_fault(self, name: str) -> bool:
        """Return whether a fault applies, and count it down."""
        left = getattr(self, name)
        if left:
            setattr(self, name, left - 1)
        return bool(left)

    def list_models(self) -> list[dict[str, Any]]:
        """Return the loaded models in the format of reports and entries."""
        if not self.model:
            return []
        adapters = [f"{name}@{v}" for name, v in self.versions_by_adapter.items()]
        return [{"name": self.model, "version": 1, "adapters": adapters}]

    def describe(self, address: str, zone: str, state: str = "ready") -> dict[str, Any]:
        """Return this worker's entry in the store."""
        return {
            "service": self.service,
            "address": address,
            "zone": zone,
            "version": "v1",
            "slots": min(self.room.slots, PUBLISHED_SLOTS),
            "state": state,
            "cold_remaining_ms": 0,
            "models": self.list_models(),
            "sequence": self.sequence,
            "born": self.born,
        }

    def admit_order(self, fence: int, holder: str, precondition: int | None) -> int:
        """Return an order's rejection status, or record it and return 0."""
        if fence < max(self.fencing_tokens, default=0):
            return 412
        if precondition is not None and precondition != self.sequence:
            return 409
        self.fencing_tokens.append(fence)
        self.holders.append(holder)
        return 0

    def unload(self, adapter: str) -> None:
        """Evict an adapter immediately."""
        if self.running_by_adapter[adapter]:
            self.unloaded_in_use.append(adapter)
        if self.versions_by_adapter.pop(adapter, None) is not None:
            self.sequence += 1
        self.record_state()

    def begin_load(self, adapter: str) -> None:
        """Reserve a place for an adapter and mark it as loading."""
        self.sequence += 1
        self.pending.add(adapter)
        count = len(self.versions_by_adapter.keys() | self.pending)
        self.overrun = self.overrun or count > self.max_loaded_adapters
        self.record_state()

    async def finish_load(self, adapter: str, version: int) -> None:
        """Load an adapter after a delay, unless the worker restarts."""
        born = self.born
        await asyncio.sleep(LOAD_S * max(1, len(self.pending) / LOADS_AT_FULL_SPEED))
        if self.born != born:
            return
        self.pending.discard(adapter)
        self.versions_by_adapter[adapter] = version
        self.record_state()

    def record_state(self) -> None:
        """Record the current state for delayed reports."""
        state = {
            "models": self.list_models(),
            "pending": [f"{self.model}/{name}@1" for name in self.pending],
            "sequence": self.sequence,
            "born": self.born,
        }
        self._past_states.append((time.monotonic(), state))

    def report(self) -> dict[str, Any]:
        """Return the state as of ``report_lag_s`` ago."""
        if not self._past_states:
            self.record_state()
        visible_until = time.monotonic() - self.report_lag_s
        while len(self._past_states) > 1 and self._past_states[1][0] <= visible_until:
            self._past_states.popleft()
        return self._past_states[0][1]


class WorkerHandler(StandInHandler):
    """Base class that checks that a call is meant for this worker."""

    standin: Worker

    async def prepare(self) -> None:
        """Respond with 421 if another worker is expected."""
        await super().prepare()
        await self.standin.wait_while_silent()
        expected = self.request.headers.get("Fescuekeel-Expect-Instance")
        if expected and expected != self.standin.id and not self._finished:
            self.set_header("Fescuekeel-Instance-Id", self.standin.id)
            await self.respond(421, {})


class ReportHandler(WorkerHandler):
    """Serve the worker's report."""

    async def get(self) -> None:
        """Respond with the report."""
        worker = self.standin
        body = {
            "stage": "both",
            "busy": False,
            "queued": 0,
            "running": worker.running,
            "kv_used": 0,
            "kv_total": 1000,
        }
        await self.respond(200, body | worker.report())


class OrderHandler(WorkerHandler):
    """Execute a load or unload order."""

    async def post(self) -> None:
        """Respond with 200 if the order is complete, 202 if it has started."""
        worker = self.standin
        order = self.read_json()
        rejected_with = worker.admit_order(
            order["fencing_token"], order["holder"], order.get("precondition")
        )
        if rejected_with:
            await self.respond(rejected_with, {})
            return
        adapter = order.get("adapter", "")
        if order["operation"] == "unload":
            worker.unload(adapter)
            await self.respond(200, {})
            return
        if not adapter:
            # The base model is always loaded.
            await self.respond(200, {})
            return
        version = order.get("version") or worker.latest_version_by_adapter.get(
            adapter, 1
        )
        if worker.versions_by_adapter.get(adapter, 0) >= version:
            await self.respond(200, {})
            return
        if adapter not in worker.pending:
            worker.begin_load(adapter)
            work = worker.finish_load(adapter, version)
            self.load_task = asyncio.ensure_future(work)
        await self.respond(202, {})


class RunHandler(WorkerHandler):
    """Run a request, as a stream if it names a model."""

    def initialize(self, *arguments: Any, **options: Any) -> None:
        """Create the event that is set when the caller disconnects."""
        super().initialize(*arguments, **options)
        self.closed = asyncio.Event()

    async def run_request(self) -> None:
        """Run the request, or reject or fail it."""
        worker = self.standin
        self.set_header(
            REQUEST_ID_HEADER, self.request.headers.get(REQUEST_ID_HEADER, "")
        )
        if worker.limit_per_s is not None:
            self.set_header(SERVER_LIMIT_HEADER, str(worker.limit_per_s))
            worker.limit_named_at = worker.limit_named_at or time.monotonic()
        if worker.room.brittle_per_s is not None:
            self.set_header(SERVER_BRITTLE_HEADER, str(worker.room.brittle_per_s))
        if worker.consume_fault("shed"):
            await self.reject()
            return
        model, _, adapter = self.request.headers.get("Fescuekeel-Model", "").partition(
            "/"
        )
        if adapter and adapter not in worker.versions_by_adapter:
            await self.respond(421, {})
            return
        request_id = self.request.headers.get(REQUEST_ID_HEADER, "")
        version = worker.versions_by_adapter.get(adapter, 0)
        expected = self.request.headers.get("Fescuekeel-Expect-Version")
        if expected and int(expected) != version:
            await self.respond(421, {})
            return
        admission = await worker.room.enter(self.closed)
        if admission is Admission.REJECTED:
            await self.reject()
            return
        if admission is Admission.DROPPED:
            self._finished = True
            return
        try:
            await self.run_admitted(request_id, model, adapter, version)
        finally:
            worker.room.leave()

    async def reject(self) -> None:
        """Respond that the request has not run."""
        self.set_header(NOT_EXECUTED_HEADER, "1")
        await self.respond(503, {})

    async def run_admitted(
        self, request_id: str, model: str, adapter: str, version: int
    ) -> None:
        """Run a request that has a place."""
        worker = self.standin
        worker.runs[request_id] += 1
        account = self.request.headers.get(TENANT_HEADER, "")
        key = self.request.headers.get(API_KEY_HEADER, "")
        worker.records.append(
            RunRecord(request_id, time.monotonic(), adapter, version, account, key)
        )
        worker.served_by_weights[f"{model}/{adapter}"] += 1
        self.set_header(SERVER_STAMP_HEADER, f"stamp-{worker.id}")
        if worker.crash is not None and self.request.body.startswith(
            (CRASH_BEFORE_FIRST_EVENT, CRASH_AFTER_FIRST_EVENT)
        ):
            await self.crash_worker(worker.crash)
        elif worker.consume_fault("fail"):
            await self.respond(500, {})
        elif model:
            worker.running_by_adapter[adapter] += 1
            try:
                await self.stream_events()
            finally:
                worker.running_by_adapter[adapter] -= 1
        else:
            await self.run_plain()

    async def get(self) -> None:
        """Run the request."""
        await self.run_request()

    post = get

    async def run_plain(self) -> None:
        """Respond with the request, after the time of a run."""
        worker = self.standin
        worker.running += 1
        try:
            await asyncio.sleep(worker.run_s)
        finally:
            worker.running -= 1
        echo = f"{self.request.method} {self.request.uri} "
        self.set_status(200)
        try:
            await self.finish(echo.encode() + self.request.body)
        except StreamClosedError:
            self._finished = True

    async def crash_worker(self, crash: Callable[[], None]) -> None:
        """Crash the worker after a short run, as the body asks for."""
        if self.request.body.startswith(CRASH_AFTER_FIRST_EVENT):
            self.write("id: 1\ndata: piece 1\n\n")
            await self.flush()
        await asyncio.sleep(CRASH_DELAY_S)
        request_id = self.request.headers.get(REQUEST_ID_HEADER, "")
        record = CrashRecord(
            request_id, self.request.path, self.request.body, time.monotonic()
        )
        self.standin.crashes.append(record)
        crash()
        await self.hold_unanswered()

    async def stream_events(self) -> None:
        """Stream the events after ``Last-Event-Id``."""
        worker = self.standin
        first = int(self.request.headers.get("Last-Event-Id") or 0) + 1
        cut_off = worker.consume_fault("cut")
        stalled = worker.consume_fault("stall")
        self.set_header("Content-Type", "text/event-stream")
        worker.running += 1
        try:
            for number in range(first, worker.events + 1):
                if cut_off and number == first + 2:
                    self.request.connection.stream.close()  # type: ignore[union-attr]
                    return
                if stalled and number == first + 2:
                    await self.wait_for_close()
                    return
                await worker.wait_while_silent()
                self.write(f"id: {number}\ndata: piece {number}\n\n")
                await self.flush()
                await asyncio.sleep(worker.event_s)
            await self.finish()
        except StreamClosedError:
            worker.aborted_streams += 1
        finally:
            worker.running -= 1

    async def wait_for_close(self) -> None:
        """Send nothing until the caller disconnects."""
        await self.closed.wait()
        self.standin.aborted_streams += 1

    def on_connection_close(self) -> None:
        """Wake ``wait_for_close``."""
        super().on_connection_close()
        self.closed.set()


def start_worker(worker: Worker, port: int = 0) -> Server:
    """Start a worker on a loopback port, by default a free one."""
    routes = [("/report", ReportHandler), ("/order", OrderHandler), (".*", RunHandler)]
    return Server(worker, routes, port)

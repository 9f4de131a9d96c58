"""Stand-ins of the platform's workers: engines and plain applications."""

import asyncio
import itertools
import time
from collections import Counter, deque
from dataclasses import dataclass, field
from typing import Any

from tornado.iostream import StreamClosedError

from standins.server import Misbehaviour, Server, StandInHandler

__all__ = ["RunRecord", "Worker", "start_worker"]

NOT_EXECUTED = "Fescuekeel-Not-Executed"
KEY = "X-Api-Key"
TENANT = "Fescuekeel-Tenant"
STAMP = "Fescuekeel-Server-Stamp"
REQUEST_ID = "Fescuekeel-Request-Id"
LOAD_S = 0.1
# More loads than this at a time slow each other down in proportion.
LOADS_AT_FULL_SPEED = 2
IDS = itertools.count(1)


@dataclass(frozen=True, slots=True)
class RunRecord:
    """One run as the worker saw it begin; ``at`` is monotonic seconds.

    ``account`` is the client account that was named, and ``key`` a caller's
    key that should not have come along.
    """

    request_id: str
    at: float
    adapter: str = ""
    version: int = 0
    account: str = ""
    key: str = ""


@dataclass(eq=False)
class Worker:
    """Run requests, and hold weights if it is an engine.

    Of the next requests, ``fail`` run and answer 500, ``shed`` are refused
    without running, ``cut`` break off after some events and ``stall`` send
    nothing after some events. ``overrun``
    says that it was ordered to hold more than ``places``, ``unloaded_in_use``
    which adapters it was ordered to drop while they ran, and ``fences`` are
    the fencing numbers of its orders in turn. Reports show what was
    ``report_lag_s`` ago.
    """

    service: str
    model: str = ""
    places: int = 4
    events: int = 6
    event_s: float = 0.005
    report_lag_s: float = 0.0
    misbehaviour: Misbehaviour = field(default_factory=Misbehaviour)
    id: str = field(default_factory=lambda: f"w-{next(IDS)}")
    born: int = field(default_factory=lambda: time.time_ns() // 1_000_000)
    runs: Counter[str] = field(default_factory=Counter)
    records: list[RunRecord] = field(default_factory=list)
    served_by_weights: Counter[str] = field(default_factory=Counter)
    versions_by_adapter: dict[str, int] = field(default_factory=dict)
    pending: set[str] = field(default_factory=set)
    newest_by_adapter: dict[str, int] = field(default_factory=dict)
    running: int = 0
    stopped: int = 0
    sequence: int = 0
    fences: list[int] = field(default_factory=list)
    holders: list[str] = field(default_factory=list)
    overrun: bool = False
    running_by_adapter: Counter[str] = field(default_factory=Counter)
    unloaded_in_use: list[str] = field(default_factory=list)
    fail: int = 0
    shed: int = 0
    cut: int = 0
    stall: int = 0
    _past_states: deque[tuple[float, dict[str, Any]]] = field(default_factory=deque)

    def control(self, orders: dict[str, Any]) -> None:
        """Take ``fail``, ``shed`` and ``cut``."""
        for name in ("fail", "shed", "cut"):
            setattr(self, name, int(orders.get(name, getattr(self, name))))

    def journal(self) -> dict[str, Any]:
        """Return what ran here."""
        return {"runs": dict(self.runs), "served": dict(self.served_by_weights)}

    def restart(self) -> None:
        """Start again under the same id, holding and knowing nothing."""
        self.born = max(self.born + 1, time.time_ns() // 1_000_000)
        self.versions_by_adapter.clear()
        self.pending.clear()
        self.fences.clear()
        self.holders.clear()
        self.sequence = 0
        self._past_states.clear()

    def spend(self, name: str) -> bool:
        """Count down a fault; return whether it is due."""
        left = getattr(self, name)
        if left:
            setattr(self, name, left - 1)
        return bool(left)

    def list_models(self) -> list[dict[str, Any]]:
        """Return what is held, as reports and entries say it."""
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
            "slots": 8,
            "state": state,
            "cold_remaining_ms": 0,
            "models": self.list_models(),
            "sequence": self.sequence,
            "born": self.born,
        }

    def take(self, fence: int, holder: str, precondition: int | None) -> int:
        """Return with which status an order is refused, zero if it is not."""
        if fence < max(self.fences, default=0):
            return 412
        if precondition is not None and precondition != self.sequence:
            return 409
        self.fences.append(fence)
        self.holders.append(holder)
        return 0

    def unload(self, adapter: str) -> None:
        """Drop an adapter at once."""
        if self.running_by_adapter[adapter]:
            self.unloaded_in_use.append(adapter)
        if self.versions_by_adapter.pop(adapter, None) is not None:
            self.sequence += 1
        self.remember_state()

    def begin_load(self, adapter: str) -> None:
        """Take a place for an adapter that is on its way from now on."""
        self.sequence += 1
        self.pending.add(adapter)
        count = len(self.versions_by_adapter.keys() | self.pending)
        self.overrun = self.overrun or count > self.places
        self.remember_state()

    async def finish_load(self, adapter: str, version: int) -> None:
        """Bring an adapter in after a while, unless a restart comes first."""
        born = self.born
        await asyncio.sleep(LOAD_S * max(1, len(self.pending) / LOADS_AT_FULL_SPEED))
        if self.born != born:
            return
        self.pending.discard(adapter)
        self.versions_by_adapter[adapter] = version
        self.remember_state()

    def remember_state(self) -> None:
        """Keep the state of this moment for the reports that will show it."""
        state = {
            "models": self.list_models(),
            "pending": [f"{self.model}/{name}@1" for name in self.pending],
            "sequence": self.sequence,
            "born": self.born,
        }
        self._past_states.append((time.monotonic(), state))

    def report(self) -> dict[str, Any]:
        """Return the report, as late as reports are."""
        if not self._past_states:
            self.remember_state()
        shown_until = time.monotonic() - self.report_lag_s
        while len(self._past_states) > 1 and self._past_states[1][0] <= shown_until:
            self._past_states.popleft()
        return self._past_states[0][1]


class WorkerHandler(StandInHandler):
    """Check that the call is meant for this worker."""

    standin: Worker

    async def prepare(self) -> None:
        """Answer 421 if another worker is expected."""
        await super().prepare()
        expected = self.request.headers.get("Fescuekeel-Expect-Instance")
        if expected and expected != self.standin.id and not self._finished:
            self.set_header("Fescuekeel-Instance-Id", self.standin.id)
            await self.answer(421, {})


class ReportHandler(WorkerHandler):
    """Show the worker's state."""

    async def get(self) -> None:
        """Answer with the report."""
        worker = self.standin
        body = {
            "stage": "both",
            "busy": False,
            "queued": 0,
            "running": worker.running,
            "kv_used": 0,
            "kv_total": 1000,
        }
        await self.answer(200, body | worker.report())


class OrderHandler(WorkerHandler):
    """Take an order."""

    async def post(self) -> None:
        """Answer 200 if it holds already, 202 if it is carried out."""
        worker = self.standin
        order = self.read_json()
        refused = worker.take(
            order["fencing_token"], order["holder"], order.get("precondition")
        )
        if refused:
            await self.answer(refused, {})
            return
        adapter = order.get("adapter", "")
        if order["operation"] == "unload":
            worker.unload(adapter)
            await self.answer(200, {})
            return
        if not adapter:
            # The base model is there from the beginning.
            await self.answer(200, {})
            return
        version = order.get("version") or worker.newest_by_adapter.get(adapter, 1)
        if worker.versions_by_adapter.get(adapter, 0) >= version:
            await self.answer(200, {})
            return
        if adapter not in worker.pending:
            worker.begin_load(adapter)
            work = worker.finish_load(adapter, version)
            self.load_task = asyncio.ensure_future(work)
        await self.answer(202, {})


class RunHandler(WorkerHandler):
    """Run a request, as a stream if it names a model."""

    def initialize(self, *arguments: Any, **options: Any) -> None:
        """Make ready to hear that the other side has closed."""
        super().initialize(*arguments, **options)
        self.closed = asyncio.Event()

    async def run_any(self) -> None:
        """Refuse, fail or run."""
        worker = self.standin
        self.set_header(REQUEST_ID, self.request.headers.get(REQUEST_ID, ""))
        if worker.spend("shed"):
            self.set_header(NOT_EXECUTED, "1")
            await self.answer(503, {})
            return
        model, _, adapter = self.request.headers.get("Fescuekeel-Model", "").partition(
            "/"
        )
        if adapter and adapter not in worker.versions_by_adapter:
            await self.answer(421, {})
            return
        request_id = self.request.headers.get(REQUEST_ID, "")
        version = worker.versions_by_adapter.get(adapter, 0)
        expected = self.request.headers.get("Fescuekeel-Expect-Version")
        if expected and int(expected) != version:
            await self.answer(421, {})
            return
        worker.runs[request_id] += 1
        account = self.request.headers.get(TENANT, "")
        key = self.request.headers.get(KEY, "")
        worker.records.append(
            RunRecord(request_id, time.monotonic(), adapter, version, account, key)
        )
        worker.served_by_weights[f"{model}/{adapter}"] += 1
        self.set_header(STAMP, f"stamp-{worker.id}")
        if worker.spend("fail"):
            await self.answer(500, {})
        elif model:
            worker.running_by_adapter[adapter] += 1
            try:
                await self.stream_events()
            finally:
                worker.running_by_adapter[adapter] -= 1
        else:
            echo = f"{self.request.method} {self.request.uri} "
            self.set_status(200)
            await self.finish(echo.encode() + self.request.body)

    get = post = run_any

    async def stream_events(self) -> None:
        """Write the events after the last one that the caller has."""
        worker = self.standin
        first = int(self.request.headers.get("Last-Event-Id") or 0) + 1
        broken = worker.spend("cut")
        stalled = worker.spend("stall")
        self.set_header("Content-Type", "text/event-stream")
        worker.running += 1
        try:
            for number in range(first, worker.events + 1):
                if broken and number == first + 2:
                    self.request.connection.stream.close()  # type: ignore[union-attr]
                    return
                if stalled and number == first + 2:
                    await self.wait_for_close()
                    return
                self.write(f"id: {number}\ndata: piece {number}\n\n")
                await self.flush()
                await asyncio.sleep(worker.event_s)
            await self.finish()
        except StreamClosedError:
            worker.stopped += 1
        finally:
            worker.running -= 1

    async def wait_for_close(self) -> None:
        """Send nothing until the other side has closed."""
        await self.closed.wait()
        self.standin.stopped += 1

    def on_connection_close(self) -> None:
        """Note that nobody reads any more."""
        super().on_connection_close()
        self.closed.set()


def start_worker(worker: Worker) -> Server:
    """Start a worker on a free loopback port."""
    routes = [("/report", ReportHandler), ("/order", OrderHandler), (".*", RunHandler)]
    return Server(worker, routes)

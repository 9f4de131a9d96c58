"""The HTTP interface of the stand-in workers."""

import asyncio
import json
import random
import time
from collections.abc import Callable
from typing import Any

from tornado.iostream import StreamClosedError

from standins.forwarding.answers import (
    AnswerBreak,
    AnswerFraming,
    AnswerWriter,
    make_event,
)
from standins.forwarding.room import Admission
from standins.forwarding.workers import CrashRecord, RunRecord, Worker
from standins.server import Server, StandInHandler

__all__ = [
    "CRASH_AFTER_FIRST_EVENT",
    "CRASH_BEFORE_FIRST_EVENT",
    "PROMPT_PARTS_HEADER",
    "start_worker",
]

NOT_EXECUTED_HEADER = "Fescuekeel-Not-Executed"
API_KEY_HEADER = "X-Api-Key"
TENANT_HEADER = "Fescuekeel-Tenant"
SERVER_LIMIT_HEADER = "Fescuekeel-Server-Limit"
SERVER_BRITTLE_HEADER = "Server-Brittle"
SERVER_LEAVING_HEADER = "Server-Leaving"
PROMPT_PARTS_HEADER = "Fescuekeel-Prompt-Prefix"
SERVER_STAMP_HEADER = "Fescuekeel-Server-Stamp"
REQUEST_ID_HEADER = "Fescuekeel-Request-Id"
# A body that starts with one of these crashes each worker that runs it.
CRASH_BEFORE_FIRST_EVENT = b"crash before the first event"
CRASH_AFTER_FIRST_EVENT = b"crash after the first event"
CRASH_DELAY_S = 0.02


class WorkerHandler(StandInHandler):
    """Base class that checks that a call is meant for this worker."""

    standin: Worker
    runs_requests = False

    async def prepare(self) -> None:
        """Respond with 421 if another worker is expected."""
        await super().prepare()
        if self._finished:
            return
        self.standin.copies.begin_answer(self.stream)
        request_id = self.request.headers.get(REQUEST_ID_HEADER, "")
        if request_id and self.runs_requests:
            self.set_header(REQUEST_ID_HEADER, request_id)
        elif request_id:
            self.standin.calls_with_ids += 1
        await self.standin.wait_while_silent()
        if self.standin.leaves:
            self.set_header(SERVER_LEAVING_HEADER, "1")
        expected = self.request.headers.get("Fescuekeel-Expect-Instance")
        if expected and expected != self.standin.id and not self._finished:
            self.set_header("Fescuekeel-Instance-Id", self.standin.id)
            await self.respond(421, {})

    async def respond(self, status: int, body: dict[str, Any]) -> None:
        """Send a JSON response, perhaps once more later."""
        await super().respond(status, body)
        if not self.is_unresponsive:
            self.standin.copies.end_answer(self, json.dumps(body).encode())


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
            "runs": [[id, 0, 1, 5] for id in worker.running_ids],
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

    runs_requests = True

    def initialize(self, *arguments: Any, **options: Any) -> None:
        """Create the event that is set when the caller disconnects."""
        super().initialize(*arguments, **options)
        self.closed = asyncio.Event()

    async def run_request(self) -> None:
        """Run the request, or reject or fail it."""
        worker = self.standin
        request_id = self.request.headers.get(REQUEST_ID_HEADER, "")
        worker.arrivals.append((time.monotonic(), request_id))
        if worker.limit_per_s is not None:
            self.set_header(SERVER_LIMIT_HEADER, str(worker.limit_per_s))
            worker.limit_named_at = worker.limit_named_at or time.monotonic()
        if worker.room.brittle_per_s is not None:
            self.set_header(SERVER_BRITTLE_HEADER, str(worker.room.brittle_per_s))
        if worker.retry_after is not None:
            rejection = (time.monotonic(), request_id, worker.retry_after)
            worker.rejected.append(rejection)
            self.set_header("Retry-After", worker.retry_after)
            await self.reject()
            return
        if worker.consume_fault("shed"):
            await self.reject()
            return
        model, _, adapter = self.request.headers.get("Fescuekeel-Model", "").partition(
            "/"
        )
        if adapter and adapter not in worker.versions_by_adapter:
            await self.respond(421, {})
            return
        version = worker.versions_by_adapter.get(adapter, 0)
        expected = self.request.headers.get("Fescuekeel-Expect-Version")
        if expected and int(expected) != version:
            await self.respond(421, {})
            return
        if random.random() < worker.misdirecting_share:
            await self.respond(421, {})
            return
        admission = await worker.room.enter(self.closed)
        if admission is Admission.REJECTED:
            await self.reject()
            return
        if admission is Admission.DROPPED:
            self._finished = True
            return
        worker.begin_run(request_id)
        try:
            await self.run_admitted(request_id, model, adapter, version)
        finally:
            worker.room.leave()
            worker.end_run(request_id, self.closed.is_set())

    async def reject(self) -> None:
        """Respond that the request has not run."""
        self.set_header(NOT_EXECUTED_HEADER, "1")
        if not self.standin.repeats_rejected_ids:
            self.clear_header(REQUEST_ID_HEADER)
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
        if worker.signs:
            self.set_header(SERVER_STAMP_HEADER, f"stamp-{worker.id}")
        part = self.find_crashing_part()
        if worker.crash is not None and part:
            if worker.crash_after_event:
                await self.write_first_event()
            await asyncio.sleep(worker.crash_delay_s)
            await self.crash_worker(worker.crash, part)
        elif worker.crash is not None and self.request.body.startswith(
            (CRASH_BEFORE_FIRST_EVENT, CRASH_AFTER_FIRST_EVENT)
        ):
            if self.request.body.startswith(CRASH_AFTER_FIRST_EVENT):
                await self.write_first_event()
            await asyncio.sleep(CRASH_DELAY_S)
            await self.crash_worker(worker.crash)
        elif random.random() < worker.failing_share or worker.consume_fault("fail"):
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
        body = echo.encode() + self.request.body
        broken = worker.breaks.popleft() if worker.breaks else None
        answer = AnswerWriter(self, worker.framing, len(body))
        try:
            if broken is not None:
                await answer.write(body[: len(body) // 2])
                answer.break_off(broken)
                return
            await answer.write(body[: len(body) // 2])
            await worker.wait_while_silent()
            await answer.write(body[len(body) // 2 :])
            await answer.finish()
            if worker.framing is not AnswerFraming.CLOSE:
                worker.copies.end_answer(self, body)
        except StreamClosedError:
            self._finished = True

    def find_crashing_part(self) -> str:
        """Return the part of the prompt that crashes the worker, if any."""
        header = self.request.headers.get(PROMPT_PARTS_HEADER, "")
        parts = [entry.partition(":")[0] for entry in header.split(",")]
        return next((part for part in parts if part in self.standin.crash_parts), "")

    async def write_first_event(self) -> None:
        """Send the first event of a stream."""
        self.write("id: 1\ndata: piece 1\n\n")
        await self.flush()

    async def crash_worker(self, crash: Callable[[], bool], part: str = "") -> None:
        """Crash the worker, as the body or a part of the prompt asks for.

        Another request may have crashed it meanwhile.
        """
        request_id = self.request.headers.get(REQUEST_ID_HEADER, "")
        record = CrashRecord(
            request_id, self.request.path, self.request.body, time.monotonic(), part
        )
        if crash():
            self.standin.crashes.append(record)
        await self.hold_unanswered()

    async def stream_events(self) -> None:
        """Stream the events after ``Last-Event-Id``."""
        worker = self.standin
        first = int(self.request.headers.get("Last-Event-Id") or 0) + 1
        cut_off = worker.consume_fault("cut")
        stalled = worker.consume_fault("stall")
        broken = worker.breaks.popleft() if worker.breaks else None
        numbers = range(first, worker.events + 1)
        software = worker.software if worker.names_software else ""
        events = [make_event(number, worker.line_end, software) for number in numbers]
        self.set_header("Content-Type", "text/event-stream")
        answer = AnswerWriter(self, worker.framing, sum(map(len, events)))
        worker.running += 1
        try:
            for number, event in zip(numbers, events, strict=True):
                if cut_off and number == first + 2:
                    # Without length or chunks only a reset shows the cut.
                    by_reset = worker.framing is AnswerFraming.CLOSE
                    answer.break_off(AnswerBreak(by_reset=by_reset))
                    return
                if stalled and number == first + 2:
                    await self.wait_for_close()
                    return
                await worker.wait_while_silent()
                if broken is not None and number == first + broken.after_events:
                    await answer.write(broken.cut_event(event))
                    answer.break_off(broken)
                    return
                await answer.write(event)
                await asyncio.sleep(worker.event_s)
            await answer.finish()
        except StreamClosedError:
            self._finished = True
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

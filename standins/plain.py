"""Stand-in for a plain service."""

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from standins.server import ConnectionFaults, Server, StandInHandler

__all__ = ["PlainService", "start_plain"]

NOT_RUN_HEADER = "X-Not-Run"


@dataclass(eq=False, slots=True)
class Call:
    """A call that ran; times are monotonic seconds, zero if not reached."""

    request_id: str
    key: str
    method: str
    path: str
    body: str
    started_at: float = field(default_factory=time.monotonic)
    finished_at: float = 0.0

    def as_journal_entry(self) -> dict[str, Any]:
        """Return the journal entry."""
        return {
            "request_id": self.request_id,
            "key": self.key,
            "method": self.method,
            "path": self.path,
            "body": self.body,
            "started": self.started_at,
            "finished": self.finished_at,
        }


class PlainService:
    """Run calls and record them.

    Of the next calls, ``refuse`` are rejected without running and ``fail``
    run and respond with 500. For ``break_before`` and ``break_after`` calls,
    the connection is closed before or after the run.
    """

    def __init__(self, name: str, delay_s: float = 0.01, max_running: int = 32) -> None:
        self.name = name
        self.delay_s = delay_s
        self.max_running = max_running
        self.connection_faults = ConnectionFaults()
        self.boot_id = f"{name}-{time.time_ns()}"
        self.calls: list[Call] = []
        self.running: list[Call] = []
        self.remaining_by_fault: Counter[str] = Counter()

    def control(self, commands: dict[str, Any]) -> None:
        """Apply ``delay_s``, ``max_running`` and the counts of faults."""
        self.delay_s = float(commands.get("delay_s", self.delay_s))
        self.max_running = int(commands.get("max_running", self.max_running))
        for fault in ("refuse", "fail", "break_before", "break_after"):
            if fault in commands:
                self.remaining_by_fault[fault] = int(commands[fault])

    def journal(self) -> dict[str, Any]:
        """Return all runs, and their number by request id and by key."""
        return {
            "runs": [call.as_journal_entry() for call in self.calls],
            "counts_by_id": Counter(call.request_id for call in self.calls),
            "counts_by_key": Counter(call.key for call in self.calls if call.key),
        }

    def consume_fault(self, fault: str) -> bool:
        """Return whether a fault applies to this call, and count it down."""
        if self.remaining_by_fault[fault] <= 0:
            return False
        self.remaining_by_fault[fault] -= 1
        return True

    async def run(self, call: Call) -> None:
        """Run one call."""
        self.calls.append(call)
        self.running.append(call)
        await asyncio.sleep(self.delay_s)
        self.running.remove(call)
        call.finished_at = time.monotonic()


class ReportHandler(StandInHandler):
    """Show the load report."""

    async def get(self) -> None:
        """Respond with the running calls."""
        service: PlainService = self.standin
        running = [{"request_id": call.request_id} for call in service.running]
        report = {
            "boot_id": service.boot_id,
            "running": running,
            "max_running": service.max_running,
        }
        await self.respond(200, report)


class CallHandler(StandInHandler):
    """Run any call and echo it."""

    standin: PlainService

    async def call(self) -> None:
        """Run the call, or apply a fault."""
        service = self.standin
        if service.consume_fault("break_before"):
            self.drop_connection()
            return
        if (
            service.consume_fault("refuse")
            or len(service.running) >= service.max_running
        ):
            self.set_header(NOT_RUN_HEADER, "1")
            await self.respond(503, {"error": "refused"})
            return
        call = Call(
            request_id=self.request.headers.get("X-Request-Id", ""),
            key=self.request.headers.get("Idempotency-Key", ""),
            method=self.request.method or "",
            path=self.request.uri or "",
            body=self.request.body.decode("utf-8", "replace"),
        )
        await service.run(call)
        if service.consume_fault("break_after"):
            self.drop_connection()
            return
        status = 500 if service.consume_fault("fail") else 200
        echo = {"path": call.path, "method": call.method, "body": call.body}
        await self.respond(status, echo)

    get = post = put = patch = delete = head = options = call


async def start_plain(
    name: str = "plain", delay_s: float = 0.01, max_running: int = 32
) -> tuple[PlainService, Server]:
    """Start a plain service on a free port."""
    service = PlainService(name, delay_s, max_running)
    routes = [("/report", ReportHandler), ("/.*", CallHandler)]
    return service, Server(service, routes)

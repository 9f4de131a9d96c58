"""A stand-in of a plain service."""

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from standins.server import Misbehaviour, Server, StandInHandler

__all__ = ["PlainService", "start_plain"]

NOT_RUN_HEADER = "X-Not-Run"


@dataclass(eq=False, slots=True)
class Call:
    """One call that ran; times are monotonic seconds, zero for not yet."""

    request_id: str
    key: str
    method: str
    path: str
    body: str
    started: float = field(default_factory=time.monotonic)
    finished: float = 0.0

    def as_journal(self) -> dict[str, Any]:
        """Return the journal's line."""
        return {
            "request_id": self.request_id,
            "key": self.key,
            "method": self.method,
            "path": self.path,
            "body": self.body,
            "started": self.started,
            "finished": self.finished,
        }


class PlainService:
    """Run calls and count the runs of each.

    Of the next calls, ``refuse`` are refused without running, ``fail`` run
    and answer 500, ``break_before`` are cut off before they run, and
    ``break_after`` after.
    """

    def __init__(self, name: str, delay_s: float = 0.01, max_running: int = 32) -> None:
        self.name = name
        self.delay_s = delay_s
        self.max_running = max_running
        self.misbehaviour = Misbehaviour()
        self.boot_id = f"{name}-{time.time_ns()}"
        self.calls: list[Call] = []
        self.running: list[Call] = []
        self.left_by_fault: Counter[str] = Counter()

    def control(self, orders: dict[str, Any]) -> None:
        """Take ``delay_s``, ``max_running`` and the counts of faults."""
        self.delay_s = float(orders.get("delay_s", self.delay_s))
        self.max_running = int(orders.get("max_running", self.max_running))
        for fault in ("refuse", "fail", "break_before", "break_after"):
            if fault in orders:
                self.left_by_fault[fault] = int(orders[fault])

    def journal(self) -> dict[str, Any]:
        """Return every run, and the number of runs by id and by key."""
        return {
            "runs": [call.as_journal() for call in self.calls],
            "counts_by_id": Counter(call.request_id for call in self.calls),
            "counts_by_key": Counter(call.key for call in self.calls if call.key),
        }

    def take(self, fault: str) -> bool:
        """Tell whether the present call has a fault, and count it down."""
        if self.left_by_fault[fault] <= 0:
            return False
        self.left_by_fault[fault] -= 1
        return True

    async def run(self, call: Call) -> None:
        """Run one call."""
        self.calls.append(call)
        self.running.append(call)
        await asyncio.sleep(self.delay_s)
        self.running.remove(call)
        call.finished = time.monotonic()


class ReportHandler(StandInHandler):
    """Show the load report."""

    async def get(self) -> None:
        """Answer with what runs."""
        service: PlainService = self.standin
        running = [{"request_id": call.request_id} for call in service.running]
        report = {
            "boot_id": service.boot_id,
            "running": running,
            "max_running": service.max_running,
        }
        await self.answer(200, report)


class CallHandler(StandInHandler):
    """Run any call and answer with what it was."""

    standin: PlainService

    async def call(self) -> None:
        """Run the call, or misbehave as told."""
        service = self.standin
        if service.take("break_before"):
            self.break_off()
            return
        if service.take("refuse") or len(service.running) >= service.max_running:
            self.set_header(NOT_RUN_HEADER, "1")
            await self.answer(503, {"error": "refused"})
            return
        call = Call(
            request_id=self.request.headers.get("X-Request-Id", ""),
            key=self.request.headers.get("Idempotency-Key", ""),
            method=self.request.method or "",
            path=self.request.uri or "",
            body=self.request.body.decode("utf-8", "replace"),
        )
        await service.run(call)
        if service.take("break_after"):
            self.break_off()
            return
        status = 500 if service.take("fail") else 200
        shown = {"path": call.path, "method": call.method, "body": call.body}
        await self.answer(status, shown)

    get = post = put = patch = delete = head = options = call


async def start_plain(
    name: str = "plain", delay_s: float = 0.01, max_running: int = 32
) -> tuple[PlainService, Server]:
    """Start a plain service on a free port."""
    service = PlainService(name, delay_s, max_running)
    routes = [("/report", ReportHandler), ("/.*", CallHandler)]
    return service, Server(service, routes)

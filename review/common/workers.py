"""Stand-in workers that speak the platform's protocol byte by byte."""

import asyncio
import contextlib
import json
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from common.http import Message, read_message, write_answer

__all__ = ["EngineWorker", "Extra", "Order", "PlainWorker", "Run", "WorkerServer"]

REQUEST_ID = "fescuekeel-request-id"


@dataclass(frozen=True, slots=True)
class Run:
    """A run of a request, as of its start on the script's clock."""

    at: float
    worker: str
    request_id: str


@dataclass(frozen=True, slots=True)
class Extra:
    """An answer that is sent once more."""

    at: float
    target: str
    request_id: str
    status: int


class WorkerServer:
    """Accept connections; one request at a time on each, as workers do."""

    def __init__(self, id: str, service: str, zone: str, seed: int = 0) -> None:
        self.id = id
        self.service = service
        self.zone = zone
        self.born = time.time_ns() // 1_000_000
        self.random = random.Random(seed)
        self.runs: list[Run] = []
        self.counts: Counter[str] = Counter()
        self.extras: list[Extra] = []
        self.extra_share = 0.0
        self.is_faulty: Callable[[], bool] = lambda: False
        self.address = ""
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._tasks.discard(task)
            with contextlib.suppress(OSError):
                writer.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request after the other until the connection ends.

        While ``is_faulty``, a share ``extra_share`` of the answers is sent
        once more, late: where the connection's next answer is expected.
        """
        extra = b""
        while True:
            request = await read_message(reader)
            if extra:
                writer.write(extra)
                extra = b""
            status, answer = await self.answer(request, writer)
            self.counts[f"{request.target} {status}"] += 1
            if self.is_faulty() and self.random.random() < self.extra_share:
                extra = answer
                known = request.headers.get(REQUEST_ID, "no id")
                extra_record = Extra(time.monotonic(), request.target, known, status)
                self.extras.append(extra_record)

    async def answer(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> tuple[int, bytes]:
        """Write the answer; return its status and its bytes."""
        raise NotImplementedError

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()


def answer_call(worker: WorkerServer, request: Message) -> tuple[int, bytes] | None:
    """Answer what any worker answers alike, ``None`` for a request to run."""
    if request.target.split("?")[0] == "/healthz":
        headers = {"Fescuekeel-Instance-Id": worker.id, "Keep-Alive": "timeout=15"}
        return 200, write_answer("200 OK", headers, b"")
    if request.headers.get("fescuekeel-expect-instance", worker.id) != worker.id:
        return 421, write_answer("421 Misdirected Request", make_echo(request), b"")
    if request.target in ("/report", "/order"):
        return None
    if not request.headers.get(REQUEST_ID):
        headers = {"Fescuekeel-Not-Executed": "1"}
        return 400, write_answer("400 Bad Request", headers, b"")
    return None


def make_echo(request: Message) -> dict[str, str]:
    """Return the headers of an answer to a request."""
    headers = {"Keep-Alive": "timeout=15"}
    if REQUEST_ID in request.headers:
        headers["Fescuekeel-Request-Id"] = request.headers[REQUEST_ID]
    return headers


class PlainWorker(WorkerServer):
    """A worker of a plain service.

    It runs ``SLOTS`` requests, lets ``QUEUE`` wait and rejects the rest with
    503 and ``Fescuekeel-Not-Executed``.
    """

    SLOTS = 6
    QUEUE = 6
    WORK_S = 0.045

    def __init__(self, id: str, service: str, zone: str, seed: int = 0) -> None:
        super().__init__(id, service, zone, seed)
        self.running = 0
        self.waiting = 0
        self._freed = asyncio.Condition()

    def describe(self) -> dict[str, object]:
        """Return the worker's entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": self.SLOTS,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 0,
            "born": self.born,
        }

    async def answer(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> tuple[int, bytes]:
        """Run a request, or reject it."""
        status, answer = answer_call(self, request) or await self._run(request)
        writer.write(answer)
        await writer.drain()
        return status, answer

    async def _run(self, request: Message) -> tuple[int, bytes]:
        if request.target == "/report":
            return 404, write_answer("404 Not Found", make_echo(request), b"")
        headers = make_echo(request)
        load = f"{self.running},{self.waiting},{self.SLOTS}"
        headers["Fescuekeel-Server-Load"] = load
        if self.running + self.waiting >= self.SLOTS + self.QUEUE:
            headers["Fescuekeel-Not-Executed"] = "1"
            return 503, write_answer("503 Service Unavailable", headers, b"full")
        self.waiting += 1
        async with self._freed:
            await self._freed.wait_for(lambda: self.running < self.SLOTS)
            self.waiting -= 1
            self.running += 1
        request_id = request.headers[REQUEST_ID]
        self.runs.append(Run(time.monotonic(), self.id, request_id))
        try:
            await asyncio.sleep(self.random.uniform(0.5, 1.5) * self.WORK_S)
        finally:
            async with self._freed:
                self.running -= 1
                self._freed.notify()
        headers["Fescuekeel-Server-Stamp"] = f"s-{self.id}"
        body = f"{self.id} ran {request_id}".encode()
        return 200, write_answer("200 OK", headers, body)


@dataclass(frozen=True, slots=True)
class Order:
    """An order that reached an engine, and the status of its answer."""

    at: float
    worker: str
    holder: str
    fence: int
    operation: str
    adapter: str
    status: int


class EngineWorker(WorkerServer):
    """A model worker: streams of events, reports and orders.

    Streams have ``EVENTS`` events, one each ``EVENT_S``.
    """

    MODEL = "m0"
    SLOTS = 64
    EVENTS = 12
    EVENT_S = 0.02
    LOAD_S = 0.25

    def __init__(
        self, id: str, service: str, zone: str, seed: int = 0, fenced: bool = True
    ) -> None:
        super().__init__(id, service, zone, seed)
        self.fenced = fenced
        self.software = "1"
        self.running_ids: Counter[str] = Counter()
        self.running = 0
        self.sequence = 0
        self.adapters: dict[str, int] = {}
        self.pending: set[str] = set()
        self.orders: list[Order] = []
        self.publish: Callable[[], None] = lambda: None
        self._highest_fence = 0
        self._loads: set[asyncio.Task[None]] = set()

    def list_models(self) -> list[dict[str, object]]:
        """Return what the worker holds."""
        adapters = [f"{name}@{version}" for name, version in self.adapters.items()]
        return [{"name": self.MODEL, "version": 1, "adapters": adapters}]

    def describe(self) -> dict[str, object]:
        """Return the worker's entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.software,
            "slots": self.SLOTS,
            "state": "ready",
            "cold_remaining_ms": 0,
            "models": self.list_models(),
            "sequence": self.sequence,
            "born": self.born,
        }

    async def answer(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> tuple[int, bytes]:
        """Answer a call, or run a request."""
        found = answer_call(self, request)
        if found is None and request.target == "/report":
            found = 200, self._report()
        if found is None and request.target == "/order":
            found = self._take_order(request)
        if found is None:
            return await self._stream(request, writer)
        writer.write(found[1])
        await writer.drain()
        return found

    def _report(self) -> bytes:
        body = {
            "stage": "both",
            "models": self.list_models(),
            "busy": False,
            "sequence": self.sequence,
            "queued": 0,
            "running": self.running,
            "kv_used": 0,
            "kv_total": 142722,
            "handles": 0,
            "pending": [f"{self.MODEL}/{name}@1" for name in self.pending],
            "runs": [[id, 300, 1, 5] for id in self.running_ids.elements()],
            "born": self.born,
        }
        headers = {"Content-Type": "application/json", "Keep-Alive": "timeout=15"}
        return write_answer("200 OK", headers, json.dumps(body).encode())

    def _take_order(self, request: Message) -> tuple[int, bytes]:
        order = json.loads(request.body)
        status = self._carry_out(order)
        record = Order(
            time.monotonic(),
            self.id,
            order["holder"],
            order["fencing_token"],
            order["operation"],
            order.get("adapter", ""),
            status,
        )
        self.orders.append(record)
        reason = {200: "OK", 202: "Accepted", 409: "Conflict"}.get(status, "No")
        return status, write_answer(f"{status} {reason}", make_echo(request), b"")

    def _carry_out(self, order: dict[str, Any]) -> int:
        if self.fenced and order["fencing_token"] < self._highest_fence:
            return 412
        self._highest_fence = max(self._highest_fence, order["fencing_token"])
        if order.get("precondition", self.sequence) != self.sequence:
            return 409
        adapter = order.get("adapter", "")
        if order["operation"] == "unload":
            if self.adapters.pop(adapter, None) is not None:
                self.sequence += 1
                self.publish()
            return 200
        if not adapter or adapter in self.adapters:
            return 200
        if adapter not in self.pending:
            self.sequence += 1
            self.pending.add(adapter)
            task = asyncio.ensure_future(self._load(adapter))
            self._loads.add(task)
            task.add_done_callback(self._loads.discard)
        return 202

    async def _load(self, adapter: str) -> None:
        await asyncio.sleep(self.LOAD_S)
        self.pending.discard(adapter)
        self.adapters[adapter] = 1
        self.publish()

    def make_event(self, request_id: str, number: int) -> str:
        """Return an event of a stream."""
        return f"id: {number}\ndata: {request_id} {number} v{self.software}\n\n"

    async def _stream(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> tuple[int, bytes]:
        request_id = request.headers[REQUEST_ID]
        headers = make_echo(request)
        _, _, adapter = request.headers.get("fescuekeel-model", "").partition("/")
        if adapter and adapter not in self.adapters:
            answer = write_answer("421 Misdirected Request", headers, b"")
            writer.write(answer)
            await writer.drain()
            return 421, answer
        first = int(request.headers.get("last-event-id", "0")) + 1
        self.runs.append(Run(time.monotonic(), self.id, request_id))
        headers["Fescuekeel-Server-Stamp"] = f"s-{self.id}"
        headers["Content-Type"] = "text/event-stream"
        headers["Transfer-Encoding"] = "chunked"
        lines = [f"{name}: {value}" for name, value in headers.items()]
        sent = "\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""]).encode("latin-1")
        writer.write(sent)
        self.running += 1
        self.running_ids[request_id] += 1
        try:
            for number in range(first, self.EVENTS + 1):
                await asyncio.sleep(self.EVENT_S)
                text = self.make_event(request_id, number)
                event = text.encode()
                chunk = f"{len(event):x}\r\n".encode() + event + b"\r\n"
                writer.write(chunk)
                await writer.drain()
                sent += chunk
        finally:
            self.running -= 1
            self.running_ids -= Counter([request_id])
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return 200, sent + b"0\r\n\r\n"

"""The platform's store and workers, as the users' pages describe them."""

import asyncio
import base64
import itertools
import json
import os
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

from review.common2.http import Request, reset, respond, serve

__all__ = ["Store", "Worker", "make_configuration", "make_engine", "make_route"]

PAGE = 200
NUMBERS = itertools.count(1)


@dataclass
class Store:
    """The metadata store; ``put`` writes what operator and workers write."""

    revision: int = 100
    items: dict[str, dict[str, Any]] = field(default_factory=dict)
    events: list[dict[str, Any]] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    oldest: int = 0
    address: str = ""
    refuse: bool = False

    async def start(self, host: str = "127.0.0.1") -> None:
        """Listen on a free port."""
        self.oldest = self.revision
        server = await serve(self._handle, host, 0)
        port = server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def put(self, key: str, value: Any) -> None:
        """Write a value; ``None`` removes the key."""
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
            event = {"key": key, "revision": self.revision, "tombstone": True}
        else:
            text = base64.b64encode(json.dumps(value).encode()).decode()
            event = {
                "key": key,
                "value": text,
                "revision": self.revision,
                "created": self.revision,
                "lease": 0,
            }
            self.items[key] = event
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _handle(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if self.refuse:
            respond(writer, 503, b"{}")
            return True
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/kv-range":
            status, body = 200, self._list(query)
        elif parts.path == "/kv-watch":
            status, body = await self._watch(query)
        else:
            status, body = 404, {}
        respond(writer, status, json.dumps(body).encode())
        await writer.drain()
        return True

    def _list(self, query: dict[str, str]) -> dict[str, Any]:
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        page = [self.items[key] for key in keys[:PAGE]]
        return {"items": page, "has_more": len(keys) > PAGE, "as_of": self.revision}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after = int(query["after"])
        if not self.oldest <= after <= self.revision:
            return 410, {}
        deadline = time.monotonic() + min(30.0, int(query["wait_ms"]) / 1000)
        while not (events := [e for e in self.events if e["revision"] > after]):
            left_s = deadline - time.monotonic()
            if left_s <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                break
        return 200, {"events": events, "as_of": self.revision}


def make_route(name: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return a route whose prefix is its name."""
    route = {
        "name": name,
        "hostname": "shop.example",
        "prefix": f"/{name}/",
        "route_kind": kind,
        "timeout_ms": 2500,
        "target_latency_ms": 200,
        "priority": 2,
        "service": service,
        "max_attempts": 1,
        "sticky": kind == "stream",
        "resumable": False,
    }
    if kind == "stream":
        route["gap_target_ms"] = 250
    return route | changes


def make_configuration(
    version: int, routes: list[dict[str, Any]], services: list[dict[str, Any]]
) -> dict[str, Any]:
    """Return a configuration with the limits of a small deployment."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"health_path": "/healthz", "max_conns": 370} | s for s in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def make_engine(model: str, **changes: Any) -> dict[str, Any]:
    """Return the engine of a service with one model."""
    engine = {
        "slots": 64,
        "kv_capacity_tokens": 142722,
        "models": [
            {
                "name": model,
                "weights_mb": 65100.0,
                "load_s": 3.8,
                "adapters": 3000,
                "adapter_mb": 12.0,
            }
        ],
        "weights_mb": 66600.0,
        "adapter_slots": 20,
    }
    return engine | changes


def make_id() -> str:
    """Return an id that no worker of another process has."""
    return f"i-{os.getpid():06x}{next(NUMBERS):04x}"


@dataclass
class Run:
    """One run of a request at a worker."""

    request_id: str
    began_at: float
    target: str
    body: bytes
    peer: str
    ended_at: float = 0.0


@dataclass
class Worker:
    """A sound worker: a plain service, or an engine that has a model.

    ``orders`` has the time, the holder, the generation number, the operation
    and the status of each order.
    """

    service: str
    zone: str
    model: str = ""
    slots: int = 6
    work_s: float = 0.03
    events: int = 20
    event_s: float = 0.05
    adapter_slots: int = 20
    adapter_s: float = 0.25
    software: str = "1"
    streams: bool = False
    has_model: bool = True
    load_s: float = 3.8
    host: str = "127.0.0.1"
    id: str = field(default_factory=make_id)
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    address: str = ""
    sequence: int = 0
    fence: int = -1
    runs: list[Run] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    adapters: dict[str, int] = field(default_factory=dict)
    pending: dict[str, int] = field(default_factory=dict)
    running_ids: Counter[str] = field(default_factory=Counter)
    orders: list[tuple[float, str, int, str, int]] = field(default_factory=list)
    store: Store | None = None
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self, store: Store | None) -> None:
        """Listen on a free port, and write the entry."""
        self.store = store
        self.server = await serve(self.handle, self.host, 0, self.writers)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.host}:{port}"
        self.publish()

    def publish(self, state: str = "ready") -> None:
        """Write the entry in the store."""
        if self.store is not None:
            self.store.put(f"servers/{self.id}", self.describe(state))

    def list_models(self) -> list[dict[str, Any]]:
        """Return what the worker holds."""
        if not self.model or not self.has_model:
            return []
        adapters = [f"{name}@{version}" for name, version in self.adapters.items()]
        return [{"name": self.model, "version": 1, "adapters": adapters}]

    def describe(self, state: str = "ready") -> dict[str, Any]:
        """Return the entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.software,
            "slots": self.slots,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "stage": "both",
            "models": self.list_models(),
            "born": self.born,
        }

    async def handle(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer one request."""
        request_id = request.get("Fescuekeel-Request-Id")
        echo = (("Fescuekeel-Request-Id", request_id),) if request_id else ()
        expected = request.get("Fescuekeel-Expect-Instance")
        if expected and expected != self.id:
            respond(writer, 421, b"", echo)
        elif request.target == "/healthz":
            respond(writer, 200, b"", (("Fescuekeel-Instance-Id", self.id),))
        elif request.target == "/report":
            respond(writer, 200, json.dumps(self.report()).encode())
        elif request.target == "/order":
            respond(writer, self.order(json.loads(request.body)), b"{}")
        elif not request_id:
            respond(writer, 400, b"", (("Fescuekeel-Not-Executed", "1"),))
        else:
            return await self.run(request, request_id, writer)
        await writer.drain()
        return True

    def report(self) -> dict[str, Any]:
        """Return the report."""
        running = sum(self.running_ids.values())
        return {
            "stage": "both",
            "models": self.list_models(),
            "busy": False,
            "sequence": self.sequence,
            "queued": 0,
            "running": running,
            "kv_used": 0,
            "kv_total": 142722,
            "handles": 0,
            "pending": [f"{self.model}/{a}@{v}" for a, v in self.pending.items() if a],
            "runs": [[id, 0, 1, 5] for id in self.running_ids],
            "born": self.born,
        }

    def order(self, body: dict[str, Any]) -> int:
        """Carry out an order; return the status of its answer."""
        status = self._admit(body)
        adapter = body.get("adapter", "")
        if not status and body["operation"] == "unload":
            if adapter in self.adapters:
                del self.adapters[adapter]
                self.sequence += 1
                self.publish()
            status = 200
        elif not status and (adapter in self.adapters if adapter else self.has_model):
            status = 200
        elif not status and adapter and not self.has_model:
            status = 400
        elif not status:
            if adapter not in self.pending:
                self.sequence += 1
                self.pending[adapter] = body.get("version") or 1
                task = asyncio.ensure_future(self._load(adapter))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
            status = 202
        holder, fence = body["holder"], body["fencing_token"]
        operation = f"{body['operation']} {adapter}"
        self.orders.append((time.monotonic(), holder, fence, operation, status))
        return status

    def _admit(self, body: dict[str, Any]) -> int:
        if body["fencing_token"] < self.fence:
            return 412
        self.fence = body["fencing_token"]
        if body.get("precondition", self.sequence) != self.sequence:
            return 409
        return 0

    async def _load(self, adapter: str) -> None:
        born = self.born
        await asyncio.sleep(self.adapter_s if adapter else self.load_s)
        if self.born != born:
            return
        version = self.pending.pop(adapter)
        if adapter:
            self.adapters[adapter] = version
        else:
            self.has_model = True
        self.publish()

    async def run(
        self, request: Request, request_id: str, writer: asyncio.StreamWriter
    ) -> bool:
        """Run a request; return whether to keep the connection."""
        _, _, adapter = request.get("Fescuekeel-Model").partition("/")
        echo = ("Fescuekeel-Request-Id", request_id)
        if self.model and not self.has_model:
            respond(writer, 421, b"", (echo,))
            return True
        if adapter and adapter not in self.adapters:
            respond(writer, 421, b"", (echo,))
            return True
        run = Run(
            request_id, time.monotonic(), request.target, request.body, request.peer
        )
        self.runs.append(run)
        self.counts[request_id] += 1
        self.running_ids[request_id] += 1
        stamp = ("Fescuekeel-Server-Stamp", f"stamp-{self.id}-{request_id}")
        try:
            await self.answer(request, (echo, stamp), writer)
            await writer.drain()
        finally:
            run.ended_at = time.monotonic()
            self.running_ids -= Counter([request_id])
        return True

    async def answer(
        self,
        request: Request,
        headers: tuple[tuple[str, str], ...],
        writer: asyncio.StreamWriter,
    ) -> None:
        """Write the answer of a run."""
        if not self.model and not self.streams:
            await asyncio.sleep(self.work_s)
            body = f"{request.method} {request.target} ".encode() + request.body
            respond(writer, 200, body, headers)
            return
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines += ["Transfer-Encoding: chunked", "", ""]
        await asyncio.sleep(self.event_s)
        writer.write("\r\n".join(lines).encode())
        first = int(request.get("Last-Event-Id") or 0) + 1
        for number in range(first, self.events + 1):
            event = self.make_event(number)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")

    def make_event(self, number: int) -> bytes:
        """Return one event of a stream."""
        return f"id: {number}\ndata: piece {number}\n\n".encode()

    async def crash(self) -> None:
        """End at once: the port is closed, and all connections are reset."""
        if self.server is None:
            return
        self.server.close()
        for writer in list(self.writers):
            reset(writer)
        self.running_ids.clear()
        self.server = None

    async def restart(self, software: str) -> None:
        """Start again under the same id and address, and hold nothing."""
        host, _, port = self.address.rpartition(":")
        self.software, self.born = software, int(time.time() * 1000)
        self.sequence, self.fence = 0, -1
        self.has_model = False
        self.adapters.clear()
        self.pending.clear()
        self.server = await serve(self.handle, host, int(port), self.writers)

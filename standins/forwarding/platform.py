"""Stand-in platform: store, workers and a configuration."""

import asyncio
from typing import Any

from standins.forwarding.store import PlatformStore, start_store
from standins.forwarding.worker_http import start_worker
from standins.forwarding.workers import Worker
from standins.server import Server

__all__ = ["HOST", "MODEL", "StandInPlatform", "make_configuration"]

HOST = "shop.example"
MODEL = "m1"
ENGINES = "scripts"
PLAIN = "storefront"
ZONES = ("a", "b")
# How long a worker stays down after a request has crashed it.
CRASH_DOWN_S = 2.0
# The same after one that fell over since it rejected too many.
FALL_DOWN_S = 3.0


def make_route(name: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return a route whose prefix is its name."""
    route = {
        "name": name,
        "hostname": HOST,
        "prefix": f"/{name}/",
        "route_kind": kind,
        "timeout_ms": 3000,
        "target_latency_ms": 500,
        "priority": 1,
        "service": service,
        "max_attempts": 1,
        "sticky": kind == "stream",
        "resumable": False,
    }
    if kind == "stream":
        route["gap_target_ms"] = 250
    return route | changes


def make_configuration(version: int, *more: dict[str, Any]) -> dict[str, Any]:
    """Return a configuration with a route of each kind and further routes."""
    engine = {
        "slots": 8,
        "kv_capacity_tokens": 100000,
        "models": [{"name": MODEL, "weights_mb": 10, "load_s": 0.2, "adapters": 3000}],
        "weights_mb": 100,
        "adapter_slots": 4,
    }
    return {
        "version": version,
        "routes": [
            make_route("lookup", "safe", PLAIN, max_attempts=2),
            make_route("charge", "unsafe", PLAIN),
            make_route("script", "stream", ENGINES),
            make_route("explain", "stream", ENGINES, resumable=True, max_attempts=2),
            *more,
        ],
        "services": [
            {"name": ENGINES, "health_path": "/healthz", "engine": engine},
            {"name": PLAIN, "health_path": "/healthz"},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


class StandInPlatform:
    """A store, and a worker of each service in each data centre."""

    def __init__(self) -> None:
        self.store: PlatformStore
        self.store_server: Server
        self.workers_by_id: dict[str, Worker] = {}
        self._servers_by_id: dict[str, Server] = {}
        self._zones_by_id: dict[str, str] = {}
        self._addresses_by_id: dict[str, str] = {}
        self._restarts: set[asyncio.Task[None]] = set()

    def start_store(self) -> None:
        """Start an empty store, without workers."""
        self.store, self.store_server = start_store()

    def start(self) -> None:
        """Start the store and the workers, and publish them."""
        self.start_store()
        for zone in ZONES:
            self.add(Worker(ENGINES, MODEL), zone)
            self.add(Worker(PLAIN), zone)
        self.publish_configuration(make_configuration(1))

    def start_worker(self, worker: Worker, zone: str) -> str:
        """Start a worker without publishing it; return its address."""
        server = start_worker(worker)
        self.workers_by_id[worker.id] = worker
        self._servers_by_id[worker.id] = server
        self._zones_by_id[worker.id] = zone
        self._addresses_by_id[worker.id] = server.address
        worker.crash = lambda: self._begin_crash(worker, CRASH_DOWN_S)
        worker.room.fall = lambda: self._begin_crash(worker, FALL_DOWN_S)
        return server.address

    def _begin_crash(self, worker: Worker, down_s: float) -> bool:
        """Crash a worker; return false if it is down already."""
        server = self._servers_by_id.pop(worker.id, None)
        if server is None:
            return False
        task = asyncio.ensure_future(self._restart_after(worker, server, down_s))
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)
        return True

    async def _restart_after(
        self, worker: Worker, server: Server, down_s: float
    ) -> None:
        """Stop a worker and start it again as a new incarnation."""
        await server.stop()
        await asyncio.sleep(down_s)
        worker.restart()
        self._servers_by_id[worker.id] = start_worker(worker, server.port)
        if self.is_published(worker):
            self.publish_state(worker, "ready")

    def add(self, worker: Worker, zone: str) -> None:
        """Start a worker and publish its entry."""
        self.start_worker(worker, zone)
        self.publish_state(worker, "ready")

    def publish_at(self, worker: Worker, address: str) -> None:
        """Publish a worker at another address, such as a proxy's."""
        self._addresses_by_id[worker.id] = address
        self.publish_state(worker, "ready")

    def get_address(self, worker: Worker) -> str:
        """Return the published address of a worker."""
        return self._addresses_by_id[worker.id]

    def publish_state(self, worker: Worker, state: str) -> None:
        """Publish a worker's state, ``ready`` or ``draining``."""
        address = self._addresses_by_id[worker.id]
        entry = worker.describe(address, self._zones_by_id[worker.id], state)
        self.store.put(f"servers/{worker.id}", entry)

    def publish_configuration(self, configuration: dict[str, Any]) -> None:
        """Publish a configuration, replacing the previous one."""
        self.store.put("op/config", configuration)

    def is_published(self, worker: Worker) -> bool:
        """Return whether a worker's entry is in the store."""
        return f"servers/{worker.id}" in self.store.items_by_key

    def remove(self, worker: Worker) -> None:
        """Remove a worker's entry."""
        self.store.put(f"servers/{worker.id}", None)

    async def stop_worker(self, worker: Worker) -> None:
        """Stop a worker, aborting its requests."""
        server = self._servers_by_id.pop(worker.id, None)
        if server is not None:
            await server.stop()

    def publish_version(self, adapter: str, version: int) -> None:
        """Publish a new version of an adapter."""
        for worker in self.workers_by_id.values():
            worker.latest_version_by_adapter[adapter] = version
        value = {"model": MODEL, "adapter": adapter, "version": version}
        self.store.put(f"op/version/{MODEL}.{adapter}", value)

    def list_workers(self, service: str) -> list[Worker]:
        """Return the workers of a service."""
        return [
            worker
            for worker in self.workers_by_id.values()
            if worker.service == service
        ]

    async def stop(self) -> None:
        """Stop the workers and the store."""
        for task in self._restarts:
            task.cancel()
        for server in self._servers_by_id.values():
            await server.stop()
        await self.store_server.stop()

"""The processes, proxies and stand-ins of one run, and the faults on them."""

import asyncio
import contextlib
import signal
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from pathlib import Path

from tornado.httpclient import AsyncHTTPClient

from bench.soak.accounts import REVOKED_S, Accounts
from bench.soak.checks import Leaving
from bench.soak.plan import Fault, FaultKind
from bench.soak.proxy import Proxy
from standins.fleet import free_addresses
from standins.forwarding.daemons import (
    DaemonAddresses,
    DaemonSpec,
    start_daemon,
    wait_until_ready,
)
from standins.forwarding.platform import (
    ENGINES,
    MODEL,
    PLAIN,
    ZONES,
    StandInPlatform,
    make_configuration,
    make_route,
)
from standins.forwarding.workers import Worker

__all__ = ["DaemonProcess", "SoakWorld"]

DAEMONS_PER_ZONE = 2
FAULTS_AT_ENDPOINT = 2
LEAVE_S = 2.5
LAPSE_S = 1.0
# A stream takes a third of a second, so that faults meet streams under way.
EVENT_S = 0.05
STOP_TIMEOUT_S = 10.0
DELAY_S = 0.15
# Holders must not count on a report that shows an order right after it.
REPORT_LAG_S = 0.25
FOREIGN_BYTES = (b"\xff\x00\x17", b'{"service": 7}', b"[]")
CALLERS_PORT, OPERATORS_PORT, PEERS_PORT, READY_PORT = range(4)


@dataclass(eq=False)
class DaemonProcess:
    """One daemon, and the proxies that lead to it and from it."""

    spec: DaemonSpec
    peers: Proxy
    store: Proxy
    process: asyncio.subprocess.Process | None = None
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    def signal(self, number: signal.Signals) -> None:
        """Signal this process, if it lives, and no other."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)


class SoakWorld:
    """Start everything, carry faults out, and end what was started."""

    def __init__(self, folder: Path, accounts: Accounts) -> None:
        self.platform = StandInPlatform()
        self.accounts = accounts
        self.daemons: list[DaemonProcess] = []
        self.leavings: list[Leaving] = []
        self.version = 1
        self.adapter_versions: dict[str, int] = {}
        self.client = AsyncHTTPClient(force_instance=True, max_clients=100)
        self._folder = folder
        self._proxies_by_worker: dict[str, Proxy] = {}
        self._apply_by_kind: dict[FaultKind, Callable[[Fault], Awaitable[None]]] = {
            FaultKind.KILL: self._kill,
            FaultKind.KILL_ALL: self._kill_all,
            FaultKind.TERM: self._term,
            FaultKind.PAUSE: self._pause,
            FaultKind.RELOAD: self._reload,
            FaultKind.STORE_REFUSES: self._refuse_at_store,
            FaultKind.STORE_FORGETS: self._forget_at_store,
            FaultKind.ENDPOINT_FAILS: self._misbehave,
            FaultKind.ENDPOINT_SHEDS: self._misbehave,
            FaultKind.ENDPOINT_BREAKS: self._misbehave,
            FaultKind.ENDPOINT_LEAVES: self._leave,
            FaultKind.ENDPOINT_CRASHES: self._crash,
            FaultKind.ENDPOINT_RESTARTS: self._restart,
            FaultKind.FOREIGN_ENTRY: self._write_foreign_entry,
            FaultKind.CONFIGURATION: self._configure,
            FaultKind.KEY_TAKEN: self._take_key,
            FaultKind.ADAPTER_VERSION: self._name_version,
        }

    # Start and end.

    async def start(self) -> None:
        """Start the platform behind proxies, and the daemons."""
        self.platform.start_store()
        for zone in ZONES:
            await self.add_worker(ENGINES, zone)
            await self.add_worker(PLAIN, zone)
        self.publish_configuration()
        zones = [zone for zone in ZONES for _ in range(DAEMONS_PER_ZONE)]
        free = iter(free_addresses(4 * len(zones)))
        addresses = [
            DaemonAddresses(next(free), next(free), next(free), next(free))
            for _ in zones
        ]
        proxies = [Proxy(item.peers) for item in addresses]
        seeds = tuple([await proxy.start() for proxy in proxies][:2])
        for number, zone in enumerate(zones):
            store = Proxy(self.platform.store_server.address)
            spec = DaemonSpec(
                f"i{number + 1}",
                zone,
                addresses[number],
                proxies[number].address,
                seeds,
                await store.start(),
                revoked_bound_s=REVOKED_S,
            )
            self.daemons.append(DaemonProcess(spec, proxies[number], store))
        await asyncio.gather(*(self._start(daemon) for daemon in self.daemons))
        await self.wait_until_ready()

    async def wait_until_ready(self) -> bool:
        """Wait until every daemon is ready; false if one never is."""
        ready = await asyncio.gather(
            *(
                wait_until_ready(self.client, daemon.spec.addresses.ready)
                for daemon in self.daemons
            )
        )
        return all(ready)

    async def add_worker(self, service: str, zone: str) -> Worker:
        """Start a worker behind a proxy and publish it."""
        worker = Worker(service, MODEL if service == ENGINES else "")
        worker.event_s = EVENT_S
        worker.report_lag_s = REPORT_LAG_S
        worker.newest_by_adapter = dict(self.adapter_versions)
        proxy = Proxy(self.platform.start_worker(worker, zone))
        self._proxies_by_worker[worker.id] = proxy
        self.platform.publish_at(worker, await proxy.start())
        return worker

    def publish_configuration(self) -> None:
        """Publish the configuration with the route of its version."""
        route = make_route(f"v{self.version}", "safe", PLAIN, public=True)
        healed = make_route("healed", "stream", ENGINES, public=True)
        configuration = make_configuration(self.version, route, healed)
        configuration["tenants"] = self.accounts.describe()
        self.platform.publish_configuration(configuration)

    async def stop(self) -> None:
        """End the daemons by their ids, then the rest."""
        for daemon in self.daemons:
            daemon.signal(signal.SIGCONT)
            daemon.signal(signal.SIGTERM)
        for daemon in self.daemons:
            await self._wait_for_end(daemon)
            await daemon.peers.stop()
            await daemon.store.stop()
        for proxy in self._proxies_by_worker.values():
            await proxy.stop()
        await self.platform.stop()

    async def _start(self, daemon: DaemonProcess) -> None:
        daemon.process = await start_daemon(daemon.spec, self._folder)

    async def _wait_for_end(self, daemon: DaemonProcess) -> None:
        if daemon.process is None:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await daemon.process.wait()
        if daemon.process.returncode is None:
            daemon.process.kill()
            await daemon.process.wait()

    # Faults.

    async def play(self, faults: list[Fault], began: float) -> None:
        """Carry each fault out at its time, and wait for all to be over."""
        await asyncio.gather(*(self._play_one(fault, began) for fault in faults))

    async def _play_one(self, fault: Fault, began: float) -> None:
        await asyncio.sleep(max(0.0, began + fault.at - time.monotonic()))
        apply = self._apply_by_kind.get(fault.kind, self._disturb_proxy)
        await apply(fault)

    def _pick_daemon(self, fault: Fault) -> DaemonProcess:
        return self.daemons[fault.target % len(self.daemons)]

    def _pick_worker(self, fault: Fault) -> Worker:
        known = [
            worker
            for worker in self.platform.workers_by_id.values()
            if self.platform.is_published(worker)
        ]
        return known[fault.target % len(known)]

    async def _kill(self, fault: Fault) -> None:
        daemon = self._pick_daemon(fault)
        async with daemon.lock:
            daemon.signal(signal.SIGKILL)
            await self._wait_for_end(daemon)
            await asyncio.sleep(fault.for_s)
            await self._start(daemon)

    async def _kill_all(self, fault: Fault) -> None:
        await asyncio.gather(
            *(
                self._kill(replace(fault, target=number))
                for number in range(len(self.daemons))
            )
        )

    async def _term(self, fault: Fault) -> None:
        daemon = self._pick_daemon(fault)
        async with daemon.lock:
            daemon.signal(signal.SIGTERM)
            await self._wait_for_end(daemon)
            await self._start(daemon)

    async def _pause(self, fault: Fault) -> None:
        daemon = self._pick_daemon(fault)
        async with daemon.lock:
            daemon.signal(signal.SIGSTOP)
            await asyncio.sleep(fault.for_s)
            daemon.signal(signal.SIGCONT)

    async def _reload(self, fault: Fault) -> None:
        daemon = self._pick_daemon(fault)
        slack = daemon.spec.retry_slack + 1.0
        daemon.spec = replace(daemon.spec, retry_slack=slack)
        daemon.spec.write_settings(self._folder)
        daemon.signal(signal.SIGHUP)

    async def _refuse_at_store(self, fault: Fault) -> None:
        self.platform.store.refuse = 503
        await asyncio.sleep(fault.for_s)
        self.platform.store.refuse = 0

    async def _forget_at_store(self, fault: Fault) -> None:
        self.platform.store.compact_history()

    async def _misbehave(self, fault: Fault) -> None:
        names = {
            FaultKind.ENDPOINT_FAILS: "fail",
            FaultKind.ENDPOINT_SHEDS: "shed",
            FaultKind.ENDPOINT_BREAKS: "cut",
        }
        worker = self._pick_worker(fault)
        worker.control({names[fault.kind]: FAULTS_AT_ENDPOINT})

    async def _leave(self, fault: Fault) -> None:
        """Replace an endpoint as planned: the new one comes first."""
        worker = self._pick_worker(fault)
        zone = ZONES[fault.target % len(ZONES)]
        await self.add_worker(worker.service, zone)
        await asyncio.sleep(LAPSE_S)
        if not self.platform.is_published(worker):
            return
        self.platform.publish_state(worker, "draining")
        self.leavings.append(Leaving(worker.id, time.monotonic()))
        await asyncio.sleep(LEAVE_S)
        self.platform.remove(worker)
        await asyncio.sleep(LEAVE_S)
        await self.platform.stop_worker(worker)

    async def _crash(self, fault: Fault) -> None:
        worker = self._pick_worker(fault)
        proxy = self._proxies_by_worker[worker.id]
        await self.platform.stop_worker(worker)
        proxy.reset_open()
        await asyncio.sleep(LAPSE_S)
        self.platform.remove(worker)
        await self.add_worker(worker.service, ZONES[fault.target % len(ZONES)])

    async def _restart(self, fault: Fault) -> None:
        """Let an endpoint come back under its id, its late entry last."""
        worker = self._pick_worker(fault)
        born = worker.born
        worker.restart()
        self._proxies_by_worker[worker.id].reset_open()
        self.platform.publish_state(worker, "ready")
        born, worker.born = worker.born, born
        self.platform.publish_state(worker, "ready")
        worker.born = born
        await asyncio.sleep(fault.for_s)
        if self.platform.is_published(worker):
            self.platform.publish_state(worker, "ready")

    async def _write_foreign_entry(self, fault: Fault) -> None:
        """Write what names no endpoint, and take it away again."""
        key = f"servers/foreign-{fault.target}"
        self.platform.store.put_bytes(key, FOREIGN_BYTES[fault.target % 3])
        await asyncio.sleep(fault.for_s)
        if key in self.platform.store.items_by_key:
            self.platform.store.put(key, None)

    async def _configure(self, fault: Fault) -> None:
        self.version += 1
        self.publish_configuration()

    async def _take_key(self, fault: Fault) -> None:
        self.accounts.take(fault.target)
        self.version += 1
        self.publish_configuration()

    async def _name_version(self, fault: Fault) -> None:
        adapter = f"a{fault.target % 10 + 1}"
        version = self.adapter_versions.get(adapter, 1) + 1
        self.adapter_versions[adapter] = version
        self.platform.publish_version(adapter, version)

    async def _disturb_proxy(self, fault: Fault) -> None:
        place, _, how = fault.kind.partition("_")
        if place == "endpoint":
            proxy = self._proxies_by_worker[self._pick_worker(fault).id]
        else:
            daemon = self._pick_daemon(fault)
            proxy = daemon.peers if place == "peers" else daemon.store
        if how == "silent":
            proxy.silence_open()
            return
        if how == "reset":
            proxy.reset_open()
            return
        if how == "delay":
            proxy.delay_s = DELAY_S
        else:
            proxy.cut(one_way=how == "one_way")
        await asyncio.sleep(fault.for_s)
        proxy.heal()

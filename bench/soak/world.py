"""Daemon processes, proxies and stand-ins of one run; applies its faults."""

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path
from random import Random

import orjson
from tornado.httpclient import AsyncHTTPClient

from bench.soak.accounts import REVOCATION_BOUND_S, Accounts
from bench.soak.answers import (
    break_answers,
    copy_answers,
    frame_answers,
    stop_heads,
)
from bench.soak.answers_of_endpoints import back_off
from bench.soak.brittle import BrittleServices
from bench.soak.checks import Drain
from bench.soak.culprits import CULPRIT_ROUTES, Culprits
from bench.soak.daemon_process import DaemonProcess
from bench.soak.limits import EndpointLimits
from bench.soak.links import LinkCuts
from bench.soak.parts import CrashingParts
from bench.soak.plan import Fault, FaultKind
from bench.soak.restore import restore_store
from bench.soak.retries import RETRY_WINDOW_S, fail_service
from bench.soak.skew import skew_connections
from bench.soak.turned_away import turn_away
from bench.soak.versions import (
    VERSIONED,
    VersionedService,
    make_versioned_route,
    make_versioned_service,
)
from standins.fleet import free_addresses
from standins.forwarding.daemons import (
    DaemonAddresses,
    DaemonSpec,
    wait_until_ready,
)
from standins.forwarding.entries import ODD_ENTRIES
from standins.forwarding.links import InstanceLinks
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
from standins.proxy import Proxy

__all__ = ["DAEMONS_PER_ZONE", "SoakWorld"]

DAEMONS_PER_ZONE = 2
# How long endpoints go on with what daemons that lost their power asked for.
LINGER_S = 3.0
ENDPOINT_ERRORS_PER_FAULT = 2
DRAIN_S = 2.5
PLATFORM_DELAY_S = 1.0
# Makes a stream last 0.3 s, so that faults hit streams in progress.
EVENT_S = 0.05
MAX_PAUSE_S = 1.3
DELAY_S = 0.15
# Makes reports lag behind orders.
REPORT_LAG_S = 0.25
FOREIGN_ENTRIES = tuple(ODD_ENTRIES.values())
EARLY_SIGNALS = 4
MAX_SIGNAL_GAP_S = 0.1
# The time for which a file is incomplete, and the time between two rewrites.
SETTINGS_REWRITES = 6
REWRITE_S = 0.01
REWRITE_GAP_S = 0.1
CALLERS_PORT, OPERATORS_PORT, PEERS_PORT, READY_PORT = range(4)


class SoakWorld:
    """Start the processes of a run, inject its faults and stop them."""

    def __init__(
        self, folder: Path, accounts: Accounts, daemons_per_zone: int = DAEMONS_PER_ZONE
    ) -> None:
        self.platform = StandInPlatform()
        self.accounts = accounts
        self.daemons: list[DaemonProcess] = []
        self.drains: list[Drain] = []
        self.culprits = Culprits([])
        self.parts = CrashingParts(self.culprits)
        self.limits = EndpointLimits()
        self.cuts = LinkCuts()
        self.brittle = BrittleServices()
        self.versioned = VersionedService(self.add_worker, self.platform)
        self.ends_at = float("inf")
        self.version = 1
        self.adapter_versions: dict[str, int] = {}
        self.client = AsyncHTTPClient(force_instance=True, max_clients=100)
        self._folder = folder
        self._daemons_per_zone = daemons_per_zone
        self._proxies_by_worker: dict[str, Proxy] = {}
        self._apply_by_kind: dict[FaultKind, Callable[[Fault], Awaitable[None]]] = {
            FaultKind.KILL: self._kill,
            FaultKind.KILL_ALL: self._kill_all,
            FaultKind.TERM: self._term,
            FaultKind.PAUSE: self._pause,
            FaultKind.RELOAD: self._reload,
            FaultKind.EARLY_SIGNALS: self._signal_early,
            FaultKind.SETTINGS_REWRITTEN: self._rewrite_settings,
            FaultKind.PEERS_FROZEN: self._freeze_peers,
            FaultKind.STORE_REFUSES: self._make_store_unavailable,
            FaultKind.STORE_FORGETS: self._clear_store_history,
            FaultKind.STORE_RESTORED: self._restore_store,
            FaultKind.STORE_TURNS_AWAY: self._turn_away,
            FaultKind.POWER_LOST: self._lose_power,
            FaultKind.ENDPOINT_FAILS: self._inject_endpoint_errors,
            FaultKind.ENDPOINT_SHEDS: self._inject_endpoint_errors,
            FaultKind.ENDPOINT_BREAKS: self._inject_endpoint_errors,
            FaultKind.ENDPOINT_LEAVES: self._drain_endpoint,
            FaultKind.ENDPOINT_SAYS_LEAVING: self._leave_by_answers,
            FaultKind.ENDPOINT_BACKS_OFF: self._back_off,
            FaultKind.ENDPOINT_CRASHES: self._crash_endpoint,
            FaultKind.ENDPOINT_RESTARTS: self._restart_endpoint,
            FaultKind.FOREIGN_ENTRY: self._write_foreign_entry,
            FaultKind.CONFIGURATION: self._change_configuration,
            FaultKind.KEY_TAKEN: self._revoke_key,
            FaultKind.CRASHING_REQUEST: self._repeat_crashing_request,
            FaultKind.ENDPOINT_LIMIT: self._limit_endpoint,
            FaultKind.ADAPTER_VERSION: self._publish_adapter_version,
            FaultKind.LINKS_HANG: self._cut_links,
            FaultKind.LINKS_RESET: self._cut_links,
            FaultKind.LINKS_REFUSE: self._cut_links,
            FaultKind.ENDPOINT_PAUSES: self._pause_endpoint,
            FaultKind.SERVICE_BRITTLE: self._make_brittle,
            FaultKind.ENDPOINT_FRAMING: self._frame_answers,
            FaultKind.ANSWERS_BREAK: self._break_answers,
            FaultKind.ANSWERS_COPIED: self._copy_answers,
            FaultKind.HEADS_STOP: self._stop_heads,
            FaultKind.VERSION_RELEASE: self._release_version,
            FaultKind.VERSION_IN_PLACE: self._change_version_in_place,
            FaultKind.SERVICE_FAILS: self._fail_service,
            FaultKind.CRASHING_PART: self._send_crashing_part,
            FaultKind.CONNECTIONS_SKEWED: self._skew_connections,
        }

    # Start and stop.

    async def start(self) -> None:
        """Start the platform, the proxies and the daemons."""
        self.platform.start_store()
        for zone in ZONES:
            await self.add_worker(ENGINES, zone)
            await self.add_worker(PLAIN, zone)
        await self.versioned.start(ZONES)
        self.publish_configuration()
        zones = [zone for zone in ZONES for _ in range(self._daemons_per_zone)]
        free = iter(free_addresses(4 * len(zones)))
        addresses = [
            DaemonAddresses(next(free), next(free), next(free), next(free))
            for _ in zones
        ]
        proxies = [Proxy(item.peers) for item in addresses]
        seeds = tuple([await proxy.start() for proxy in proxies][:2])
        for number, zone in enumerate(zones):
            links = InstanceLinks(self.platform.store)
            await links.wait_until_copied()
            self.cuts.links.append(links)
            store = Proxy(links.server.address)
            spec = DaemonSpec(
                f"i{number + 1}",
                zone,
                addresses[number],
                proxies[number].address,
                seeds,
                await store.start(),
                revoked_bound_s=REVOCATION_BOUND_S,
                retry_window_s=RETRY_WINDOW_S,
                data_centres=ZONES,
            )
            daemon = DaemonProcess(spec, self._folder, proxies[number], store)
            self.daemons.append(daemon)
        self.culprits.addresses += [
            daemon.spec.addresses.callers for daemon in self.daemons
        ]
        await asyncio.gather(*(daemon.start() for daemon in self.daemons))
        await self.wait_until_ready()

    async def wait_until_ready(self) -> list[DaemonProcess]:
        """Wait until all daemons are ready; return those that are not."""
        ready = await asyncio.gather(
            *(
                wait_until_ready(self.client, daemon.spec.addresses.ready)
                for daemon in self.daemons
            )
        )
        return [
            daemon
            for daemon, is_ready in zip(self.daemons, ready, strict=True)
            if not is_ready
        ]

    def was_alive(self, callers_address: str, start: float, end: float) -> bool:
        """Return whether a daemon's process ran all through an interval."""
        return any(
            life.started_at <= start and end <= life.ended_at
            for daemon in self.daemons
            if daemon.spec.addresses.callers == callers_address
            for life in daemon.lives
        )

    async def add_worker(self, service: str, zone: str) -> Worker:
        """Start a worker behind a proxy and publish its address."""
        worker = Worker(service, "" if service == PLAIN else MODEL)
        worker.event_s = EVENT_S
        worker.crash_parts = self.parts.parts
        worker.report_lag_s = REPORT_LAG_S
        worker.latest_version_by_adapter = dict(self.adapter_versions)
        proxy = Proxy(self.platform.start_worker(worker, zone))
        self._proxies_by_worker[worker.id] = proxy
        self.platform.publish_at(worker, await proxy.start())
        return worker

    def publish_configuration(self) -> None:
        """Publish a configuration with a route named after its version."""
        route = make_route(f"v{self.version}", "safe", PLAIN, public=True)
        healed = make_route("healed", "stream", ENGINES, public=True)
        plain, stream = CULPRIT_ROUTES
        culprits = (
            make_route(plain, "safe", PLAIN, public=True, max_attempts=2),
            make_route(
                stream, "stream", ENGINES, public=True, resumable=True, max_attempts=2
            ),
        )
        routes = (route, healed, *culprits, make_versioned_route())
        configuration = make_configuration(self.version, *routes)
        engines = configuration["services"][0]
        configuration["services"].append(make_versioned_service(engines))
        configuration["tenants"] = self.accounts.describe()
        self.platform.publish_configuration(configuration)

    async def stop(self) -> None:
        """Stop the daemons, then the proxies and the platform."""
        await asyncio.gather(*(daemon.stop() for daemon in self.daemons))
        for links in self.cuts.links:
            await links.stop()
        for proxy in self._proxies_by_worker.values():
            await proxy.stop()
        await self.platform.stop()

    # Faults.

    async def inject(self, faults: list[Fault], started_at: float) -> None:
        """Inject each fault at its start time; wait until all are over."""
        await asyncio.gather(
            *(self._inject_fault(fault, started_at) for fault in faults)
        )

    async def _inject_fault(self, fault: Fault, started_at: float) -> None:
        await asyncio.sleep(max(0.0, started_at + fault.starts_at - time.monotonic()))
        apply = self._apply_by_kind.get(fault.kind, self._apply_to_proxy)
        await apply(fault)

    def _pick_daemon(self, fault: Fault) -> DaemonProcess:
        return self.daemons[fault.target % len(self.daemons)]

    def _pick_worker(self, fault: Fault) -> Worker:
        published = [
            worker
            for worker in self.platform.workers_by_id.values()
            if self.platform.is_published(worker) and worker.service != VERSIONED
        ]
        return published[fault.target % len(published)]

    async def _kill(self, fault: Fault) -> None:
        daemon = self._pick_daemon(fault)
        async with daemon.lock:
            await daemon.end(signal.SIGKILL)
            await asyncio.sleep(fault.duration_s)
            await daemon.start()

    async def _kill_all(self, fault: Fault) -> None:
        await asyncio.gather(
            *(
                self._kill(replace(fault, target=number))
                for number in range(len(self.daemons))
            )
        )

    async def _lose_power(self, fault: Fault) -> None:
        """Kill all daemons; endpoints of several versions notice it late."""
        self.versioned.set_linger(LINGER_S)
        await self._kill_all(fault)
        self.versioned.set_linger(0.0)

    async def _term(self, fault: Fault) -> None:
        daemon = self._pick_daemon(fault)
        async with daemon.lock:
            await daemon.end(signal.SIGTERM)
            await daemon.start()

    async def _pause(self, fault: Fault) -> None:
        daemon = self._pick_daemon(fault)
        async with daemon.lock:
            daemon.signal(signal.SIGSTOP)
            await asyncio.sleep(fault.duration_s)
            daemon.signal(signal.SIGCONT)

    async def _reload(self, fault: Fault) -> None:
        daemon = self._pick_daemon(fault)
        slack = daemon.spec.retry_slack + 1.0
        daemon.spec = replace(daemon.spec, retry_slack=slack)
        daemon.spec.write_settings(self._folder)
        daemon.signal(signal.SIGHUP)

    async def _signal_early(self, fault: Fault) -> None:
        """Restart a daemon and announce changed settings while it starts."""
        random = Random(f"{fault.starts_at} signals")
        daemon = self._pick_daemon(fault)
        async with daemon.lock:
            await daemon.end(signal.SIGKILL)
            await daemon.start()
            for _ in range(EARLY_SIGNALS):
                await asyncio.sleep(random.uniform(0.0, MAX_SIGNAL_GAP_S))
                daemon.signal(signal.SIGHUP)

    async def _rewrite_settings(self, fault: Fault) -> None:
        """Restart a daemon and rewrite its settings in place meanwhile."""
        daemon = self._pick_daemon(fault)
        async with daemon.lock:
            await daemon.end(signal.SIGKILL)
            await daemon.start()
            path = daemon.spec.get_settings_path(self._folder)
            text = daemon.spec.format_settings()
            for number in range(SETTINGS_REWRITES):
                path.write_text(text[: len(text) * number // SETTINGS_REWRITES])
                await asyncio.sleep(REWRITE_S)
                path.write_text(text)
                await asyncio.sleep(REWRITE_GAP_S)
            daemon.signal(signal.SIGHUP)

    async def _freeze_peers(self, fault: Fault) -> None:
        """Silence one direction of all open connections between daemons."""
        for daemon in self.daemons:
            daemon.peers.stall_connections(one_way=True)

    async def _make_store_unavailable(self, fault: Fault) -> None:
        stores = [links.store for links in self.cuts.links]
        for store in stores:
            store.refuse = 503
        await asyncio.sleep(fault.duration_s)
        for store in stores:
            store.refuse = 0

    async def _clear_store_history(self, fault: Fault) -> None:
        for links in self.cuts.links:
            links.store.compact_history()

    async def _turn_away(self, fault: Fault) -> None:
        """Let the store turn all daemons of a data centre away."""
        count = self._daemons_per_zone
        first = fault.target % len(ZONES) * count
        chosen = slice(first, first + count)
        rejects = fault.target // len(ZONES) % 2 == 0
        links = self.cuts.links[chosen]
        await turn_away(self.daemons[chosen], links, rejects, fault.duration_s)

    async def _restore_store(self, fault: Fault) -> None:
        await restore_store(self.platform, fault.duration_s)

    async def _inject_endpoint_errors(self, fault: Fault) -> None:
        names = {
            FaultKind.ENDPOINT_FAILS: "fail",
            FaultKind.ENDPOINT_SHEDS: "shed",
            FaultKind.ENDPOINT_BREAKS: "cut",
        }
        worker = self._pick_worker(fault)
        worker.control({names[fault.kind]: ENDPOINT_ERRORS_PER_FAULT})

    async def republish_endpoints(self) -> None:
        """Write all endpoints once more, so that daemons use their own links.

        A daemon whose store was away has entries of its peers, with the
        addresses of their links.
        """
        for worker in self.platform.workers_by_id.values():
            if self.platform.is_published(worker):
                self.platform.publish_state(worker, "ready")
        for links in self.cuts.links:
            await links.wait_until_copied()
        await asyncio.sleep(PLATFORM_DELAY_S)

    async def _copy_answers(self, fault: Fault) -> None:
        await copy_answers(self._pick_worker(fault), fault)

    async def _stop_heads(self, fault: Fault) -> None:
        stop_heads(self._proxies_by_worker[self._pick_worker(fault).id], fault)

    def withdraw_endpoint_errors(self) -> int:
        """Withdraw the errors that no request has met; return how many."""
        workers = self.platform.workers_by_id.values()
        for proxy in self._proxies_by_worker.values():
            proxy.answer_cuts.clear()
        return sum(worker.withdraw_faults() for worker in workers)

    async def _drain_endpoint(self, fault: Fault) -> None:
        """Add a replacement endpoint, then drain and remove the old one."""
        worker = self._pick_worker(fault)
        zone = ZONES[fault.target % len(ZONES)]
        await self.add_worker(worker.service, zone)
        await asyncio.sleep(PLATFORM_DELAY_S)
        if not self.platform.is_published(worker):
            return
        self.platform.publish_state(worker, "draining")
        self.drains.append(Drain(worker.id, time.monotonic()))
        await asyncio.sleep(DRAIN_S)
        self.platform.remove(worker)
        await asyncio.sleep(DRAIN_S)
        await self.platform.stop_worker(worker)

    async def _leave_by_answers(self, fault: Fault) -> None:
        """Add a replacement, then let an endpoint leave by its answers."""
        worker = self._pick_worker(fault)
        await self.add_worker(worker.service, ZONES[fault.target % len(ZONES)])
        await asyncio.sleep(PLATFORM_DELAY_S)
        if worker.leaves or not self.platform.is_published(worker):
            return
        worker.leave()
        await asyncio.sleep(2 * DRAIN_S)
        self.platform.remove(worker)
        await asyncio.sleep(DRAIN_S)
        await self.platform.stop_worker(worker)

    async def _back_off(self, fault: Fault) -> None:
        await back_off(self._pick_worker(fault), fault)

    async def _crash_endpoint(self, fault: Fault) -> None:
        worker = self._pick_worker(fault)
        proxy = self._proxies_by_worker[worker.id]
        await self.platform.stop_worker(worker)
        proxy.reset_connections()
        await asyncio.sleep(PLATFORM_DELAY_S)
        self.platform.remove(worker)
        await self.add_worker(worker.service, ZONES[fault.target % len(ZONES)])

    async def _restart_endpoint(self, fault: Fault) -> None:
        """Restart an endpoint under its id, then publish a stale entry."""
        worker = self._pick_worker(fault)
        born = worker.born
        worker.restart()
        self._proxies_by_worker[worker.id].reset_connections()
        self.platform.publish_state(worker, "ready")
        born, worker.born = worker.born, born
        self.platform.publish_state(worker, "ready")
        worker.born = born
        await asyncio.sleep(fault.duration_s)
        if self.platform.is_published(worker):
            self.platform.publish_state(worker, "ready")

    async def _write_foreign_entry(self, fault: Fault) -> None:
        """Write an invalid entry to the store, then remove it."""
        key = f"servers/foreign-{fault.target}"
        make_entry = FOREIGN_ENTRIES[fault.target % len(FOREIGN_ENTRIES)]
        entry = self._pick_worker(fault).describe("127.0.0.1:1", ZONES[0])
        self.platform.store.put_bytes(key, make_entry(orjson.dumps(entry)))
        await asyncio.sleep(fault.duration_s)
        if key in self.platform.store.items_by_key:
            self.platform.store.put(key, None)

    async def _change_configuration(self, fault: Fault) -> None:
        self.publish_next_configuration()

    def publish_next_configuration(self) -> int:
        """Publish the configuration as the next version, and return it."""
        self.version += 1
        self.publish_configuration()
        return self.version

    async def _revoke_key(self, fault: Fault) -> None:
        self.accounts.revoke(fault.target)
        self.version += 1
        self.publish_configuration()

    async def _repeat_crashing_request(self, fault: Fault) -> None:
        await self.culprits.repeat(fault, lambda: self.ends_at)

    async def _limit_endpoint(self, fault: Fault) -> None:
        await self.limits.limit(self._pick_worker(fault), fault)

    async def _cut_links(self, fault: Fault) -> None:
        await self.cuts.cut(fault)

    async def _pause_endpoint(self, fault: Fault) -> None:
        """Silence a sound endpoint for at most somewhat over a second."""
        self._pick_worker(fault).pause(min(fault.duration_s, MAX_PAUSE_S))

    async def _make_brittle(self, fault: Fault) -> None:
        service = self._pick_worker(fault).service
        workers = [
            worker
            for worker in self.platform.list_workers(service)
            if self.platform.is_published(worker)
        ]
        await self.brittle.make_brittle(workers, fault)

    async def _frame_answers(self, fault: Fault) -> None:
        frame_answers(self._pick_worker(fault), fault)

    async def _break_answers(self, fault: Fault) -> None:
        break_answers(
            self.platform.list_workers(self._pick_worker(fault).service), fault
        )

    async def _release_version(self, fault: Fault) -> None:
        await self.versioned.release(fault, ZONES)

    async def _change_version_in_place(self, fault: Fault) -> None:
        await self.versioned.change_in_place(fault)

    async def _send_crashing_part(self, fault: Fault) -> None:
        """Send requests with a crashing part until the end of the load."""
        await self.parts.send_until(fault, lambda: self.ends_at)

    async def _skew_connections(self, fault: Fault) -> None:
        addresses = [daemon.spec.addresses.callers for daemon in self.daemons]
        await skew_connections(addresses, fault)

    async def _fail_service(self, fault: Fault) -> None:
        service = self._pick_worker(fault).service
        await fail_service(self.platform.list_workers(service), fault)

    async def _publish_adapter_version(self, fault: Fault) -> None:
        adapter = f"a{fault.target % 10 + 1}"
        version = self.adapter_versions.get(adapter, 1) + 1
        self.adapter_versions[adapter] = version
        self.platform.publish_version(adapter, version)

    async def _apply_to_proxy(self, fault: Fault) -> None:
        component, _, effect = fault.kind.partition("_")
        if component == "endpoint":
            proxy = self._proxies_by_worker[self._pick_worker(fault).id]
        else:
            daemon = self._pick_daemon(fault)
            proxy = daemon.peers if component == "peers" else daemon.store
        if effect == "silent":
            proxy.stall_connections()
            return
        if effect == "reset":
            proxy.reset_connections()
            return
        if effect == "delay":
            proxy.delay_s = DELAY_S
        else:
            proxy.partition(one_way=effect == "one_way")
        await asyncio.sleep(fault.duration_s)
        proxy.heal()

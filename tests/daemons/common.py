"""Runs daemons as processes, with the platform in the test's process."""

import asyncio
import contextlib
import hashlib
import json
import re
import signal
import sys
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from tornado.httpclient import HTTPError, HTTPResponse
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from fescuekeel.helpers.owners import choose_owner
from fescuekeel.messages import LiveEntry, LiveRole, Member
from standins.config_service import ConfigService, start_config_service
from standins.fleet import SETTINGS, free_addresses
from standins.journals import count_runs, find_run_violations
from standins.live_list import Entry, LiveListService, start_live_list
from standins.load import Result, Verdict
from standins.platform import Platform
from standins.server import Server
from tests.common import eventually
from tests.daemons.load import POOLS, Load, make_tree
from tests.daemons.relay import Network

__all__ = [
    "OPERATORS_TOKEN",
    "PEERS_KEY",
    "SHUTDOWN_S",
    "Daemon",
    "World",
    "open_world",
]

OPERATORS_TOKEN = "wand"
PEERS_KEY = "a-shared-secret-of-the-tests"
SHUTDOWN_S = 15.0
KILL_TIMEOUT_S = 10.0
LOADS_PER_S = 40.0
FIELD_PATTERN = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')


@dataclass(frozen=True, slots=True)
class LogLine:
    """One event that a daemon logged; ``at`` is wall-clock seconds."""

    at: float
    event: str
    fields: dict[str, str]


@dataclass(slots=True)
class Daemon:
    """One instance, its addresses and its process."""

    id: str
    data_centre: str
    callers: str
    operators: str
    peers: str
    advertised: str
    log: Path
    process: asyncio.subprocess.Process

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def read_log(self, event: str = "") -> list[LogLine]:
        """Return the logged events, or those with one name."""
        lines = []
        for text in self.log.read_text("utf-8", "replace").splitlines():
            fields = {
                key: value.strip('"') for key, value in FIELD_PATTERN.findall(text)
            }
            if "event" in fields and event in ("", fields["event"]):
                line = LogLine(float(fields["time"]), fields["event"], fields)
                lines.append(line)
        return lines

    def owns(self, endpoint: str) -> bool:
        """Return whether the log shows that the instance owns an endpoint."""
        last = ""
        for line in self.read_log():
            if line.fields.get("endpoint") != endpoint:
                continue
            if line.event in ("owner_gained", "owner_lost"):
                last = line.event
        return last == "owner_gained"


class World:
    """The platform, the network between instances, and the instances."""

    def __init__(self, platform: Platform, folder: Path) -> None:
        self.platform = platform
        self.folder = folder
        self.network = Network()
        self.daemons_by_id: dict[str, Daemon] = {}
        self.live_urls_by_id: dict[str, str] = {}
        self.config_urls_by_id: dict[str, str] = {}
        self.live_lists: list[LiveListService] = [platform.live]
        self.servers: list[Server] = []
        self.more_settings = ""
        self.http = SimpleAsyncHTTPClient(force_instance=True, max_clients=100)

    async def add_live_list(
        self, ids: Sequence[str], far_centre: str = ""
    ) -> LiveListService:
        """Start a separate live list for some instances.

        It lists the endpoints of the far data centre at relays' addresses.
        """
        live, server = await start_live_list()
        self.servers.append(server)
        self.live_lists.append(live)
        self.live_urls_by_id |= {id: server.url for id in ids}
        for entry in self.platform.live.entries_by_id.values():
            address = entry.address
            if entry.data_centre == far_centre:
                address = await self.network.relay(far_centre, address, ids[0])
            live.set(replace(entry, address=address))
        return live

    async def add_config_service(self, ids: Sequence[str]) -> ConfigService:
        """Start a separate configuration service for some instances."""
        config, server = await start_config_service()
        self.servers.append(server)
        self.config_urls_by_id |= {id: server.url for id in ids}
        return config

    async def get_counters(self, daemon: Daemon) -> dict[str, int]:
        """Return an instance's counters from its operators' port."""
        answer = await self.fetch_operators_page(daemon, "/counters")
        counters: dict[str, int] = json.loads(answer.body)["counters"]
        return counters

    async def count(self, daemon: Daemon, name: str) -> int:
        """Return one counter."""
        return (await self.get_counters(daemon)).get(name, 0)

    async def list_members(self, daemon: Daemon) -> set[str]:
        """Return the ids of the members in an instance's view."""
        answer = await self.fetch_operators_page(daemon, "/status")
        return {member["id"] for member in json.loads(answer.body)["members"]}

    async def fetch_operators_page(
        self, daemon: Daemon, path: str, token: str = OPERATORS_TOKEN
    ) -> HTTPResponse:
        """Fetch a page from an instance's operators' port."""
        return await self.http.fetch(
            f"http://{daemon.operators}{path}",
            headers={"Authorization": f"Bearer {token}"} if token else {},
            raise_error=False,
        )

    async def start_daemon(self, id: str, data_centre: str) -> Daemon:
        """Start an instance and put it on the live list."""
        callers, operators, peers = free_addresses(3)
        advertised = await self.network.relay(id, peers)
        live_url = self.platform.live_server.url
        config_url = self.platform.config_server.url
        text = SETTINGS.format(
            id=id,
            data_centre=data_centre,
            shutdown_s=SHUTDOWN_S,
            callers=callers,
            operators=operators,
            token_sha256=hashlib.sha256(OPERATORS_TOKEN.encode()).hexdigest(),
            peers=peers,
            advertised=advertised,
            key=PEERS_KEY,
            config_url=self.config_urls_by_id.get(id, config_url),
            live_url=self.live_urls_by_id.get(id, live_url),
        )
        settings, log = self.folder / f"{id}.ini", self.folder / f"{id}.log"
        settings.write_text(text + self.more_settings, "utf-8")
        program = str(Path(sys.executable).with_name("fescuekeeld"))
        with log.open("wb") as sink:
            process = await asyncio.create_subprocess_exec(
                program,
                f"--settings={settings}",
                stdin=asyncio.subprocess.DEVNULL,
                stdout=sink,
                stderr=sink,
            )
        daemon = Daemon(
            id=id,
            data_centre=data_centre,
            callers=callers,
            operators=operators,
            peers=peers,
            advertised=advertised,
            log=log,
            process=process,
        )
        self.daemons_by_id[id] = daemon
        for live in self.live_lists:
            live.set(Entry(id, "instance", advertised, data_centre))
        return daemon

    async def wait_until_ready(self, daemons: Iterable[Daemon] = ()) -> None:
        """Wait until instances serve and owners have taken over.

        Unfenced endpoints are not waited for: their takeover waits for a
        lease to expire.
        """
        for daemon in daemons or self.daemons_by_id.values():
            await self.wait_until_serving(daemon)
        for endpoint, item in self.platform.endpoints_by_id.items():
            if item.pool != "unfenced":
                await eventually(lambda endpoint=endpoint: self.find_owner(endpoint))

    async def wait_until_serving(self, daemon: Daemon) -> None:
        """Wait until an instance's health check succeeds."""
        healthy = False
        for _ in range(200):
            assert daemon.process.returncode is None, daemon.log.read_text()
            with contextlib.suppress(HTTPError, OSError):
                url = f"http://{daemon.callers}/healthz"
                answer = await self.http.fetch(url, raise_error=False)
                healthy = answer.code == 200
            if healthy:
                return
            await asyncio.sleep(0.1)
        raise AssertionError(
            f"{daemon.id} did not become healthy\n{daemon.log.read_text()}"
        )

    def find_owner(self, endpoint: str, among: Sequence[Daemon] = ()) -> Daemon | None:
        """Return the owner chosen by hashing, once it has taken over."""
        item = self.platform.endpoints_by_id[endpoint]
        entry = LiveEntry(endpoint, LiveRole.ENDPOINT, "", item.data_centre, 1)
        members = [
            Member(daemon.id, "", daemon.data_centre, 1)
            for daemon in among or self.daemons_by_id.values()
        ]
        owner = self.daemons_by_id[choose_owner(entry, members) or ""]
        return owner if owner.owns(endpoint) else None

    def list_owned(self, daemon: Daemon) -> list[str]:
        """Return the endpoints that an instance has taken over."""
        return [
            endpoint
            for endpoint in self.platform.endpoints_by_id
            if daemon.owns(endpoint)
        ]

    def list_others(self, *daemons: Daemon) -> list[Daemon]:
        """Return all instances except those given."""
        return [each for each in self.daemons_by_id.values() if each not in daemons]

    def send_load(self, daemons: Iterable[Daemon] = (), **options: Any) -> Load:
        """Start to send requests to some instances, or to all."""
        chosen = list(daemons) or list(self.daemons_by_id.values())
        return Load([daemon.callers for daemon in chosen], **options)

    def check(self, results: Sequence[Result]) -> None:
        """Check for lost requests, duplicate runs and evictions in use."""
        journals = [
            item.standin.journal() for item in self.platform.endpoints_by_id.values()
        ]
        lost = [
            (item.request.marker, item.request.service, item.detail)
            for item in results
            if item.verdict is Verdict.LOST
        ]
        assert lost == [], lost
        doubled = find_run_violations(results, count_runs(journals))
        assert doubled == [], doubled
        violations = [
            (id, engine.settings.fenced, violation, engine.orders[-10:])
            for id, engine in self.platform.engines_by_id.items()
            for violation in engine.evictions_while_serving
        ]
        assert violations == [], (violations, self.list_ownership())

    def list_ownership(self) -> list[tuple[str, float, str, str]]:
        """Return the logged changes of ownership, for error messages."""
        return [
            (daemon.id, line.at, line.event, line.fields["endpoint"])
            for daemon in self.daemons_by_id.values()
            for line in daemon.read_log()
            if line.event in ("owner_gained", "owner_lost")
        ]

    async def stop(self) -> None:
        """Kill the daemons, and stop the network and the platform."""
        for daemon in self.daemons_by_id.values():
            with contextlib.suppress(ProcessLookupError):
                daemon.process.kill()
        for daemon in self.daemons_by_id.values():
            async with asyncio.timeout(KILL_TIMEOUT_S):
                await daemon.process.wait()
        await self.network.stop()
        await asyncio.gather(*(server.stop() for server in self.servers))
        await self.platform.stop()


Prepare = Callable[[World], Awaitable[None]]


@asynccontextmanager
async def open_world(
    folder: Path,
    ids_by_centre: dict[str, Sequence[str]],
    prepare: Prepare | None = None,
    more_settings: str = "",
) -> AsyncIterator[World]:
    """Start a platform and instances, and stop them at exit."""
    platform = await Platform.start(tuple(ids_by_centre), LOADS_PER_S)
    world = World(platform, folder)
    world.more_settings = more_settings
    try:
        for pool in POOLS:
            await platform.add_pool(pool, 2)
        platform.publish(1, make_tree())
        if prepare is not None:
            await prepare(world)
        for data_centre, ids in ids_by_centre.items():
            for id in ids:
                await world.start_daemon(id, data_centre)
        await world.wait_until_ready()
        yield world
    finally:
        await world.stop()

"""A platform in the test's process and daemons as processes of their own."""

import asyncio
import contextlib
import hashlib
import re
import signal
import sys
from collections.abc import AsyncIterator, Callable, Iterable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from itertools import count, cycle
from pathlib import Path

from tornado.httpclient import HTTPError
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from fescuekeel.components.tree.model import Pool, PoolKind
from fescuekeel.helpers.owners import choose_owner
from fescuekeel.messages import LiveEntry, LiveRole, Member
from standins.fleet import free_addresses
from standins.journals import count_runs, find_doubled
from standins.live_list import Entry, LiveListService
from standins.load import Caller, Result, SampleRequest, Verdict
from standins.platform import Platform
from tests.common import eventually
from tests.daemons.relay import Network

__all__ = ["Daemon", "Load", "World", "open_world"]

TOKEN = "magic"
OPERATORS_TOKEN = "wand"
PEERS_KEY = "a-shared-secret-of-the-tests"
SHUTDOWN_S = 15.0
CALLER_TIMEOUT_S = 30.0
KILL_TIMEOUT_S = 10.0
ADAPTERS = 6
LOADS_PER_S = 40.0
PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')

POOLS = (
    Pool("fenced", PoolKind.ENGINE, fenced=True, slots=3, load_s=0.1),
    Pool("unfenced", PoolKind.ENGINE, fenced=False, slots=3, load_s=0.1),
    Pool("store", PoolKind.PLAIN),
)
TREE = """
[shop tricks]
token_sha256 = {digest}
answer_s = 15
retry_share = 1

[pool fenced]
kind = engine
fenced = yes
slots = 3
load_s = 0.1

[pool unfenced]
kind = engine
slots = 3
load_s = 0.1

[pool store]
kind = plain

[service tricks/patter]
pool = fenced

[roster tricks/patter]
names =
{names}

[service tricks/quote]
pool = fenced
repeatable = no

[roster tricks/quote]
names =
{names}

[service tricks/report]
pool = unfenced

[roster tricks/report]
names =
{names}

[service tricks/stock]
pool = store

[service tricks/charge]
pool = store
repeatable = no
"""
SETTINGS = """
[instance]
id = {id}
data_centre = {data_centre}
shutdown_s = {shutdown_s}

[callers]
address = {callers}

[operators]
address = {operators}
token_sha256 = {token_sha256}

[peers]
address = {peers}
advertised_address = {advertised}
keys = {key}

[platform]
config_url = {config_url}
live_url = {live_url}
"""


def make_tree(version: int = 1) -> dict[str, bytes]:
    """Return a tree in which every adapter is of one version."""
    names = "\n".join(f"    a{number} {version}" for number in range(ADAPTERS))
    digest = hashlib.sha256(TOKEN.encode()).hexdigest()
    return {"main": TREE.format(digest=digest, names=names).encode()}


@dataclass(frozen=True, slots=True)
class LogLine:
    """One event that a daemon logged; ``at`` is wall-clock seconds."""

    at: float
    event: str
    fields: dict[str, str]


@dataclass(slots=True)
class Daemon:
    """One instance and how it is reached."""

    id: str
    data_centre: str
    callers: str
    operators: str
    peers: str
    advertised: str
    log: Path
    process: asyncio.subprocess.Process

    def signal(self, number: signal.Signals) -> None:
        """Signal this process and no other."""
        self.process.send_signal(number)

    def read_log(self, event: str = "") -> list[LogLine]:
        """Return what was logged, of one event or of all."""
        lines = []
        for text in self.log.read_text("utf-8", "replace").splitlines():
            fields = {key: value.strip('"') for key, value in PAIR.findall(text)}
            if "event" in fields and event in ("", fields["event"]):
                line = LogLine(float(fields["time"]), fields["event"], fields)
                lines.append(line)
        return lines

    def owns(self, endpoint: str) -> bool:
        """Tell whether the last thing logged of an endpoint is its gain."""
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
        self.lists: list[LiveListService] = [platform.live]
        self.http = SimpleAsyncHTTPClient(force_instance=True, max_clients=100)

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
        settings.write_text(text, "utf-8")
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
        for live in self.lists:
            live.set(Entry(id, "instance", advertised, data_centre))
        return daemon

    async def wait_until_ready(self, daemons: Iterable[Daemon] = ()) -> None:
        """Wait until instances serve and each endpoint has its owner."""
        for daemon in daemons or self.daemons_by_id.values():
            await self.wait_until_serving(daemon)
        for endpoint in self.platform.endpoints_by_id:
            await eventually(lambda endpoint=endpoint: self.find_owner(endpoint))

    async def wait_until_serving(self, daemon: Daemon) -> None:
        """Wait until an instance tells the balancer that it serves."""
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
        raise AssertionError(f"{daemon.id} never served\n{daemon.log.read_text()}")

    def find_owner(self, endpoint: str, among: Sequence[Daemon] = ()) -> Daemon | None:
        """Return the owner that hashing names, once it has taken over."""
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
        """Return the instances except some."""
        return [each for each in self.daemons_by_id.values() if each not in daemons]

    def count_runs(self, marker: str) -> int:
        """Return how often a request ran at all endpoints together."""
        journals = [
            item.standin.journal() for item in self.platform.endpoints_by_id.values()
        ]
        return count_runs(journals)[marker]

    def check(self, results: Sequence[Result]) -> None:
        """Check that nothing was lost, doubled or evicted while it served."""
        journals = [
            item.standin.journal() for item in self.platform.endpoints_by_id.values()
        ]
        lost = [
            (item.request.marker, item.request.service, item.detail)
            for item in results
            if item.verdict is Verdict.LOST
        ]
        assert lost == [], lost
        doubled = find_doubled(results, count_runs(journals))
        assert doubled == [], doubled
        for engine in self.platform.engines_by_id.values():
            assert engine.evictions_while_serving == []

    async def stop(self) -> None:
        """End what was started, each process by its own id."""
        for daemon in self.daemons_by_id.values():
            with contextlib.suppress(ProcessLookupError):
                daemon.process.kill()
        for daemon in self.daemons_by_id.values():
            async with asyncio.timeout(KILL_TIMEOUT_S):
                await daemon.process.wait()
        await self.network.stop()
        await self.platform.stop()


def make_request(number: int, service: str, tokens: int = 24) -> SampleRequest:
    """Return a request to one of the tree's services."""
    marker = f"sample-{number:05}"
    is_plain = service in ("stock", "charge")
    adapter = "" if is_plain else f"a{number % ADAPTERS}"
    return SampleRequest(
        marker=marker,
        shop="tricks",
        service=service,
        token=TOKEN,
        due_s=0.0,
        timeout_s=CALLER_TIMEOUT_S,
        repeatable=service not in ("quote", "charge"),
        model=f"{service}/{adapter}" if adapter else "",
        runs_on=f"{adapter}@1" if adapter else "",
        prompt=f"{marker} for {adapter}" if adapter else "",
        max_tokens=tokens,
        stream=service in ("patter", "report") and number % 3 != 0,
        path=f"/services/{service}/x?marker={marker}" if is_plain else COMPLETIONS,
    )


COMPLETIONS = "/v1/completions"
SERVICES = ("patter", "quote", "report", "stock", "charge")
NUMBERS = count()


class Load:
    """Send requests of every service to instances, until it is stopped."""

    def __init__(
        self, daemons: Sequence[Daemon], per_s: float = 40.0, tokens: int = 24
    ) -> None:
        self.caller = Caller([daemon.callers for daemon in daemons])
        self.results: list[Result] = []
        self._period_s = 1.0 / per_s
        self._tokens = tokens
        self._sent: list[SampleRequest] = []
        self._sends: list[asyncio.Task[Result]] = []
        self._task = asyncio.ensure_future(self._run())

    async def _run(self) -> None:
        for number, service in zip(NUMBERS, cycle(SERVICES)):
            self.send(make_request(number, service, self._tokens))
            await asyncio.sleep(self._period_s)

    def send(self, request: SampleRequest, address: str = "") -> None:
        """Send one request more."""
        self._sent.append(request)
        self._sends.append(asyncio.ensure_future(self._send(request, address)))

    async def _send(self, request: SampleRequest, address: str) -> Result:
        result = await self.caller.send(request, address)
        self.results.append(result)
        return result

    async def until_more(self, answered: int) -> None:
        """Wait until so many requests sent from now on were answered."""
        sent = len(self._sends)
        await eventually(lambda: len(self._answered(sent)) >= answered)

    def _answered(self, start: int) -> list[Result]:
        done = [task.result() for task in self._sends[start:] if task.done()]
        return [item for item in done if item.verdict is Verdict.ANSWERED]

    def is_under_way(self, service: str) -> bool:
        """Tell whether a request of a service has not ended yet."""
        ended = {result.request.marker for result in self.results}
        return any(
            item.service == service and item.marker not in ended for item in self._sent
        )

    def pause(self) -> None:
        """Send nothing more."""
        self._task.cancel()

    async def stop(self) -> list[Result]:
        """Send nothing more and return the results of all."""
        self.pause()
        return list(await asyncio.gather(*self._sends))


Prepare = Callable[[World], None]


@asynccontextmanager
async def open_world(
    folder: Path, ids_by_centre: dict[str, Sequence[str]], prepare: object = None
) -> AsyncIterator[World]:
    """Start a platform and instances, and end them in all cases."""
    platform = await Platform.start(tuple(ids_by_centre), LOADS_PER_S)
    world = World(platform, folder)
    try:
        for pool in POOLS:
            await platform.add_pool(pool, 2)
        platform.publish(1, make_tree())
        if prepare is not None:
            await prepare(world)  # type: ignore[operator]
        for data_centre, ids in ids_by_centre.items():
            for id in ids:
                await world.start_daemon(id, data_centre)
        await world.wait_until_ready()
        yield world
    finally:
        await world.stop()

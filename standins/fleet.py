"""Start and end the processes of a run: stand-ins and daemons."""

import asyncio
import contextlib
import hashlib
import json
import random
import secrets
import socket
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from tornado.httpclient import HTTPClientError, HTTPError
from tornado.simple_httpclient import SimpleAsyncHTTPClient

__all__ = ["SETTINGS", "Daemon", "Fleet", "FleetError", "free_addresses"]

LOOPBACK = "127.0.0.1"
LISTENING_PORTS = range(20_000, 32_000)
GIVEN_PORTS: set[int] = set()
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 15.0
POLL_S = 0.1
SHUTDOWN_S = 10.0
LOG_LINES_SHOWN = 12

SETTINGS = """\
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


class FleetError(Exception):
    """Say what kept the run from starting."""


@dataclass(frozen=True, slots=True)
class Daemon:
    """One instance of the system and where it listens."""

    id: str
    deployment: str
    data_centre: str
    callers: str
    operators: str
    peers: str
    process: asyncio.subprocess.Process
    log: Path


def is_free(port: int) -> bool:
    """Tell whether nobody listens at a port."""
    with socket.socket() as probe:
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True


def free_addresses(count: int) -> list[str]:
    """Return free loopback addresses, all different.

    Guards against a port that is taken between this look and the daemon's
    start, which then ends with "address already in use". The kernel gives
    outgoing connections ports of its ephemeral range, so that these are below
    it, and each is given out once.
    """
    addresses: list[str] = []
    while len(addresses) < count:
        port = random.choice(LISTENING_PORTS)
        if port not in GIVEN_PORTS and is_free(port):
            GIVEN_PORTS.add(port)
            addresses.append(f"{LOOPBACK}:{port}")
    return addresses


async def until(ready: Callable[[], Awaitable[bool]], what: str) -> None:
    """Wait until something is ready; raises ``FleetError``."""
    deadline = time.monotonic() + START_TIMEOUT_S
    while not await ready():
        if time.monotonic() > deadline:
            raise FleetError(f"{what} is not ready after {START_TIMEOUT_S:.0f} s")
        await asyncio.sleep(POLL_S)


async def end_process(process: asyncio.subprocess.Process) -> None:
    """Ask a process to end, and kill it when it does not."""
    if process.returncode is None:
        process.terminate()
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(process.wait(), STOP_TIMEOUT_S)
    if process.returncode is None:
        process.kill()
        await process.wait()


@dataclass(slots=True)
class Fleet:
    """The processes of one run, each ended by its own id."""

    folder: Path
    operators_token: str = field(default_factory=lambda: secrets.token_urlsafe(24))
    peers_key: str = field(default_factory=lambda: secrets.token_urlsafe(24))
    ports_by_deployment: dict[str, dict[str, Any]] = field(default_factory=dict)
    daemons: list[Daemon] = field(default_factory=list)
    processes: list[asyncio.subprocess.Process] = field(default_factory=list)
    http: SimpleAsyncHTTPClient = field(
        default_factory=lambda: SimpleAsyncHTTPClient(
            force_instance=True, max_clients=100
        )
    )

    async def start_standins(self, deployment: str, trees: Path, centres: int) -> None:
        """Start the stand-ins and wait for their ports."""
        port_file = self.folder / "standins.json"
        process = await self.start_process(
            self.folder / "standins.log",
            sys.executable,
            "-m",
            "standins",
            f"--deployment={deployment}",
            f"--port_file={port_file}",
            f"--trees={trees}",
            f"--centres={centres}",
        )

        async def is_ready() -> bool:
            self._check_running(process, self.folder / "standins.log")
            return port_file.exists()

        await until(is_ready, "the stand-ins' process")
        self.ports_by_deployment = json.loads(port_file.read_text("utf-8"))

    async def start_daemons(self, deployment: str, per_centre: int) -> None:
        """Start a deployment's instances and put them on the live list."""
        ports = self.ports_by_deployment[deployment]
        for data_centre in ports["data_centres"]:
            for number in range(per_centre):
                id = f"{data_centre}-entry-{number}"
                daemon = await self._start_daemon(id, deployment, data_centre, ports)
                self.daemons.append(daemon)
                row = {
                    "id": id,
                    "role": "instance",
                    "address": daemon.peers,
                    "data_centre": data_centre,
                }
                await self.control(ports["live_url"], {"set": [row]})

    async def _start_daemon(
        self, id: str, deployment: str, data_centre: str, ports: dict[str, Any]
    ) -> Daemon:
        callers, operators, peers = free_addresses(3)
        text = SETTINGS.format(
            id=id,
            data_centre=data_centre,
            shutdown_s=SHUTDOWN_S,
            callers=callers,
            operators=operators,
            peers=peers,
            advertised="",
            token_sha256=hashlib.sha256(self.operators_token.encode()).hexdigest(),
            key=self.peers_key,
            config_url=ports["config_url"],
            live_url=ports["live_url"],
        )
        settings, log = self.folder / f"{id}.ini", self.folder / f"{id}.log"
        settings.write_text(text, "utf-8")
        program = str(Path(sys.executable).with_name("fescuekeeld"))
        process = await self.start_process(log, program, f"--settings={settings}")
        return Daemon(
            id=id,
            deployment=deployment,
            data_centre=data_centre,
            callers=callers,
            operators=operators,
            peers=peers,
            process=process,
            log=log,
        )

    async def wait_until_answering(
        self, deployment: str, path: str, token: str
    ) -> None:
        """Wait until each instance answers a plain service's call."""
        for daemon in self.daemons:
            if daemon.deployment != deployment:
                continue

            async def is_ready(daemon: Daemon = daemon) -> bool:
                self._check_running(daemon.process, daemon.log)
                url = f"http://{daemon.callers}{path}"
                return await self._answers(url, token)

            await until(is_ready, daemon.id)

    async def _answers(self, url: str, token: str) -> bool:
        headers = {"Authorization": f"Bearer {token}"}
        try:
            response = await self.http.fetch(
                url, headers=headers, raise_error=False, request_timeout=2.0
            )
        except (HTTPError, OSError):
            return False
        return response.code == 200

    async def control(self, url: str, orders: dict[str, Any]) -> None:
        """Give a stand-in orders."""
        await self.http.fetch(f"{url}/control", method="POST", body=json.dumps(orders))

    async def get_json(self, url: str) -> dict[str, Any]:
        """Return a JSON object."""
        try:
            response = await self.http.fetch(url)
        except HTTPClientError as error:
            raise FleetError(f"{url}: {error}") from error
        body: dict[str, Any] = json.loads(response.body)
        return body

    async def stop(self) -> None:
        """End every process by its id, the daemons before the stand-ins."""
        # The stand-ins come first in the list: the daemons still need them
        # while they finish what they serve.
        standins, daemons = self.processes[:1], self.processes[1:]
        await asyncio.gather(*map(end_process, daemons))
        await asyncio.gather(*map(end_process, standins))

    async def start_process(
        self, log: Path, *command: str | Path
    ) -> asyncio.subprocess.Process:
        """Start a process that ``stop`` ends, with its output in a log."""
        with log.open("wb") as sink:
            process = await asyncio.create_subprocess_exec(
                *command,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=sink,
                stderr=sink,
                # Ctrl-C reaches this process only, which ends the others in
                # order: a whole group hit at once would lose what it serves.
                process_group=0,
            )
        self.processes.append(process)
        return process

    def _check_running(self, process: asyncio.subprocess.Process, log: Path) -> None:
        if process.returncode is None:
            return
        lines = log.read_text("utf-8", "replace").splitlines()[-LOG_LINES_SHOWN:]
        text = "\n".join(lines)
        raise FleetError(f"{log.stem} ended with {process.returncode}:\n{text}")

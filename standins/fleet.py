"""Start and stop the processes of a run: stand-ins and daemons."""

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
# Held until this process ends.
RESERVATIONS_BY_PORT: dict[int, socket.socket] = {}
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 15.0
POLL_S = 0.1
SHUTDOWN_S = 10.0
MAX_LOG_LINES_SHOWN = 12

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
    """The processes of a run cannot be started or reached."""


@dataclass(frozen=True, slots=True)
class Daemon:
    """A running instance and its addresses."""

    id: str
    deployment: str
    data_centre: str
    callers: str
    operators: str
    peers: str
    process: asyncio.subprocess.Process
    log: Path


def is_free(port: int) -> bool:
    """Return whether a port can be bound."""
    with socket.socket() as probe:
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True


def free_addresses(count: int) -> list[str]:
    """Return distinct free loopback addresses.

    The ports are below the kernel's ephemeral range, so that no outgoing
    connection can take one before the daemon binds it, and reserved against
    other processes that run daemons.
    """
    addresses: list[str] = []
    while len(addresses) < count:
        port = random.choice(LISTENING_PORTS)
        if port not in RESERVATIONS_BY_PORT and reserve(port):
            addresses.append(f"{LOOPBACK}:{port}")
    return addresses


def reserve(port: int) -> bool:
    """Reserve a port that can be bound, by a UDP socket on its number.

    The socket does not stop a daemon from listening at the TCP port, but only
    one process can have it.
    """
    reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        reservation.bind((LOOPBACK, port))
    except OSError:
        reservation.close()
        return False
    if not is_free(port):
        reservation.close()
        return False
    RESERVATIONS_BY_PORT[port] = reservation
    return True


async def wait_until(ready: Callable[[], Awaitable[bool]], what: str) -> None:
    """Poll until ready; raise ``FleetError`` on timeout."""
    deadline = time.monotonic() + START_TIMEOUT_S
    while not await ready():
        if time.monotonic() > deadline:
            raise FleetError(f"{what} is not ready after {START_TIMEOUT_S:.0f} s")
        await asyncio.sleep(POLL_S)


async def end_process(process: asyncio.subprocess.Process) -> None:
    """Terminate a process, and kill it after a timeout."""
    if process.returncode is None:
        process.terminate()
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(process.wait(), STOP_TIMEOUT_S)
    if process.returncode is None:
        process.kill()
        await process.wait()


@dataclass(slots=True)
class Fleet:
    """The processes of one run."""

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
        """Start the stand-ins and wait for their port file."""
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

        await wait_until(is_ready, "the stand-ins' process")
        self.ports_by_deployment = json.loads(port_file.read_text("utf-8"))

    async def start_daemons(self, deployment: str, per_centre: int) -> None:
        """Start a deployment's instances and add them to the live list."""
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

    async def wait_until_responding(
        self, deployment: str, path: str, token: str
    ) -> None:
        """Wait until each instance responds to a plain service's call."""
        for daemon in self.daemons:
            if daemon.deployment != deployment:
                continue

            async def is_ready(daemon: Daemon = daemon) -> bool:
                self._check_running(daemon.process, daemon.log)
                url = f"http://{daemon.callers}{path}"
                return await self._responds(url, token)

            await wait_until(is_ready, daemon.id)

    async def _responds(self, url: str, token: str) -> bool:
        headers = {"Authorization": f"Bearer {token}"}
        try:
            response = await self.http.fetch(
                url, headers=headers, raise_error=False, request_timeout=2.0
            )
        except (HTTPError, OSError):
            return False
        return response.code == 200

    async def control(self, url: str, commands: dict[str, Any]) -> None:
        """Send control commands to a stand-in."""
        await self.http.fetch(
            f"{url}/control", method="POST", body=json.dumps(commands)
        )

    async def get_json(self, url: str) -> dict[str, Any]:
        """Fetch a JSON object."""
        try:
            response = await self.http.fetch(url)
        except HTTPClientError as error:
            raise FleetError(f"{url}: {error}") from error
        body: dict[str, Any] = json.loads(response.body)
        return body

    async def stop(self) -> None:
        """Stop all processes, the daemons before the stand-ins."""
        # The stand-ins were started first. The daemons need them until their
        # requests have finished.
        standins, daemons = self.processes[:1], self.processes[1:]
        await asyncio.gather(*map(end_process, daemons))
        await asyncio.gather(*map(end_process, standins))

    async def start_process(
        self, log: Path, *command: str | Path
    ) -> asyncio.subprocess.Process:
        """Start a process, logging its output; ``stop`` ends it."""
        with log.open("wb") as sink:
            process = await asyncio.create_subprocess_exec(
                *command,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=sink,
                stderr=sink,
                # Keeps Ctrl-C from the children: this process stops them in
                # order, so that running requests can finish.
                process_group=0,
            )
        self.processes.append(process)
        return process

    def _check_running(self, process: asyncio.subprocess.Process, log: Path) -> None:
        if process.returncode is None:
            return
        lines = log.read_text("utf-8", "replace").splitlines()[-MAX_LOG_LINES_SHOWN:]
        text = "\n".join(lines)
        raise FleetError(f"{log.stem} exited with status {process.returncode}:\n{text}")

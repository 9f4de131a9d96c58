"""Start the project's programs as the deploy file says, on loopback."""

import asyncio
import contextlib
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.error
import urllib.request
from dataclasses import dataclass, field
from pathlib import Path

__all__ = ["ROOT", "Bounds", "Machine", "System"]

ROOT = Path(__file__).resolve().parent.parent.parent
ROLE = "forwarder"
SETTINGS_WORD = "/etc/fescuekeel/settings.json"
STOP_S = 9.0
READY_S = 30.0
# The sections of deploy/settings.ini.tmpl, in its order.
SETTINGS = """\
[callers]
address = {callers}

[operators]
address = {operators}
token_sha256 = 0000000000000000000000000000000000000000000000000000000000000000

[peers]
address = {peers}
keys = fescuekeel-shared-secret
seeds = {seeds}

[platform]
dialect = platform
dialect_path = platform
dialect_module = fescuekeel_platform
store = {store}

[forwarding]
ready_address = {ready}
metrics_address = {metrics}
lease_s = {lease_ms}e-3
{fenced}retry_ratio = 0.2
retry_slack = {retry_slack}
retry_window_s = 10
change_bound_s = 2000e-3
leaving_bound_s = 2000e-3

[instance]
shutdown_s = 7.2
data_centres = {zones}
id = {id}
data_centre = {zone}
"""


def find_addresses(host: str, count: int) -> list[str]:
    """Return addresses of a loopback host with ports that are free now."""
    probes = [socket.socket() for _ in range(count)]
    try:
        for probe in probes:
            probe.bind((host, 0))
        return [f"{host}:{probe.getsockname()[1]}" for probe in probes]
    finally:
        for probe in probes:
            probe.close()


@dataclass(frozen=True, slots=True)
class Bounds:
    """The bounds of the installation that a script may choose."""

    lease_ms: int = 3000
    fenced: bool = True
    retry_slack: int = 56


@dataclass(slots=True)
class Machine:
    """One machine of the system and its process."""

    id: str
    zone: str
    callers: str
    operators: str
    peers: str
    ready: str
    metrics: str
    process: asyncio.subprocess.Process | None = None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, which this script started."""
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(number)


@dataclass(slots=True)
class System:
    """The machines of a small installation."""

    store: str
    zones: tuple[str, ...]
    bounds: Bounds = Bounds()
    machines: list[Machine] = field(default_factory=list)
    folder: Path = field(
        default_factory=lambda: Path(tempfile.mkdtemp(prefix="review-"))
    )

    def __post_init__(self) -> None:
        """Lay out the machines."""
        for number, zone in enumerate(self.zones):
            # An address of its own, so that no client's port is in the way.
            host = (
                f"127.{os.getpid() % 250 + 1}.{os.getpid() // 250 % 250}.{number + 1}"
            )
            named = find_addresses(host, 5)
            self.machines.append(Machine(f"edge-{zone}-{number + 1}", zone, *named))

    async def start(self) -> None:
        """Start all processes, and wait until they are ready."""
        for machine in self.machines:
            await self.start_machine(machine)
        for machine in self.machines:
            if not await self.wait_until_ready(machine):
                raise RuntimeError(f"{machine.id} isn't ready")

    async def start_machine(self, machine: Machine) -> None:
        """Start the program of one machine with the deploy file's command."""
        path = self.folder / f"{machine.id}.ini"
        seeds = ",".join(item.peers for item in self.machines[:3])
        path.write_text(
            SETTINGS.format(
                callers=machine.callers,
                operators=machine.operators,
                peers=machine.peers,
                seeds=seeds,
                store=self.store,
                ready=machine.ready,
                metrics=machine.metrics,
                lease_ms=self.bounds.lease_ms,
                fenced="fenced = yes\n" if self.bounds.fenced else "",
                retry_slack=self.bounds.retry_slack,
                zones=",".join(dict.fromkeys(self.zones)),
                id=machine.id,
                zone=machine.zone,
            ),
            "utf-8",
        )
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text("utf-8"))
        words = deploy["roles"][ROLE]["run"].replace(SETTINGS_WORD, str(path)).split()
        if words[0] == "python3":
            words[0] = sys.executable
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self.folder / f"{machine.id}.log").open("ab") as sink:
            machine.process = await asyncio.create_subprocess_exec(
                *words,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=sink,
                stderr=sink,
            )

    async def wait_until_ready(self, machine: Machine) -> bool:
        """Ask the readiness address until it answers 200."""
        until = time.monotonic() + READY_S
        while time.monotonic() < until:
            if await asyncio.to_thread(_is_ready, machine.ready):
                return True
            await asyncio.sleep(0.1)
        return False

    async def stop(self, keep_logs: str = "") -> None:
        """End all processes that were started, and remove the folder."""
        for machine in self.machines:
            if machine.process is not None:
                machine.send(signal.SIGCONT)
                machine.send(signal.SIGKILL)
        for machine in self.machines:
            if machine.process is not None:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(STOP_S):
                        await machine.process.wait()
        if keep_logs:
            shutil.copytree(self.folder, keep_logs, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def _is_ready(address: str) -> bool:
    try:
        with urllib.request.urlopen(f"http://{address}/readyz", timeout=1) as answer:
            return bool(answer.status == 200)
    except (OSError, urllib.error.URLError):
        return False

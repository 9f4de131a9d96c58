"""Start daemons with the forwarding interface as child processes."""

import asyncio
import sys
import time
from dataclasses import dataclass
from pathlib import Path

from tornado.httpclient import AsyncHTTPClient, HTTPClientError

__all__ = ["DaemonAddresses", "DaemonSpec", "start_daemon", "wait_until_ready"]

ROOT = Path(__file__).resolve().parent.parent.parent
READY_TIMEOUT_S = 20.0
READY_POLL_S = 0.1
SETTINGS = """\
[callers]
address = {callers}

[operators]
address = {operators}
token_sha256 = 0000000000000000000000000000000000000000000000000000000000000000

[peers]
address = {peers}
advertised_address = {advertised}
keys = a-secret-of-this-run-only
seeds = {seeds}

[platform]
dialect = platform
dialect_path = {dialect_path}
dialect_module = fescuekeel_platform
store = {store}

[forwarding]
ready_address = {ready}
lease_s = 1
fenced = yes
retry_slack = {retry_slack}
retry_window_s = {retry_window_s}
revoked_bound_s = {revoked_bound_s}

[instance]
shutdown_s = {shutdown_s}
data_centres = {data_centres}
id = {id}
data_centre = {data_centre}
"""


@dataclass(frozen=True, slots=True)
class DaemonAddresses:
    """Listening addresses of a daemon, each ``IP:PORT``."""

    callers: str
    operators: str
    peers: str
    ready: str


@dataclass(frozen=True, slots=True)
class DaemonSpec:
    """Settings of a daemon.

    ``advertised`` is its address for peers and ``store`` the address of the
    store; either may be that of a proxy. ``more_settings`` has further
    sections.
    """

    id: str
    data_centre: str
    addresses: DaemonAddresses
    advertised: str
    seeds: tuple[str, ...]
    store: str
    shutdown_s: float = 2.0
    retry_slack: float = 20.0
    retry_window_s: float = 10.0
    revoked_bound_s: float = 5.0
    data_centres: tuple[str, ...] = ()
    more_settings: str = ""

    def get_settings_path(self, folder: Path) -> Path:
        """Return the path of the settings file."""
        return folder / f"{self.id}.ini"

    def write_settings(self, folder: Path) -> Path:
        """Write the settings file in place and return its path."""
        path = self.get_settings_path(folder)
        path.write_text(self.format_settings(), "utf-8")
        return path

    def format_settings(self) -> str:
        """Return the text of the settings file."""
        text = SETTINGS.format(
            id=self.id,
            data_centre=self.data_centre,
            shutdown_s=self.shutdown_s,
            callers=self.addresses.callers,
            operators=self.addresses.operators,
            peers=self.addresses.peers,
            advertised=self.advertised,
            ready=self.addresses.ready,
            seeds=",".join(self.seeds),
            dialect_path=ROOT / "platform",
            store=self.store,
            retry_slack=self.retry_slack,
            retry_window_s=self.retry_window_s,
            data_centres=",".join(self.data_centres),
            revoked_bound_s=self.revoked_bound_s,
        )
        return text + self.more_settings


async def start_daemon(spec: DaemonSpec, folder: Path) -> asyncio.subprocess.Process:
    """Start a daemon; append its output to ``ID.log`` in the folder."""
    path = spec.write_settings(folder)
    with (folder / f"{spec.id}.log").open("ab") as sink:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "fescuekeel.daemon",
            str(path),
            cwd=ROOT,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=sink,
            stderr=sink,
        )


async def wait_until_ready(client: AsyncHTTPClient, address: str) -> bool:
    """Poll a daemon's readiness probe; return false on timeout."""
    deadline = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            await client.fetch(f"http://{address}/readyz")
            return True
        except (HTTPClientError, OSError):
            await asyncio.sleep(READY_POLL_S)
    return False

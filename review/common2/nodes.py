"""Start the daemons with the command and the settings of the deploy file."""

import asyncio
import os
import re
import signal
import socket
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from review.common2.http import call

__all__ = ["BOUNDS", "ROOT", "Node", "Record", "make_nodes", "wait_ready"]

ROOT = Path(__file__).resolve().parents[2]
# The bounds of the site nyira-magic, as SYSTEM.md gives them.
BOUNDS: dict[str, Any] = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "outer_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 56,
    "recover_s": 12,
    "pass_ms": 120,
    "retry_after_s": 0,
    "fencing_required": True,
    "lease_ms": 3000,
    "thaw_ms": 300,
    "ceiling_window_s": 5,
    "ceiling_overage": 1.1,
    "version_ms": 5000,
}
SECTION = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)
PLACE = re.compile(r"\{\{([\w.]+|@|,)\}\}")


def _find(fields: Any, path: str) -> Any:
    for part in path.split("."):
        if isinstance(fields, list):
            fields = fields[int(part)] if int(part) < len(fields) else None
        else:
            fields = (fields or {}).get(part)
    return fields


def _show(value: Any) -> str:
    if isinstance(value, list):
        return ",".join(map(str, value))
    return "" if value is None else str(value)


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in the template of the deploy file, as DEPLOY.md describes."""

    def expand(match: re.Match[str]) -> str:
        kind, name, inner = match.groups()
        value = _find(fields, name)
        if kind == "^":
            return "" if value else inner
        if not value:
            return ""
        if not isinstance(value, dict):
            return inner
        parts = []
        for number, key in enumerate(value):
            comma = "," if number + 1 < len(value) else ""
            parts.append(inner.replace("{{@}}", key).replace("{{,}}", comma))
        return "".join(parts)

    expanded = SECTION.sub(expand, template)
    return PLACE.sub(lambda match: _show(_find(fields, match[1])), expanded)


def take_ports(host: str, count: int) -> list[int]:
    """Return free ports of a loopback address."""
    taken = [socket.socket() for _ in range(count)]
    for each in taken:
        each.bind((host, 0))
    ports = [each.getsockname()[1] for each in taken]
    for each in taken:
        each.close()
    return ports


class Record:
    """What was sent, answered and run, for ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self.loop = asyncio.get_running_loop()
        self.began_at = self.loop.time()

    def now(self) -> float:
        """Return the seconds since the beginning."""
        return self.loop.time() - self.began_at

    def write(self, text: str) -> None:
        """Write one line with its time."""
        self._file.write(f"{self.now():8.3f}  {text}\n")
        self._file.flush()


@dataclass
class Node:
    """A machine of the system, with its process."""

    name: str
    zone: str
    ip: str
    fields: dict[str, Any]
    folder: Path
    process: asyncio.subprocess.Process | None = None

    @property
    def frontend(self) -> str:
        """Return the address for clients."""
        return self.fields["listen"]["frontend"]

    @property
    def ready_address(self) -> str:
        """Return the address of the readiness probe."""
        return self.fields["listen"]["ready_address"]

    async def start(self) -> None:
        """Write the settings, and start the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["forwarder"]
        template = (ROOT / role["template"]).read_text()
        path = self.folder / f"{self.name}.ini"
        path.write_text(render(template, self.fields))
        words = [
            str(path) if word == "/etc/fescuekeel/settings.json" else word
            for word in role["run"].split()
        ]
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        with (self.folder / f"{self.name}.log").open("ab") as sink:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=env, stdout=sink, stderr=sink
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process, and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


def make_nodes(zones: list[str], store: str, folder: Path) -> list[Node]:
    """Return a machine for each entry of ``zones``.

    Each has a loopback address of its own, so that no connection takes a port.
    """
    nodes: list[Node] = []
    for number, zone in enumerate(zones):
        ip = f"127.0.1.{number + 1}"
        name = f"edge-{zone}-{zones[:number].count(zone) + 1}"
        ports = take_ports(ip, 5)
        listen = {
            "frontend": f"{ip}:{ports[0]}",
            "ready_address": f"{ip}:{ports[1]}",
            "control_plane": f"{ip}:{ports[2]}",
        }
        fields = {
            "node_name": name,
            "role": "forwarder",
            "machine_class": "edge",
            "serves": ["edge", "control"],
            "ip": ip,
            "zone": zone,
            "region": "r",
            "zones": {each: "r" for each in dict.fromkeys(zones)},
            "listen": listen,
            "internal_ports": ports[3:],
            "bootstrap": True,
            "limits": {"memory_mb": 300, "max_fds": 4100},
            "bounds": BOUNDS,
            "platform": {"address": store, "form": "read"},
        }
        nodes.append(Node(name, zone, ip, fields, folder))
    seeds = [node.fields["listen"]["control_plane"] for node in nodes[:3]]
    for node in nodes:
        node.fields["seeds"] = seeds
    return nodes


async def wait_ready(nodes: list[Node], timeout_s: float = 20.0) -> bool:
    """Wait until all machines are ready."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    for node in nodes:
        while True:
            headers = [("Host", node.ready_address)]
            answer = await call(node.ready_address, "GET", "/readyz", headers, b"", 1.0)
            if answer.status == 200:
                break
            if loop.time() > deadline:
                return False
            await asyncio.sleep(0.1)
    return True

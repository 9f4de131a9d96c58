"""Stand-in for the configuration service."""

import asyncio
import hashlib
from collections import Counter
from dataclasses import dataclass
from typing import Any

from standins.server import ConnectionFaults, Server, StandInHandler

__all__ = ["ConfigService", "format_manifest", "start_config_service"]

MANIFEST_KEY = "tree/manifest"
MAX_VALUE_BYTES = 1024 * 1024
MAX_WAIT_S = 300.0
STALE_STEPS = 100


@dataclass(frozen=True, slots=True)
class Version:
    """A value as of a change number; ``None`` content means removed."""

    change: int
    content: bytes | None


def format_manifest(revision: int, parts: dict[str, bytes]) -> bytes:
    """Return the manifest of a tree.

    >>> print(format_manifest(7, {}).decode().splitlines()[1])
    revision = 7
    """
    lines = ["[tree]", f"revision = {revision}", "", "[parts]"]
    for name in sorted(parts):
        lines.append(f"{name} = {hashlib.sha256(parts[name]).hexdigest()}")
    return ("\n".join(lines) + "\n").encode()


class ConfigService:
    """Store values with change numbers; serve an older state when stale."""

    def __init__(self) -> None:
        self.connection_faults = ConnectionFaults()
        self.versions_by_key: dict[str, list[Version]] = {}
        self.change = 0
        self.stale_at: int | None = None
        self.stale_share = 1.0
        self.calls = 0
        self.calls_by_kind: Counter[str] = Counter()
        self.published: list[int] = []
        self._changed = asyncio.Event()

    def control(self, commands: dict[str, Any]) -> None:
        """Apply ``stale``, ``stale_at``, ``stale_share`` and ``publish``.

        ``stale`` freezes the current state, ``stale_at`` serves the state as
        of a change number, null ends both. ``stale_share`` is the share of
        calls that get the stale state. ``publish`` is
        ``{"revision", "parts"}``.
        """
        if "stale" in commands:
            self.stale_at = self.change if commands["stale"] else None
        if "stale_at" in commands:
            self.stale_at = commands["stale_at"]
        self.stale_share = float(commands.get("stale_share", self.stale_share))
        if "publish" in commands:
            parts = commands["publish"]["parts"]
            encoded = {name: text.encode() for name, text in parts.items()}
            self.publish(int(commands["publish"]["revision"]), encoded)
        self._wake()

    def journal(self) -> dict[str, Any]:
        """Return the call counts and the published revisions."""
        return {
            "calls": self.calls,
            "calls_by_kind": dict(self.calls_by_kind),
            "change": self.change,
            "published": list(self.published),
        }

    def publish(self, revision: int, parts: dict[str, bytes]) -> int:
        """Publish a tree, its manifest last; return the change number.

        The parts of the revision before the previous one are removed.
        """
        if len(self.published) >= 2:
            self._remove_revision(self.published[-2])
        for name, content in parts.items():
            self.put(f"tree/{revision}/{name}", content)
        self.put(MANIFEST_KEY, format_manifest(revision, parts))
        self.published.append(revision)
        return self.change

    def put(self, key: str, content: bytes | None) -> None:
        """Set or remove one value."""
        if content is not None and len(content) > MAX_VALUE_BYTES:
            raise ValueError(f"the value of {key} exceeds the size limit")
        self.change += 1
        versions = self.versions_by_key.setdefault(key, [])
        versions.append(Version(self.change, content))
        self._wake()

    def read(self, key: str) -> Version | None:
        """Return a value as one call sees it: current or stale."""
        bound = self.change
        if self.stale_at is not None and self._reads_stale_value():
            bound = self.stale_at
        for version in reversed(self.versions_by_key.get(key, [])):
            if version.change <= bound:
                return version if version.content is not None else None
        return None

    async def watch(self, key: str, after: int, wait_s: float) -> Version | None:
        """Return the value once its change number exceeds ``after``.

        ``None`` is returned after ``wait_s``.
        """
        try:
            async with asyncio.timeout(min(wait_s, MAX_WAIT_S)):
                while True:
                    changed = self._changed
                    version = self.read(key)
                    if version is not None and version.change > after:
                        return version
                    await changed.wait()
        except TimeoutError:
            return None

    def count(self, kind: str) -> None:
        """Count a call of a kind."""
        self.calls += 1
        self.calls_by_kind[kind] += 1

    def _remove_revision(self, revision: int) -> None:
        for key in list(self.versions_by_key):
            if key.startswith(f"tree/{revision}/"):
                self.put(key, None)

    def _reads_stale_value(self) -> bool:
        return self.calls * 37 % STALE_STEPS < self.stale_share * STALE_STEPS

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class ValueHandler(StandInHandler):
    """Read a value."""

    standin: ConfigService

    async def get(self, key: str) -> None:
        """Respond with the value and its change number."""
        self.standin.count("read")
        await self.send(self.standin.read(key), 404)

    async def send(self, version: Version | None, missing_status: int) -> None:
        """Send a value, or a status if there is none."""
        if self.is_unresponsive:
            await self.hold_unanswered()
            return
        if version is None or version.content is None:
            self.set_status(missing_status)
            await self.finish()
            return
        self.set_header("Content-Type", "application/octet-stream")
        self.set_header("X-Change", str(version.change))
        await self.finish(version.content)


class WatchHandler(ValueHandler):
    """Wait for a value to change."""

    async def get(self, key: str) -> None:
        """Respond when the value is newer than the caller's."""
        self.standin.count("watch")
        after = int(self.get_argument("after", "0"))
        wait_s = float(self.get_argument("wait_s", "30"))
        version = await self.standin.watch(key, after, wait_s)
        # The caller may have disconnected while it waited.
        if not self.stream.closed():
            await self.send(version, 304)


async def start_config_service() -> tuple[ConfigService, Server]:
    """Start a configuration service on a free port."""
    service = ConfigService()
    routes = [("/v1/values/(.*)", ValueHandler), ("/v1/watch/(.*)", WatchHandler)]
    return service, Server(service, routes)

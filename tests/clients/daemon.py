"""One daemon as a process, with lowered limits, and what it holds."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path

import psutil
from tornado.httpclient import AsyncHTTPClient

from standins.fleet import free_addresses
from standins.forwarding.daemons import (
    DaemonAddresses,
    DaemonSpec,
    start_daemon,
    wait_until_ready,
)
from standins.forwarding.platform import HOST, StandInPlatform
from standins.forwarding.raw_caller import call_raw
from tests.daemons.common import Daemon, open_world
from tests.daemons.load import TOKEN

__all__ = [
    "DESCRIPTORS",
    "MEMORY_MB",
    "MIB",
    "Victim",
    "open_completions",
    "open_forwarding",
]

MIB = 1024 * 1024
# What the tests' machine gives a process.
MEMORY_MB = 110
DESCRIPTORS = 400
LIMITS = f"""
[resources]
memory_mb = {MEMORY_MB}
descriptors = {DESCRIPTORS}
"""
SAMPLE_S = 0.02
# Descriptors that a process may hold beyond those before the clients came:
# connections to endpoints, peers and the store.
SPARE_DESCRIPTORS = 30
GONE_TIMEOUT_S = 30.0
CALL_TIMEOUT_S = 10.0
CALLS = 20
POLL_S = 0.2


@dataclass(slots=True)
class Victim:
    """The process whose clients misbehave, and the most that it held."""

    callers: str
    operators: str
    peers: str
    ready: str
    process: psutil.Process
    is_forwarding: bool = True
    descriptors_before: int = 0
    most_descriptors: int = 0
    _sampling: asyncio.Task[None] | None = None

    def begin(self) -> None:
        """Begin to watch the process."""
        self.descriptors_before = self.process.num_fds()
        self._sampling = asyncio.ensure_future(self._sample())

    async def _sample(self) -> None:
        while True:
            held = self.process.num_fds()
            self.most_descriptors = max(self.most_descriptors, held)
            await asyncio.sleep(SAMPLE_S)

    def read_most_memory_mb(self) -> float:
        """Return the highest resident memory since the start."""
        status = Path(f"/proc/{self.process.pid}/status").read_text("ascii")
        line = next(each for each in status.splitlines() if "VmHWM" in each)
        return int(line.split()[1]) * 1024 / MIB

    async def check(self) -> None:
        """Check what holds while clients are there, and after them."""
        assert self.process.is_running()
        assert self.process.status() != psutil.STATUS_ZOMBIE
        most_mb = self.read_most_memory_mb()
        assert most_mb <= MEMORY_MB, most_mb
        assert self.most_descriptors <= DESCRIPTORS, self.most_descriptors

    async def check_gone(self) -> None:
        """Check that clients that have gone leave nothing behind."""
        limit = self.descriptors_before + SPARE_DESCRIPTORS
        held = self.process.num_fds()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(GONE_TIMEOUT_S):
                while held > limit:
                    await asyncio.sleep(POLL_S)
                    held = self.process.num_fds()
        assert held <= limit, (held, limit)

    async def check_served(self) -> None:
        """Check that an ordinary caller gets an answer, if need be again."""
        for _ in range(CALLS):
            with contextlib.suppress(OSError, TimeoutError):
                if await self._call() == 200:
                    return
            await asyncio.sleep(POLL_S)
        raise AssertionError("an ordinary request is not served")

    async def _call(self) -> int:
        if self.is_forwarding:
            headers = (
                ("Host", HOST),
                ("Fescuekeel-Request-Id", "00000000000000aa"),
                ("Fescuekeel-Deadline-Ms", "5000"),
            )
            target, body = "/lookup/x", b""
        else:
            headers = (
                ("Host", "any"),
                ("Authorization", f"Bearer {TOKEN}"),
                ("Content-Type", "application/json"),
            )
            target = "/v1/completions"
            body = json.dumps(
                {"model": "patter/a0", "prompt": "Ladies and", "max_tokens": 3}
            ).encode()
        method = "POST" if body else "GET"
        answer = await call_raw(
            self.callers, method, target, headers, body, timeout_s=CALL_TIMEOUT_S
        )
        return answer.status if answer.complete else 0

    def end(self) -> None:
        """Stop watching."""
        if self._sampling is not None:
            self._sampling.cancel()


@contextlib.asynccontextmanager
async def open_forwarding(
    folder: Path, limits: str = LIMITS
) -> AsyncIterator[tuple[Victim, StandInPlatform]]:
    """Start a platform and one daemon with the forwarding interface."""
    platform = StandInPlatform()
    platform.start()
    addresses = DaemonAddresses(*free_addresses(4))
    spec = DaemonSpec(
        "i1",
        "a",
        addresses,
        addresses.peers,
        (),
        platform.store_server.address,
        more_settings=limits,
    )
    process = await start_daemon(spec, folder)
    victim = Victim(
        addresses.callers,
        addresses.operators,
        addresses.peers,
        addresses.ready,
        psutil.Process(process.pid),
    )
    client = AsyncHTTPClient(force_instance=True)
    try:
        assert await wait_until_ready(client, addresses.ready)
        await victim.check_served()
        victim.begin()
        yield victim, platform
    finally:
        victim.end()
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()
        client.close()
        await platform.stop()


@contextlib.asynccontextmanager
async def open_completions(
    folder: Path, limits: str = LIMITS
) -> AsyncIterator[tuple[Victim, Daemon]]:
    """Start a platform and one daemon with the completions interface."""
    async with open_world(folder, {"dc1": ["i1"]}, more_settings=limits) as world:
        daemon = world.daemons_by_id["i1"]
        victim = Victim(
            daemon.callers,
            daemon.operators,
            daemon.peers,
            "",
            psutil.Process(daemon.process.pid),
            is_forwarding=False,
        )
        try:
            await victim.check_served()
            victim.begin()
            yield victim, daemon
        finally:
            victim.end()

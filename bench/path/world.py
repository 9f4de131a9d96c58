"""Processes of the measurement: engines, an entry and an owner."""

import asyncio
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import psutil

from bench.path.client import Caller, make_body
from bench.path.const import (
    ADAPTERS,
    DEPLOYMENT,
    ENDPOINT,
    ENGINES,
    ENTRY_DATA_CENTRE,
    MODEL,
    OWNER_DATA_CENTRE,
    TREE,
    WARM_UP_S,
)
from bench.path.load import OK, LoadResult, LoadSpec
from standins.fleet import Daemon, Fleet
from standins.live_list import Entry
from standins.platform import Platform

__all__ = ["Usage", "World", "cancel_on_sigterm", "open_world"]

READY_ATTEMPTS = 200
READY_POLL_S = 0.1


@dataclass(frozen=True, slots=True)
class Usage:
    """Processor time of the two instances in seconds.

    ``system_s`` is the time both spent in the kernel.
    """

    entry_s: float
    owner_s: float
    system_s: float

    def minus(self, earlier: "Usage") -> "Usage":
        """Return the usage since an earlier one."""
        return Usage(
            self.entry_s - earlier.entry_s,
            self.owner_s - earlier.owner_s,
            self.system_s - earlier.system_s,
        )


@dataclass(slots=True)
class World:
    """Processes and addresses of the measurement."""

    fleet: Fleet
    engine_addresses: list[str]
    entry: Daemon
    owner: Daemon

    def read_usage(self) -> Usage:
        """Return the processor time used so far."""
        entry, owner = _read_times(self.entry), _read_times(self.owner)
        system_s = entry.system + owner.system
        return Usage(sum(entry[:2]), sum(owner[:2]), system_s)

    async def run_load(self, spec: LoadSpec, processes: int) -> list[LoadResult]:
        """Split a load evenly over several processes and run it."""
        share = spec.model_copy(
            update={
                "callers": spec.callers // processes,
                "rate_per_s": spec.rate_per_s / processes,
            }
        )
        return list(
            await asyncio.gather(*(self._run_share(share) for _ in range(processes)))
        )

    async def _run_share(self, spec: LoadSpec) -> LoadResult:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "bench.path.generate",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        output, _ = await process.communicate(spec.model_dump_json().encode())
        return LoadResult.model_validate_json(output)


def _read_times(daemon: Daemon) -> Any:
    return psutil.Process(daemon.process.pid).cpu_times()


def cancel_on_sigterm() -> None:
    """Cancel this task on SIGTERM, so that child processes are stopped."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)


@asynccontextmanager
async def open_world() -> AsyncIterator[World]:
    """Start all processes, wait until they serve, and stop them at the end."""
    cancel_on_sigterm()
    with TemporaryDirectory(prefix="bench-path-") as name:
        fleet = Fleet(Path(name))
        platform = await Platform.start((ENTRY_DATA_CENTRE, OWNER_DATA_CENTRE))
        names = "\n    ".join(f"a{number} 1" for number in range(ADAPTERS))
        platform.publish(1, {"main": TREE.format(names=names).encode()})
        try:
            yield await _start(fleet, platform, Path(name))
        finally:
            await fleet.stop()
            await platform.stop()


async def _start(fleet: Fleet, platform: Platform, folder: Path) -> World:
    addresses = await _start_engines(fleet, folder)
    for number, address in enumerate(addresses):
        id = ENDPOINT.format(number=number)
        platform.live.set(Entry(id, "endpoint", address, OWNER_DATA_CENTRE, pool="gpu"))
    fleet.ports_by_deployment[DEPLOYMENT] = {
        "data_centres": [ENTRY_DATA_CENTRE, OWNER_DATA_CENTRE],
        "config_url": platform.config_server.url,
        "live_url": platform.live_server.url,
    }
    await fleet.start_daemons(DEPLOYMENT, 1)
    entry, owner = fleet.daemons
    await _wait_until_warm(entry.callers)
    return World(fleet, addresses, entry, owner)


async def _start_engines(fleet: Fleet, folder: Path) -> list[str]:
    files = [folder / f"engine-{number}.address" for number in range(ENGINES)]
    for file in files:
        await fleet.start_process(
            file.with_suffix(".log"), sys.executable, "-m", "bench.path.engine", file
        )
    for _ in range(READY_ATTEMPTS):
        if all(file.exists() for file in files):
            return [file.read_text("utf-8") for file in files]
        await asyncio.sleep(READY_POLL_S)
    raise TimeoutError("the engines did not start in time")


async def _wait_until_warm(address: str) -> None:
    """Send requests for all adapters until every one succeeds."""
    for _ in range(READY_ATTEMPTS):
        try:
            if all([await _is_serving(address, number) for number in range(ADAPTERS)]):
                await asyncio.sleep(WARM_UP_S)
                return
        except OSError:
            pass
        await asyncio.sleep(READY_POLL_S)
    raise TimeoutError("the instances did not serve all adapters in time")


async def _is_serving(address: str, number: int) -> bool:
    caller = Caller(address)
    await caller.open()
    try:
        body = make_body(MODEL.format(number=number), "warm", 1, stream=False)
        return (await caller.complete(body)).status == OK
    finally:
        caller.close()

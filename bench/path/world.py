"""The processes of the measurement: engines, an entry and an owner."""

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
    ENTRY_CENTRE,
    MODEL,
    OWNER_CENTRE,
    TREE,
    WARM_UP_S,
)
from bench.path.load import OK, LoadOrder, LoadResult
from standins.fleet import Daemon, Fleet
from standins.live_list import Entry
from standins.platform import Platform

__all__ = ["Usage", "World", "cancel_on_sigterm", "open_world"]

READY_TRIES = 200
READY_PAUSE_S = 0.1


@dataclass(frozen=True, slots=True)
class Usage:
    """Processor time of the two instances in seconds.

    ``system_s`` is the part of both that the kernel used.
    """

    entry_s: float
    owner_s: float
    system_s: float

    def minus(self, earlier: "Usage") -> "Usage":
        """Return what was used since."""
        return Usage(
            self.entry_s - earlier.entry_s,
            self.owner_s - earlier.owner_s,
            self.system_s - earlier.system_s,
        )


@dataclass(slots=True)
class World:
    """What is measured: addresses and processes."""

    fleet: Fleet
    engine_addresses: list[str]
    entry: Daemon
    owner: Daemon

    def read_usage(self) -> Usage:
        """Return the processor time used so far."""
        entry, owner = _read_times(self.entry), _read_times(self.owner)
        system_s = entry.system + owner.system
        return Usage(sum(entry[:2]), sum(owner[:2]), system_s)

    async def run_load(self, order: LoadOrder, processes: int) -> list[LoadResult]:
        """Run an order's share in each of several processes."""
        share = order.model_copy(
            update={
                "callers": order.callers // processes,
                "rate_per_s": order.rate_per_s / processes,
            }
        )
        return list(
            await asyncio.gather(*(self._run_share(share) for _ in range(processes)))
        )

    async def _run_share(self, order: LoadOrder) -> LoadResult:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "bench.path.generate",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        output, _ = await process.communicate(order.model_dump_json().encode())
        return LoadResult.model_validate_json(output)


def _read_times(daemon: Daemon) -> Any:
    return psutil.Process(daemon.process.pid).cpu_times()


def cancel_on_sigterm() -> None:
    """End in order when told to, so that no process is left behind."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)


@asynccontextmanager
async def open_world() -> AsyncIterator[World]:
    """Start everything, wait until it answers, and end it."""
    cancel_on_sigterm()
    with TemporaryDirectory(prefix="bench-path-") as name:
        fleet = Fleet(Path(name))
        platform = await Platform.start((ENTRY_CENTRE, OWNER_CENTRE))
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
        platform.live.set(Entry(id, "endpoint", address, OWNER_CENTRE, pool="gpu"))
    fleet.ports_by_deployment[DEPLOYMENT] = {
        "data_centres": [ENTRY_CENTRE, OWNER_CENTRE],
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
    for _ in range(READY_TRIES):
        if all(file.exists() for file in files):
            return [file.read_text("utf-8") for file in files]
        await asyncio.sleep(READY_PAUSE_S)
    raise TimeoutError("the engines do not start")


async def _wait_until_warm(address: str) -> None:
    """Ask for every adapter until all are answered at once."""
    for _ in range(READY_TRIES):
        try:
            if all([await _answers(address, number) for number in range(ADAPTERS)]):
                await asyncio.sleep(WARM_UP_S)
                return
        except OSError:
            pass
        await asyncio.sleep(READY_PAUSE_S)
    raise TimeoutError("the instances do not answer")


async def _answers(address: str, number: int) -> bool:
    caller = Caller(address)
    await caller.open()
    try:
        body = make_body(MODEL.format(number=number), "warm", 1, stream=False)
        return (await caller.ask(body)).status == OK
    finally:
        caller.close()

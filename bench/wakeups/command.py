"""Start a small idle fleet and print the wake-ups of one instance."""

import asyncio
import json
import signal
import sys
import tempfile
from pathlib import Path
from typing import Any

import fire

from standins.fleet import free_addresses
from standins.forwarding.daemons import DaemonAddresses, DaemonSpec, start_daemon
from standins.forwarding.platform import ZONES, StandInPlatform

__all__ = ["main"]

SETTLE_S = 6.0
SHOWN_CALLBACKS = 24


async def measure(instances: int, seconds: float, folder: Path) -> dict[str, Any]:
    """Return the counts of the last instance."""
    platform = StandInPlatform()
    platform.start()
    free = iter(free_addresses(4 * instances))
    addresses = [
        DaemonAddresses(next(free), next(free), next(free), next(free))
        for _ in range(instances)
    ]
    seeds = tuple(item.peers for item in addresses[:2])
    processes = []
    try:
        for number, item in enumerate(addresses):
            spec = DaemonSpec(
                f"i{number + 1}",
                ZONES[number % len(ZONES)],
                item,
                item.peers,
                seeds,
                platform.store_server.address,
            )
            if number < instances - 1:
                processes.append(await start_daemon(spec, folder))
        settings = spec.write_settings(folder)
        counts_file = folder / "counts.json"
        measured = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "bench.wakeups.measured"),
            *(str(settings), str(counts_file), str(SETTLE_S)),
            stdout=asyncio.subprocess.DEVNULL,
        )
        processes.append(measured)
        await asyncio.sleep(SETTLE_S + seconds)
        measured.send_signal(signal.SIGTERM)
        await measured.wait()
        counts: dict[str, Any] = json.loads(counts_file.read_text("utf-8"))
        return counts
    finally:
        for process in processes:
            if process.returncode is None:
                process.kill()
                await process.wait()
        await platform.stop()


def show(instances: int = 9, seconds: float = 10.0) -> None:
    """Count the wake-ups of one of INSTANCES idle instances for SECONDS."""
    with tempfile.TemporaryDirectory() as folder:
        counts = asyncio.run(measure(instances, seconds, Path(folder)))
    duration_s = counts["seconds"]
    sorted_calls = sorted(counts["calls"].items(), key=lambda item: -item[1])
    print("calls/s  cpu s/s  callback")
    for name, calls in sorted_calls[:SHOWN_CALLBACKS]:
        print(
            f"{calls / duration_s:7.2f}"
            f"  {counts['cpu_by_cause'][name] / duration_s:.5f}  {name}"
        )
    print(
        f"instances={instances} seconds={duration_s:.1f}"
        f" wakeups_per_s={counts['wakeups'] / duration_s:.1f}"
        f" callbacks_per_s={sum(counts['calls'].values()) / duration_s:.1f}"
        f" cpu_share={counts['cpu_s'] / duration_s:.4f}"
    )


def main(arguments: list[str]) -> int:
    """Parse the command line and run the measurement."""
    fire.Fire(show, arguments, name="wakeups")
    return 0

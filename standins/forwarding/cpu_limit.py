"""Give child processes a part of a core, by stopping and continuing them."""

import asyncio
import contextlib
import os
import signal
from collections.abc import AsyncIterator, Sequence

import psutil

__all__ = ["choose_rate", "limit_cpu", "read_cpu_s"]

CYCLE_S = 0.04
# What is asked for, as a share of what the processes can serve together: what
# one has no room for is only served if the others have room.
LOAD_SHARE = 0.75


def read_cpu_s(pids: Sequence[int]) -> float:
    """Return the processor time that the processes have taken together."""
    times = [psutil.Process(pid).cpu_times() for pid in pids]
    return sum(each.user + each.system for each in times)


def choose_rate(
    max_per_s: float, cpu_s_per_request: float, processes: int, share: float
) -> float:
    """Return the requests per second to send to processes with limited CPU.

    A slow machine is asked for less than ``max_per_s``.

    >>> choose_rate(150.0, 0.008, processes=4, share=0.25)
    93.75
    >>> choose_rate(150.0, 0.004, processes=4, share=0.25)
    150.0
    """
    return min(max_per_s, LOAD_SHARE * processes * share / cpu_s_per_request)


@contextlib.asynccontextmanager
async def limit_cpu(pids: Sequence[int], share: float) -> AsyncIterator[None]:
    """Let each process run for a share of each cycle, one after the other."""
    tasks = [
        asyncio.ensure_future(_stop_in_turn(pid, share, number / len(pids)))
        for number, pid in enumerate(pids)
    ]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _stop_in_turn(pid: int, share: float, phase: float) -> None:
    await asyncio.sleep(phase * CYCLE_S)
    try:
        while True:
            os.kill(pid, signal.SIGSTOP)
            await asyncio.sleep(CYCLE_S * (1 - share))
            os.kill(pid, signal.SIGCONT)
            await asyncio.sleep(CYCLE_S * share)
    finally:
        with contextlib.suppress(ProcessLookupError):
            os.kill(pid, signal.SIGCONT)

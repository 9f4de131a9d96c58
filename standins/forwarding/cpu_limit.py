"""Give child processes a part of a core, by stopping and continuing them."""

import asyncio
import contextlib
import os
import signal
from collections.abc import AsyncIterator, Sequence

__all__ = ["limit_cpu"]

CYCLE_S = 0.04


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

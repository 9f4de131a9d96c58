"""Timeouts that allow for an event loop that runs late."""

import asyncio
from typing import Any

__all__ = ["wait_for_task"]

# A connect needs four iterations from the event that it is established.
ITERATIONS_AFTER_TIMEOUT = 5


async def wait_for_task(task: asyncio.Task[Any], timeout_s: float) -> bool:
    """Wait for a task up to a timeout; return whether it is done.

    A loop that runs late sees its timers expire together with the events that
    arrived in time. So the task gets a few more iterations after the timeout.
    It is not cancelled.
    """
    await asyncio.wait({task}, timeout=timeout_s)
    for _ in range(ITERATIONS_AFTER_TIMEOUT):
        if task.done():
            break
        await asyncio.sleep(0)
    return task.done()

"""Align the periodic tasks of an instance to common ticks.

A wake-up of an idle process costs more than most periodic tasks do, so tasks
whose periods are multiples of each other share their wake-ups.
"""

import asyncio
import math
import random

__all__ = ["get_next_tick_s", "sleep_to_tick"]

# Random phase of this process, in seconds, so that instances that start
# together do not send at the same time.
PHASE_S = random.random()
# A tick closer than this share of the period is skipped, so that a task does
# not run twice in a row.
MIN_WAIT_SHARE = 0.2


def get_next_tick_s(period_s: float, now: float, phase_s: float | None = None) -> float:
    """Return the time until the next tick of a period, in seconds.

    The phase is that of this process, if none is given.

    >>> get_next_tick_s(0.5, now=10.0, phase_s=0.25)
    0.25
    >>> get_next_tick_s(0.5, now=10.2, phase_s=0.25) > 0.5
    True
    """
    passed = (now - (PHASE_S if phase_s is None else phase_s)) / period_s
    return (math.floor(passed + MIN_WAIT_SHARE) + 1 - passed) * period_s


async def sleep_to_tick(period_s: float) -> None:
    """Sleep until the next tick, for about one period."""
    now = asyncio.get_running_loop().time()
    await asyncio.sleep(get_next_tick_s(period_s, now))

"""Let the periodic work of one instance happen at the same moments.

Each wake-up of an idle process costs more than most of what is done in it. On
a common grid of quarters of a second seven tasks wake it four times a second.
"""

import asyncio
import math
import random

__all__ = ["get_next_tick_s", "sleep_to_tick"]

# Where the grid of this process begins, in seconds: instances that start
# together must not all work, and all send, at the same moments.
PHASE_S = random.random()
# A tick that is closer than this share of its period is passed over, so that
# work which takes a moment is not done twice in a row.
SHORTEST_SHARE = 0.2


def get_next_tick_s(period_s: float, now: float, phase_s: float = PHASE_S) -> float:
    """Return how long it is until the next multiple of a period, in seconds.

    >>> get_next_tick_s(0.5, now=10.0, phase_s=0.25)
    0.25
    >>> get_next_tick_s(0.5, now=10.2, phase_s=0.25) > 0.5
    True
    """
    passed = (now - phase_s) / period_s
    return (math.floor(passed + SHORTEST_SHARE) + 1 - passed) * period_s


async def sleep_to_tick(period_s: float) -> None:
    """Sleep for a period, more or less, to the next tick of the grid."""
    now = asyncio.get_running_loop().time()
    await asyncio.sleep(get_next_tick_s(period_s, now))

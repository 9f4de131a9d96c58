"""Bound the work on received data in one iteration of the event loop.

Reading what has already arrived never waits by itself, so a peer decides how
much work comes at once. Each reader counts its work in a ``WorkMeter`` and
asks before it goes on. A little goes on at once; whoever has more to do waits
for a turn, and one turn is granted in each iteration. Those that have done the
least are served first, so that an answer of a few turns is not delayed by
others that never end.
"""

import asyncio
import heapq
import itertools
from dataclasses import dataclass
from weakref import WeakKeyDictionary

__all__ = [
    "MIN_WORK_BYTES",
    "TURN_BYTES",
    "LoopTurns",
    "WorkMeter",
    "get_loop_turns",
]

# What one turn may read. Parsers take up to some 40 ns a byte.
TURN_BYTES = 16 * 1024
# A part, however short, costs as much as this many bytes.
MIN_WORK_BYTES = 512
# What all readers together may read in one iteration without a turn.
ITERATION_BYTES = 8 * TURN_BYTES
# A reader that reads no more than this in a second waits for no turns.
FREE_BYTES_PER_S = 64 * 1024


@dataclass(slots=True)
class WorkMeter:
    """Work of one reader, such as the parser of one answer.

    ``done_bytes`` is what it has read in all, and ``allowed_bytes`` what it
    may read without a turn.
    """

    done_bytes: int = 0
    allowed_bytes: float = TURN_BYTES
    refilled_at: float = 0.0

    def refill(self, now: float) -> None:
        """Allow what the time since the last call allows."""
        gained = (now - self.refilled_at) * FREE_BYTES_PER_S
        self.refilled_at = now
        self.allowed_bytes = min(TURN_BYTES, self.allowed_bytes + gained)

    def spend(self, work_bytes: int) -> None:
        """Count work that is done now."""
        self.done_bytes += work_bytes
        self.allowed_bytes -= work_bytes


class LoopTurns:
    """Grant one turn in each iteration of the event loop.

    However many wait for their turn, an iteration takes no longer than one of
    them works, beside the little that goes on without a turn.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self._numbers = itertools.count()
        self._is_scheduled = False
        self._iteration_bytes = 0

    def may_go_on(self, meter: WorkMeter, work_bytes: int) -> bool:
        """Count work and return true, or false if it needs a turn."""
        work_bytes = max(work_bytes, MIN_WORK_BYTES)
        meter.refill(self._loop.time())
        if meter.allowed_bytes < work_bytes:
            return False
        if self._iteration_bytes + work_bytes > ITERATION_BYTES:
            return False
        if not self._iteration_bytes:
            self._loop.call_soon(self._begin_iteration)
        self._iteration_bytes += work_bytes
        meter.spend(work_bytes)
        return True

    async def begin(self, meter: WorkMeter, work_bytes: int) -> None:
        """Count work, and wait for a turn if it cannot go on at once."""
        if not self.may_go_on(meter, work_bytes):
            await self.wait(meter)
            meter.spend(max(work_bytes, MIN_WORK_BYTES))

    async def wait(self, meter: WorkMeter | None = None) -> None:
        """Wait for the next turn, and allow as much as belongs to one."""
        turn = self._loop.create_future()
        rank = meter.done_bytes if meter is not None else 0
        heapq.heappush(self._waiting, (rank, next(self._numbers), turn))
        self._schedule()
        await turn
        if meter is not None:
            meter.allowed_bytes = TURN_BYTES

    def _begin_iteration(self) -> None:
        self._iteration_bytes = 0

    def _schedule(self) -> None:
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._grant)

    def _grant(self) -> None:
        self._is_scheduled = False
        while self._waiting:
            _, _, turn = heapq.heappop(self._waiting)
            if not turn.done():
                turn.set_result(None)
                break
        self._schedule()


_turns_by_loop: WeakKeyDictionary[asyncio.AbstractEventLoop, LoopTurns] = (
    WeakKeyDictionary()
)


def get_loop_turns() -> LoopTurns:
    """Return the turns of the running event loop."""
    loop = asyncio.get_running_loop()
    turns = _turns_by_loop.get(loop)
    if turns is None:
        turns = _turns_by_loop[loop] = LoopTurns(loop)
    return turns

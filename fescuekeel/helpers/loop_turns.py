"""Let work that never waits by itself take turns on the event loop."""

import asyncio
from collections import deque
from weakref import WeakKeyDictionary

__all__ = ["LoopTurns", "get_loop_turns"]


class LoopTurns:
    """Grant one turn in each iteration of the event loop, in order of arrival.

    However many wait for their turn, an iteration takes no longer than one of
    them works.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._call_soon = loop.call_soon
        self._make_future = loop.create_future
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._is_scheduled = False

    async def wait(self) -> None:
        """Wait for the next turn."""
        turn = self._make_future()
        self._waiting.append(turn)
        self._schedule()
        await turn

    def _schedule(self) -> None:
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            self._call_soon(self._grant)

    def _grant(self) -> None:
        self._is_scheduled = False
        while self._waiting:
            turn = self._waiting.popleft()
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

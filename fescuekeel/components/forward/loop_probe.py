"""Measure how long one iteration of the event loop takes."""

import asyncio
import time
from collections.abc import Callable

__all__ = ["LoopProbe"]


class LoopProbe:
    """Measure a whole iteration when asked to.

    An idle loop is not woken: a measurement begins with a new connection, and
    ``record`` returns whether the next iteration is measured as well.
    """

    def __init__(self, record: Callable[[float], bool]) -> None:
        self._record = record
        self._pending = False
        self._began_at = 0.0

    def start(self) -> None:
        """Measure the next iteration, unless that is in progress."""
        if self._pending:
            return
        self._pending = True
        asyncio.get_running_loop().call_soon(self._begin)

    def _begin(self) -> None:
        self._began_at = time.monotonic()
        asyncio.get_running_loop().call_soon(self._end)

    def _end(self) -> None:
        self._pending = False
        if self._record(time.monotonic() - self._began_at):
            self.start()

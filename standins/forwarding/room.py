"""The room of a stand-in worker: requests that run, wait or are rejected."""

import asyncio
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Any

__all__ = ["UNBOUNDED", "Admission", "WorkerRoom"]

UNBOUNDED = 10_000
REJECTION_WINDOW_S = 1.0


class Admission(Enum):
    """Whether a request runs, is rejected or dropped with its connection."""

    RUNS = auto()
    REJECTED = auto()
    DROPPED = auto()


@dataclass(eq=False)
class WorkerRoom:
    """``slots`` requests run at a time and ``max_waiting`` wait.

    All further ones are rejected. While ``brittle_per_s`` is set, the worker
    names it in its answers, and falls over when it rejects more than that
    within a second: ``fall`` stops it and starts it again empty. ``fell_at``
    has the times in monotonic seconds.
    """

    slots: int = UNBOUNDED
    max_waiting: int = UNBOUNDED
    brittle_per_s: float | None = None
    fall: Callable[[], bool] | None = None
    fell_at: list[float] = field(default_factory=list)
    _running: int = 0
    _waiting: deque[asyncio.Future[None]] = field(default_factory=deque)
    _rejected_at: deque[float] = field(default_factory=deque)

    def remove_bounds(self) -> None:
        """End all bounds."""
        self.brittle_per_s = None
        self.max_waiting = UNBOUNDED
        self.slots = UNBOUNDED
        while self._waiting:
            self._running += 1
            self._waiting.popleft().set_result(None)

    async def enter(self, closed: asyncio.Event) -> Admission:
        """Wait for a place until the caller disconnects."""
        if self._running < self.slots:
            self._running += 1
            return Admission.RUNS
        if len(self._waiting) >= self.max_waiting:
            self._record_rejected()
            return Admission.REJECTED
        place: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(place)
        left = asyncio.ensure_future(closed.wait())
        ends: set[asyncio.Future[Any]] = {place, left}
        await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
        left.cancel()
        if place.done():
            return Admission.RUNS
        self._waiting.remove(place)
        return Admission.DROPPED

    def leave(self) -> None:
        """Give a place to the request that has waited longest."""
        if self._waiting:
            self._waiting.popleft().set_result(None)
        else:
            self._running -= 1

    def _record_rejected(self) -> None:
        now = time.monotonic()
        self._rejected_at.append(now)
        while self._rejected_at[0] < now - REJECTION_WINDOW_S:
            self._rejected_at.popleft()
        if self.brittle_per_s is None or self.fall is None:
            return
        if len(self._rejected_at) > self.brittle_per_s:
            self._rejected_at.clear()
            self.fell_at.append(now)
            self.fall()

"""Services whose endpoints fall over when they reject too many requests."""

import asyncio
import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from random import Random

from bench.soak.plan import Fault, FaultKind
from bench.soak.violation import Violation
from standins.forwarding.platform import FALL_DOWN_S
from standins.forwarding.workers import Worker

__all__ = ["BrittleServices", "check_brittle", "list_falls"]

# Endpoints let fewer wait this long after they first named the number.
KNOWN_WITHIN_S = 3.0
PERIOD_S = 5.0
SLOTS = 2
MAX_WAITING = 20
RUN_S = 0.1
REJECTIONS_PER_S = (1.0, 2.0, 4.0)
WAITING_THEN = (0, 1, 2)
FREE_FALLS = 2
FALLS_SHARE = 0.1


@dataclass(frozen=True, slots=True)
class BrittlePeriod:
    """A time in which the workers of a service were brittle."""

    workers: tuple[Worker, ...]
    began_at: float
    ended_at: float


@dataclass(slots=True)
class BrittleServices:
    """All such times of a run."""

    periods: list[BrittlePeriod] = field(default_factory=list)
    _brittle: set[str] = field(default_factory=set)

    async def make_brittle(self, workers: Sequence[Worker], fault: Fault) -> None:
        """Make the workers of one service brittle for a while."""
        service = workers[0].service
        if service in self._brittle:
            return
        self._brittle.add(service)
        random = Random(f"{fault.starts_at} brittle")
        stands_per_s = random.choice(REJECTIONS_PER_S)
        began_at = time.monotonic()
        for worker in workers:
            worker.room.slots, worker.room.max_waiting = SLOTS, MAX_WAITING
            worker.run_s = RUN_S
            worker.room.brittle_per_s = stands_per_s
        await asyncio.sleep(KNOWN_WITHIN_S)
        for worker in workers:
            worker.room.max_waiting = random.choice(WAITING_THEN)
        await asyncio.sleep(fault.duration_s + PERIOD_S)
        period = BrittlePeriod(tuple(workers), began_at, time.monotonic())
        self.periods.append(period)
        for worker in workers:
            worker.run_s = 0.0
            worker.room.remove_bounds()
        self._brittle.discard(service)


def check_brittle(
    periods: Iterable[BrittlePeriod], was_disturbed: Callable[[float, float], bool]
) -> Iterable[Violation]:
    """Check how often endpoints fell over while nothing disturbed daemons."""
    for period in periods:
        falls = [
            at
            for worker in period.workers
            for at in worker.room.fell_at
            if period.began_at <= at <= period.ended_at
            and not was_disturbed(at - KNOWN_WITHIN_S, at)
        ]
        allowed = FREE_FALLS + FALLS_SHARE * len(period.workers)
        if len(falls) > allowed:
            service = period.workers[0].service
            yield Violation("falls", f"{service}: {len(falls)}, allowed {allowed}")


def list_falls(workers: Iterable[Worker], started_at: float) -> list[Fault]:
    """Return each fall as a fault, for the checks of undisturbed requests."""
    return [
        Fault(FaultKind.SERVICE_BRITTLE, at - started_at, FALL_DOWN_S, 0)
        for worker in workers
        for at in worker.room.fell_at
    ]

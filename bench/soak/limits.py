"""Rate limits that endpoints name for a while, and the check on them."""

import asyncio
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

from bench.soak.plan import Fault
from bench.soak.violation import Violation
from standins.forwarding.workers import Worker

__all__ = ["EndpointLimits", "check_limits"]

# Daemons that no fault disturbs keep to a limit this long after it was named.
KNOWN_WITHIN_S = 3.0
WINDOW_S = 4.0
OVERAGE = 1.5
SLACK = 5
RATES_PER_S = (0.0, 1.0, 3.0, 8.0)
# Long enough for some time in which the limit must hold.
PERIOD_S = 5.0


@dataclass(frozen=True, slots=True)
class LimitPeriod:
    """A limit of a worker, from its first answer that named it."""

    worker: Worker
    rate_per_s: float
    named_at: float
    ended_at: float


@dataclass(slots=True)
class EndpointLimits:
    """All limits of a run."""

    periods: list[LimitPeriod] = field(default_factory=list)

    async def limit(self, worker: Worker, fault: Fault) -> None:
        """Let a worker name a limit, which falls once, and then end it."""
        if worker.limit_per_s is not None:
            return
        random = Random(f"{fault.starts_at} limit")
        for rate_per_s in sorted(random.sample(RATES_PER_S, 2), reverse=True):
            worker.limit_named_at = None
            worker.limit_per_s = rate_per_s
            await asyncio.sleep(fault.duration_s / 2 + PERIOD_S)
            if worker.limit_named_at is not None:
                period = LimitPeriod(
                    worker, rate_per_s, worker.limit_named_at, time.monotonic()
                )
                self.periods.append(period)
        worker.limit_per_s = None


def check_limits(
    periods: Iterable[LimitPeriod], was_disturbed: Callable[[float, float], bool]
) -> Iterable[Violation]:
    """Check the runs of limited endpoints in all undisturbed windows."""
    for period in periods:
        allowed = OVERAGE * period.rate_per_s * WINDOW_S + SLACK
        since = period.named_at + KNOWN_WITHIN_S
        times = [
            record.started_at
            for record in period.worker.records
            if since <= record.started_at <= period.ended_at
        ]
        for start in times:
            count = sum(start <= at < start + WINDOW_S for at in times)
            disturbed = was_disturbed(start - KNOWN_WITHIN_S, start + WINDOW_S)
            if count > allowed and not disturbed:
                detail = f"{period.worker.id}: {count} in {WINDOW_S} s, {allowed}"
                yield Violation("endpoint limit", detail)
                break

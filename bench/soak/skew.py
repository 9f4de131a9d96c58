"""Most new connections at one daemon, and the check on what it serves."""

import time
from collections.abc import Iterable, Sequence
from random import Random

from bench.soak.culprits import CULPRIT_ROUTES
from bench.soak.plan import Fault
from bench.soak.violation import Violation
from standins.forwarding.cpu_limit import limit_cpu
from standins.forwarding.skewed_callers import SkewedCallers, SkewedResult

__all__ = ["check_skewed_service", "skew_connections"]

REQUESTS_PER_S = 60.0
# Of the check after the faults, in which daemons have a part of a core.
CHECKED_PER_S = 150.0
CPU_SHARE = 0.25
BEFORE_S = 1.5
# Requests count from this time after the connections became skewed.
CONTACT_S = 3.0
COUNTED_S = 2.0
MIN_SHARE = 0.75
SUCCESS = 200


async def skew_connections(addresses: Sequence[str], fault: Fault) -> None:
    """Open most new connections to one daemon for a while."""
    random = Random(f"{fault.starts_at} skew")
    skewed_to = fault.target % len(addresses)
    callers = SkewedCallers(addresses, random, skewed_to, CULPRIT_ROUTES)
    await callers.run(REQUESTS_PER_S, fault.duration_s)
    await callers.finish()


async def check_skewed_service(
    addresses: Sequence[str], pids: Sequence[int], seed: int
) -> list[Violation]:
    """Check that a daemon serves what it reads, and others the rest."""
    random = Random(f"{seed} skewed")
    callers = SkewedCallers(addresses, random, routes=CULPRIT_ROUTES)
    async with limit_cpu(pids, CPU_SHARE):
        began_at = time.monotonic()
        await callers.run(CHECKED_PER_S, BEFORE_S)
        skewed_at = time.monotonic()
        callers.skewed_to = seed % len(addresses)
        await callers.run(CHECKED_PER_S, CONTACT_S + COUNTED_S)
        ended_at = time.monotonic()
        await callers.finish()
    before = _get_share(callers.list_since(began_at, skewed_at))
    skewed = _get_share(callers.list_since(skewed_at + CONTACT_S, ended_at))
    print(f"skewed connections: served={skewed:.2f} before={before:.2f}")
    if skewed >= MIN_SHARE * before:
        return []
    detail = f"{skewed:.2f} served while skewed, {before:.2f} before"
    return [Violation("skewed connections", detail)]


def _get_share(results: Iterable[SkewedResult]) -> float:
    statuses = [each.status for each in results]
    return statuses.count(SUCCESS) / len(statuses)

"""Endpoints that leave or back off by their answers, and the checks on it."""

import asyncio
from collections.abc import Callable, Iterable, Mapping
from random import Random

from bench.soak.callers import CallResult, Ending
from bench.soak.plan import Fault, FaultKind
from bench.soak.violation import Violation
from standins.forwarding.workers import Worker

__all__ = [
    "DISTURBS_BACK_OFF",
    "DISTURBS_LEAVING",
    "back_off",
    "check_back_offs",
    "check_leaving",
]

# A daemon sends nothing that it got later than this after it passed on an
# answer with which an endpoint leaves.
LEAVING_BOUND_S = 2.0
# What left before a rejection came may arrive until this long after it.
IN_TRANSIT_S = 0.5
MAX_WITHIN_BACK_OFF = 2
RETRY_AFTERS = ("0.8", "2", "3", "0", "soon")
PERIOD_S = 2.0

# A restart or a freeze excuses a daemon.
DISTURBS_LEAVING = frozenset(
    {
        FaultKind.KILL,
        FaultKind.KILL_ALL,
        FaultKind.POWER_LOST,
        FaultKind.TERM,
        FaultKind.PAUSE,
        FaultKind.EARLY_SIGNALS,
        FaultKind.SETTINGS_REWRITTEN,
    }
)
# So does a cut of its connections to endpoints, from a back-off.
DISTURBS_BACK_OFF = DISTURBS_LEAVING | {
    FaultKind.LINKS_HANG,
    FaultKind.LINKS_RESET,
    FaultKind.LINKS_REFUSE,
    FaultKind.ENDPOINT_CUT,
    FaultKind.ENDPOINT_SILENT,
    FaultKind.ENDPOINT_RESET,
    FaultKind.ENDPOINT_DELAY,
}

WasDisturbed = Callable[[frozenset[FaultKind], float, float], bool]


async def back_off(worker: Worker, fault: Fault) -> None:
    """Let a worker reject all requests with a Retry-After for a while."""
    if worker.retry_after is not None:
        return
    random = Random(f"{fault.starts_at} back off")
    worker.retry_after = random.choice(RETRY_AFTERS)
    await asyncio.sleep(fault.duration_s + PERIOD_S)
    worker.retry_after = None


def check_leaving(
    workers: Iterable[Worker],
    results: Iterable[CallResult],
    was_disturbed: WasDisturbed,
) -> Iterable[Violation]:
    """Check that a daemon believes an endpoint that says that it leaves."""
    results_by_id = {result.request_id: result for result in results}
    for worker in workers:
        if not worker.leaves:
            continue
        known_at_by_daemon = _find_passed_on(worker, results_by_id)
        for at, id in worker.arrivals:
            result = results_by_id.get(id)
            if result is None or result.daemon not in known_at_by_daemon:
                continue
            known_at = known_at_by_daemon[result.daemon]
            late_s = result.started_at - known_at
            if late_s > LEAVING_BOUND_S and not was_disturbed(
                DISTURBS_LEAVING, known_at, at
            ):
                detail = f"{worker.id}: daemon {result.daemon} {late_s:.2f} s after"
                yield Violation("leaving by answer", detail)
                break


def _find_passed_on(
    worker: Worker, results_by_id: Mapping[str, CallResult]
) -> dict[int, float]:
    """Return when each daemon first passed on that a worker leaves."""
    known_at_by_daemon: dict[int, float] = {}
    for at, id in worker.arrivals:
        result = results_by_id.get(id)
        if result is None or at < worker.left_at or result.ending is not Ending.WHOLE:
            continue
        known_at = known_at_by_daemon.get(result.daemon, result.ended_at)
        known_at_by_daemon[result.daemon] = min(known_at, result.ended_at)
    return known_at_by_daemon


def check_back_offs(
    workers: Iterable[Worker],
    results: Iterable[CallResult],
    was_disturbed: WasDisturbed,
) -> Iterable[Violation]:
    """Check that a daemon sends an endpoint nothing until its Retry-After."""
    daemons_by_id = {result.request_id: result.daemon for result in results}
    for worker in workers:
        for rejected_at, id, retry_after in worker.rejected:
            if id not in daemons_by_id or not retry_after.replace(".", "").isdigit():
                continue
            until = rejected_at + float(retry_after)
            within = [
                at
                for at, other in worker.arrivals
                if rejected_at + IN_TRANSIT_S <= at < until
                and daemons_by_id.get(other) == daemons_by_id[id]
            ]
            if len(within) > MAX_WITHIN_BACK_OFF and not was_disturbed(
                DISTURBS_BACK_OFF, rejected_at, until
            ):
                detail = f"{worker.id}: {len(within)} within {retry_after} s"
                yield Violation("back-off", detail)
                break

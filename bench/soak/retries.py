"""Services that fail, and the check on the retries of all daemons together."""

import asyncio
from bisect import bisect_right
from collections.abc import Iterable, Mapping, Sequence

from bench.soak.callers import CallResult, Route
from bench.soak.plan import Fault
from bench.soak.violation import Violation
from standins.forwarding.platform import ENGINES, PLAIN
from standins.forwarding.workers import Worker

__all__ = ["RETRY_WINDOW_S", "check_retries", "fail_service"]

# Shorter than by default, so that daemons get their part of the slack within a
# run.
RETRY_WINDOW_S = 3.0
RETRY_RATIO = 0.2
FAILING_SHARE = 0.9
SERVICES_BY_ROUTE = {
    Route.LOOKUP: PLAIN,
    Route.CHARGE: PLAIN,
    Route.SCRIPT: ENGINES,
    Route.EXPLAIN: ENGINES,
}


async def fail_service(workers: Sequence[Worker], fault: Fault) -> None:
    """Let most runs of a service fail for a while."""
    for worker in workers:
        worker.failing_share = FAILING_SHARE
    await asyncio.sleep(fault.duration_s)
    for worker in workers:
        worker.failing_share = 0.0


def check_retries(
    workers: Iterable[Worker], results: Iterable[CallResult], slack: float
) -> Iterable[Violation]:
    """Check the arrivals beyond the first of each request, in each window."""
    sent_at_by_id = {result.request_id: result.started_at for result in results}
    services_by_id = {
        result.request_id: SERVICES_BY_ROUTE[result.route] for result in results
    }
    arrivals_by_service: dict[str, list[tuple[float, str]]] = {}
    for worker in workers:
        arrivals_by_service.setdefault(worker.service, []).extend(worker.arrivals)
    for service, arrivals in arrivals_by_service.items():
        sent = dict(
            (id, at)
            for id, at in sent_at_by_id.items()
            if services_by_id[id] == service
        )
        yield from _check_service(service, sorted(arrivals), sent, slack)


def _check_service(
    service: str,
    arrivals: Iterable[tuple[float, str]],
    sent_at_by_id: Mapping[str, float],
    slack: float,
) -> Iterable[Violation]:
    first_at_by_id: dict[str, float] = {}
    retries = []
    for at, id in arrivals:
        if id in first_at_by_id:
            retries.append(at)
        first_at_by_id.setdefault(id, at)
    # Requests of other callers are known by their arrival only.
    requests = sorted((first_at_by_id | dict(sent_at_by_id)).values())
    for end in retries:
        count = _count(retries, end, 0.0)
        earlier = (0.0, RETRY_WINDOW_S / 2, RETRY_WINDOW_S)
        most = max(_count(requests, end, before) for before in earlier)
        allowed = RETRY_RATIO * most + slack
        if count > allowed:
            detail = f"{service}: {count} retries up to {end:.2f}, allowed {allowed}"
            yield Violation("retry budget", detail)
            return


def _count(times: list[float], end: float, before: float) -> int:
    """Count the times of a window that ended some time before."""
    start = bisect_right(times, end - before - RETRY_WINDOW_S)
    return bisect_right(times, end - before) - start

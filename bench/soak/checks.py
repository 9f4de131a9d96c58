"""Check a run against the safety and availability invariants; pure.

Safety is checked at all times. Time bounds and availability are checked only
for requests that no fault overlaps.
"""

import re
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from bench.soak.callers import CallResult, Ending, Route
from bench.soak.plan import DAEMON_KINDS, Fault, FaultKind
from bench.soak.violation import Violation
from standins.forwarding.workers import Worker

__all__ = ["Drain", "History", "Violation", "check"]

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
SUCCESS = 200
NOT_FOUND = 404
EVENT = re.compile(rb"id: (\d+)(\r\n|\n|\r)data: piece \1\2\2")
# How long a fault can affect requests after its end: request deadlines,
# detection of unresponsive connections, and waiting for leases to expire.
RECOVERY_S = 6.0
# How long a daemon may take to discover its peers again.
DAEMON_RECOVERY_S = 3.0
# A draining endpoint receives nothing after two seconds; the rest allows for
# event loop lag.
DRAIN_BOUND_S = 2.5


@dataclass(frozen=True, slots=True)
class Drain:
    """When an endpoint started to drain, in monotonic seconds."""

    endpoint: str
    started_at: float


@dataclass(frozen=True, slots=True)
class History:
    """Faults, requests and endpoint records of one run.

    The times of faults are relative to ``started_at``, a monotonic time.
    """

    started_at: float
    faults: Sequence[Fault]
    results: Sequence[CallResult]
    workers: Sequence[Worker]
    drains: Sequence[Drain] = ()

    def overlaps_fault(
        self, start: float, end: float, include_planned: bool = False
    ) -> bool:
        """Return whether a fault can have affected this interval."""
        return any(
            self.started_at + fault.starts_at <= end
            and start <= self.started_at + fault.ends_at + RECOVERY_S
            for fault in self.faults
            if include_planned or not fault.planned
        )

    def disturbs_daemons(self, start: float, end: float) -> bool:
        """Return whether a fault of daemons or their connections overlaps."""
        return any(
            self.started_at + fault.starts_at <= end
            and start <= self.started_at + fault.ends_at + DAEMON_RECOVERY_S
            for fault in self.faults
            if fault.kind in DAEMON_KINDS
        )

    def overlaps_kinds(
        self, kinds: frozenset[FaultKind], start: float, end: float
    ) -> bool:
        """Return whether a fault of certain kinds overlaps, or just ended."""
        return any(
            self.started_at + fault.starts_at <= end
            and start <= self.started_at + fault.ends_at + DAEMON_RECOVERY_S
            for fault in self.faults
            if fault.kind in kinds
        )

    def disturbs_versions(self, start: float, end: float) -> bool:
        """Return whether a daemon, or an endpoint's version, was disturbed."""
        return self.disturbs_daemons(start, end) or any(
            self.started_at + fault.starts_at <= end
            and start <= self.started_at + fault.ends_at + DAEMON_RECOVERY_S
            for fault in self.faults
            if fault.kind is FaultKind.VERSION_IN_PLACE
        )


def check(history: History) -> list[Violation]:
    """Return all violations."""
    runs = count_runs(history.workers)
    violations = list(check_runs(history, runs))
    for result in history.results:
        violations += check_result(result)
    violations += check_endpoints(history.workers)
    violations += check_undisturbed(history, runs)
    violations += check_drains(history)
    return violations


def count_runs(workers: Iterable[Worker]) -> Counter[str]:
    """Return the number of runs of each request over all endpoints."""
    runs: Counter[str] = Counter()
    for worker in workers:
        runs.update(worker.runs)
    return runs


def check_runs(history: History, runs: Counter[str]) -> Iterable[Violation]:
    """Check that no request ran twice, or ran although it was rejected."""
    for result in history.results:
        ran = runs[result.request_id]
        rejected = result.status in NOT_RUN_STATUSES and result.ending is not Ending.CUT
        if rejected and ran and not result.route.repeatable:
            yield Violation("not run", f"{result} ran {ran} times")
        if ran > 1 and not result.route.repeatable:
            yield Violation("at most once", f"{result} ran {ran} times")


def check_result(result: CallResult) -> Iterable[Violation]:
    """Check that a response belongs to its request and is complete."""
    if result.status == NOT_FOUND:
        yield Violation("routes", f"{result} should have found a route")
    if result.status != SUCCESS:
        return
    if result.route.stream:
        yield from check_stream(result)
        return
    method = "GET" if result.route is Route.LOOKUP else "POST"
    sent = b"" if method == "GET" else b"body"
    expected = f"{method} {result.path} ".encode() + sent
    if result.ending is Ending.WHOLE and result.body != expected:
        yield Violation("own answer", f"{result}")


def check_stream(result: CallResult) -> Iterable[Violation]:
    """Check that events arrive once, in order, and without a gap."""
    numbers = [int(first) for first, _ in EVENT.findall(result.body)]
    if numbers != list(range(1, len(numbers) + 1)):
        yield Violation("stream order", f"{result}")
    events = Worker("").events
    if result.ending is Ending.WHOLE and len(numbers) != events:
        yield Violation("whole stream", f"{result}")


def check_endpoints(workers: Iterable[Worker]) -> Iterable[Violation]:
    """Check that no endpoint was overloaded or had two holders per token."""
    for worker in workers:
        if worker.overrun:
            yield Violation("places", f"{worker.id} exceeded its slots")
        holders_by_fence: dict[int, set[str]] = defaultdict(set)
        for fence, holder in zip(worker.fencing_tokens, worker.holders, strict=True):
            holders_by_fence[fence].add(holder)
        for fence, holders in holders_by_fence.items():
            if len(holders) > 1:
                yield Violation(
                    "fencing", f"{worker.id}: fencing token {fence} used by {holders}"
                )


def check_undisturbed(history: History, runs: Counter[str]) -> Iterable[Violation]:
    """Check that planned maintenance causes no failed request."""
    for result in history.results:
        if result.ending is Ending.WHOLE:
            continue
        if history.overlaps_fault(result.started_at, result.ended_at):
            continue
        # The daemon may close an idle connection as the request arrives.
        raced_with_close = (
            result.ending is Ending.UNANSWERED and not runs[result.request_id]
        )
        if not raced_with_close:
            yield Violation("graceful", f"{result}")


def check_drains(history: History) -> Iterable[Violation]:
    """Check that a draining endpoint gets no new requests after the bound."""
    workers_by_id = {worker.id: worker for worker in history.workers}
    for drain in history.drains:
        bound = drain.started_at + DRAIN_BOUND_S
        for record in workers_by_id[drain.endpoint].records:
            if record.started_at <= bound or history.overlaps_fault(
                drain.started_at, record.started_at
            ):
                continue
            if _overlaps_daemon_stop(history, drain.started_at, record.started_at):
                continue
            late_s = record.started_at - drain.started_at
            yield Violation("leaving", f"{drain} ran {record} after {late_s:.2f} s")


def _overlaps_daemon_stop(history: History, start: float, end: float) -> bool:
    """Return whether a daemon was stopped or started in this interval."""
    return any(
        history.started_at + fault.starts_at <= end
        and start <= history.started_at + fault.ends_at + RECOVERY_S
        for fault in history.faults
        if fault.kind is FaultKind.TERM
    )

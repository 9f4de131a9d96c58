"""Check what callers and endpoints saw against the promises; pure.

Safety holds whatever fails. What has a time bound, or depends on others to be
sound, is checked only where no fault can have had a hand in it.
"""

import re
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from bench.soak.callers import Answer, Ending, Route
from bench.soak.plan import Fault, FaultKind
from bench.soak.violation import Violation
from standins.forwarding.workers import Worker

__all__ = ["Journal", "Leaving", "Violation", "check"]

NOT_RUN = frozenset({408, 421, 429, 503})
SUCCESS = 200
NOT_FOUND = 404
EVENT = re.compile(rb"id: (\d+)\ndata: piece (\d+)\n\n")
# A fault may show for so long after its end: the time of a caller, silent
# connections that are noticed, claims that wait for a lease.
AFTERMATH_S = 6.0
# An endpoint that has announced its leaving gets nothing after two seconds;
# the rest is what two processes' loops may lag beside each other.
LEAVING_S = 2.5


@dataclass(frozen=True, slots=True)
class Leaving:
    """When an endpoint announced that it leaves, in monotonic seconds."""

    endpoint: str
    at: float


@dataclass(frozen=True, slots=True)
class Journal:
    """All that was seen in one run.

    ``began`` is the monotonic time that the faults' times count from.
    """

    began: float
    faults: Sequence[Fault]
    answers: Sequence[Answer]
    workers: Sequence[Worker]
    leavings: Sequence[Leaving] = ()

    def is_disturbed(self, start: float, end: float, planned: bool = False) -> bool:
        """Tell whether a fault can have had a hand in what happened then."""
        return any(
            self.began + fault.at <= end
            and start <= self.began + fault.ends + AFTERMATH_S
            for fault in self.faults
            if planned or not fault.planned
        )


def check(journal: Journal) -> list[Violation]:
    """Return every broken promise."""
    runs = count_runs(journal.workers)
    violations = list(check_runs(journal, runs))
    for answer in journal.answers:
        violations += check_answer(answer)
    violations += check_endpoints(journal.workers)
    violations += check_calm(journal, runs)
    violations += check_leavings(journal)
    return violations


def count_runs(workers: Iterable[Worker]) -> Counter[str]:
    """Return how often each request ran, over all endpoints."""
    runs: Counter[str] = Counter()
    for worker in workers:
        runs.update(worker.runs)
    return runs


def check_runs(journal: Journal, runs: Counter[str]) -> Iterable[Violation]:
    """Check that nothing ran twice, or ran although it was refused."""
    for answer in journal.answers:
        ran = runs[answer.request_id]
        told_not_run = answer.status in NOT_RUN and answer.ending is not Ending.CUT
        if told_not_run and ran and not answer.route.repeatable:
            yield Violation("not run", f"{answer} ran {ran} times")
        if ran > 1 and not answer.route.repeatable:
            yield Violation("at most once", f"{answer} ran {ran} times")


def check_answer(answer: Answer) -> Iterable[Violation]:
    """Check that an answer is the request's own, and whole if it looks so."""
    if answer.status == NOT_FOUND:
        yield Violation("routes", f"{answer} has a route")
    if answer.status != SUCCESS:
        return
    if answer.route.stream:
        yield from check_stream(answer)
        return
    method = "GET" if answer.route is Route.LOOKUP else "POST"
    sent = b"" if method == "GET" else b"body"
    expected = f"{method} {answer.path} ".encode() + sent
    if answer.ending is Ending.WHOLE and answer.body != expected:
        yield Violation("own answer", f"{answer}")


def check_stream(answer: Answer) -> Iterable[Violation]:
    """Check that events come once and in order, and all if it ends well."""
    numbers = [int(first) for first, _ in EVENT.findall(answer.body)]
    if numbers != list(range(1, len(numbers) + 1)):
        yield Violation("stream order", f"{answer}")
    events = Worker("").events
    if answer.ending is Ending.WHOLE and len(numbers) != events:
        yield Violation("whole stream", f"{answer}")


def check_endpoints(workers: Iterable[Worker]) -> Iterable[Violation]:
    """Check that no endpoint was overrun, nor had two holders at a time."""
    for worker in workers:
        if worker.overrun:
            yield Violation("places", f"{worker.id} was ordered to hold too much")
        holders_by_fence: dict[int, set[str]] = defaultdict(set)
        for fence, holder in zip(worker.fences, worker.holders, strict=True):
            holders_by_fence[fence].add(holder)
        for fence, holders in holders_by_fence.items():
            if len(holders) > 1:
                yield Violation("fencing", f"{worker.id}: {fence} of {holders}")


def check_calm(journal: Journal, runs: Counter[str]) -> Iterable[Violation]:
    """Check that planned work costs no caller its answer."""
    for answer in journal.answers:
        if answer.ending is Ending.WHOLE:
            continue
        if journal.is_disturbed(answer.began, answer.ended):
            continue
        crossed = answer.ending is Ending.UNANSWERED and not runs[answer.request_id]
        if not crossed:
            yield Violation("graceful", f"{answer}")


def check_leavings(journal: Journal) -> Iterable[Violation]:
    """Check that an endpoint that leaves gets nothing new in the end."""
    workers_by_id = {worker.id: worker for worker in journal.workers}
    for leaving in journal.leavings:
        bound = leaving.at + LEAVING_S
        for record in workers_by_id[leaving.endpoint].records:
            if record.at <= bound or journal.is_disturbed(leaving.at, record.at):
                continue
            if _is_stopping(journal, leaving.at, record.at):
                continue
            late_s = record.at - leaving.at
            yield Violation("leaving", f"{leaving} ran {record} after {late_s:.2f} s")


def _is_stopping(journal: Journal, start: float, end: float) -> bool:
    """Tell whether a daemon was stopped or started meanwhile."""
    return any(
        journal.began + fault.at <= end
        and start <= journal.began + fault.ends + AFTERMATH_S
        for fault in journal.faults
        if fault.kind is FaultKind.TERM
    )

"""Compare the callers' results with the endpoints' journals."""

import re
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

from standins.load import Result, Verdict

__all__ = ["RunViolation", "count_runs", "find_run_violations"]

MARKER = re.compile(r"sample-[a-z0-9-]+")
NOT_RUN = "no"


@dataclass(frozen=True, slots=True)
class RunViolation:
    """A request that ran too often, or ran although reported as not run."""

    marker: str
    detail: str


@dataclass(slots=True)
class RequestResults:
    """Results with the same marker: a request and its repetitions."""

    results: list[Result] = field(default_factory=list)


def count_runs(journals: Iterable[dict[str, Any]]) -> Counter[str]:
    """Return the number of runs of each marker in the journals."""
    runs_by_marker: Counter[str] = Counter()
    for journal in journals:
        for run in journal["runs"]:
            # A request that only waited in an engine's queue did not run.
            if not run["started"]:
                continue
            text = run.get("prompt") or f"{run.get('path')} {run.get('body')}"
            match = MARKER.search(text)
            if match is not None:
                runs_by_marker[match[0]] += 1
    return runs_by_marker


def find_run_violations(
    results: Sequence[Result], runs_by_marker: Counter[str]
) -> list[RunViolation]:
    """Return requests whose runs contradict the answers to their callers."""
    groups_by_marker: dict[str, RequestResults] = {}
    for result in results:
        group = groups_by_marker.setdefault(result.request.marker, RequestResults())
        group.results.append(result)
    found = []
    for marker, group in groups_by_marker.items():
        detail = _describe_violation(group, runs_by_marker[marker])
        if detail:
            found.append(RunViolation(marker, detail))
    return found


def _describe_violation(group: RequestResults, runs: int) -> str:
    if runs > 1 and not all(item.request.repeatable for item in group.results):
        return f"not repeatable, ran {runs} times"
    refused = [item.ran for item in group.results if item.verdict is Verdict.REFUSED]
    reported_not_run = len(refused) == len(group.results) and set(refused) == {NOT_RUN}
    if runs and reported_not_run:
        return f'told "not run", ran {runs} times'
    return ""

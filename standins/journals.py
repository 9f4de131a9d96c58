"""Compare what callers heard with what the endpoints' journals say."""

import re
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

from standins.load import Result, Verdict

__all__ = ["Doubled", "count_runs", "find_doubled"]

MARKER = re.compile(r"sample-[a-z0-9-]+")
RAN_NO = "no"


@dataclass(frozen=True, slots=True)
class Doubled:
    """A request that ran too often, or ran although "not run" was told."""

    marker: str
    detail: str


@dataclass(slots=True)
class Group:
    """All results that share a marker: a request and its repetition."""

    results: list[Result] = field(default_factory=list)


def count_runs(journals: Iterable[dict[str, Any]]) -> Counter[str]:
    """Return how often each marker ran, from all endpoints' journals."""
    runs_by_marker: Counter[str] = Counter()
    for journal in journals:
        for run in journal["runs"]:
            # What waited on an engine and never took a step did not run.
            if not run["started"]:
                continue
            text = run.get("prompt") or f"{run.get('path')} {run.get('body')}"
            match = MARKER.search(text)
            if match is not None:
                runs_by_marker[match[0]] += 1
    return runs_by_marker


def find_doubled(
    results: Sequence[Result], runs_by_marker: Counter[str]
) -> list[Doubled]:
    """Return each request that breaks what was promised about its runs."""
    groups_by_marker: dict[str, Group] = {}
    for result in results:
        group = groups_by_marker.setdefault(result.request.marker, Group())
        group.results.append(result)
    found = []
    for marker, group in groups_by_marker.items():
        detail = _check(group, runs_by_marker[marker])
        if detail:
            found.append(Doubled(marker, detail))
    return found


def _check(group: Group, runs: int) -> str:
    if runs > 1 and not all(item.request.repeatable for item in group.results):
        return f"not repeatable, ran {runs} times"
    refused = [item.ran for item in group.results if item.verdict is Verdict.REFUSED]
    told_not_run = len(refused) == len(group.results) and set(refused) == {RAN_NO}
    if runs and told_not_run:
        return f'told "not run", ran {runs} times'
    return ""

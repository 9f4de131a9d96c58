"""Result table of a sample load."""

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Any

from standins.journals import RunViolation
from standins.load import Result, Verdict

__all__ = ["format_summary", "format_table", "mean_batch_fill", "percentile"]

HEADINGS = (
    "service",
    "sent",
    "answered",
    "lost",
    "stall p50",
    "stall p99",
    "first p50",
    "first p99",
    "refused by reason",
)
NO_VALUE = "-"


def percentile(values: Sequence[float], share: float) -> float | None:
    """Return the value at or below which a share of the values lies.

    >>> percentile([3.0, 1.0, 2.0], 0.5), percentile([], 0.5)
    (2.0, None)
    """
    if not values:
        return None
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def mean_batch_fill(reports: Iterable[dict[str, Any]]) -> float | None:
    """Return the mean batch fill of the engines, weighted by steps.

    >>> full = {"steps": 1, "batch_fill": 1.0}
    >>> half = {"steps": 3, "batch_fill": 0.5}
    >>> mean_batch_fill([full, half])
    0.625
    >>> mean_batch_fill([]) is None
    True
    """
    weighed = [(item["steps"], item["batch_fill"]) for item in reports]
    steps = sum(count for count, _ in weighed)
    if not steps:
        return None
    return sum(count * fill for count, fill in weighed) / steps


def format_table(results: Iterable[Result]) -> str:
    """Return a table with a row for each service; times in seconds."""
    groups_by_service: dict[str, list[Result]] = {}
    for result in results:
        path = f"{result.request.shop}/{result.request.service}"
        groups_by_service.setdefault(path, []).append(result)
    rows: list[tuple[str, ...]] = [HEADINGS]
    rows += [_make_row(path, group) for path, group in groups_by_service.items()]
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = []
    for row in rows:
        cells = zip(row, widths, strict=True)
        lines.append("  ".join(cell.ljust(width) for cell, width in cells).rstrip())
    return "\n".join(lines)


def format_summary(
    results: Sequence[Result], violations: Sequence[RunViolation]
) -> str:
    """Return the summary line of a run."""
    counts = Counter(result.verdict for result in results)
    return (
        f"summary answered={counts[Verdict.ANSWERED]} "
        f"refused={counts[Verdict.REFUSED]} "
        f"lost={counts[Verdict.LOST]} doubled={len(violations)}"
    )


def _make_row(path: str, group: Sequence[Result]) -> tuple[str, ...]:
    answered = [item for item in group if item.verdict is Verdict.ANSWERED]
    lost = sum(item.verdict is Verdict.LOST for item in group)
    reasons = Counter(item.kind for item in group if item.verdict is Verdict.REFUSED)
    stalls = [item.stall_s for item in answered if item.stall_s is not None]
    firsts = [item.first_chunk_s for item in answered if item.first_chunk_s is not None]
    refused = " ".join(f"{kind}={count}" for kind, count in sorted(reasons.items()))
    return (
        path,
        str(len(group)),
        str(len(answered)),
        str(lost),
        _format_s(percentile(stalls, 0.5)),
        _format_s(percentile(stalls, 0.99)),
        _format_s(percentile(firsts, 0.5)),
        _format_s(percentile(firsts, 0.99)),
        refused or NO_VALUE,
    )


def _format_s(value: float | None) -> str:
    return NO_VALUE if value is None else f"{value:.3f}"

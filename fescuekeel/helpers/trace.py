"""Find one request in the logs of several instances, and why it ended."""

import re
from collections.abc import Iterable
from dataclasses import dataclass, field

__all__ = ["LogLine", "Trace", "parse_line", "trace_request"]

PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')
# Events that change the view of an endpoint or of the system.
CONTEXT_EVENTS = frozenset(
    {
        "claim_held",
        "claim_lost",
        "configuration_in_force",
        "dependency_lost",
        "dependency_regained",
        "endpoint_changed",
        "endpoint_unreachable",
        "instance_stopping",
        "order_given",
    }
)
# The last context lines per file and endpoint are shown.
MAX_CONTEXT_LINES = 6

CAUSES = {
    "answered": "it was answered",
    "bad_request": "its headers could not be parsed; see detail",
    "caller_gone": "its caller closed the connection before the response was complete",
    "draining": "its instance was shutting down; it did not run",
    "endpoint_refused": "each permitted endpoint replied that it did not run it",
    "expired": "its deadline passed at an endpoint; it may have run",
    "endpoints_limited": "all endpoints were at the rate limits that they name",
    "load_failed": "its adapter could not be loaded in time; see load_asked",
    "no_endpoint": "no endpoint of its service was left to try",
    "outcome_unknown": "it was sent, but the response was incomplete; it may have run",
    "answer_cut": "its response broke off midway; see answer_broken",
    "quarantined": "it has crashed several endpoints; see quarantine_changed",
    "queue_full": "too many prompts were queued at the engines that hold its adapter",
    "too_late": "its deadline passed before it was sent",
    "tree_not_ready": "its instance knew no configuration yet",
    "unknown_service": "no route of the configuration in force allows it",
}


@dataclass(frozen=True, slots=True)
class LogLine:
    """Line of a log file and its fields."""

    file: str
    number: int
    text: str
    fields: dict[str, str] = field(default_factory=dict)

    @property
    def event(self) -> str:
        """Return the name of the event."""
        return self.fields.get("event", "")


@dataclass(frozen=True, slots=True)
class Trace:
    """Log lines of a request, related lines, and why it ended."""

    request_lines: list[LogLine]
    context_lines: list[LogLine]
    cause: str


def parse_line(file: str, number: int, text: str) -> LogLine:
    """Parse the ``key=value`` pairs of a line.

    >>> parse_line("a", 1, 'event=x detail="two words"').fields["detail"]
    'two words'
    """
    pairs = {key: _unquote(value) for key, value in PAIR.findall(text)}
    return LogLine(file, number, text.rstrip("\n"), pairs)


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    return value[1:-1].replace('\\"', '"').replace("\\n", "\n").replace("\\\\", "\\")


def trace_request(request_id: str, files: Iterable[tuple[str, Iterable[str]]]) -> Trace:
    """Return the request's lines, related lines, and the cause of its end.

    Lines keep the order of their files. They are not sorted by time, since the
    clocks of instances may differ by seconds.
    """
    lines = [
        parse_line(name, number, text)
        for name, texts in files
        for number, text in enumerate(texts, 1)
    ]
    request_lines = [
        line for line in lines if line.fields.get("request_id") == request_id
    ]
    endpoints = {
        line.fields["endpoint"] for line in request_lines if "endpoint" in line.fields
    }
    weights = {
        line.fields["weights"] for line in request_lines if line.fields.get("weights")
    }
    return Trace(
        request_lines,
        _select_context(lines, endpoints, weights),
        _find_cause(request_lines),
    )


def _select_context(
    lines: list[LogLine], endpoints: set[str], weights: set[str]
) -> list[LogLine]:
    kept: dict[tuple[str, str], list[LogLine]] = {}
    for line in lines:
        if line.event not in CONTEXT_EVENTS:
            continue
        endpoint = line.fields.get("endpoint", "")
        about = line.fields.get("weights")
        concerns = not endpoint or endpoint in endpoints
        if concerns and (about is None or about in weights):
            kept.setdefault((line.file, endpoint), []).append(line)
    return [line for group in kept.values() for line in group[-MAX_CONTEXT_LINES:]]


def _find_cause(request_lines: list[LogLine]) -> str:
    if not request_lines:
        return (
            "no log line: it never reached these instances, or its lines were dropped"
        )
    for line in reversed(request_lines):
        outcome = line.fields.get("kind") or line.fields.get("outcome", "")
        if line.event in ("request_refused", "request_ended") and outcome in CAUSES:
            detail = line.fields.get("detail", "")
            return CAUSES[outcome] + (f" ({detail})" if detail else "")
    return "it has not ended yet"

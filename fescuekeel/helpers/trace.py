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
        "instance_blocked",
        "instance_failed",
        "instance_stopping",
        "order_given",
        "shutdown_began",
        "shutdown_ended",
        "failover_begun",
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

CUT_CAUSES = {
    "answer_cut": "its instance cut its response, which had begun",
    "answer_unflushed": "its instance cut its response, all of which it had",
    "before_run": "its instance cut it before it was admitted; it did not run",
    "draining": "its instance ended it before it was sent; it did not run",
    "outcome_unknown": "its instance ended it before a response; it may have run",
}
UNFLUSHED_CAUSES = {
    "caller_reset": "its caller reset the connection before all was written",
    "closed_here": "its instance closed the connection before all was written",
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
    cut = _find_cut(request_lines)
    if cut is not None:
        return cut
    for line in reversed(request_lines):
        outcome = line.fields.get("kind") or line.fields.get("outcome", "")
        if line.event in ("request_refused", "request_ended") and outcome in CAUSES:
            detail = line.fields.get("detail", "")
            cause = CAUSES[outcome] + (f" ({detail})" if detail else "")
            return cause + _describe_failover(request_lines, outcome)
    return "it has not ended yet"


def _find_cut(request_lines: list[LogLine]) -> str | None:
    """Return why the instance cut a request, ``None`` if it did not.

    A request may end by itself right after the line that it is cut.
    """
    for line in reversed(request_lines):
        fields = line.fields
        outcome = fields.get("outcome", "")
        since_ms = fields.get("since_signal_ms", "0")
        if line.event == "answer_unflushed" and outcome in UNFLUSHED_CAUSES:
            left = fields.get("bytes", "?")
            return f"{UNFLUSHED_CAUSES[outcome]} ({left} bytes left)"
        if line.event == "request_ended" and outcome == "answered":
            return None
        if line.event == "request_cut" and outcome in CUT_CAUSES:
            reason = fields.get("reason", "")
            return f"{CUT_CAUSES[outcome]} ({reason}, {since_ms} ms after the signal)"
    return None


def _describe_failover(request_lines: list[LogLine], outcome: str) -> str:
    """Return which silent endpoint a failed request was taken from, if any."""
    if outcome == "answered":
        return ""
    for line in reversed(request_lines):
        is_failover = line.event == "failover_ended"
        if is_failover and line.fields.get("outcome") == "switched":
            endpoint = line.fields.get("endpoint", "")
            silent_ms = line.fields.get("silent_ms", "?")
            return f", after its instance left {endpoint}, silent for {silent_ms} ms"
    return ""

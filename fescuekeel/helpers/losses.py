"""Latency breakdown of requests, computed from instances' logs.

The stages of a request are the wait for its adapter to be loaded, the other
waits before it is sent, mostly for admission at the engine, the time at the
endpoint until the first chunk, and pauses within the response.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from fescuekeel.helpers.trace import LogLine, parse_line

__all__ = [
    "Losses",
    "RequestResult",
    "RequestTimes",
    "RouteLosses",
    "Stage",
    "read_losses",
]

MS_PER_S = 1000.0


class Stage(StrEnum):
    """Stage of a request."""

    LOAD = "load"
    TURN = "turn"
    ENDPOINT = "endpoint"
    PAUSE = "pause"


class RequestResult(StrEnum):
    """Result of a request as its caller saw it."""

    ON_TIME = "on_time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    GONE = "gone"


# Outcomes that mean "not run". All others but ``answered`` and
# ``caller_gone`` are failures.
REFUSALS = frozenset(
    {
        "draining",
        "endpoints_limited",
        "load_failed",
        "no_endpoint",
        "queue_full",
        "too_late",
    }
)
CALLER_GONE = "caller_gone"
ANSWERED = "answered"


@dataclass(slots=True)
class RequestTimes:
    """Time per stage and result of one request."""

    request_id: str
    route: str = ""
    result: RequestResult = RequestResult.FAILED
    outcome: str = ""
    seconds_by_stage: dict[Stage, float] = field(default_factory=dict)

    @property
    def longest(self) -> Stage:
        """Return the stage that took longest."""
        return max(Stage, key=lambda stage: self.seconds_by_stage.get(stage, 0.0))


@dataclass(slots=True)
class RouteLosses:
    """Results of the requests of one route.

    ``lost_by_stage`` counts the requests that were not answered on time by
    their longest stage, and ``seconds_by_stage`` sums up their times.
    """

    requests: int = 0
    count_by_result: Counter[RequestResult] = field(default_factory=Counter)
    count_by_outcome: Counter[str] = field(default_factory=Counter)
    lost_by_stage: Counter[Stage] = field(default_factory=Counter)
    seconds_by_stage: defaultdict[Stage, float] = field(
        default_factory=lambda: defaultdict(float)
    )


@dataclass(slots=True)
class Losses:
    """Results of requests and loads in the logs of some instances.

    For each load that ended, ``place_waits_s`` has how long it waited for a
    free place at the endpoint and ``load_times_s`` how long the endpoint took.
    ``loads_by_endpoint`` and ``loads_by_weights`` count loads.
    """

    routes_by_name: dict[str, RouteLosses] = field(default_factory=dict)
    place_waits_s: list[float] = field(default_factory=list)
    load_times_s: list[float] = field(default_factory=list)
    loads_by_endpoint: Counter[str] = field(default_factory=Counter)
    loads_by_weights: Counter[str] = field(default_factory=Counter)
    refusals_by_detail: Counter[str] = field(default_factory=Counter)
    lines_dropped: int = 0


def read_losses(files: Iterable[tuple[str, Iterable[str]]]) -> Losses:
    """Compute the breakdown from log files, given as names and lines.

    >>> text = "event=request_ended request_id=a route=r waited_ms=900 "
    >>> text += "first_ms=950 target_ms=600 gap_ms=0 outcome=answered"
    >>> losses = read_losses([("i1", [text])])
    >>> losses.routes_by_name["r"].lost_by_stage[Stage.TURN]
    1
    """
    losses = Losses()
    load_s_by_request: defaultdict[str, float] = defaultdict(float)
    for name, texts in files:
        for number, text in enumerate(texts, 1):
            _read_line(parse_line(name, number, text), losses, load_s_by_request)
    return losses


def _read_line(
    line: LogLine, losses: Losses, load_s_by_request: dict[str, float]
) -> None:
    fields = line.fields
    match line.event:
        case "load_waited":
            load_s_by_request[fields["request_id"]] += _read_s(fields, "waited_ms")
        case "load_ended":
            losses.place_waits_s.append(_read_s(fields, "place_ms"))
            losses.load_times_s.append(_read_s(fields, "took_ms"))
            losses.loads_by_endpoint[fields["endpoint"]] += 1
            losses.loads_by_weights[fields["weights"]] += 1
        case "request_refused":
            kind, detail = fields.get("kind", ""), fields.get("detail", "")
            losses.refusals_by_detail[f"{kind}: {detail}".rstrip(": ")] += 1
        case "lines_dropped":
            losses.lines_dropped += int(fields.get("count", "0"))
        case "request_ended":
            load_s = load_s_by_request.pop(fields["request_id"], 0.0)
            _add_request(_read_request(fields, load_s), losses)


def _read_s(fields: dict[str, str], name: str) -> float:
    return max(0.0, float(fields.get(name, "0"))) / MS_PER_S


def _read_request(fields: dict[str, str], load_s: float) -> RequestTimes:
    times = RequestTimes(fields["request_id"], fields.get("route", ""))
    times.outcome = fields.get("outcome", "")
    waited_s = _read_s(fields, "waited_ms")
    first_s = _read_s(fields, "first_ms")
    pause_s = _read_s(fields, "gap_ms")
    allowed_s = _read_s(fields, "gap_target_ms")
    times.seconds_by_stage = {
        Stage.LOAD: min(load_s, waited_s),
        Stage.TURN: max(0.0, waited_s - load_s),
        Stage.ENDPOINT: max(0.0, first_s - waited_s),
        Stage.PAUSE: max(0.0, pause_s - allowed_s) if allowed_s else 0.0,
    }
    late = first_s > _read_s(fields, "target_ms") > 0
    late = late or times.seconds_by_stage[Stage.PAUSE] > 0
    times.result = _classify_result(times.outcome, late)
    return times


def _classify_result(outcome: str, late: bool) -> RequestResult:
    if outcome == ANSWERED:
        return RequestResult.LATE if late else RequestResult.ON_TIME
    if outcome in REFUSALS:
        return RequestResult.REFUSED
    return RequestResult.GONE if outcome == CALLER_GONE else RequestResult.FAILED


def _add_request(times: RequestTimes, losses: Losses) -> None:
    route = losses.routes_by_name.setdefault(times.route, RouteLosses())
    route.requests += 1
    route.count_by_result[times.result] += 1
    route.count_by_outcome[times.outcome] += 1
    if times.result is RequestResult.ON_TIME:
        return
    route.lost_by_stage[times.longest] += 1
    for stage, seconds in times.seconds_by_stage.items():
        route.seconds_by_stage[stage] += seconds

"""Tell from instances' logs where requests lost their time; pure.

A request's time has five parts: the wait for its adapter to be loaded, the
wait for its turn at the engine, other waits for an endpoint, the time at the
endpoint until the first piece, and pauses within the answer.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from fescuekeel.helpers.trace import LogLine, parse_line

__all__ = ["Fate", "Losses", "RequestTimes", "RouteLosses", "Stage", "read_losses"]

MS_PER_S = 1000.0


class Stage(StrEnum):
    """Name a part of a request's time."""

    LOAD = "load"
    TURN = "turn"
    ENDPOINT = "endpoint"
    PAUSE = "pause"


class Fate(StrEnum):
    """Name how a request ended, for its caller."""

    ON_TIME = "on_time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    GONE = "gone"


# Ends that say "not run"; every other end but an answer is a failure.
REFUSALS = frozenset(
    {"load_failed", "queue_full", "no_endpoint", "too_late", "draining"}
)
LEFT_BY_CALLER = "caller_gone"
ANSWERED = "answered"


@dataclass(slots=True)
class RequestTimes:
    """The times of one request, in seconds, and how it ended."""

    request_id: str
    route: str = ""
    fate: Fate = Fate.FAILED
    outcome: str = ""
    seconds_by_stage: dict[Stage, float] = field(default_factory=dict)

    @property
    def longest(self) -> Stage:
        """Return the stage that took most."""
        return max(Stage, key=lambda stage: self.seconds_by_stage.get(stage, 0.0))


@dataclass(slots=True)
class RouteLosses:
    """What became of the requests of one route.

    ``lost_by_stage`` counts the late and refused requests by the stage that
    took most of their time, and ``seconds_by_stage`` are all their seconds.
    """

    requests: int = 0
    count_by_fate: Counter[Fate] = field(default_factory=Counter)
    count_by_outcome: Counter[str] = field(default_factory=Counter)
    lost_by_stage: Counter[Stage] = field(default_factory=Counter)
    seconds_by_stage: defaultdict[Stage, float] = field(
        default_factory=lambda: defaultdict(float)
    )


@dataclass(slots=True)
class Losses:
    """What the logs of some instances tell of a stretch of time.

    ``places_s`` and ``loads_s`` are, for each load that ended, how long it
    waited for a place and how long the endpoint took; ``loads_by_endpoint``
    and ``loads_by_weights`` count them.
    """

    routes_by_name: dict[str, RouteLosses] = field(default_factory=dict)
    places_s: list[float] = field(default_factory=list)
    loads_s: list[float] = field(default_factory=list)
    loads_by_endpoint: Counter[str] = field(default_factory=Counter)
    loads_by_weights: Counter[str] = field(default_factory=Counter)
    refusals_by_detail: Counter[str] = field(default_factory=Counter)
    lines_dropped: int = 0


def read_losses(files: Iterable[tuple[str, Iterable[str]]]) -> Losses:
    """Read the lines of some instances' logs.

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
            losses.places_s.append(_read_s(fields, "place_ms"))
            losses.loads_s.append(_read_s(fields, "took_ms"))
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
    times.fate = _find_fate(times.outcome, late)
    return times


def _find_fate(outcome: str, late: bool) -> Fate:
    if outcome == ANSWERED:
        return Fate.LATE if late else Fate.ON_TIME
    if outcome in REFUSALS:
        return Fate.REFUSED
    return Fate.GONE if outcome == LEFT_BY_CALLER else Fate.FAILED


def _add_request(times: RequestTimes, losses: Losses) -> None:
    route = losses.routes_by_name.setdefault(times.route, RouteLosses())
    route.requests += 1
    route.count_by_fate[times.fate] += 1
    route.count_by_outcome[times.outcome] += 1
    if times.fate is Fate.ON_TIME:
        return
    route.lost_by_stage[times.longest] += 1
    for stage, seconds in times.seconds_by_stage.items():
        route.seconds_by_stage[stage] += seconds

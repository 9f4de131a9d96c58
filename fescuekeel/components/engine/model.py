"""Schemas of engine requests and responses."""

import json
from typing import TypeVar

from pydantic import BaseModel, ConfigDict

from fescuekeel.components.engine.const import PATH_COMPLETIONS
from fescuekeel.helpers.driver import (
    CacheHint,
    CacheHints,
    Call,
    Report,
    RunningCall,
)
from fescuekeel.helpers.json_work import check_value_count
from fescuekeel.helpers.logging import log_event
from fescuekeel.messages import AdapterRef

__all__ = [
    "CacheEventsBody",
    "ErrorBody",
    "LoadBody",
    "ReportBody",
    "compose_completion",
    "parse_body",
    "parse_ref",
]

MS_PER_S = 1000.0
B = TypeVar("B", bound=BaseModel)


class Body(BaseModel):
    """Base schema of a JSON body; unknown keys are ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class ErrorBody(Body):
    """Error response of an engine."""

    error: str = ""
    fence: int = 0


class LoadBody(Body):
    """Response to an adapter load."""

    took_ms: float = 0.0


class RunningBody(Body):
    """One request that is running on the engine."""

    request_id: str
    model: str = ""


class ReportBody(Body):
    """Status report of an engine."""

    boot_id: str
    fence: int = 0
    slots: int = 0
    max_running: int = 0
    loaded: tuple[str, ...] = ()
    running: tuple[RunningBody, ...] = ()
    waiting: int = 0
    steps: int = 0
    step_ms: float = 0.0
    batch_fill: float = 0.0
    leaving: bool = False

    def to_report(self) -> Report:
        """Convert to the driver-independent report."""
        return Report(
            boot_id=self.boot_id,
            fence=self.fence,
            max_running=self.max_running,
            loaded=frozenset(map(parse_ref, self.loaded)),
            running=tuple(
                RunningCall(item.request_id, parse_ref(item.model))
                for item in self.running
            ),
            slots=self.slots,
            waiting=self.waiting,
            steps=self.steps,
            step_s=self.step_ms / MS_PER_S,
            batch_fill=self.batch_fill,
            leaving=self.leaving,
        )


class CacheEventBody(Body):
    """One cache event."""

    number: int
    kind: str
    prefix: str


class CacheEventsBody(Body):
    """Cache events, and the number to continue from."""

    events: tuple[CacheEventBody, ...] = ()
    next: int = 0

    def to_hints(self) -> CacheHints:
        """Convert to driver-independent cache hints."""
        hints = tuple(
            CacheHint(event.prefix, event.kind == "stored") for event in self.events
        )
        return CacheHints(hints, self.next)


def parse_ref(text: str) -> AdapterRef:
    """Parse ``name@version``.

    >>> parse_ref("cups@3")
    AdapterRef(name='cups', version='3')
    """
    name, _, version = text.partition("@")
    return AdapterRef(name, version)


def parse_body(kind: type[B], content: bytes) -> B | None:
    """Parse a JSON body, or return ``None`` if it is invalid."""
    try:
        check_value_count(content)
        return kind.model_validate_json(content)
    except ValueError as error:
        log_event(
            "engine_answer_invalid", kind=kind.__name__, error=type(error).__name__
        )
        return None


def compose_completion(call: Call) -> tuple[str, bytes]:
    """Return the path and body of a completion request to the engine.

    Fields that the serving layer controls override those of the caller.

    >>> ref = AdapterRef("a", "2")
    >>> call = Call("r1", ref, 0, 1.0, True, "", b"{}", fence=9)
    >>> path, body = compose_completion(call)
    >>> json.loads(body)["model"], json.loads(body)["fence"]
    ('a@2', 9)
    """
    try:
        fields = json.loads(call.body) if call.body else {}
    except ValueError:
        fields = {}
    if not isinstance(fields, dict):
        fields = {}
    fields["request_id"] = call.request_id
    fields["model"] = str(call.adapter)
    fields["priority"] = call.urgency
    fields["stream"] = call.stream
    if call.max_tokens:
        fields["max_tokens"] = call.max_tokens
    if call.fence:
        fields["fence"] = call.fence
    return PATH_COMPLETIONS, json.dumps(fields).encode()

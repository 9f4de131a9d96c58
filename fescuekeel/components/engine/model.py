"""What engines answer, validated."""

import json
from typing import TypeVar

from pydantic import BaseModel, ConfigDict, ValidationError

from fescuekeel.components.engine.const import PATH_COMPLETIONS
from fescuekeel.helpers.driver import (
    CacheHint,
    CacheHints,
    Call,
    Report,
    RunningCall,
)
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
    """Validate one JSON body; keys that are not known are ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class ErrorBody(Body):
    """An engine's refusal."""

    error: str = ""
    fence: int = 0


class LoadBody(Body):
    """The answer to a load; ``took_ms`` in milliseconds."""

    took_ms: float = 0.0


class RunningBody(Body):
    """One request that runs on the engine."""

    request_id: str
    model: str = ""


class ReportBody(Body):
    """An engine's report of itself."""

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
        """Return the report as the rest of the system knows it."""
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
    """The cache events from some number on."""

    events: tuple[CacheEventBody, ...] = ()
    next: int = 0

    def to_hints(self) -> CacheHints:
        """Return the events as hints."""
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
    """Parse a JSON body, or return ``None`` when it is not as it should be."""
    try:
        return kind.model_validate_json(content)
    except ValidationError:
        return None


def compose_completion(call: Call) -> tuple[str, bytes]:
    """Return path and body of a completion.

    The caller's JSON is passed on with the fields that the system decides.

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

"""Messages of a request between its entry and an endpoint's owner.

Each class has a struct of the same name in ``schema/peer.capnp``.
"""

from dataclasses import dataclass

__all__ = [
    "AdapterRef",
    "CancelWork",
    "StartAnswer",
    "StartAsk",
    "Submit",
    "SubmitAnswer",
    "WorkChunk",
    "WorkEnd",
    "WorkStarted",
]


@dataclass(frozen=True, slots=True, order=True)
class AdapterRef:
    """Name one version of one adapter; both empty for a plain service.

    >>> str(AdapterRef("cups-and-balls", "3"))
    'cups-and-balls@3'
    """

    name: str = ""
    version: str = ""

    def __str__(self) -> str:
        """Return the reference as callers write it."""
        return f"{self.name}@{self.version}" if self.name else ""

    def __bool__(self) -> bool:
        """Tell whether an adapter is named at all."""
        return bool(self.name)


@dataclass(frozen=True, slots=True)
class Submit:
    """Hand a request to the owner of an endpoint.

    ``attempt`` numbers the entry's tries of this request, and each event in
    return repeats it, so that a late event of an earlier try is told apart.
    ``urgency`` is 0 for the most urgent. With ``resume`` the request runs
    already and its stream is wanted from token ``resume_position`` on; it
    must not be run again. ``method`` and ``path`` matter to plain services.
    ``moved`` says that an owner sent it on before, which happens only once.
    """

    request_id: str
    attempt: int
    endpoint: str
    shop: str
    service: str
    adapter: AdapterRef
    urgency: int
    remaining_ms: int
    repeatable: bool
    stream: bool
    path: str
    body: bytes
    max_tokens: int = 0
    resume: bool = False
    resume_position: int = 0
    method: str = "POST"
    content_type: str = "application/json"
    idempotency_key: str = ""
    moved: bool = False


@dataclass(frozen=True, slots=True)
class SubmitAnswer:
    """Say that a request is queued, or refused with a kind and never run.

    ``endpoint`` is where it goes instead when it was moved.
    """

    accepted: bool
    kind: str = ""
    detail: str = ""
    retry_after_ms: int = 0
    endpoint: str = ""


@dataclass(frozen=True, slots=True)
class StartAsk:
    """Ask the entry instance for leave to hand over a non-repeatable request.

    The entry grants it to one attempt only. Until then it may safely try
    elsewhere or tell the caller "not run", since an owner without leave never
    hands over.
    """

    request_id: str
    attempt: int
    stall_ms: int = 0
    queue_ms: int = 0


@dataclass(frozen=True, slots=True)
class StartAnswer:
    """Grant or deny the hand-over."""

    granted: bool


@dataclass(frozen=True, slots=True)
class WorkStarted:
    """Say that a repeatable request may have reached its endpoint."""

    request_id: str
    attempt: int
    stall_ms: int = 0
    queue_ms: int = 0


@dataclass(frozen=True, slots=True)
class WorkChunk:
    """Carry a piece of the answer.

    ``position`` is the number of the first token in ``data`` where the
    answer is a stream of tokens, and zero otherwise. ``tokens`` is how many
    tokens ``data`` holds, zero for the end mark of a stream.
    """

    request_id: str
    attempt: int
    position: int
    data: bytes
    tokens: int = 1


@dataclass(frozen=True, slots=True)
class WorkEnd:
    """End a request; an empty kind means success with ``status``.

    ``stall_ms`` is how long it waited for its adapter to be loaded, and
    ``queue_ms`` how long it waited in all before the hand-over.
    """

    request_id: str
    attempt: int
    kind: str = ""
    ran: str = "yes"
    status: int = 200
    content_type: str = ""
    detail: str = ""
    retry_after_ms: int = 0
    stall_ms: int = 0
    queue_ms: int = 0


@dataclass(frozen=True, slots=True)
class CancelWork:
    """Stop a request whose caller went away."""

    request_id: str
    attempt: int

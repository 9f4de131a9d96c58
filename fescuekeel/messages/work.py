"""Messages about a request between its entry and an endpoint's owner.

The entry is the instance that received the request from its caller. Each class
has a struct of the same name in ``schema/peer.capnp``.
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
    """Version of an adapter; both fields are empty for a plain service.

    >>> str(AdapterRef("cups-and-balls", "3"))
    'cups-and-balls@3'
    """

    name: str = ""
    version: str = ""

    def __str__(self) -> str:
        """Return the reference in the form that callers use."""
        return f"{self.name}@{self.version}" if self.name else ""

    def __bool__(self) -> bool:
        """Return whether an adapter is given."""
        return bool(self.name)


@dataclass(frozen=True, slots=True)
class Submit:
    """Submit a request to the owner of an endpoint.

    ``attempt`` numbers the entry's attempts at this request and is repeated in
    each reply, so that late replies to an earlier attempt are recognised.
    ``urgency`` 0 is the most urgent. With ``resume`` the request is already
    running and must not run again; its stream is resumed at token
    ``resume_position``. ``method`` and ``path`` are for plain services.
    ``moved`` says that another owner has forwarded it, which happens at most
    once.
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
    """The request was queued, or refused with an error kind and never run.

    ``endpoint`` is the new endpoint if the request was moved.
    """

    accepted: bool
    kind: str = ""
    detail: str = ""
    retry_after_ms: int = 0
    endpoint: str = ""


@dataclass(frozen=True, slots=True)
class StartAsk:
    """Ask the entry for permission to send a non-repeatable request.

    The entry grants it to one attempt only. Until then it may safely try
    another endpoint or report "not run" to the caller, since an owner without
    permission never sends the request to its endpoint.
    """

    request_id: str
    attempt: int
    stall_ms: int = 0
    queue_ms: int = 0


@dataclass(frozen=True, slots=True)
class StartAnswer:
    """Grant or deny the permission."""

    granted: bool


@dataclass(frozen=True, slots=True)
class WorkStarted:
    """A repeatable request may have reached its endpoint."""

    request_id: str
    attempt: int
    stall_ms: int = 0
    queue_ms: int = 0


@dataclass(frozen=True, slots=True)
class WorkChunk:
    """Chunk of the response.

    ``position`` is the index of the first token in ``data`` if the response is
    a stream of tokens, and zero otherwise. ``tokens`` is the number of tokens
    in ``data``, zero for the end marker of a stream.
    """

    request_id: str
    attempt: int
    position: int
    data: bytes
    tokens: int = 1


@dataclass(frozen=True, slots=True)
class WorkEnd:
    """A request has ended; an empty kind means success with ``status``.

    ``stall_ms`` is how long it waited for its adapter to be loaded, and
    ``queue_ms`` how long it waited in total before it was sent.
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
    """Cancel a request whose caller has disconnected."""

    request_id: str
    attempt: int

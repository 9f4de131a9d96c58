"""Messages between the owners of endpoints.

Each class has a struct of the same name in ``schema/peer.capnp``.
"""

from dataclasses import dataclass

from fescuekeel.messages.work import AdapterRef

__all__ = [
    "CopyAnswer",
    "CopyAsk",
    "HandoverAnswer",
    "HandoverOffer",
    "RunningAnswer",
    "RunningAsk",
    "RunningWork",
]


@dataclass(frozen=True, slots=True)
class CopyAsk:
    """Ask the owner of the adapter's other endpoint for a load's cost."""

    endpoint: str
    adapter: AdapterRef


@dataclass(frozen=True, slots=True)
class CopyAnswer:
    """State of that endpoint; meaningless unless ``owned``.

    ``held`` says that the adapter is loaded or being loaded, ``score`` is the
    popularity of the adapter that a load would evict, and ``queued`` the
    number of queued requests.
    """

    endpoint: str
    owned: bool
    held: bool = False
    score: float = 0.0
    queued: int = 0


@dataclass(frozen=True, slots=True)
class RunningWork:
    """Request that may be running on an endpoint."""

    request_id: str
    adapter: AdapterRef
    remaining_ms: int


@dataclass(frozen=True, slots=True)
class RunningAsk:
    """Ask for the unfinished requests that a peer knows on an endpoint."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class RunningAnswer:
    """The unfinished requests, and the highest fencing token known.

    ``given`` says that the sender has just given up its ownership of the
    endpoint in favour of the asking instance.
    """

    endpoint: str
    fence: int
    work: tuple[RunningWork, ...] = ()
    given: bool = False


@dataclass(frozen=True, slots=True)
class HandoverOffer:
    """Hand an endpoint over to its next owner at a graceful shutdown.

    ``work`` is still running under the old owner, which finishes its streams.
    """

    endpoint: str
    fence: int
    work: tuple[RunningWork, ...] = ()


@dataclass(frozen=True, slots=True)
class HandoverAnswer:
    """Accept or reject a handover."""

    endpoint: str
    accepted: bool

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
    "LivenessAnswer",
    "LivenessAsk",
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


@dataclass(frozen=True, slots=True)
class LivenessAsk:
    """Ask a peer what its own call to an endpoint shows.

    ``boot_id`` is the start in which the endpoint is known, empty if unknown.
    """

    endpoint: str
    boot_id: str


@dataclass(frozen=True, slots=True)
class LivenessAnswer:
    """What the peer's own call to the endpoint has shown.

    ``liveness`` is a value of ``Liveness``. ``reaches_others`` says that the
    peer reaches another endpoint, so that a failure is the endpoint's.
    """

    liveness: str
    reaches_others: bool = False

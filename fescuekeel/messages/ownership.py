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
    """Ask the owner of an adapter's other endpoint what a load means there."""

    endpoint: str
    adapter: AdapterRef


@dataclass(frozen=True, slots=True)
class CopyAnswer:
    """Answer with that endpoint's situation; not ``owned`` means none.

    ``held`` tells that the adapter is loaded or will be, ``score`` how popular
    the adapter is that a load would displace, ``queued`` how many wait.
    """

    endpoint: str
    owned: bool
    held: bool = False
    score: float = 0.0
    queued: int = 0


@dataclass(frozen=True, slots=True)
class RunningWork:
    """Name a request that may be running on an endpoint."""

    request_id: str
    adapter: AdapterRef
    remaining_ms: int


@dataclass(frozen=True, slots=True)
class RunningAsk:
    """Ask an instance which unfinished requests it knows on an endpoint."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class RunningAnswer:
    """Answer with all of them, and with the highest fencing number known.

    ``given`` says that the instance owned the endpoint until a moment ago and
    gave it up in favour of the one that asks.
    """

    endpoint: str
    fence: int
    work: tuple[RunningWork, ...] = ()
    given: bool = False


@dataclass(frozen=True, slots=True)
class HandoverOffer:
    """Pass an endpoint to its next owner at a graceful shutdown.

    ``work`` is still running under the old owner, which keeps its streams.
    """

    endpoint: str
    fence: int
    work: tuple[RunningWork, ...] = ()


@dataclass(frozen=True, slots=True)
class HandoverAnswer:
    """Say that the handover is known to the next owner."""

    endpoint: str
    accepted: bool

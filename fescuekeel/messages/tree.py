"""Messages that distribute the tree and grant turns at the weight store.

Each class has a struct of the same name in ``schema/peer.capnp``.
"""

from dataclasses import dataclass

from fescuekeel.messages.work import AdapterRef

__all__ = [
    "TreeAsk",
    "TreePart",
    "TurnAnswer",
    "TurnAsk",
    "TurnDone",
]


@dataclass(frozen=True, slots=True)
class TreeAsk:
    """Ask for a part of a revision; an empty name asks for the manifest.

    Revision 0 asks for the highest revision that the peer stores.
    """

    revision: int
    name: str


@dataclass(frozen=True, slots=True)
class TreePart:
    """A part or a manifest; revision 0 says that it is not available."""

    revision: int
    name: str
    content: bytes


@dataclass(frozen=True, slots=True)
class TurnAsk:
    """Ask the leader for a turn at the weight store.

    Turns limit the concurrent loads. ``value`` orders the waiting asks, the
    highest first; ``waiting`` is the number of requests that wait for the
    load.
    """

    endpoint: str
    adapter: AdapterRef
    value: float
    waiting: int


@dataclass(frozen=True, slots=True)
class TurnAnswer:
    """Grant a turn, or say in how many milliseconds to ask again."""

    endpoint: str
    adapter: AdapterRef
    granted: bool
    retry_after_ms: int = 0


@dataclass(frozen=True, slots=True)
class TurnDone:
    """Release a turn."""

    endpoint: str
    adapter: AdapterRef
    took_ms: int

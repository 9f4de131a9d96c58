"""Messages that pass on the published tree, and turns at the weight store.

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

    Revision 0 asks for the highest revision that the peer holds.
    """

    revision: int
    name: str


@dataclass(frozen=True, slots=True)
class TreePart:
    """Carry a part or a manifest; revision 0 says that it is not held."""

    revision: int
    name: str
    content: bytes


@dataclass(frozen=True, slots=True)
class TurnAsk:
    """Ask the leader of load turns for a turn at the weight store.

    ``value`` orders the asks, the highest first; ``waiting`` is how many
    requests wait for the load. ``last`` sums up how many milliseconds the
    previous load took, zero if unknown.
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
    """Give a turn back."""

    endpoint: str
    adapter: AdapterRef
    took_ms: int

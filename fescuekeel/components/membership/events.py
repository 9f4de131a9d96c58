"""Events that the membership decision receives and effects it returns."""

from dataclasses import dataclass

from fescuekeel.messages import (
    EndpointLeaving,
    LiveList,
    MemberView,
    News,
    PeerLost,
    PeerMessage,
    PeerMet,
    TreeHeard,
    TreeHeld,
)

__all__ = [
    "AnswerPing",
    "AskIndirect",
    "Effect",
    "Event",
    "HelperAnswered",
    "Leave",
    "Pinged",
    "Probe",
    "ProbeAnswered",
    "ProbeFailed",
    "PublishTree",
    "PublishView",
    "Tell",
    "Tick",
]


# Events.


@dataclass(frozen=True, slots=True)
class Tick:
    """Time passed; comes several times a second."""


@dataclass(frozen=True, slots=True)
class Pinged:
    """A peer asked for a sign of life, or only told its news."""

    question: PeerMessage
    news: tuple[News, ...]


@dataclass(frozen=True, slots=True)
class ProbeAnswered:
    """The target answered our probe."""

    target: str
    news: tuple[News, ...]


@dataclass(frozen=True, slots=True)
class ProbeFailed:
    """The target did not answer the probe of this number in time."""

    target: str
    number: int


@dataclass(frozen=True, slots=True)
class HelperAnswered:
    """A helper told whether the target answered it, or told nothing."""

    helper: str
    target: str
    alive: bool


@dataclass(frozen=True, slots=True)
class Leave:
    """Our own instance shuts down gracefully."""


Event = (
    Tick
    | Pinged
    | ProbeAnswered
    | ProbeFailed
    | HelperAnswered
    | Leave
    | LiveList
    | PeerMet
    | PeerLost
    | EndpointLeaving
    | TreeHeld
)


# Effects.


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask the target for a sign of life."""

    target: str
    number: int
    news: tuple[News, ...]


@dataclass(frozen=True, slots=True)
class Tell:
    """Pass on news without asking for an answer."""

    target: str
    news: tuple[News, ...]


@dataclass(frozen=True, slots=True)
class AnswerPing:
    """Answer a peer's probe."""

    question: PeerMessage
    news: tuple[News, ...]


@dataclass(frozen=True, slots=True)
class AskIndirect:
    """Ask a helper to probe the target."""

    helper: str
    target: str
    address: str


@dataclass(frozen=True, slots=True)
class PublishView:
    """Publish what is believed now."""

    view: MemberView


@dataclass(frozen=True, slots=True)
class PublishTree:
    """Publish that a peer holds a higher revision of the tree."""

    heard: TreeHeard


Effect = Probe | Tell | AnswerPing | AskIndirect | PublishView | PublishTree

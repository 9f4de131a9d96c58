"""Events that the membership decision receives and effects it returns."""

from dataclasses import dataclass

from fescuekeel.messages import (
    EndpointLeaving,
    LiveList,
    MemberView,
    News,
    PeerAuthenticated,
    PeerConnectionLost,
    PeerMessage,
    TreeAnnounced,
    TreeStored,
)

__all__ = [
    "AnswerPing",
    "Effect",
    "Event",
    "IndirectProbe",
    "IndirectProbeDone",
    "Leave",
    "PingReceived",
    "Probe",
    "ProbeAnswered",
    "ProbeFailed",
    "PublishTree",
    "PublishView",
    "SendNews",
    "Tick",
]


# Events.


@dataclass(frozen=True, slots=True)
class Tick:
    """A periodic tick, several times a second."""


@dataclass(frozen=True, slots=True)
class PingReceived:
    """A peer sent a ping, or only its news without expecting an answer."""

    request: PeerMessage
    news: tuple[News, ...]


@dataclass(frozen=True, slots=True)
class ProbeAnswered:
    """The target answered our probe."""

    target: str
    news: tuple[News, ...]


@dataclass(frozen=True, slots=True)
class ProbeFailed:
    """The target did not answer the probe with this number in time."""

    target: str
    number: int


@dataclass(frozen=True, slots=True)
class IndirectProbeDone:
    """A helper reported on the target; not alive if the helper timed out."""

    helper: str
    target: str
    alive: bool


@dataclass(frozen=True, slots=True)
class Leave:
    """The own instance begins a graceful shutdown."""


Event = (
    Tick
    | PingReceived
    | ProbeAnswered
    | ProbeFailed
    | IndirectProbeDone
    | Leave
    | LiveList
    | PeerAuthenticated
    | PeerConnectionLost
    | EndpointLeaving
    | TreeStored
)


# Effects.


@dataclass(frozen=True, slots=True)
class Probe:
    """Ping the target."""

    target: str
    number: int
    news: tuple[News, ...]


@dataclass(frozen=True, slots=True)
class SendNews:
    """Send news without expecting an answer."""

    target: str
    news: tuple[News, ...]


@dataclass(frozen=True, slots=True)
class AnswerPing:
    """Answer a peer's ping."""

    request: PeerMessage
    news: tuple[News, ...]


@dataclass(frozen=True, slots=True)
class IndirectProbe:
    """Ask a helper to probe the target."""

    helper: str
    target: str
    address: str


@dataclass(frozen=True, slots=True)
class PublishView:
    """Publish the current member view."""

    view: MemberView


@dataclass(frozen=True, slots=True)
class PublishTree:
    """Publish that a peer holds a higher revision of the tree."""

    tree: TreeAnnounced


Effect = Probe | SendNews | AnswerPing | IndirectProbe | PublishView | PublishTree

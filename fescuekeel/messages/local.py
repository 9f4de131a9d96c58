"""Messages and snapshots that only cross the components of one instance."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from fescuekeel.messages.ownership import RunningWork
from fescuekeel.messages.wire import WireMessage
from fescuekeel.messages.work import AdapterRef

__all__ = [
    "DrainRequested",
    "EndpointLeaving",
    "EntryOpenWork",
    "InstanceState",
    "LiveEntry",
    "LiveList",
    "LiveRole",
    "Member",
    "MemberView",
    "OwnedEndpoint",
    "OwnedEndpoints",
    "PeerLost",
    "PeerMessage",
    "PeerMet",
    "SettingsReloaded",
    "TreeHeard",
    "TreeHeld",
]


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Bring a peer's message to the component that subscribed to its type.

    ``number`` is zero when no answer is expected.
    """

    sender: str
    number: int
    body: WireMessage


@dataclass(frozen=True, slots=True)
class PeerLost:
    """Tell that the connection to a peer is lost and messages may be, too.

    ``reachable`` is true when a new connection stands already: the peer lives
    then, and only what was under way is in doubt.
    """

    instance_id: str
    reachable: bool = False


@dataclass(frozen=True, slots=True)
class PeerMet:
    """Tell that a peer has proved who it is on a new connection."""

    instance_id: str
    address: str
    data_centre: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class EndpointLeaving:
    """Tell that an endpoint is leaving, as its owner has learned from it."""

    endpoint: str
    incarnation: int


class LiveRole(StrEnum):
    """Name what an entry of the platform's live list is."""

    INSTANCE = "instance"
    ENDPOINT = "endpoint"


@dataclass(frozen=True, slots=True)
class LiveEntry:
    """One row of the platform's list of live and leaving instances.

    ``incarnation`` grows each time the same id starts anew.
    """

    id: str
    role: LiveRole
    address: str
    data_centre: str
    incarnation: int
    leaving: bool = False
    pool: str = ""


@dataclass(frozen=True, slots=True)
class LiveList:
    """The platform's list as last read, which lags behind reality."""

    entries_by_id: dict[str, LiveEntry] = field(default_factory=dict)


class InstanceState(StrEnum):
    """Name what is believed of an instance."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


@dataclass(frozen=True, slots=True)
class Member:
    """Describe one instance of the system."""

    id: str
    address: str
    data_centre: str
    incarnation: int
    state: InstanceState = InstanceState.ALIVE


@dataclass(frozen=True, slots=True)
class MemberView:
    """What this instance believes of all instances and endpoints.

    ``members_by_id`` holds all that are not known dead or gone, this one
    included. ``endpoints_by_id`` holds the endpoints that may get work: those
    of the live list less those that are known to be leaving. ``left`` names
    the instances that shut down gracefully: they are members no more, but
    finish what they have in progress.
    """

    members_by_id: dict[str, Member] = field(default_factory=dict)
    endpoints_by_id: dict[str, LiveEntry] = field(default_factory=dict)
    left: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class TreeHeld:
    """The revision of the tree that this instance holds and passes on.

    ``digest`` is the manifest's SHA-256 in hex.
    """

    revision: int
    digest: str


@dataclass(frozen=True, slots=True)
class TreeHeard:
    """Tell of a revision that another instance holds.

    ``holder`` is the instance that told of it, empty if it is not known.
    """

    revision: int
    digest: str
    holder: str = ""


@dataclass(frozen=True, slots=True)
class SettingsReloaded:
    """Tell that the instance's settings were read anew."""


@dataclass(frozen=True, slots=True)
class DrainRequested:
    """Ask this instance to shut down gracefully."""

    reason: str


@dataclass(frozen=True, slots=True)
class EntryOpenWork:
    """Let the owner ask which of this entry's requests may be running.

    ``list_work`` takes an endpoint's id.
    """

    list_work: Callable[[str], tuple[RunningWork, ...]]


@dataclass(frozen=True, slots=True)
class OwnedEndpoint:
    """What this instance is to one endpoint, for operators.

    ``state`` is ``acquiring``, ``owned`` or ``absent``; the last is an owner
    that has handed over and still finishes what runs.
    """

    endpoint: str
    state: str
    fence: int
    queued: int
    running: int
    loaded: tuple[AdapterRef, ...] = ()


@dataclass(frozen=True, slots=True)
class OwnedEndpoints:
    """The snapshot of all endpoints that this instance owns or finishes."""

    endpoints_by_id: dict[str, OwnedEndpoint] = field(default_factory=dict)

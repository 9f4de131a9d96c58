"""Messages and snapshots exchanged between components of one instance."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from fescuekeel.messages.ownership import RunningWork
from fescuekeel.messages.wire import WireMessage
from fescuekeel.messages.work import AdapterRef

__all__ = [
    "DrainRequested",
    "EndpointLeaving",
    "EntryRunningWork",
    "InstanceState",
    "LeavingIds",
    "LiveEntry",
    "LiveList",
    "LiveRole",
    "Member",
    "MemberView",
    "OwnedEndpoint",
    "OwnedEndpoints",
    "PeerAuthenticated",
    "PeerConnectionLost",
    "PeerMessage",
    "SettingsReloaded",
    "TreeAnnounced",
    "TreeStored",
    "UnreachableChanged",
]


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Message of a peer, for the component that subscribed to its type.

    ``number`` is zero if no reply is expected.
    """

    sender: str
    number: int
    body: WireMessage


@dataclass(frozen=True, slots=True)
class PeerConnectionLost:
    """The connection to a peer was lost, and possibly messages with it.

    ``reachable`` is true if another connection is already established: the
    peer is alive, and only messages in flight may be lost.
    """

    instance_id: str
    reachable: bool = False


@dataclass(frozen=True, slots=True)
class PeerAuthenticated:
    """A peer has authenticated on a new connection."""

    instance_id: str
    address: str
    data_centre: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class EndpointLeaving:
    """An endpoint has reported to its owner that it is leaving."""

    endpoint: str
    incarnation: int


class LiveRole(StrEnum):
    """Kind of an entry in the platform's live list."""

    INSTANCE = "instance"
    ENDPOINT = "endpoint"


@dataclass(frozen=True, slots=True)
class LiveEntry:
    """Entry of the platform's list of live and leaving processes.

    ``incarnation`` grows with each restart under the same id.
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
    """The platform's list as last read; it may be stale."""

    entries_by_id: dict[str, LiveEntry] = field(default_factory=dict)


class InstanceState(StrEnum):
    """State of an instance in the membership view."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


@dataclass(frozen=True, slots=True)
class Member:
    """Instance in the membership view.

    ``unreachable`` are the endpoints that it owned and cannot reach.
    """

    id: str
    address: str
    data_centre: str
    incarnation: int
    state: InstanceState = InstanceState.ALIVE
    unreachable: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class UnreachableChanged:
    """The endpoints that each instance cannot reach, if there are any."""

    names_by_instance: Mapping[str, frozenset[str]]


@dataclass(frozen=True, slots=True)
class LeavingIds:
    """The ids of the endpoints that have said in an answer that they leave."""

    ids: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class MemberView:
    """View that this instance has of all instances and endpoints.

    ``members_by_id`` has all instances that are not known to be dead or gone,
    including this one. ``endpoints_by_id`` has the endpoints that may receive
    requests: those of the live list that are not known to be leaving. ``left``
    has the instances that are shutting down gracefully: they are no longer
    members but finish their requests in progress.
    """

    members_by_id: dict[str, Member] = field(default_factory=dict)
    endpoints_by_id: dict[str, LiveEntry] = field(default_factory=dict)
    left: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class TreeStored:
    """Revision of the tree that this instance stores and serves to peers.

    ``digest`` is the manifest's SHA-256 in hex.
    """

    revision: int
    digest: str


@dataclass(frozen=True, slots=True)
class TreeAnnounced:
    """Another instance has announced a revision of the tree.

    ``holder`` is that instance, empty if unknown.
    """

    revision: int
    digest: str
    holder: str = ""


@dataclass(frozen=True, slots=True)
class SettingsReloaded:
    """The settings of the instance were reloaded."""


@dataclass(frozen=True, slots=True)
class DrainRequested:
    """Request to shut down this instance gracefully."""

    reason: str


@dataclass(frozen=True, slots=True)
class EntryRunningWork:
    """Access to the requests of this entry that may be running.

    ``list_work`` takes the id of an endpoint; the owner calls it.
    """

    list_work: Callable[[str], tuple[RunningWork, ...]]


@dataclass(frozen=True, slots=True)
class OwnedEndpoint:
    """Ownership of one endpoint, as shown to operators.

    ``state`` is ``acquiring``, ``owned`` or ``absent``. An absent owner has
    handed the endpoint over and still finishes its running requests.
    """

    endpoint: str
    state: str
    fence: int
    queued: int
    running: int
    loaded: tuple[AdapterRef, ...] = ()


@dataclass(frozen=True, slots=True)
class OwnedEndpoints:
    """All endpoints that this instance owns or has requests running on."""

    endpoints_by_id: dict[str, OwnedEndpoint] = field(default_factory=dict)

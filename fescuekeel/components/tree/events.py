"""Events that the follower handles and effects that it returns."""

from dataclasses import dataclass

from fescuekeel.components.tree.revision import TreeManifest

__all__ = [
    "CONFIG_SERVICE",
    "Effect",
    "Event",
    "FetchRevision",
    "ManifestRead",
    "MembersChanged",
    "PutInForce",
    "ReportIgnored",
    "RequestManifest",
    "RevisionAdvertised",
    "RevisionFailed",
    "RevisionFetched",
    "SetReadMode",
    "Tick",
]

# The configuration service as a source; other sources are instance ids.
CONFIG_SERVICE = ""


# Events.


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """The instances that are not considered dead, this one included.

    ``live_list_read`` says whether the platform's live list has been read.
    """

    data_centres_by_id: dict[str, str]
    live_list_read: bool = True


@dataclass(frozen=True, slots=True)
class RevisionAdvertised:
    """Gossip advertised a revision that ``holder`` holds."""

    revision: int
    digest: str
    holder: str


@dataclass(frozen=True, slots=True)
class ManifestRead:
    """A source returned a manifest, or ``None``: not held, or unreachable.

    ``answered`` distinguishes the two for peers.
    """

    source: str
    manifest: TreeManifest | None
    answered: bool = True


@dataclass(frozen=True, slots=True)
class RevisionFetched:
    """All parts of a revision are fetched, and they form a valid tree."""

    manifest: TreeManifest


@dataclass(frozen=True, slots=True)
class RevisionFailed:
    """A revision could not be fetched, or is not valid."""

    manifest: TreeManifest
    invalid: bool


@dataclass(frozen=True, slots=True)
class Tick:
    """The periodic timer fired."""


Event = (
    MembersChanged
    | RevisionAdvertised
    | ManifestRead
    | RevisionFetched
    | RevisionFailed
    | Tick
)


# Effects.


@dataclass(frozen=True, slots=True)
class SetReadMode:
    """Read the configuration service by watch, or poll every ``poll_s``."""

    watch: bool
    poll_s: float


@dataclass(frozen=True, slots=True)
class RequestManifest:
    """Request a manifest from a peer; revision 0 requests its highest."""

    peer: str
    revision: int


@dataclass(frozen=True, slots=True)
class FetchRevision:
    """Fetch missing parts and validate; cancels any other fetch."""

    manifest: TreeManifest
    sources: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PutInForce:
    """Put the fetched revision in force and publish it on the bus."""

    manifest: TreeManifest


@dataclass(frozen=True, slots=True)
class ReportIgnored:
    """Count and log a revision that is ignored or rejected."""

    counter: str
    revision: int
    digest: str
    source: str


Effect = SetReadMode | RequestManifest | FetchRevision | PutInForce | ReportIgnored

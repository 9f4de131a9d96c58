"""Events that the tree's follower receives and effects it returns."""

from dataclasses import dataclass

from fescuekeel.components.tree.revision import TreeManifest

__all__ = [
    "SERVICE",
    "AskManifest",
    "Count",
    "Effect",
    "Event",
    "FetchRevision",
    "Heard",
    "ManifestRead",
    "MembersSeen",
    "PutInForce",
    "RevisionFailed",
    "RevisionTaken",
    "SetReading",
    "Tick",
]

# The configuration service as a source; other sources are instance ids.
SERVICE = ""


# Events.


@dataclass(frozen=True, slots=True)
class MembersSeen:
    """The instances that are not known dead, this one included.

    ``listed`` tells whether the platform's list has been read.
    """

    data_centres_by_id: dict[str, str]
    listed: bool = True


@dataclass(frozen=True, slots=True)
class Heard:
    """Gossip told of a revision that ``holder`` holds."""

    revision: int
    digest: str
    holder: str


@dataclass(frozen=True, slots=True)
class ManifestRead:
    """A source gave its manifest, or none: not held, or out of reach.

    ``answered`` tells the two apart.
    """

    source: str
    manifest: TreeManifest | None
    answered: bool = True


@dataclass(frozen=True, slots=True)
class RevisionTaken:
    """Every part of a revision is here and the whole is valid."""

    manifest: TreeManifest


@dataclass(frozen=True, slots=True)
class RevisionFailed:
    """A revision could not be fetched, or is not valid."""

    manifest: TreeManifest
    invalid: bool


@dataclass(frozen=True, slots=True)
class Tick:
    """Time passed."""


Event = MembersSeen | Heard | ManifestRead | RevisionTaken | RevisionFailed | Tick


# Effects.


@dataclass(frozen=True, slots=True)
class SetReading:
    """Read the service by a watch, or else by a poll at this interval."""

    watch: bool
    poll_s: float


@dataclass(frozen=True, slots=True)
class AskManifest:
    """Ask a peer for a manifest; 0 asks for the highest that it holds."""

    peer: str
    revision: int


@dataclass(frozen=True, slots=True)
class FetchRevision:
    """Fetch the missing parts and validate, in place of any other fetch."""

    manifest: TreeManifest
    sources: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PutInForce:
    """Put the revision that was taken in force and pass it on."""

    manifest: TreeManifest


@dataclass(frozen=True, slots=True)
class Count:
    """Count and log something that an operator wants to know."""

    name: str
    revision: int
    digest: str
    source: str


Effect = SetReading | AskManifest | FetchRevision | PutInForce | Count

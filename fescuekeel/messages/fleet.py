"""Messages by which instances know each other and what is alive.

Each class has a struct of the same name in ``schema/peer.capnp``.
"""

from dataclasses import dataclass
from enum import StrEnum

__all__ = [
    "Hello",
    "HelloAnswer",
    "News",
    "NewsKind",
    "Ping",
    "PingAnswer",
    "ProbeAnswer",
    "ProbeAsk",
]


class NewsKind(StrEnum):
    """Name what a piece of gossip tells."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"
    ENDPOINT_LEAVING = "endpoint_leaving"
    TREE_REVISION = "tree_revision"
    MEMBERS_DIGEST = "members_digest"


@dataclass(frozen=True, slots=True)
class News:
    """Tell one fact about an instance, an endpoint or the tree.

    ``subject`` is an instance id, an endpoint id or a digest, and
    ``incarnation`` orders what is told of the same subject. For the tree it
    is the revision, for a digest of the members how many they are.
    """

    kind: NewsKind
    subject: str
    incarnation: int
    address: str = ""
    data_centre: str = ""


@dataclass(frozen=True, slots=True)
class Hello:
    """Open a connection: who speaks, and with which protocol version."""

    version: int
    instance: str
    data_centre: str
    incarnation: int
    address: str


@dataclass(frozen=True, slots=True)
class HelloAnswer:
    """Answer a hello."""

    instance: str
    incarnation: int
    data_centre: str = ""
    address: str = ""


@dataclass(frozen=True, slots=True)
class Ping:
    """Ask a peer for a sign of life and pass on news."""

    news: tuple[News, ...] = ()


@dataclass(frozen=True, slots=True)
class PingAnswer:
    """Answer a ping, with news in return."""

    news: tuple[News, ...] = ()


@dataclass(frozen=True, slots=True)
class ProbeAsk:
    """Ask a peer to ping a third instance."""

    target: str
    address: str


@dataclass(frozen=True, slots=True)
class ProbeAnswer:
    """Tell whether the third instance answered."""

    target: str
    alive: bool

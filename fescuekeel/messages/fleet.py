"""Messages of the handshake, gossip and failure detection.

Each class has a struct of the same name in ``schema/peer.capnp``.
"""

from dataclasses import dataclass
from enum import StrEnum

__all__ = [
    "GossipDigest",
    "GossipFact",
    "GossipFacts",
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
    """Kind of a gossip item."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"
    ENDPOINT_LEAVING = "endpoint_leaving"
    TREE_REVISION = "tree_revision"
    MEMBERS_DIGEST = "members_digest"


@dataclass(frozen=True, slots=True)
class News:
    """Gossip item about an instance, an endpoint, the tree or the members.

    ``subject`` is an instance id, an endpoint id or a digest, and
    ``incarnation`` orders items of the same subject. For the tree it is the
    revision, for a digest of the members their number.
    """

    kind: NewsKind
    subject: str
    incarnation: int
    address: str = ""
    data_centre: str = ""


@dataclass(frozen=True, slots=True)
class Hello:
    """First message on a connection: sender and protocol version.

    ``channel`` grows with each connection that an incarnation of the sender
    opens to send messages. It is 0 on a connection that only discovers who
    listens at an address.
    """

    version: int
    instance: str
    data_centre: str
    incarnation: int
    address: str
    channel: int = 0


@dataclass(frozen=True, slots=True)
class HelloAnswer:
    """Reply to a hello."""

    instance: str
    incarnation: int
    data_centre: str = ""
    address: str = ""


@dataclass(frozen=True, slots=True)
class Ping:
    """Probe a peer directly, with gossip piggybacked."""

    news: tuple[News, ...] = ()


@dataclass(frozen=True, slots=True)
class PingAnswer:
    """Reply to a ping, with gossip piggybacked."""

    news: tuple[News, ...] = ()


@dataclass(frozen=True, slots=True)
class ProbeAsk:
    """Ask a peer to ping another instance (indirect probe)."""

    target: str
    address: str


@dataclass(frozen=True, slots=True)
class ProbeAnswer:
    """Report whether the other instance replied."""

    target: str
    alive: bool


@dataclass(frozen=True, slots=True)
class GossipFact:
    """What some instance has observed, ``age_ms`` before this message.

    Of two facts of the same topic and key the one with the higher ``rank``
    replaces the other.
    """

    topic: str
    key: str
    rank: int
    payload: bytes = b""
    age_ms: int = 0


@dataclass(frozen=True, slots=True)
class GossipFacts:
    """Facts that the receiver may not know yet."""

    facts: tuple[GossipFact, ...] = ()


@dataclass(frozen=True, slots=True)
class GossipDigest:
    """Digest and number of the facts that the sender knows.

    A receiver with another digest sends its facts, and its own digest unless
    this one is itself such a reply.
    """

    digest: int
    count: int
    is_reply: bool = False

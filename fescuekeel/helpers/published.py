"""Data model of what the platform publishes."""

import hashlib
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from fescuekeel.helpers.incarnation import Incarnation

__all__ = [
    "BASE_VERSION",
    "BEGINNING",
    "CallerLimits",
    "Catalog",
    "ClientAccount",
    "Configuration",
    "EndpointRecord",
    "EngineSpec",
    "ModelSpec",
    "Position",
    "PublishedItem",
    "Route",
    "RouteKind",
    "ServiceSpec",
    "WeightedService",
    "Weights",
    "digest_key",
]

# Version of an adapter for which no version is published.
BASE_VERSION = 0


class RouteKind(StrEnum):
    """Whether and how a route's requests may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class Weights(NamedTuple):
    """A model, or an adapter of a model.

    >>> str(Weights("m1", "a7")), str(Weights("m1"))
    ('m1/a7', 'm1')
    """

    model: str
    adapter: str = ""

    def __str__(self) -> str:
        """Return the name in the form that callers use."""
        return f"{self.model}/{self.adapter}" if self.adapter else self.model


@dataclass(frozen=True, slots=True)
class WeightedService:
    """Target service of a route, with its share of the requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Routing rule of the configuration.

    ``timeout_s`` bounds the complete response. ``target_s`` is the latency
    objective for the response, or for its first chunk, and ``gap_target_s``
    the one for pauses within a stream. Priority 0 is the most urgent.
    ``max_attempts`` bounds the endpoints to which one request may be sent. An
    ``keyless`` route requires no key.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    target_s: float
    priority: int
    targets: tuple[WeightedService, ...]
    max_attempts: int = 1
    resumable: bool = False
    gap_target_s: float = 0.0
    keyless: bool = False

    @property
    def repeatable(self) -> bool:
        """Return whether a request may be sent more than once."""
        return self.kind is RouteKind.SAFE or self.resumable


@dataclass(frozen=True, slots=True)
class ModelSpec:
    """Base model; ``load_s`` is the load time from the weight store.

    ``size_mb`` is the memory that its weights take at an endpoint, and
    ``adapter_mb`` what each of its adapters takes; ``None`` if not known.
    """

    name: str
    load_s: float
    size_mb: float | None
    adapter_mb: float | None
    adapters: int


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Capacity of the endpoints of a model service.

    ``slots`` bounds the running requests and ``max_loaded_adapters`` the
    loaded adapters. ``memory_mb`` is what models and adapters share at an
    endpoint, ``None`` if not known.
    """

    slots: int
    kv_tokens: int
    max_loaded_adapters: int
    memory_mb: float | None
    models_by_name: dict[str, ModelSpec]


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """Service; without an engine it is a plain HTTP service."""

    name: str
    health_path: str
    max_connections: int
    engine: EngineSpec | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on callers' requests and connections."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


def digest_key(key: str) -> bytes:
    """Return the digest by which a caller's key is stored and looked up.

    Keys themselves are not stored, so that no log, error or memory dump of the
    configuration contains one, and lookups leak nothing through timing.
    """
    return hashlib.sha256(key.encode()).digest()


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """Client account, identified by the key of a request.

    ``priority`` overrides that of the route unless it is ``None``. The rate
    limit applies to all instances together: ``rate_per_s`` units per second
    with bursts of ``burst``; a rate of zero means no limit. A unit is a
    request, or a token with ``counts_tokens``; a request without a token count
    then costs ``default_tokens``.
    """

    name: str
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    counts_tokens: bool = False
    default_tokens: int = 0

    def price(self, tokens: int | None) -> float:
        """Return the cost of a request in units of the rate limit.

        >>> ClientAccount("a").price(1540)
        1.0
        >>> ClientAccount("a", counts_tokens=True).price(1540)
        1540.0
        """
        if not self.counts_tokens:
            return 1.0
        return float(self.default_tokens if tokens is None else tokens)


@dataclass(frozen=True, slots=True)
class Configuration:
    """One complete version of the operators' configuration.

    ``accounts_by_digest`` maps the digest of each key to its account; ``None``
    means that requests need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services_by_name: dict[str, ServiceSpec]
    limits: CallerLimits
    accounts_by_digest: dict[bytes, ClientAccount] | None = None


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """State that an endpoint has published; it lags behind.

    ``id`` is the string of an ``Incarnation`` and changes with each start of
    the endpoint. ``held`` has the versions of the loaded weights, and
    ``software`` is the version of its own software.

    >>> record = EndpointRecord("e1@1700", "s", "a:1", "dc1", 8, False)
    >>> record.name, record.born_ms
    ('e1', 1700)
    """

    id: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool
    held: dict[Weights, int] = field(default_factory=dict)
    software: str = ""

    @property
    def name(self) -> str:
        """Return the name, which may stay the same across restarts."""
        return Incarnation.parse(self.id).name

    @property
    def born_ms(self) -> int:
        """Return the start time, ``UNKNOWN_BORN_MS`` if not reported."""
        return Incarnation.parse(self.id).born_ms


class Position(NamedTuple):
    """Position in the store's history; the later of two is the higher one.

    ``era`` rises each time the store goes back to an older copy of itself, and
    ``revision`` with each change; the copy's revisions are given out again. A
    store that names no era is in era 0.

    >>> Position(2, 40) > Position(1, 90)
    True
    >>> str(Position(2, 40)), str(Position(0, 40))
    ('2:40', '40')
    """

    era: int = 0
    revision: int = 0

    def __str__(self) -> str:
        """Return the form for logs."""
        return f"{self.era}:{self.revision}" if self.era else str(self.revision)


# Before anything was published.
BEGINNING = Position()


@dataclass(frozen=True, slots=True)
class PublishedItem:
    """Key and value from the store; ``value`` is ``None`` after removal.

    A value in an invalid encoding is empty: it fails to decode, but still
    replaces the previous one.

    ``era`` and ``revision`` are the store's at the change. An item that was
    read in an era may have been written in an earlier one.
    """

    key: str
    revision: int
    value: bytes | None
    era: int = 0

    @property
    def position(self) -> Position:
        """Return the position of the change."""
        return Position(self.era, self.revision)


@dataclass(frozen=True, slots=True)
class Catalog:
    """Everything published, as known to this instance.

    ``endpoints_by_id`` excludes endpoints that are leaving or gone, and
    ``leaving_ids`` are those that leave and are still listed.
    ``versions_by_weights`` has the newest published version of each adapter.
    ``position`` is that of the last change seen. ``unconfirmed_since_by_id``
    has the endpoints whose entries are missing, and since when: each may have
    left, or its entry may have lapsed while the store was away.
    """

    position: Position
    configuration: Configuration | None
    endpoints_by_id: dict[str, EndpointRecord]
    versions_by_weights: dict[Weights, int]
    leaving_ids: frozenset[str] = frozenset()
    unconfirmed_since_by_id: dict[str, float] = field(default_factory=dict)

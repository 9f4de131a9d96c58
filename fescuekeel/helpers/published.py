"""What the platform publishes, in the product's own terms."""

import hashlib
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from fescuekeel.helpers.incarnation import Incarnation

__all__ = [
    "BASE_VERSION",
    "CallerLimits",
    "Catalog",
    "ClientAccount",
    "Configuration",
    "EndpointRecord",
    "EngineSpec",
    "ModelSpec",
    "PublishedItem",
    "Route",
    "RouteKind",
    "ServiceSpec",
    "WeightedService",
    "Weights",
    "digest_key",
]

# The version of an adapter that nobody has named a version of.
BASE_VERSION = 0


class RouteKind(StrEnum):
    """Say what may be repeated of a route's requests."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class Weights(NamedTuple):
    """Name a model, or an adapter of a model.

    >>> str(Weights("m1", "a7")), str(Weights("m1"))
    ('m1/a7', 'm1')
    """

    model: str
    adapter: str = ""

    def __str__(self) -> str:
        """Return the name as callers write it."""
        return f"{self.model}/{self.adapter}" if self.adapter else self.model


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One of the services that share a route's requests, by weight."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """One rule of the configuration: which requests go where, and how.

    ``timeout_s`` bounds the whole answer and ``target_s`` is the time to the
    answer, or to its first piece, that callers hope for. Priority 0 is the
    most urgent. ``max_attempts`` bounds the endpoints that may be handed one
    request. ``gap_target_s`` is the longest pause within a stream. An
    ``open`` route asks for no key.
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
    open: bool = False

    @property
    def repeatable(self) -> bool:
        """Tell whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or self.resumable


@dataclass(frozen=True, slots=True)
class ModelSpec:
    """A base model; ``load_s`` is a load from the weight store."""

    name: str
    load_s: float
    weights_mb: float
    adapters: int


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """What the endpoints of a model service can hold and run."""

    slots: int
    kv_tokens: int
    adapter_places: int
    weights_mb: float
    models_by_name: dict[str, ModelSpec]


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service; without an engine it is a plain one."""

    name: str
    health_path: str
    max_connections: int
    engine: EngineSpec | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, in bytes and seconds."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


def digest_key(key: str) -> bytes:
    """Return what stands for a caller's key wherever keys are compared.

    A key itself is kept nowhere, so that no log, error or memory image of the
    configuration shows one; and how long a look-up takes tells nothing of it.
    """
    return hashlib.sha256(key.encode()).digest()


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account, whose requests bear one of its keys.

    ``priority`` goes before that of a route, ``None`` leaves the route's. Over
    all instances the account may spend ``rate_per_s`` units a second, and
    ``burst`` at once; a rate of zero is no limit. A unit is a request, or a
    token if ``counts_tokens``: a request that tells no tokens counts as
    ``plain_tokens`` then.
    """

    name: str
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    counts_tokens: bool = False
    plain_tokens: int = 0

    def price(self, tokens: int | None) -> float:
        """Return what a request takes from the account's limit, in units.

        >>> ClientAccount("a").price(1540)
        1.0
        >>> ClientAccount("a", counts_tokens=True).price(1540)
        1540.0
        """
        if not self.counts_tokens:
            return 1.0
        return float(self.plain_tokens if tokens is None else tokens)


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operators' intent, always whole.

    ``accounts_by_digest`` has the account of each key by the key's digest;
    ``None`` says that requests need no key at all.
    """

    version: int
    routes: tuple[Route, ...]
    services_by_name: dict[str, ServiceSpec]
    limits: CallerLimits
    accounts_by_digest: dict[bytes, ClientAccount] | None = None


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """What an endpoint has published of itself, some time ago.

    ``id`` is the text of an ``Incarnation``, new with each start of the
    endpoint. ``held`` are the weights that it has with their versions.

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

    @property
    def name(self) -> str:
        """Return what an endpoint may keep when it starts again."""
        return Incarnation.parse(self.id).name

    @property
    def born_ms(self) -> int:
        """Return when it started; ``UNTOLD_BORN_MS`` if nothing tells."""
        return Incarnation.parse(self.id).born_ms


@dataclass(frozen=True, slots=True)
class PublishedItem:
    """One published value by its key; ``value`` is ``None`` once it is gone.

    A value that could not be read at all is empty, so that it decodes to
    nothing: it has still replaced the one before.

    ``revision`` grows with each change of anything published, so that of two
    states of one key the one with the higher revision is the later one.
    """

    key: str
    revision: int
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Catalog:
    """All that is published, as far as this instance knows.

    ``endpoints_by_id`` leaves out endpoints that are leaving or gone.
    ``versions_by_weights`` has the newest version that was named of an
    adapter. ``revision`` is that of the last change seen.
    """

    revision: int
    configuration: Configuration | None
    endpoints_by_id: dict[str, EndpointRecord]
    versions_by_weights: dict[Weights, int]

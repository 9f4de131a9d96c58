"""Messages on which software version began a stream.

Each class has a struct of the same name in ``schema/peer.capnp``. A stream is
named by the id of the client attempt that brought its first event.
"""

from dataclasses import dataclass

__all__ = [
    "StreamOriginAnswer",
    "StreamOriginAsk",
    "StreamOriginNews",
    "StreamOriginRecord",
]


@dataclass(frozen=True, slots=True)
class StreamOriginRecord:
    """The service and the software version that began a stream.

    ``lasts_ms`` is how long it is worth remembering.
    """

    stream: str
    service: str
    software: str
    lasts_ms: int


@dataclass(frozen=True, slots=True)
class StreamOriginNews:
    """Tell a home of streams that have begun."""

    records: tuple[StreamOriginRecord, ...] = ()


@dataclass(frozen=True, slots=True)
class StreamOriginAsk:
    """Ask a home what began a stream.

    ``service`` would serve it now; the answer also lists the versions of it
    that have served within ``horizon_ms``. With ``with_history`` no stream is
    asked for: the sender has watched all services for ``watched_ms`` only, and
    the answer has what was seen of them before.
    """

    stream: str
    service: str
    horizon_ms: int
    with_history: bool = False
    watched_ms: int = 0


@dataclass(frozen=True, slots=True)
class SeenVersion:
    """A software version that has served a service.

    It has gone ``gone_ms`` ago, or serves still if that is 0.
    """

    service: str
    software: str
    gone_ms: int = 0


@dataclass(frozen=True, slots=True)
class StreamOriginAnswer:
    """What a home knows.

    With ``known``, ``service`` and ``software`` began the stream. ``seen`` are
    the versions that have served the service asked for, ``watched_ms`` is how
    long the home has known its endpoints, and ``catalog_age_ms`` how long ago
    nothing newer is known to have been published. ``history`` are the versions
    of all services within the time asked for.
    """

    known: bool
    service: str = ""
    software: str = ""
    seen: tuple[str, ...] = ()
    watched_ms: int = 0
    catalog_age_ms: int = 0
    history: tuple[SeenVersion, ...] = ()

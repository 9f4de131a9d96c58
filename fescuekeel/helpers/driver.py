"""Interface between the owner of an endpoint and the endpoint's driver."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from fescuekeel.components.tree.model import PoolKind
from fescuekeel.core import Instance
from fescuekeel.errors import ErrorKind, Failure, Ran
from fescuekeel.messages import AdapterRef

__all__ = [
    "DRIVERS",
    "CacheHint",
    "CacheHints",
    "Call",
    "Driver",
    "DriverRegistry",
    "Guard",
    "OnChunk",
    "OrderOutcome",
    "Outcome",
    "Report",
    "RunningCall",
]

# Takes the position of the first token, the bytes and their token count.
OnChunk = Callable[[int, bytes, int], None]
# Returns, right before a request is written, whether it may still be sent.
Guard = Callable[[], bool]


@dataclass(frozen=True, slots=True)
class Call:
    """Request to an endpoint.

    ``method``, ``path``, ``content_type`` and ``idempotency_key`` are for
    plain services. ``remaining_s`` is the time to the deadline and ``fence``
    the owner's fencing token, zero for none. ``guard`` is a last check before
    the request is sent.
    """

    request_id: str
    adapter: AdapterRef
    urgency: int
    remaining_s: float
    stream: bool
    path: str
    body: bytes
    max_tokens: int = 0
    fence: int = 0
    method: str = "POST"
    content_type: str = "application/json"
    idempotency_key: str = ""
    guard: Guard | None = None


@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of a call.

    Without a failure, the complete response has been passed to ``on_chunk``.
    ``loaded`` is false if the endpoint reported that it does not hold the
    adapter. ``stale_fence`` is the higher fencing token for which the endpoint
    refused the call, zero otherwise.
    """

    failure: Failure | None = None
    status: int = 200
    content_type: str = ""
    loaded: bool = True
    stale_fence: int = 0

    @property
    def ran(self) -> Ran:
        """Return whether the request ran."""
        return Ran.YES if self.failure is None else self.failure.outcome

    @classmethod
    def refused(
        cls, detail: str, *, loaded: bool = True, stale_fence: int = 0
    ) -> "Outcome":
        """Return the outcome of a call that definitely did not run.

        >>> Outcome.refused("full").ran.value
        'no'
        """
        failure = Failure(ErrorKind.ENDPOINT_REFUSED, detail)
        return cls(failure, 503, loaded=loaded, stale_fence=stale_fence)

    @classmethod
    def unknown(cls, detail: str) -> "Outcome":
        """Return the outcome of a call that may or may not have run.

        >>> Outcome.unknown("connection closed").ran.value
        'unknown'
        """
        return cls(Failure(ErrorKind.OUTCOME_UNKNOWN, detail), 502)


@dataclass(frozen=True, slots=True)
class OrderOutcome:
    """Result of a load or an eviction.

    ``fence`` is the fencing token that the order carried. ``unconfirmed`` says
    that it was sent but no reply came: the endpoint may have executed it, or
    may still do so.
    """

    ok: bool
    took_s: float = 0.0
    detail: str = ""
    stale_fence: int = 0
    unconfirmed: bool = False
    fence: int = 0


@dataclass(frozen=True, slots=True)
class RunningCall:
    """Request that an endpoint reports as running."""

    request_id: str
    adapter: AdapterRef


@dataclass(frozen=True, slots=True)
class Report:
    """State reported by an endpoint, which lags behind.

    ``boot_id`` changes with each cold start. ``leaving`` says that the
    endpoint accepts no new requests.
    """

    boot_id: str
    fence: int
    max_running: int
    loaded: frozenset[AdapterRef]
    running: tuple[RunningCall, ...]
    slots: int = 0
    waiting: int = 0
    steps: int = 0
    step_s: float = 0.0
    batch_fill: float = 0.0
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class CacheHint:
    """Prompt prefix that was stored in an endpoint's cache or evicted."""

    prefix: str
    stored: bool


@dataclass(frozen=True, slots=True)
class CacheHints:
    """Cache events; they lag and have gaps.

    The next call continues at ``next_number``.
    """

    hints: tuple[CacheHint, ...]
    next_number: int


class Driver(Protocol):
    """Client of one endpoint, which encapsulates its wire format.

    No method raises on a fault of the endpoint, and none retries.
    ``on_chunk`` receives each chunk of a response once, ordered by position:
    the index of its first token, zero for a response that is not streamed. A
    complete stream ends with a chunk of no tokens.
    """

    async def dispatch(self, call: Call, on_chunk: OnChunk) -> Outcome:
        """Send a request and wait until it has ended."""

    async def resume(self, call: Call, position: int, on_chunk: OnChunk) -> Outcome:
        """Resume the stream of a running request at a token position.

        Each token arrives as a separate chunk.
        """

    async def cancel(self, request_id: str) -> None:
        """Cancel a request and close its connection."""

    async def load(
        self, adapter: AdapterRef, fence: int, timeout_s: float, guard: Guard
    ) -> OrderOutcome:
        """Order a load and wait until it has ended."""

    async def evict(
        self, adapter: AdapterRef, fence: int, timeout_s: float, guard: Guard
    ) -> OrderOutcome:
        """Order an eviction and wait until it has ended."""

    async def report(self, timeout_s: float) -> Report | None:
        """Return the endpoint's report, ``None`` if it is unavailable."""

    async def read_cache_hints(self, since: int, timeout_s: float) -> CacheHints:
        """Return the cache events from a sequence number on."""

    def close(self) -> None:
        """Close every connection."""


Factory = Callable[[Instance, str], Driver]


class DriverRegistry:
    """Registry of driver factories by kind of pool.

    Drivers register themselves. A factory takes the instance and the
    endpoint's ``IP:PORT``.
    """

    def __init__(self) -> None:
        self.factories_by_kind: dict[PoolKind, Factory] = {}

    def register(self, kind: PoolKind, factory: Factory) -> None:
        """Add a driver; raise ``ValueError`` if the kind is taken."""
        if kind in self.factories_by_kind:
            raise ValueError(f"driver {kind!r} is already registered")
        self.factories_by_kind[kind] = factory

    def create(self, kind: PoolKind, instance: Instance, address: str) -> Driver:
        """Return a driver for the endpoint at an address."""
        return self.factories_by_kind[kind](instance, address)


DRIVERS = DriverRegistry()

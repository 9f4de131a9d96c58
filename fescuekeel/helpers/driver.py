"""What the owner of an endpoint asks of the driver that speaks to it."""

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

# Position of the first token, the bytes, and how many tokens they hold.
OnChunk = Callable[[int, bytes, int], None]
# Tells, right before an order is written, whether it may still be given.
Guard = Callable[[], bool]


@dataclass(frozen=True, slots=True)
class Call:
    """A request on its way to an endpoint.

    ``method``, ``path``, ``content_type`` and ``idempotency_key`` are for
    plain services. ``remaining_s`` is the time left in seconds and ``fence``
    the owner's fencing number, zero for none. Without ``guard`` the call is
    always handed over.
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
    """How a call ended.

    Without a failure, all pieces of the answer have been handed to
    ``on_chunk``. ``loaded`` is false when the endpoint said that it does not
    hold the adapter, and ``stale_fence`` is the higher fencing number that
    the endpoint refused the call for, zero otherwise.
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
        """Return the outcome of a call that certainly did not run.

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
    """How a load or an eviction ended; ``took_s`` in seconds.

    ``fence`` is the number that the order carried. ``unsure`` says that it
    was sent but not answered: the endpoint may have obeyed it, or may still
    do so.
    """

    ok: bool
    took_s: float = 0.0
    detail: str = ""
    stale_fence: int = 0
    unsure: bool = False
    fence: int = 0


@dataclass(frozen=True, slots=True)
class RunningCall:
    """A request that an endpoint reports as running."""

    request_id: str
    adapter: AdapterRef


@dataclass(frozen=True, slots=True)
class Report:
    """What an endpoint says of itself, which lags.

    ``boot_id`` changes with each cold start. ``step_s`` is in seconds.
    ``leaving`` says that the endpoint wants no new work.
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
    """A prompt prefix that was stored in an endpoint's cache or removed."""

    prefix: str
    stored: bool


@dataclass(frozen=True, slots=True)
class CacheHints:
    """Cache events, late and with gaps; ask next from ``next_number`` on."""

    hints: tuple[CacheHint, ...]
    next_number: int


class Driver(Protocol):
    """Speak to one endpoint; every wire format stays inside.

    No method raises on what an endpoint does, and none repeats a call by
    itself. ``on_chunk`` receives each piece of an answer once, in the order of
    positions: the number of the first token in the piece, zero for an answer
    that comes in one piece. A whole stream ends with a piece of no tokens.
    """

    async def dispatch(self, call: Call, on_chunk: OnChunk) -> Outcome:
        """Hand over a request and wait for its end."""

    async def resume(self, call: Call, position: int, on_chunk: OnChunk) -> Outcome:
        """Take up the answer of a request that runs, from a token on.

        Each token comes as a piece of its own.
        """

    async def cancel(self, request_id: str) -> None:
        """Stop a request and free its connection."""

    async def load(
        self, adapter: AdapterRef, fence: int, timeout_s: float, guard: Guard
    ) -> OrderOutcome:
        """Order a load and wait until it ended."""

    async def evict(
        self, adapter: AdapterRef, fence: int, timeout_s: float, guard: Guard
    ) -> OrderOutcome:
        """Order an eviction and wait until it ended."""

    async def report(self, timeout_s: float) -> Report | None:
        """Return the endpoint's report, or ``None`` when it can't be had."""

    async def read_cache_hints(self, since: int, timeout_s: float) -> CacheHints:
        """Return cache events from a number on."""

    def close(self) -> None:
        """Drop every connection."""


Factory = Callable[[Instance, str], Driver]


class DriverRegistry:
    """Hold the factory of each kind's driver; drivers register themselves.

    A factory takes the instance and the endpoint's ``IP:PORT``.
    """

    def __init__(self) -> None:
        self.factories_by_kind: dict[PoolKind, Factory] = {}

    def register(self, kind: PoolKind, factory: Factory) -> None:
        """Add the driver of one kind of pool."""
        if kind in self.factories_by_kind:
            raise ValueError(f"driver {kind!r} is registered twice")
        self.factories_by_kind[kind] = factory

    def create(self, kind: PoolKind, instance: Instance, address: str) -> Driver:
        """Return a driver for the endpoint at an address."""
        return self.factories_by_kind[kind](instance, address)


DRIVERS = DriverRegistry()

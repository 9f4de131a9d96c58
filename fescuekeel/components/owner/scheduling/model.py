"""Events that an endpoint's scheduler receives and effects it returns."""

from dataclasses import dataclass

from fescuekeel.errors import ErrorKind
from fescuekeel.messages import AdapterRef

__all__ = [
    "Arrived",
    "AskTurn",
    "Cancelled",
    "Configured",
    "Dispatch",
    "Effect",
    "Event",
    "Evict",
    "EvictEnded",
    "Finished",
    "Load",
    "LoadEnded",
    "Refuse",
    "Reported",
    "ReturnTurn",
    "Tick",
    "TurnGranted",
    "Work",
]


@dataclass(frozen=True, slots=True)
class Work:
    """A request to schedule; times are monotonic seconds.

    ``service_s`` is the expected time on the endpoint, zero if unknown.
    """

    request_id: str
    adapter: AdapterRef
    service: str
    urgency: int
    arrived: float
    deadline: float
    service_s: float = 0.0
    stall_weight: float = 1.0
    batch_weight: float = 1.0


# Events.


@dataclass(frozen=True, slots=True)
class Configured:
    """The pool's settings, initially and after each change.

    ``ready`` is false during a takeover: requests are queued, but nothing is
    dispatched, loaded or evicted.
    """

    slots: int
    max_running: int
    step_s: float
    load_s: float
    ready: bool = True
    max_queued: int = 512


@dataclass(frozen=True, slots=True)
class Arrived:
    """A request arrived."""

    work: Work


@dataclass(frozen=True, slots=True)
class Cancelled:
    """A request was cancelled by its caller or its entry."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Finished:
    """A dispatched request ended, with any outcome."""

    request_id: str


@dataclass(frozen=True, slots=True)
class TurnGranted:
    """The leader granted the load turn that ``AskTurn`` requested."""

    adapter: AdapterRef


@dataclass(frozen=True, slots=True)
class LoadEnded:
    """A load succeeded or failed after ``took_s`` seconds."""

    adapter: AdapterRef
    ok: bool
    took_s: float


@dataclass(frozen=True, slots=True)
class EvictEnded:
    """An eviction succeeded or failed."""

    adapter: AdapterRef
    ok: bool


@dataclass(frozen=True, slots=True)
class Reported:
    """The endpoint's report, which may lag behind its state.

    ``restarted`` is true if its boot ID changed, so that all loaded adapters
    and running requests are lost. ``foreign_running`` maps running requests
    of previous owners to their adapters, which must not be evicted.
    """

    loaded: frozenset[AdapterRef]
    foreign_running: dict[str, AdapterRef]
    restarted: bool = False


@dataclass(frozen=True, slots=True)
class Tick:
    """Periodic tick: refuse late requests and retry failed loads."""


Event = (
    Configured
    | Arrived
    | Cancelled
    | Finished
    | TurnGranted
    | LoadEnded
    | EvictEnded
    | Reported
    | Tick
)


# Effects.


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Dispatch a queued request to the endpoint.

    ``stall_s`` is its wait for the adapter's load, ``held_s`` its delay for a
    batch, and ``queue_s`` its total wait without ``held_s``. Entries take the
    part of ``queue_s`` that is not a stall as a sign of a full endpoint and
    route later requests elsewhere, where they need another load.
    """

    request_id: str
    stall_s: float
    queue_s: float
    held_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse a request that was not dispatched."""

    request_id: str
    kind: ErrorKind
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class AskTurn:
    """Request a load turn, or update the value of a pending request."""

    adapter: AdapterRef
    value: float
    waiting: int


@dataclass(frozen=True, slots=True)
class ReturnTurn:
    """Return a load turn, or withdraw the request for it."""

    adapter: AdapterRef


@dataclass(frozen=True, slots=True)
class Load:
    """Order a load, with a granted turn and a free slot."""

    adapter: AdapterRef


@dataclass(frozen=True, slots=True)
class Evict:
    """Order the eviction of an idle adapter."""

    adapter: AdapterRef


Effect = Dispatch | Refuse | AskTurn | ReturnTurn | Load | Evict

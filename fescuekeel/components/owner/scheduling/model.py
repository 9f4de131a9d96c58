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
    """A request as the scheduler sees it; times are monotonic seconds.

    ``service_s`` is the expected time on the endpoint, zero if not known.
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
    """The pool's settings, at the start and when the tree changes.

    ``ready`` is false while ownership is being taken over: work is queued,
    nothing is dispatched, loaded or evicted.
    """

    slots: int
    max_running: int
    step_s: float
    load_s: float
    ready: bool = True
    max_queued: int = 512


@dataclass(frozen=True, slots=True)
class Arrived:
    """A request came in."""

    work: Work


@dataclass(frozen=True, slots=True)
class Cancelled:
    """A request's caller went away or its entry gave it up."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Finished:
    """A dispatched request ended on the endpoint, whatever its outcome."""

    request_id: str


@dataclass(frozen=True, slots=True)
class TurnGranted:
    """The leader of load turns granted what ``AskTurn`` asked for."""

    adapter: AdapterRef


@dataclass(frozen=True, slots=True)
class LoadEnded:
    """A load succeeded or failed; ``took_s`` in seconds."""

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
    """The endpoint's own report, which lags.

    ``restarted`` is true when its boot id changed: all that was loaded or
    running there is gone. ``foreign_running`` maps each request that some
    earlier owner still runs there to its adapter: these occupy room and their
    adapters must not be evicted.
    """

    loaded: frozenset[AdapterRef]
    foreign_running: dict[str, AdapterRef]
    restarted: bool = False


@dataclass(frozen=True, slots=True)
class Tick:
    """Time passed: expire what is late, retry what was put off."""


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
    """Hand a queued request over to the endpoint.

    ``stall_s`` is how long it waited for its adapter's load and ``queue_s``
    how long it waited in all, less ``held_s``, its wait for a fuller batch:
    entries take what is left of ``queue_s`` beside the stall for want of room
    and would send the next request elsewhere, where it needs a load.
    """

    request_id: str
    stall_s: float
    queue_s: float
    held_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse a queued request that was never handed over."""

    request_id: str
    kind: ErrorKind
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class AskTurn:
    """Ask for a load turn; asked again with a new value when it changes."""

    adapter: AdapterRef
    value: float
    waiting: int


@dataclass(frozen=True, slots=True)
class ReturnTurn:
    """Give back or withdraw a turn that is no longer needed."""

    adapter: AdapterRef


@dataclass(frozen=True, slots=True)
class Load:
    """Order a load, having been granted the turn and a free slot."""

    adapter: AdapterRef


@dataclass(frozen=True, slots=True)
class Evict:
    """Order an eviction of an adapter that serves nothing."""

    adapter: AdapterRef


Effect = Dispatch | Refuse | AskTurn | ReturnTurn | Load | Evict

"""Phases, events and effects in the life of one request."""

from dataclasses import dataclass
from enum import StrEnum

from fescuekeel.errors import Failure, RetryReason

__all__ = [
    "Accepted",
    "AskRetry",
    "Begin",
    "CallerGone",
    "CancelAttempt",
    "ChunkCame",
    "Deliver",
    "Ended",
    "Fail",
    "Finish",
    "GrantStart",
    "LifeEffect",
    "LifeEvent",
    "OwnerLost",
    "Phase",
    "Refused",
    "RetryDecided",
    "SendAttempt",
    "ShutdownEnded",
    "StartAsked",
    "Started",
    "TimePassed",
]


class Phase(StrEnum):
    """Name where a request is."""

    RECEIVED = "received"
    SUBMITTED = "submitted"
    QUEUED = "queued"
    HANDED_OVER = "handed_over"
    ENDED = "ended"


# Events.


@dataclass(frozen=True, slots=True)
class Begin:
    """The request was admitted."""


@dataclass(frozen=True, slots=True)
class Accepted:
    """The owner queued the attempt."""

    attempt: int


@dataclass(frozen=True, slots=True)
class Refused:
    """The attempt certainly did not run and will not."""

    attempt: int
    failure: Failure


@dataclass(frozen=True, slots=True)
class OwnerLost:
    """The owner of the attempt does not answer any more."""

    attempt: int


@dataclass(frozen=True, slots=True)
class StartAsked:
    """An owner asks for leave to hand the request over."""

    attempt: int


@dataclass(frozen=True, slots=True)
class Started:
    """An owner has handed a repeatable request over."""

    attempt: int


@dataclass(frozen=True, slots=True)
class ChunkCame:
    """A piece of the answer came; ``tokens`` is how many it holds.

    A piece of no tokens is the end mark of a stream.
    """

    attempt: int
    position: int
    data: bytes
    tokens: int = 1


@dataclass(frozen=True, slots=True)
class Ended:
    """The attempt ended; ``failure`` is ``None`` for a whole answer."""

    attempt: int
    failure: Failure | None = None


@dataclass(frozen=True, slots=True)
class RetryDecided:
    """The retry budget's answer to ``AskRetry``."""

    allowed: bool


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller closed its connection."""


@dataclass(frozen=True, slots=True)
class ShutdownEnded:
    """The instance ends, and with it the connection to the caller."""


@dataclass(frozen=True, slots=True)
class TimePassed:
    """Look at the clock."""


LifeEvent = (
    Begin
    | Accepted
    | Refused
    | OwnerLost
    | StartAsked
    | Started
    | ChunkCame
    | Ended
    | RetryDecided
    | CallerGone
    | ShutdownEnded
    | TimePassed
)


# Effects.


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Route and submit; ``resume`` asks for the rest of a running stream.

    ``delay_s`` is the longest back-off; the caller of the decision draws the
    actual one between zero and it.
    """

    attempt: int
    delay_s: float = 0.0
    resume: bool = False
    position: int = 0


@dataclass(frozen=True, slots=True)
class GrantStart:
    """Answer an owner that asked for leave."""

    attempt: int
    granted: bool


@dataclass(frozen=True, slots=True)
class AskRetry:
    """Ask the service's retry budget; ``RetryDecided`` follows at once."""

    reason: RetryReason


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Tell the owner to stop the attempt."""

    attempt: int


@dataclass(frozen=True, slots=True)
class Deliver:
    """Pass a piece of the answer to the caller."""

    data: bytes


@dataclass(frozen=True, slots=True)
class Finish:
    """The answer is whole."""


@dataclass(frozen=True, slots=True)
class Fail:
    """Tell the caller what became of the request."""

    failure: Failure


LifeEffect = (
    SendAttempt | GrantStart | AskRetry | CancelAttempt | Deliver | Finish | Fail
)

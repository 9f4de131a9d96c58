"""Phases, events and effects of the request state machine."""

from dataclasses import dataclass
from enum import StrEnum

from fescuekeel.errors import Failure, RetryReason

__all__ = [
    "Accepted",
    "Admitted",
    "AnswerStart",
    "CallerDisconnected",
    "CancelAttempt",
    "CheckBudget",
    "ChunkReceived",
    "Deliver",
    "Ended",
    "Fail",
    "Finish",
    "OwnerLost",
    "Phase",
    "Refused",
    "RequestEffect",
    "RequestEvent",
    "RetryDecided",
    "SendAttempt",
    "ShutdownTimedOut",
    "StartRequested",
    "Started",
    "Submitted",
    "TimerFired",
]


class Phase(StrEnum):
    """Phase of a request."""

    RECEIVED = "received"
    SUBMITTED = "submitted"
    QUEUED = "queued"
    HANDED_OVER = "handed_over"
    ENDED = "ended"


# Events.


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request was admitted."""


@dataclass(frozen=True, slots=True)
class Submitted:
    """The back-off of this attempt has ended, and it is sent to its owner."""

    attempt: int


@dataclass(frozen=True, slots=True)
class Accepted:
    """The owner queued the attempt."""

    attempt: int


@dataclass(frozen=True, slots=True)
class Refused:
    """The attempt was rejected: it did not run and will not."""

    attempt: int
    failure: Failure


@dataclass(frozen=True, slots=True)
class OwnerLost:
    """The owner of the attempt has become unreachable."""

    attempt: int


@dataclass(frozen=True, slots=True)
class StartRequested:
    """An owner requests permission to hand over the request."""

    attempt: int


@dataclass(frozen=True, slots=True)
class Started:
    """An owner has handed over a repeatable request."""

    attempt: int


@dataclass(frozen=True, slots=True)
class ChunkReceived:
    """A response chunk of ``tokens`` tokens arrived.

    A chunk of zero tokens is the end mark of a stream.
    """

    attempt: int
    position: int
    data: bytes
    tokens: int = 1


@dataclass(frozen=True, slots=True)
class Ended:
    """The attempt ended; ``failure`` is ``None`` for success."""

    attempt: int
    failure: Failure | None = None


@dataclass(frozen=True, slots=True)
class RetryDecided:
    """Result of ``CheckBudget``."""

    allowed: bool


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller closed its connection."""


@dataclass(frozen=True, slots=True)
class ShutdownTimedOut:
    """The time for a graceful shutdown is over."""


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer fired; check the deadlines."""


RequestEvent = (
    Admitted
    | Submitted
    | Accepted
    | Refused
    | OwnerLost
    | StartRequested
    | Started
    | ChunkReceived
    | Ended
    | RetryDecided
    | CallerDisconnected
    | ShutdownTimedOut
    | TimerFired
)


# Effects.


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Route and submit an attempt after a back-off.

    ``resume`` requests a running stream from ``position`` on. ``delay_s`` is
    the maximum back-off, to which the caller of ``handle`` applies jitter.
    """

    attempt: int
    delay_s: float = 0.0
    resume: bool = False
    position: int = 0


@dataclass(frozen=True, slots=True)
class AnswerStart:
    """Grant or deny an owner the permission to hand over the request."""

    attempt: int
    granted: bool


@dataclass(frozen=True, slots=True)
class CheckBudget:
    """Check the retry budget; ``RetryDecided`` must follow immediately."""

    reason: RetryReason


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel the attempt at its owner."""

    attempt: int


@dataclass(frozen=True, slots=True)
class Deliver:
    """Deliver a response chunk to the caller."""

    data: bytes


@dataclass(frozen=True, slots=True)
class Finish:
    """Complete a successful response."""


@dataclass(frozen=True, slots=True)
class Fail:
    """Report the failure to the caller."""

    failure: Failure


RequestEffect = (
    SendAttempt | AnswerStart | CheckBudget | CancelAttempt | Deliver | Finish | Fail
)

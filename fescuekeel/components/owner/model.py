"""Messages inside the owner component."""

from dataclasses import dataclass, field
from typing import Protocol

from fescuekeel.components.tree.model import Pool
from fescuekeel.helpers.driver import OrderOutcome, Outcome, Report
from fescuekeel.messages import (
    AdapterRef,
    CopyAnswer,
    HandoverOffer,
    LiveEntry,
    PeerMessage,
    RunningAnswer,
    Submit,
)

__all__ = [
    "AcceptedRequest",
    "CancelReceived",
    "CopyAnswered",
    "DrainStarted",
    "EndpointAssignment",
    "EntryLost",
    "EntryReconnected",
    "EvictDone",
    "FencePresented",
    "LoadDone",
    "LoadTurnGranted",
    "LoadTurns",
    "OfferReceived",
    "PeerAnswered",
    "PollDone",
    "RunEnded",
    "SubmitReceived",
    "TimePassed",
]


class LoadTurns(Protocol):
    """The component that grants load turns: permissions to load an adapter."""

    async def request(
        self, endpoint: str, adapter: AdapterRef, value: float, waiting: int
    ) -> bool:
        """Wait for a load turn; return false if the request was withdrawn."""

    def withdraw(self, endpoint: str, adapter: AdapterRef) -> None:
        """Withdraw a request for a turn, or return an unused turn."""

    def done(self, endpoint: str, adapter: AdapterRef, took_s: float) -> None:
        """Return a turn after a load that took ``took_s`` seconds."""


@dataclass(frozen=True, slots=True)
class AcceptedRequest:
    """A request that this owner has accepted.

    Times are on the monotonic clock, in seconds.
    """

    submit: Submit
    entry: str
    arrived_at: float
    deadline: float

    @property
    def request_id(self) -> str:
        """Return the ID of the request."""
        return self.submit.request_id


@dataclass(frozen=True, slots=True)
class EndpointAssignment:
    """An endpoint's owner according to the current views.

    ``owner`` is ``None`` when the endpoint is leaving.
    """

    entry: LiveEntry
    pool: Pool
    owner: str | None
    peers: frozenset[str] = field(default=frozenset())


@dataclass(frozen=True, slots=True)
class SubmitReceived:
    """An entry instance submits a request."""

    question: PeerMessage
    submit: Submit


@dataclass(frozen=True, slots=True)
class CancelReceived:
    """An entry instance cancels an attempt."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class EntryLost:
    """An entry instance left, failed or is unreachable."""

    instance: str


@dataclass(frozen=True, slots=True)
class EntryReconnected:
    """The connection to an entry was lost and restored.

    Messages to it may have been lost.
    """

    instance: str


@dataclass(frozen=True, slots=True)
class RunEnded:
    """A run ended; ``outcome`` is ``None`` if the entry denied its start."""

    item: AcceptedRequest
    outcome: Outcome | None


@dataclass(frozen=True, slots=True)
class PollDone:
    """A poll sent at ``asked_at`` ended; ``report`` is ``None`` on failure."""

    report: Report | None
    asked_at: float


@dataclass(frozen=True, slots=True)
class PeerAnswered:
    """A peer asked at ``asked_at`` for running work answered or timed out."""

    instance: str
    asked_at: float
    answer: RunningAnswer | None


@dataclass(frozen=True, slots=True)
class CopyAnswered:
    """The owner of an adapter's other endpoint answered or timed out."""

    adapter: AdapterRef
    answer: CopyAnswer | None


@dataclass(frozen=True, slots=True)
class OfferReceived:
    """The previous owner ``by`` offers a handover."""

    by: str
    offer: HandoverOffer


@dataclass(frozen=True, slots=True)
class LoadTurnGranted:
    """The requested load turn was granted."""

    adapter: AdapterRef


@dataclass(frozen=True, slots=True)
class LoadDone:
    """A load succeeded or failed."""

    adapter: AdapterRef
    outcome: OrderOutcome


@dataclass(frozen=True, slots=True)
class FencePresented:
    """An order that only presents the fencing token ended."""

    outcome: OrderOutcome


@dataclass(frozen=True, slots=True)
class EvictDone:
    """An eviction succeeded or failed."""

    adapter: AdapterRef
    outcome: OrderOutcome


@dataclass(frozen=True, slots=True)
class TimePassed:
    """Periodic tick."""


@dataclass(frozen=True, slots=True)
class DrainStarted:
    """Shut down: hand the endpoint over and finish the running requests."""

    successor: str | None

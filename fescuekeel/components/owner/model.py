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
    "CancelCame",
    "ConfirmDone",
    "CopyTold",
    "Drained",
    "EntryLost",
    "EntryReconnected",
    "EvictDone",
    "Item",
    "LoadDone",
    "LoadTurns",
    "OfferCame",
    "PeerAnswered",
    "Placed",
    "ReportCame",
    "RunEnded",
    "SubmitCame",
    "Ticked",
    "TurnCame",
]


class LoadTurns(Protocol):
    """What owners ask of the component that hands out load turns."""

    async def request(
        self, endpoint: str, adapter: AdapterRef, value: float, waiting: int
    ) -> bool:
        """Wait for the turn; return false when it was withdrawn meanwhile."""

    def withdraw(self, endpoint: str, adapter: AdapterRef) -> None:
        """Give up an ask, or a turn that was not used."""

    def done(self, endpoint: str, adapter: AdapterRef, took_s: float) -> None:
        """Give back a turn after a load."""


@dataclass(frozen=True, slots=True)
class Item:
    """A request that this owner has accepted; times are monotonic seconds."""

    submit: Submit
    entry: str
    arrived: float
    deadline: float

    @property
    def request_id(self) -> str:
        """Return the request's id."""
        return self.submit.request_id


@dataclass(frozen=True, slots=True)
class Placed:
    """What the views say of the endpoint now.

    ``owner`` is ``None`` when no instance may own it, as it is leaving.
    """

    entry: LiveEntry
    pool: Pool
    owner: str | None
    peers: frozenset[str] = field(default=frozenset())


@dataclass(frozen=True, slots=True)
class SubmitCame:
    """An entry instance submits a request."""

    question: PeerMessage
    submit: Submit


@dataclass(frozen=True, slots=True)
class CancelCame:
    """An entry instance gives an attempt up."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class EntryLost:
    """An instance is gone or cannot be reached."""

    instance: str


@dataclass(frozen=True, slots=True)
class EntryReconnected:
    """Messages to an instance may be lost, but it can be reached again."""

    instance: str


@dataclass(frozen=True, slots=True)
class RunEnded:
    """A hand-over ended; ``outcome`` is ``None`` when it never began."""

    item: Item
    outcome: Outcome | None


@dataclass(frozen=True, slots=True)
class ReportCame:
    """The endpoint was asked to report at ``asked``; ``None`` is silence."""

    report: Report | None
    asked: float


@dataclass(frozen=True, slots=True)
class PeerAnswered:
    """A peer, asked at ``asked``, told what it knows, or did not answer."""

    instance: str
    asked: float
    answer: RunningAnswer | None


@dataclass(frozen=True, slots=True)
class CopyTold:
    """The owner of an adapter's other endpoint answered, or did not."""

    adapter: AdapterRef
    answer: CopyAnswer | None


@dataclass(frozen=True, slots=True)
class OfferCame:
    """The earlier owner ``by`` hands over."""

    by: str
    offer: HandoverOffer


@dataclass(frozen=True, slots=True)
class TurnCame:
    """A load turn was granted."""

    adapter: AdapterRef


@dataclass(frozen=True, slots=True)
class LoadDone:
    """A load order ended."""

    adapter: AdapterRef
    outcome: OrderOutcome


@dataclass(frozen=True, slots=True)
class ConfirmDone:
    """An order that only shows the fencing number ended."""

    outcome: OrderOutcome


@dataclass(frozen=True, slots=True)
class EvictDone:
    """An eviction order ended."""

    adapter: AdapterRef
    outcome: OrderOutcome


@dataclass(frozen=True, slots=True)
class Ticked:
    """Time passed."""


@dataclass(frozen=True, slots=True)
class Drained:
    """Shut down: hand over and finish what runs."""

    successor: str | None

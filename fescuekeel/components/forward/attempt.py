"""One attempt to send a request to an endpoint."""

from dataclasses import dataclass

from fescuekeel.components.allowance import PermitOutcome
from fescuekeel.components.forward.attempts import AttemptEnd
from fescuekeel.helpers.http_connection import Connection, ResponseHead
from fescuekeel.helpers.whole_answer import BodyEnd, Framing

__all__ = ["Attempt", "FailedAnswer", "Transfer", "get_permit_outcome"]


@dataclass(frozen=True, slots=True)
class FailedAnswer:
    """A whole answer with an error, which a retry may replace."""

    head: ResponseHead
    body: bytes


@dataclass(frozen=True, slots=True)
class Transfer:
    """What was sent, and on which connection.

    ``position`` counts the requests of the connection, this one included.
    ``unconfirmed_s`` is for how long the endpoint's entry had been missing
    then, negative if it was not.
    """

    connection: int
    connection_age_s: float
    position: int
    body_bytes: int
    unconfirmed_s: float = -1.0


@dataclass(slots=True)
class Attempt:
    """One attempt to send the request to an endpoint.

    It was sent at ``sent_at``, once there was a connection, and the latest
    bytes of its answer came at ``received_at``. ``framing`` is that of the
    answer, ``ended_by`` what ended its body, and ``within_event`` whether a
    stream ended within an event. ``software`` is the endpoint's software
    version. With ``is_return`` it is among the first requests after the
    endpoint backed off. ``transfer`` is set once the request was sent.
    """

    endpoint: str
    started_at: float
    tokens: int
    tokens_ahead: int
    sent_at: float = 0.0
    received_at: float = 0.0
    first_chunk_received: bool = False
    first_s: float = -1.0
    first_chunk_at: float = 0.0
    head: ResponseHead | None = None
    connection: Connection | None = None
    framing: Framing | None = None
    ended_by: BodyEnd | None = None
    within_event: bool = False
    software: str = ""
    is_return: bool = False
    transfer: Transfer | None = None


def get_permit_outcome(end: AttemptEnd | None) -> PermitOutcome:
    """Return what an attempt's end means for its permit at the endpoint."""
    match end:
        case None | AttemptEnd.FAILED:
            return PermitOutcome.ANSWERED
        case AttemptEnd.NOT_RUN:
            return PermitOutcome.REJECTED
        case AttemptEnd.BROKEN:
            return PermitOutcome.BROKEN
        case _:
            return PermitOutcome.UNUSED

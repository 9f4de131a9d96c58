"""One attempt to send a request to an endpoint."""

from dataclasses import dataclass

from fescuekeel.components.allowance import PermitOutcome
from fescuekeel.components.forward.attempts import AttemptEnd
from fescuekeel.helpers.http_connection import Connection, ResponseHead

__all__ = ["Attempt", "get_permit_outcome"]


@dataclass(slots=True)
class Attempt:
    """One attempt to send the request to an endpoint.

    It was sent at ``sent_at``, once there was a connection.
    """

    endpoint: str
    started_at: float
    tokens: int
    tokens_ahead: int
    sent_at: float = 0.0
    first_chunk_received: bool = False
    first_s: float = -1.0
    head: ResponseHead | None = None
    connection: Connection | None = None


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

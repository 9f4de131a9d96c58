"""One attempt to send a request to an endpoint."""

from dataclasses import dataclass

from fescuekeel.components.allowance import PlaceOutcome
from fescuekeel.components.forward.attempts import AttemptEnd
from fescuekeel.helpers.http_connection import Connection, ResponseHead

__all__ = ["Attempt", "get_place_outcome"]


@dataclass(slots=True)
class Attempt:
    """One attempt to send the request to an endpoint."""

    endpoint: str
    started_at: float
    tokens: int
    tokens_ahead: int
    first_chunk_received: bool = False
    first_s: float = -1.0
    head: ResponseHead | None = None
    connection: Connection | None = None


def get_place_outcome(end: AttemptEnd | None) -> PlaceOutcome:
    """Return what an attempt's end means for its place at the endpoint."""
    match end:
        case None | AttemptEnd.FAILED:
            return PlaceOutcome.ANSWERED
        case AttemptEnd.NOT_RUN:
            return PlaceOutcome.REJECTED
        case AttemptEnd.BROKEN:
            return PlaceOutcome.BROKEN
        case _:
            return PlaceOutcome.UNUSED

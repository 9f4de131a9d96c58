"""Calls of this instance to endpoints: reports, orders and checks."""

from uuid import uuid4

from fescuekeel.helpers.dialect import Dialect, HttpCall
from fescuekeel.helpers.http_connection import Connection, HttpResponse, fetch

__all__ = ["call_endpoint"]


async def call_endpoint(
    connection: Connection,
    dialect: Dialect,
    call: HttpCall,
    address: str,
    timeout_s: float,
    max_bytes: int,
) -> HttpResponse:
    """Make a call with an id of its own, and return the response to it.

    Raises ``NotConnectedError`` if nothing was sent, and otherwise what
    ``fetch`` raises. A connection on which the endpoint does not repeat the id
    (``repeats_ids``) must serve no second call.
    """
    tie = dialect.make_answer_tie(uuid4().hex)
    headers = (
        ("Host", address),
        (tie.header, tie.id),
        *call.headers,
        ("Content-Length", str(len(call.body))),
    )
    return await fetch(
        connection,
        call.method,
        call.target,
        headers,
        call.body,
        timeout_s,
        max_bytes,
        tie,
    )

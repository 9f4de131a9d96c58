"""Calls of this instance to endpoints: reports, orders and checks."""

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
    """Make a call, and return the response to it.

    The connection must be new: a call has no id that its response could
    repeat, as endpoints run whatever has one. Raises ``NotConnectedError`` if
    nothing was sent, and otherwise what ``fetch`` raises.
    """
    headers = (
        ("Host", address),
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
        dialect.make_correlation(""),
    )

"""What the system's HTTP clients, or its servers, have in common."""

import asyncio
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse

__all__ = ["begin_fetch", "read_bearer"]

BEARER = "bearer "


def begin_fetch(
    client: AsyncHTTPClient, request: HTTPRequest, **options: Any
) -> asyncio.Future[HTTPResponse]:
    """Start a call that may be given up at any time.

    Guards against noise that hides real errors: whoever waits may be
    cancelled, or the client closed, and the call ends later with an error
    that nobody waits for. The library logs that of a cancelled future, so the
    call is shielded, and asyncio that of one which is never looked at, so
    that it is looked at here.
    """
    future = client.fetch(request, **options)
    future.add_done_callback(_retrieve)
    return asyncio.shield(future)


def read_bearer(authorization: str) -> str:
    """Return the token of an ``Authorization`` header, empty without one.

    >>> read_bearer("Bearer top-hat"), read_bearer("Basic abc")
    ('top-hat', '')
    """
    if not authorization.lower().startswith(BEARER):
        return ""
    return authorization[len(BEARER) :].strip()


def _retrieve(future: asyncio.Future[HTTPResponse]) -> None:
    if not future.cancelled():
        future.exception()

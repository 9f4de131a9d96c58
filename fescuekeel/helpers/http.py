"""Helpers shared by HTTP clients and servers."""

import asyncio
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse

__all__ = ["begin_fetch", "read_bearer"]

BEARER_PREFIX = "bearer "


def begin_fetch(
    client: AsyncHTTPClient, request: HTTPRequest, **options: Any
) -> asyncio.Future[HTTPResponse]:
    """Start a call whose result may never be awaited.

    The caller may be cancelled, or the client closed, before the call fails.
    Tornado logs errors of cancelled futures, so the call is shielded; asyncio
    logs exceptions that are never retrieved, so they are retrieved here.
    """
    future = client.fetch(request, **options)
    future.add_done_callback(_retrieve_exception)
    return asyncio.shield(future)


def read_bearer(authorization: str) -> str:
    """Return the token of an ``Authorization`` header, empty without one.

    >>> read_bearer("Bearer top-hat"), read_bearer("Basic abc")
    ('top-hat', '')
    """
    if not authorization.lower().startswith(BEARER_PREFIX):
        return ""
    return authorization[len(BEARER_PREFIX) :].strip()


def _retrieve_exception(future: asyncio.Future[HTTPResponse]) -> None:
    if not future.cancelled():
        future.exception()

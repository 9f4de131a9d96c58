"""Helpers shared by HTTP clients and servers."""

import asyncio
import sys
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse
from tornado.simple_httpclient import SimpleAsyncHTTPClient, _HTTPConnection

__all__ = ["HttpClient", "begin_fetch", "read_bearer"]

BEARER_PREFIX = "bearer "


class HttpClient(SimpleAsyncHTTPClient):
    """Tornado's HTTP client; a reset connection fails the call at once."""

    def _connection_class(self) -> type:
        return HttpConnection


class HttpConnection(_HTTPConnection):
    """One call of ``HttpClient``."""

    def on_connection_close(self) -> None:
        """Fail the call.

        Tornado raises the error of a connection that was reset to the event
        loop, and the call would wait for its timeout.
        """
        try:
            super().on_connection_close()
        except OSError:
            self._handle_exception(*sys.exc_info())


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

"""A small HTTP server of pages that are made when somebody asks for them.

What probes and scrapers ask for needs no more than a path and a text, and
loading a web framework for it would make each start of a daemon longer.
"""

import asyncio
import contextlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from http import HTTPStatus

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine

from fescuekeel.helpers.listen import bind_address

__all__ = ["Page", "PageServer"]

CLOSE_TIMEOUT_S = 0.5


@dataclass(frozen=True, slots=True)
class Page:
    """One answer."""

    body: bytes = b""
    status: HTTPStatus = HTTPStatus.OK
    content_type: str = "text/plain; charset=utf-8"


class PageServer:
    """Own a listening socket, and answer GET and HEAD with a page by path.

    Example::

        server = PageServer({"/readyz": lambda: Page(b"ready")})
        server.start("127.0.0.1:0")
    """

    def __init__(self, pages_by_path: Mapping[str, Callable[[], Page]]) -> None:
        self.address = ""
        self._pages_by_path = pages_by_path
        self._server = HTTPServer(self._answer)

    def start(self, address: str) -> None:
        """Listen; port 0 takes a free one, which ``address`` then shows."""
        sockets, self.address = bind_address(address)
        self._server.add_sockets(sockets)

    async def stop(self) -> None:
        """Close the socket and every connection."""
        self._server.stop()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await self._server.close_all_connections()

    def _find(self, request: HTTPServerRequest) -> Page:
        make = self._pages_by_path.get(request.path)
        if make is None:
            return Page(status=HTTPStatus.NOT_FOUND)
        if request.method not in ("GET", "HEAD"):
            return Page(status=HTTPStatus.METHOD_NOT_ALLOWED)
        return make()

    def _answer(self, request: HTTPServerRequest) -> None:
        page = self._find(request)
        body = b"" if request.method == "HEAD" else page.body
        headers = HTTPHeaders(
            {"Content-Type": page.content_type, "Content-Length": str(len(page.body))}
        )
        line = ResponseStartLine("HTTP/1.1", page.status.value, page.status.phrase)
        connection = request.connection
        assert connection is not None
        connection.write_headers(line, headers, body)
        connection.finish()

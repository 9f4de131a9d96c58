"""Minimal HTTP server for probes and scrapers.

Avoids a web framework, which would increase the start-up time of a daemon.
"""

import asyncio
import contextlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from http import HTTPStatus

from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine

from fescuekeel.helpers.client_resources import ClientResources
from fescuekeel.helpers.client_server import ClientServer
from fescuekeel.helpers.listen import bind_address

__all__ = ["Page", "PageServer"]

CLOSE_TIMEOUT_S = 0.5
IDLE_TIMEOUT_S = 60.0
MAX_HEADER_BYTES = 16 * 1024
# Pages are read, so that requests need no body.
MAX_BODY_BYTES = 1024


@dataclass(frozen=True, slots=True)
class Page:
    """HTTP response."""

    body: bytes = b""
    status: HTTPStatus = HTTPStatus.OK
    content_type: str = "text/plain; charset=utf-8"


class PageServer:
    """Serve GET and HEAD requests with pages generated per path.

    Example::

        pages_by_path = {"/readyz": lambda: Page(b"ready")}
        server = PageServer(pages_by_path, instance.client_resources, "ready")
        server.start("127.0.0.1:0")
    """

    def __init__(
        self,
        pages_by_path: Mapping[str, Callable[[], Page]],
        resources: ClientResources,
        port: str,
    ) -> None:
        self.address = ""
        self._pages_by_path = pages_by_path
        resources.limit_port(port)
        self._server = ClientServer(
            self._handle_request,
            resources,
            port,
            idle_connection_timeout=IDLE_TIMEOUT_S,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
        )

    def start(self, address: str) -> None:
        """Listen on an address; ``address`` has the actual port."""
        sockets, self.address = bind_address(address)
        self._server.add_sockets(sockets)

    async def stop(self) -> None:
        """Close the listening socket and all connections."""
        self._server.stop()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await self._server.close_all_connections()

    def _make_page(self, request: HTTPServerRequest) -> Page:
        make = self._pages_by_path.get(request.path)
        if make is None:
            return Page(status=HTTPStatus.NOT_FOUND)
        if request.method not in ("GET", "HEAD"):
            return Page(status=HTTPStatus.METHOD_NOT_ALLOWED)
        return make()

    def _handle_request(self, request: HTTPServerRequest) -> None:
        page = self._make_page(request)
        body = b"" if request.method == "HEAD" else page.body
        headers = HTTPHeaders(
            {"Content-Type": page.content_type, "Content-Length": str(len(page.body))}
        )
        line = ResponseStartLine("HTTP/1.1", page.status.value, page.status.phrase)
        connection = request.connection
        assert connection is not None
        connection.write_headers(line, headers, body)
        connection.finish()

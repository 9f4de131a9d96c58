"""The server that callers connect to."""

import asyncio
import contextlib
from collections.abc import Callable

from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from fescuekeel.components.forward.const import (
    IDLE_TIMEOUT_S,
    MAX_BODY_BYTES,
    MAX_HEADER_BYTES,
)
from fescuekeel.helpers.listen import bind_address

__all__ = ["CallersServer"]

# Takes a request that was read whole.
Accept = Callable[[HTTP1Connection, RequestStartLine, HTTPHeaders, bytes], None]


class RequestReader(HTTPMessageDelegate):
    """Read one request whole, then hand it over."""

    def __init__(self, accept: Accept, connection: HTTP1Connection) -> None:
        self._accept = accept
        self._connection = connection
        self._line: RequestStartLine | None = None
        self._headers = HTTPHeaders()
        self._body = bytearray()

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Keep the head."""
        assert isinstance(start_line, RequestStartLine)
        self._line = start_line
        self._headers = headers

    def data_received(self, chunk: bytes) -> None:
        """Keep a piece of the body."""
        self._body += chunk

    def finish(self) -> None:
        """Hand the whole request over."""
        assert self._line is not None
        self._accept(self._connection, self._line, self._headers, bytes(self._body))

    def on_connection_close(self) -> None:
        """Drop a request that was never whole."""
        self._body.clear()


class CallersServer(HTTPServerConnectionDelegate):
    """Own the callers' listening socket."""

    def __init__(self, accept: Accept, address: str) -> None:
        self.address = address
        self._accept = accept
        self._server = _DelegateServer(
            self,
            max_buffer_size=4 * MAX_BODY_BYTES,
            max_body_size=MAX_BODY_BYTES,
            max_header_size=MAX_HEADER_BYTES,
            idle_connection_timeout=IDLE_TIMEOUT_S,
        )

    def start(self) -> None:
        """Listen; port 0 takes a free one, which ``address`` then shows."""
        sockets, self.address = bind_address(self.address)
        self._server.add_sockets(sockets)

    def start_request(
        self, server_conn: object, request_conn: object
    ) -> HTTPMessageDelegate:
        """Read the next request of a connection."""
        assert isinstance(request_conn, HTTP1Connection)
        return RequestReader(self._accept, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Forget a connection."""
        self._server.on_close(server_conn)

    async def stop(self) -> None:
        """Close the socket and every connection."""
        self._server.stop()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.5):
                await self._server.close_all_connections()


class _DelegateServer(HTTPServer):
    """Serve through a delegate, which gives the bytes as they came."""

    def initialize(self, delegate: CallersServer, **kwargs: object) -> None:  # type: ignore[override]
        super().initialize(lambda request: None, **kwargs)  # type: ignore[arg-type]
        self._delegate = delegate

    def __init__(self, delegate: CallersServer, **kwargs: object) -> None:
        pass

    def start_request(
        self, server_conn: object, request_conn: object
    ) -> HTTPMessageDelegate:
        return self._delegate.start_request(server_conn, request_conn)

"""The HTTP server for callers."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream

from fescuekeel.components.forward.connection_gate import ConnectionGate
from fescuekeel.components.forward.const import (
    CLOSE_S,
    IDLE_TIMEOUT_S,
    MAX_BODY_BYTES,
    MAX_HEADER_BYTES,
)
from fescuekeel.helpers.linger import reset_on_close
from fescuekeel.helpers.listen import bind_address

__all__ = ["CallersServer"]

# Callback for a request that was read completely.
Accept = Callable[[HTTP1Connection, RequestStartLine, HTTPHeaders, bytes], None]


class RequestReader(HTTPMessageDelegate):
    """Read one request completely, then pass it to the callback."""

    def __init__(self, accept: Accept, connection: HTTP1Connection) -> None:
        self._accept = accept
        self._connection = connection
        self._line: RequestStartLine | None = None
        self._headers = HTTPHeaders()
        self._body = bytearray()

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Store the request line and the headers."""
        assert isinstance(start_line, RequestStartLine)
        self._line = start_line
        self._headers = headers

    def data_received(self, chunk: bytes) -> None:
        """Append a chunk to the body."""
        self._body += chunk

    def finish(self) -> None:
        """Pass the complete request to the callback."""
        assert self._line is not None
        self._accept(self._connection, self._line, self._headers, bytes(self._body))

    def on_connection_close(self) -> None:
        """Discard an incomplete request."""
        self._body.clear()


class CallersServer(HTTPServerConnectionDelegate):
    """Accept callers' connections and read their requests.

    ``gate`` decides which connections are closed before anything is read.
    """

    def __init__(self, accept: Accept, address: str, gate: ConnectionGate) -> None:
        self.address = address
        self.gate = gate
        self._accept = accept
        self._server = _DelegateServer(
            self,
            max_buffer_size=4 * MAX_BODY_BYTES,
            max_body_size=MAX_BODY_BYTES,
            max_header_size=MAX_HEADER_BYTES,
            idle_connection_timeout=IDLE_TIMEOUT_S,
        )

    def start(self) -> None:
        """Start listening; with port 0, ``address`` has the chosen port."""
        sockets, self.address = bind_address(self.address)
        self._server.add_sockets(sockets)

    def start_request(
        self, server_conn: object, request_conn: object
    ) -> HTTPMessageDelegate:
        """Return a reader for the next request of a connection."""
        assert isinstance(request_conn, HTTP1Connection)
        return RequestReader(self._accept, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Remove a connection that was closed."""
        self._server.on_close(server_conn)

    @property
    def is_writing(self) -> bool:
        """Return whether a part of some answer is not written yet."""
        return self._server.is_writing

    async def stop(self) -> None:
        """Close the listening socket and all connections."""
        self._server.stop()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_S):
                await self._server.close_all_connections()


class _DelegateServer(HTTPServer):
    """An HTTP server that leaves the reading of requests to a delegate."""

    def initialize(self, delegate: CallersServer, **kwargs: object) -> None:  # type: ignore[override]
        super().initialize(lambda request: None, **kwargs)  # type: ignore[arg-type]
        self._delegate = delegate

    @property
    def is_writing(self) -> bool:
        return any(connection.stream.writing() for connection in self._connections)

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        """Serve a new connection, or close it unread."""
        if self._delegate.gate.admits():
            super().handle_stream(stream, address)
            return
        reset_on_close(stream.socket)
        stream.close()

    def __init__(self, delegate: CallersServer, **kwargs: object) -> None:
        pass

    def start_request(
        self, server_conn: object, request_conn: object
    ) -> HTTPMessageDelegate:
        return self._delegate.start_request(server_conn, request_conn)

"""The HTTP server for callers."""

import asyncio
import contextlib
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from tornado.http1connection import HTTP1Connection
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
    BODY_TIMEOUT_S,
    CLOSE_S,
    IDLE_TIMEOUT_S,
    MAX_BODY_BYTES,
    MAX_HEADER_BYTES,
    MIN_OVERLOAD_RETRY_S,
)
from fescuekeel.const import HEADER_RETRY_AFTER
from fescuekeel.errors import ErrorKind, Failure
from fescuekeel.helpers.client_resources import ClientResources
from fescuekeel.helpers.client_server import ClientServer
from fescuekeel.helpers.client_stream import ClientStream
from fescuekeel.helpers.listen import bind_address
from fescuekeel.helpers.logging import log_event

__all__ = ["CallersServer"]

# Callback for a request that was read completely.
Accept = Callable[[HTTP1Connection, RequestStartLine, HTTPHeaders, bytes], None]


class RequestReader(HTTPMessageDelegate):
    """Read one request completely, then pass it to the callback.

    A body for which there is no room is read and dropped, and answered at its
    end: callers read an answer that comes sooner only once they have sent all.
    """

    def __init__(
        self,
        accept: Accept,
        connection: HTTP1Connection,
    ) -> None:
        self._accept = accept
        self._connection = connection
        assert isinstance(connection.stream, ClientStream)
        self._stream = connection.stream
        self._dropped = False
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
        if self._dropped:
            return
        if self._stream.record_body(len(self._body) + len(chunk)):
            self._body += chunk
            return
        self._dropped = True
        self._body.clear()
        self._stream.record_body(0)

    def finish(self) -> None:
        """Pass the complete request to the callback."""
        assert self._line is not None
        if self._dropped:
            self._refuse()
            return
        body = bytes(self._body)
        self._body.clear()
        self._accept(self._connection, self._line, self._headers, body)

    def _refuse(self) -> None:
        failure = Failure(ErrorKind.QUEUE_FULL, "request bodies")
        status = HTTPStatus(failure.response.status)
        log_event(
            "request_refused",
            request_id="",
            kind=failure.kind.value,
            detail=failure.detail,
            outcome="refused",
        )
        headers = HTTPHeaders()
        headers[HEADER_RETRY_AFTER] = f"{MIN_OVERLOAD_RETRY_S:.2f}"
        headers["Content-Length"] = "0"
        line = ResponseStartLine("HTTP/1.1", status, status.phrase)
        self._connection.write_headers(line, headers)
        self._connection.finish()

    def on_connection_close(self) -> None:
        """Discard an incomplete request."""
        self._body.clear()


class CallersServer(HTTPServerConnectionDelegate):
    """Accept callers' connections and read their requests.

    ``gate`` decides which connections are closed before anything is read.
    """

    def __init__(
        self,
        accept: Accept,
        address: str,
        gate: ConnectionGate,
        resources: ClientResources,
    ) -> None:
        self.address = address
        self.gate = gate
        self._accept = accept
        self._server = _GatedServer(
            self,
            resources,
            "callers",
            drops_bodies=True,
            max_buffer_size=4 * MAX_BODY_BYTES,
            max_body_size=MAX_BODY_BYTES,
            max_header_size=MAX_HEADER_BYTES,
            body_timeout=BODY_TIMEOUT_S,
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


class _GatedServer(ClientServer):
    """The server of a ``CallersServer``, whose gate admits connections."""

    def initialize(  # type: ignore[override]
        self, delegate: CallersServer, *args: Any, **options: Any
    ) -> None:
        super().initialize(delegate, *args, **options)
        self._delegate = delegate

    @property
    def is_writing(self) -> bool:
        return any(connection.stream.writing() for connection in self._connections)

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        """Serve a new connection, or close it unread."""
        if self._delegate.gate.admits():
            super().handle_stream(stream, address)
            return
        self.close_unread(stream)

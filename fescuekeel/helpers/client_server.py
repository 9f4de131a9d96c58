"""HTTP server for clients that are not under control."""

import asyncio
import errno
import socket
import ssl
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream
from tornado.netutil import ssl_wrap_socket

from fescuekeel.helpers.client_ledger import CloseReason
from fescuekeel.helpers.client_resources import ClientResources
from fescuekeel.helpers.client_stream import ClientStream, TlsClientStream
from fescuekeel.helpers.linger import reset_on_close
from fescuekeel.helpers.logging import log_event

__all__ = ["ClientServer"]

ACCEPTS_PER_ITERATION = 64
# How long no connection is accepted after there was no descriptor for one.
ACCEPT_PAUSE_S = 0.2
OUT_OF_DESCRIPTORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)

AnyStream = ClientStream | TlsClientStream


class CountedRequest(HTTPMessageDelegate):
    """Tell a client's stream how far its request has come.

    Without room for a body the connection is closed, unless the request is one
    that ``drops_bodies`` and answers that itself.
    """

    def __init__(
        self, delegate: HTTPMessageDelegate, stream: AnyStream, drops_bodies: bool
    ) -> None:
        self._delegate = delegate
        self._stream = stream
        self._drops_bodies = drops_bodies
        self._body_bytes = 0

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Pass on the head."""
        return self._delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Count a part of the body, and pass it on."""
        if not self._drops_bodies:
            self._body_bytes += len(chunk)
            if not self._stream.record_body(self._body_bytes):
                self._close()
                return None
        return self._delegate.data_received(chunk)

    def _close(self) -> None:
        client, resources = self._stream.client, self._stream.resources
        if client is not None and resources is not None:
            resources.close(client, CloseReason.MEMORY)

    def finish(self) -> None:
        """Record that the request is complete, and pass that on.

        One whose connection was closed meanwhile is not served.
        """
        if self._stream.closed():
            self._delegate.on_connection_close()
            return
        self._stream.end_request()
        self._delegate.finish()

    def on_connection_close(self) -> None:
        """Pass on that the connection has closed."""
        self._delegate.on_connection_close()


class ClientServer(HTTPServer):
    """An HTTP server whose connections count in the account of all clients.

    ``port`` names the port in the account. With ``drops_bodies`` requests
    count their bodies themselves, by ``record_body`` of their stream.
    """

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        # Tornado's servers are set up by ``initialize``.
        pass

    def initialize(  # type: ignore[override]
        self,
        request_callback: Any,
        resources: ClientResources,
        port: str,
        drops_bodies: bool = False,
        **options: Any,
    ) -> None:
        """Set up the server; other options are those of ``HTTPServer``."""
        super().initialize(request_callback, **options)
        self._resources = resources
        self._port = port
        self._drops_bodies = drops_bodies
        self._listening: set[socket.socket] = set()

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """Accept connections at listening sockets."""
        for listening in sockets:
            listening.setblocking(False)
            self._sockets[listening.fileno()] = listening
            self._handlers[listening.fileno()] = _make_stopper(self, listening)
            self._listening.add(listening)
            self._listen(listening)

    def _listen(self, listening: socket.socket) -> None:
        if listening in self._listening:
            loop = asyncio.get_running_loop()
            loop.add_reader(listening, self._accept, listening)

    def stop_listening_at(self, listening: socket.socket) -> None:
        """Accept no more connections at a socket."""
        self._listening.discard(listening)
        asyncio.get_running_loop().remove_reader(listening)

    def _accept(self, listening: socket.socket) -> None:
        """Accept some connections; pause if there is no descriptor for one.

        Guards against a busy loop: the listening socket stays readable.
        """
        for _ in range(ACCEPTS_PER_ITERATION):
            try:
                connection, address = listening.accept()
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionAbortedError:
                continue
            except OSError as error:
                if error.errno not in OUT_OF_DESCRIPTORS:
                    raise
                self._pause(listening, error)
                return
            self._handle_connection(connection, address)

    def _pause(self, listening: socket.socket, error: OSError) -> None:
        log_event("accept_paused", port=self._port, error=str(error))
        loop = asyncio.get_running_loop()
        loop.remove_reader(listening)
        loop.call_later(ACCEPT_PAUSE_S, self._listen, listening)

    def _handle_connection(self, connection: socket.socket, address: Any) -> None:
        """Count a new connection, and serve it unless there is no room."""
        try:
            stream = self._make_stream(connection)
        except OSError:
            # The client has closed it already.
            connection.close()
            return
        client = self._resources.open(self._port, stream)
        if client is None:
            return
        stream.resources, stream.client = self._resources, client
        try:
            self.handle_stream(stream, address)
        finally:
            if stream.closed():
                self._resources.release(client)

    def _make_stream(self, connection: socket.socket) -> AnyStream:
        options: dict[str, Any] = {
            "max_buffer_size": self.max_buffer_size,
            "read_chunk_size": self.read_chunk_size,
        }
        if self.ssl_options is None:
            return ClientStream(connection, **options)
        wrapped = ssl_wrap_socket(
            connection,
            self.ssl_options,
            server_side=True,
            do_handshake_on_connect=False,
        )
        assert isinstance(wrapped, ssl.SSLSocket)
        return TlsClientStream(wrapped, **options)

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Count the next request of a connection."""
        stream = _get_stream(request_conn)
        delegate = super().start_request(server_conn, request_conn)
        stream.begin_request()
        return CountedRequest(delegate, stream, self._drops_bodies)

    def on_close(self, server_conn: object) -> None:
        """Count a closed connection no longer."""
        super().on_close(server_conn)
        stream = _get_stream(server_conn)
        if stream.client is not None:
            self._resources.release(stream.client)

    def close_unread(self, stream: IOStream) -> None:
        """Close a connection of which nothing was read."""
        reset_on_close(stream.socket)
        stream.close()


def _make_stopper(server: ClientServer, listening: socket.socket) -> Callable[[], None]:
    return lambda: server.stop_listening_at(listening)


def _get_stream(connection: object) -> AnyStream:
    stream = connection.stream  # type: ignore[attr-defined]
    assert isinstance(stream, AnyStream)
    return stream

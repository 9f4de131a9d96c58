"""Pass bytes between a peer's stream and a connection to an endpoint."""

import asyncio
import socket
from collections.abc import Callable

from fescuekeel.components.relay.const import MAX_QUEUED_BYTES
from fescuekeel.helpers.linger import reset_on_close
from fescuekeel.helpers.peer_link import PeerStream, StreamCallbacks

__all__ = ["SplicedConnection"]


class SplicedConnection(asyncio.Protocol):
    """The connection to the endpoint; a loss on one side ends the other.

    A stream that is closed resets the connection, which cancels the request at
    the endpoint. An endpoint that closes ends the stream after its last byte;
    one that resets breaks it.
    """

    def __init__(self, on_closed: Callable[["SplicedConnection"], None]) -> None:
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None
        self._stream: PeerStream | None = None
        self._unread = bytearray()
        self._end_received = False
        self._closed = False

    def connect_stream(self, stream: PeerStream) -> None:
        """Begin to pass bytes."""
        self._stream = stream
        if self._closed:
            stream.close()
            return
        if self._unread:
            stream.write(bytes(self._unread))
            self._unread.clear()
        if self._end_received:
            stream.write_end()
        stream.set_callbacks(
            StreamCallbacks(
                on_data=self._write,
                on_end=self.close,
                on_lost=lambda reason: self.close(),
                on_writable=self._resume_endpoint,
            )
        )

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def _resume_endpoint(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    # Callbacks of the endpoint's connection.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        raw = transport.get_extra_info("socket")
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data: bytes) -> None:
        """Pass bytes to the peer; stop reading while it is slow."""
        if self._stream is None:
            self._unread += data
            return
        self._stream.write(data)
        if self._stream.queued_bytes > MAX_QUEUED_BYTES:
            assert self._transport is not None
            self._transport.pause_reading()

    def eof_received(self) -> bool:
        """Tell the peer that the endpoint sends no more."""
        self._end_received = True
        if self._stream is not None:
            self._stream.write_end()
        return True

    def pause_writing(self) -> None:
        """Stop reading from the peer while the endpoint is slow."""
        if self._stream is not None:
            self._stream.pause_reading()

    def resume_writing(self) -> None:
        """Read from the peer again."""
        if self._stream is not None:
            self._stream.resume_reading()

    def connection_lost(self, error: Exception | None) -> None:
        """Break the stream."""
        self.close()

    def close(self) -> None:
        """Close both sides."""
        if self._closed:
            return
        self._closed = True
        if self._transport is not None:
            reset_on_close(self._transport.get_extra_info("socket"))
            self._transport.abort()
        if self._stream is not None:
            self._stream.close()
        self._on_closed(self)

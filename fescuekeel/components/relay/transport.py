"""A byte stream through a peer, as a transport for HTTP connections."""

import asyncio
from collections.abc import Callable
from typing import Any

from fescuekeel.helpers.peer_link import PeerStream, StreamCallbacks

__all__ = ["StreamTransport"]


class StreamTransport(asyncio.Transport):
    """Let a protocol use a ``PeerStream`` like a socket.

    ``on_lost`` is called with the peer and the reason if the stream is lost.
    """

    def __init__(
        self,
        stream: PeerStream,
        protocol: asyncio.Protocol,
        on_lost: Callable[[str, str], None],
    ) -> None:
        super().__init__()
        self._on_lost = on_lost
        self._stream = stream
        self._protocol = protocol
        self._lost = False

    def start(self) -> None:
        """Connect the protocol with the stream."""
        self._protocol.connection_made(self)
        self._stream.set_callbacks(
            StreamCallbacks(
                on_data=self._protocol.data_received,
                on_end=self._handle_end,
                on_lost=self._handle_lost,
                on_writable=lambda: None,
            )
        )

    def _handle_end(self) -> None:
        if not self._protocol.eof_received():
            self._close(None)

    def _handle_lost(self, reason: str) -> None:
        self._on_lost(self._stream.peer_id, reason)
        self._close(ConnectionResetError(f"relay by {self._stream.peer_id}: {reason}"))

    def _close(self, error: Exception | None) -> None:
        if self._lost:
            return
        self._lost = True
        self._stream.close()
        asyncio.get_running_loop().call_soon(self._protocol.connection_lost, error)

    # asyncio.Transport.

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return the default: the stream has no socket of its own."""
        return default

    def is_closing(self) -> bool:
        """Return whether the transport is closing or closed."""
        return self._lost

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Queue bytes."""
        if not self._lost:
            self._stream.write(bytes(data))

    def get_write_buffer_size(self) -> int:
        """Return the bytes that are not yet sent."""
        return self._stream.queued_bytes

    def pause_reading(self) -> None:
        """Stop reading, for backpressure."""
        self._stream.pause_reading()

    def resume_reading(self) -> None:
        """Read again."""
        self._stream.resume_reading()

    def close(self) -> None:
        """Abort the stream."""
        self._close(None)

    def abort(self) -> None:
        """Abort the stream."""
        self._close(None)

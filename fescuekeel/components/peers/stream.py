"""Byte streams between two instances, each on a connection of its own."""

from fescuekeel.components.peers.connection import Connection
from fescuekeel.components.peers.const import (
    MAX_STREAM_FRAME_BYTES,
    STREAM_DATA,
    STREAM_END,
    STREAM_HEARTBEAT_S,
    STREAM_TIMEOUT_S,
)
from fescuekeel.errors import Failure
from fescuekeel.helpers.peer_link import SILENT, StreamCallbacks

__all__ = ["ByteStream"]


class ByteStream:
    """Implementation of ``PeerStream``.

    The side that opened the stream sends heartbeats, which the other one
    answers, so that both notice when the other is gone without a word.
    """

    def __init__(self, connection: Connection, sends_heartbeats: bool) -> None:
        self.peer_id = connection.peer_id
        self._connection = connection
        self._sends_heartbeats = sends_heartbeats
        self._callbacks: StreamCallbacks | None = None
        self._lost = False
        self._reading_paused = False
        self._asked_at = 0.0

    @property
    def queued_bytes(self) -> int:
        """Return the bytes that are not yet sent."""
        return self._connection.queued_bytes

    @property
    def closed(self) -> bool:
        """Return whether the stream is closed or broken."""
        return self._connection.closed

    def set_callbacks(self, callbacks: StreamCallbacks) -> None:
        """Set the callbacks; bytes that have arrived are delivered at once."""
        self._callbacks = callbacks
        self._connection.set_writable_callback(callbacks.on_writable)
        self._connection.set_callbacks(self._receive, self._handle_close)

    def _receive(self, payload: bytes) -> None:
        assert self._callbacks is not None
        if payload == STREAM_END:
            self._callbacks.on_end()
        elif payload.startswith(STREAM_DATA):
            self._callbacks.on_data(payload[len(STREAM_DATA) :])
        else:
            self._lose("unknown frame in a byte stream")

    def _handle_close(self, failure: Failure) -> None:
        self._lose(failure.detail or failure.kind.value)

    def _lose(self, reason: str) -> None:
        if self._lost:
            return
        self._lost = True
        self._connection.close()
        if self._callbacks is not None:
            self._callbacks.on_lost(reason)

    def write(self, data: bytes) -> None:
        """Queue bytes."""
        for start in range(0, len(data), MAX_STREAM_FRAME_BYTES):
            part = data[start : start + MAX_STREAM_FRAME_BYTES]
            if not self._connection.send(STREAM_DATA + part):
                self._lose("queue full or closed")
                return

    def write_end(self) -> None:
        """Tell the peer that no more bytes follow."""
        if not self._connection.send(STREAM_END):
            self._lose("queue full or closed")

    def pause_reading(self) -> None:
        """Stop reading, for backpressure."""
        self._reading_paused = True
        self._connection.pause_reading()

    def resume_reading(self) -> None:
        """Read again."""
        self._reading_paused = False
        self._connection.resume_reading()

    def check(self, now: float, was_suspended: bool) -> None:
        """Send a heartbeat if one is due; lose a stream that is silent.

        Heartbeats are due whether or not the peer sends: it may have nothing
        to send itself that would show it that this side is still there.
        After a pause of this process all streams look silent while data may be
        waiting in the sockets' buffers. So does one that is not being read.
        """
        if was_suspended or self._reading_paused:
            self._connection.last_received_at = now
        silent_s = now - self._connection.last_received_at
        if silent_s > STREAM_TIMEOUT_S:
            self._lose(SILENT)
        elif self._sends_heartbeats and now - self._asked_at > STREAM_HEARTBEAT_S:
            self._asked_at = now
            self._connection.send_heartbeat()

    def close(self) -> None:
        """Abort the stream; queued bytes are lost."""
        self._connection.close()

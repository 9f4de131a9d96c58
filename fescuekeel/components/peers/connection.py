"""A connection between two instances: framing, queueing and heartbeats."""

import asyncio
import contextlib
import os
from collections.abc import Callable

from returns.result import Failure as Err, Result, Success

from fescuekeel.components.peers.const import (
    GOODBYE,
    GOODBYE_TIMEOUT_S,
    HEARTBEAT,
    HEARTBEAT_ANSWER,
    MAX_HELLO_BYTES,
    MAX_QUEUE_BYTES,
    NONCE_BYTES,
)
from fescuekeel.components.peers.frames import Direction, FrameReader, FrameWriter
from fescuekeel.const import MAX_FRAME_BYTES
from fescuekeel.errors import ErrorKind, Failure

__all__ = ["Connection"]

OnPayload = Callable[[bytes], None]
OnClose = Callable[[Failure], None]


class Connection(asyncio.Protocol):
    """Connection to or from a peer.

    Payloads are read with ``read`` until ``set_callbacks`` is called. After
    that each payload is passed to a callback as its bytes arrive, because a
    reading task would need more iterations of the event loop per payload.

    ``unanswered_since`` is the time of the first payload sent since data last
    arrived, ``last_message_at`` when a message was last sent or received,
    and ``last_received_at`` when data last arrived; all in monotonic seconds.
    ``carries_channel`` says that an accepted connection carries a peer's
    messages, rather than a stream or a single request.
    """

    def __init__(
        self,
        keys: tuple[bytes, ...],
        direction: Direction,
        now: Callable[[], float],
    ) -> None:
        self.peer_id = ""
        self.carries_channel = False
        self.unanswered_since: float | None = None
        self.last_message_at = self.last_received_at = now()
        self.closed_cleanly = False
        self.closed = False
        self.request_numbers: set[int] = set()
        self._heartbeat_sent = False
        self._keys = keys
        self._direction = direction
        self._now = now
        self._transport: asyncio.Transport | None = None
        self._own_nonce = os.urandom(NONCE_BYTES)
        self._peer_nonce = b""
        self._writer: FrameWriter | None = None
        self._reader: FrameReader | None = None
        self._queue: list[bytes] = []
        self._queued_bytes = 0
        self._flushing = False
        self._paused = False
        self._payloads: list[bytes] = []
        self._failure: Failure | None = None
        self._state_changed = asyncio.Event()
        self._on_payload: OnPayload | None = None
        self._on_close: OnClose | None = None
        self._on_writable: Callable[[], None] = _do_nothing

    @property
    def queued_bytes(self) -> int:
        """Return the bytes not yet sent, the transport's buffer included."""
        if self.closed or self._transport is None:
            return self._queued_bytes
        return self._queued_bytes + self._transport.get_write_buffer_size()

    @property
    def has_unread_payloads(self) -> bool:
        """Return whether payloads have arrived that were not read."""
        return bool(self._payloads)

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send this side's nonce.

        Both sides contribute one: with the accepting side's alone, an
        impostor could replay an old nonce and all answers recorded with it.
        """
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.write(self._own_nonce)

    def data_received(self, data: bytes) -> None:
        """Process received bytes: the peer's nonce first, then frames."""
        self.unanswered_since = None
        self._heartbeat_sent = False
        self.last_received_at = self._now()
        if self._reader is None:
            self._peer_nonce += data
            if len(self._peer_nonce) < NONCE_BYTES:
                return
            data = self._peer_nonce[NONCE_BYTES:]
            self._start_framing(self._peer_nonce[:NONCE_BYTES])
        assert self._reader is not None
        result = self._reader.feed(data)
        if isinstance(result, Err):
            self._fail(result.failure())
            return
        self._dispatch(result.unwrap())

    def connection_lost(self, exc: Exception | None) -> None:
        """Record that the transport has closed."""
        self._fail(Failure(ErrorKind.PEER_UNREACHABLE, "connection lost"))

    def pause_writing(self) -> None:
        """Hold payloads in the queue while the transport's buffer is full."""
        self._paused = True

    def resume_writing(self) -> None:
        """Send the payloads held while the transport was paused."""
        self._paused = False
        self._flush()
        if not self._paused:
            self._on_writable()

    def _start_framing(self, peer_nonce: bytes) -> None:
        if self._direction is Direction.CONNECTING:
            session, peer_direction = (
                self._own_nonce + peer_nonce,
                Direction.ACCEPTING,
            )
        else:
            session, peer_direction = (
                peer_nonce + self._own_nonce,
                Direction.CONNECTING,
            )
        self._writer = FrameWriter(self._keys[0], session, self._direction)
        self._reader = FrameReader(self._keys, session, peer_direction, MAX_HELLO_BYTES)
        self._flush()

    def _dispatch(self, payloads: list[bytes]) -> None:
        for payload in payloads:
            if payload == HEARTBEAT:
                self._enqueue(HEARTBEAT_ANSWER)
            elif payload == GOODBYE:
                self.closed_cleanly = True
            elif payload != HEARTBEAT_ANSWER:
                self.last_message_at = self.last_received_at
                self._deliver(payload)

    def _deliver(self, payload: bytes) -> None:
        if self._on_payload is None:
            self._payloads.append(payload)
            self._state_changed.set()
        elif not self.closed:
            self._on_payload(payload)

    def _fail(self, failure: Failure) -> None:
        """Close with a failure; only the first failure is kept."""
        if self._failure is not None:
            return
        self._failure = failure
        self.close()
        self._state_changed.set()
        if self._on_close is not None:
            self._on_close(failure)

    # Reading.

    async def read(self) -> Result[bytes, Failure]:
        """Wait for the next payload; only valid before ``set_callbacks``.

        Fails with the reason for which the connection closed, such as
        ``peer_unreachable``.
        """
        while not self._payloads:
            if self._failure is not None:
                return Err(self._failure)
            self._state_changed.clear()
            await self._state_changed.wait()
        return Success(self._payloads.pop(0))

    def set_callbacks(self, on_payload: OnPayload, on_close: OnClose) -> None:
        """Set the callbacks for each payload and for the close.

        Payloads that have already arrived are delivered at once.
        """
        self._on_payload = on_payload
        self._on_close = on_close
        unread, self._payloads = self._payloads, []
        for payload in unread:
            self._deliver(payload)
        if self._failure is not None:
            on_close(self._failure)

    def set_writable_callback(self, on_writable: Callable[[], None]) -> None:
        """Set the callback for when held payloads have been sent."""
        self._on_writable = on_writable

    def pause_reading(self) -> None:
        """Stop reading from the socket, for backpressure."""
        if self._transport is not None and not self.closed:
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Read from the socket again."""
        if self._transport is not None and not self.closed:
            self._transport.resume_reading()

    def mark_authenticated(self, peer_id: str) -> None:
        """Set the peer's id and allow frames up to ``MAX_FRAME_BYTES``."""
        self.peer_id = peer_id
        assert self._reader is not None
        self._reader.max_payload_bytes = MAX_FRAME_BYTES

    # Sending.

    def send(self, payload: bytes) -> bool:
        """Queue a payload; return false if the queue is full or closed.

        The queue is bounded so that a slow peer cannot exhaust the memory.
        On ``False`` the caller must close the connection: messages are
        delivered in order without gaps.
        """
        if self.closed:
            return False
        if self.queued_bytes + len(payload) > MAX_QUEUE_BYTES:
            return False
        self.last_message_at = self._now()
        if self.unanswered_since is None:
            self.unanswered_since = self.last_message_at
        self._enqueue(payload)
        return True

    def expect_answer(self, since: float) -> None:
        """Count the connection as unanswered at least since this time."""
        if self.unanswered_since is None or self.unanswered_since > since:
            self.unanswered_since = since

    def send_heartbeat(self) -> None:
        """Send a heartbeat unless one is already unanswered."""
        if not self._heartbeat_sent:
            self._heartbeat_sent = True
            self._enqueue(HEARTBEAT)

    def _enqueue(self, payload: bytes) -> None:
        self._queue.append(payload)
        self._queued_bytes += len(payload)
        if not self._flushing:
            # Payloads sent in one iteration of the loop share one write.
            self._flushing = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self._flushing = False
        if self.closed or self._paused or not self._queue:
            return
        if self._transport is None or self._writer is None:
            return
        seal = self._writer.seal
        self._transport.write(b"".join([seal(payload) for payload in self._queue]))
        self._queue.clear()
        self._queued_bytes = 0
        if not self._paused:
            self._on_writable()

    # Closing.

    async def close_gracefully(self) -> None:
        """Close after the queued payloads and a goodbye have been sent."""
        self.closed_cleanly = True
        if self.closed or self._transport is None:
            return
        self._enqueue(GOODBYE)
        self._flush()
        # The transport flushes its buffer before it closes. The timeout keeps
        # a peer that does not read from blocking the shutdown.
        self._state_changed.clear()
        self._transport.close()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(GOODBYE_TIMEOUT_S):
                while self._failure is None:
                    await self._state_changed.wait()
        self.close()

    def close(self) -> None:
        """Abort the connection; queued payloads are lost."""
        if self.closed:
            return
        self.closed = True
        if self._transport is not None:
            self._transport.abort()


def _do_nothing() -> None:
    """Stand for a callback that is not set."""

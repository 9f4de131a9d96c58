"""One connection: nonces, frames, a bounded queue and signs of life."""

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
OnEnd = Callable[[Failure], None]


class Connection(asyncio.Protocol):
    """Own one connection to or from a peer.

    Until ``listen`` is called, ``read`` returns what comes. From then on each
    payload is handed over as its bytes arrive: a task that waits for them
    would make three turns of the loop, and three system calls, out of one.

    ``waiting_since`` is when something was sent that no byte has followed,
    ``used`` when a message last went either way, ``heard`` when bytes last
    came; all in monotonic seconds.
    """

    def __init__(
        self,
        keys: tuple[bytes, ...],
        direction: Direction,
        now: Callable[[], float],
    ) -> None:
        self.peer_id = ""
        self.waiting_since: float | None = None
        self.used = self.heard = now()
        self.ended_well = False
        self.closed = False
        self.question_numbers: set[int] = set()
        self._heartbeat_sent = False
        self._keys = keys
        self._direction = direction
        self._now = now
        self._transport: asyncio.Transport | None = None
        self._own_nonce = os.urandom(NONCE_BYTES)
        self._their_nonce = b""
        self._writer: FrameWriter | None = None
        self._reader: FrameReader | None = None
        self._queue: list[bytes] = []
        self._queued_bytes = 0
        self._flushing = False
        self._paused = False
        self._payloads: list[bytes] = []
        self._failure: Failure | None = None
        self._changed = asyncio.Event()
        self._on_payload: OnPayload | None = None
        self._on_end: OnEnd | None = None

    @property
    def queued_bytes(self) -> int:
        """Return how many bytes wait for the peer, those in hand included."""
        if self.closed or self._transport is None:
            return self._queued_bytes
        return self._queued_bytes + self._transport.get_write_buffer_size()

    @property
    def has_payloads(self) -> bool:
        """Tell whether more has come than was read."""
        return bool(self._payloads)

    # What the event loop calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the own nonce.

        Both sides bring one: with the accepting side's alone, whoever took
        the place of an accepting instance could repeat its old nonce and with
        it all its old answers.
        """
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.write(self._own_nonce)

    def data_received(self, data: bytes) -> None:
        """Take bytes of the peer."""
        self.waiting_since = None
        self._heartbeat_sent = False
        self.heard = self._now()
        if self._reader is None:
            self._their_nonce += data
            if len(self._their_nonce) < NONCE_BYTES:
                return
            data = self._their_nonce[NONCE_BYTES:]
            self._begin_frames(self._their_nonce[:NONCE_BYTES])
        assert self._reader is not None
        result = self._reader.feed(data)
        if isinstance(result, Err):
            self._fail(result.failure())
            return
        self._hand_over(result.unwrap())

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end."""
        self._fail(Failure(ErrorKind.PEER_UNREACHABLE, "connection lost"))

    def pause_writing(self) -> None:
        """Keep what is sent, so that the bound of the queue counts it."""
        self._paused = True

    def resume_writing(self) -> None:
        """Send what was kept."""
        self._paused = False
        self._flush()

    def _begin_frames(self, their_nonce: bytes) -> None:
        if self._direction is Direction.CONNECTING:
            session, their_direction = (
                self._own_nonce + their_nonce,
                Direction.ACCEPTING,
            )
        else:
            session, their_direction = (
                their_nonce + self._own_nonce,
                Direction.CONNECTING,
            )
        self._writer = FrameWriter(self._keys[0], session, self._direction)
        self._reader = FrameReader(
            self._keys, session, their_direction, MAX_HELLO_BYTES
        )
        self._flush()

    def _hand_over(self, payloads: list[bytes]) -> None:
        for payload in payloads:
            if payload == HEARTBEAT:
                self._put(HEARTBEAT_ANSWER)
            elif payload == GOODBYE:
                self.ended_well = True
            elif payload != HEARTBEAT_ANSWER:
                self.used = self.heard
                self._take(payload)

    def _take(self, payload: bytes) -> None:
        if self._on_payload is None:
            self._payloads.append(payload)
            self._changed.set()
        elif not self.closed:
            self._on_payload(payload)

    def _fail(self, failure: Failure) -> None:
        """End with a failure, the first one counts."""
        if self._failure is not None:
            return
        self._failure = failure
        self.close()
        self._changed.set()
        if self._on_end is not None:
            self._on_end(failure)

    # Reading.

    async def read(self) -> Result[bytes, Failure]:
        """Wait for the next payload, while nobody listens.

        Fails with ``peer_unreachable`` when the connection ends.
        """
        while not self._payloads:
            if self._failure is not None:
                return Err(self._failure)
            self._changed.clear()
            await self._changed.wait()
        return Success(self._payloads.pop(0))

    def listen(self, on_payload: OnPayload, on_end: OnEnd) -> None:
        """Call a function with each payload from now on, one with the end."""
        self._on_payload = on_payload
        self._on_end = on_end
        waiting, self._payloads = self._payloads, []
        for payload in waiting:
            self._take(payload)
        if self._failure is not None:
            on_end(self._failure)

    def trust(self, peer_id: str) -> None:
        """Accept long frames from a peer that has signed its hello."""
        self.peer_id = peer_id
        assert self._reader is not None
        self._reader.limit = MAX_FRAME_BYTES

    # Sending.

    def send(self, payload: bytes) -> bool:
        """Queue a payload; return false when the queue is full or closed.

        Guards against a slow peer: it shows as a queue that grows until the
        memory is gone. The queue is bounded, and whoever gets ``False`` must
        close the connection, since a lost message in the middle would break
        the order that is promised.
        """
        if self.closed:
            return False
        if self.queued_bytes + len(payload) > MAX_QUEUE_BYTES:
            return False
        self.used = self._now()
        if self.waiting_since is None:
            self.waiting_since = self.used
        self._put(payload)
        return True

    def send_heartbeat(self) -> None:
        """Ask for a sign of life, once until one comes."""
        if not self._heartbeat_sent:
            self._heartbeat_sent = True
            self._put(HEARTBEAT)

    def _put(self, payload: bytes) -> None:
        self._queue.append(payload)
        self._queued_bytes += len(payload)
        if not self._flushing:
            # Wait for the end of this turn of the loop, so that all that is
            # sent in it goes out in one write.
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

    # The end.

    async def say_goodbye(self) -> None:
        """End the connection in order, so that the peer misses nothing."""
        self.ended_well = True
        if self.closed or self._transport is None:
            return
        self._put(GOODBYE)
        self._flush()
        # What is written leaves before the transport closes; a peer that does
        # not read must not keep us from stopping.
        self._changed.clear()
        self._transport.close()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(GOODBYE_TIMEOUT_S):
                while self._failure is None:
                    await self._changed.wait()
        self.close()

    def close(self) -> None:
        """Close at once."""
        if self.closed:
            return
        self.closed = True
        if self._transport is not None:
            self._transport.abort()

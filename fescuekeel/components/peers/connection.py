"""One connection: nonces, frames, a bounded queue and signs of life."""

import asyncio
import contextlib
import os
from collections.abc import Callable

from returns.result import Failure as Err, Result
from tornado.iostream import IOStream, StreamClosedError

from fescuekeel.components.peers.const import (
    GOODBYE,
    GOODBYE_TIMEOUT_S,
    HEARTBEAT,
    HEARTBEAT_ANSWER,
    MAX_HELLO_BYTES,
    MAX_QUEUE_BYTES,
    NONCE_BYTES,
    READ_BYTES,
)
from fescuekeel.components.peers.frames import Direction, FrameReader, FrameWriter
from fescuekeel.const import MAX_FRAME_BYTES
from fescuekeel.errors import ErrorKind, Failure

__all__ = ["Connection"]


class Connection:
    """Own one stream to or from a peer.

    ``waiting_since`` is when something was sent that no byte has followed,
    ``used`` when a message last went either way; both in monotonic seconds.
    """

    def __init__(
        self,
        stream: IOStream,
        keys: tuple[bytes, ...],
        direction: Direction,
        now: Callable[[], float],
    ) -> None:
        self.peer_id = ""
        self.waiting_since: float | None = None
        self.used = now()
        self.ended_well = False
        self.question_numbers: set[int] = set()
        self._heartbeat_sent = False
        self._stream = stream
        self._keys = keys
        self._direction = direction
        self._now = now
        self._queue: list[bytes] = []
        self._queued_bytes = 0
        self._writing = False
        self._drained = asyncio.Event()
        self._writer: FrameWriter
        self._reader: FrameReader

    @property
    def closed(self) -> bool:
        """Tell whether the stream is closed."""
        return bool(self._stream.closed())

    @property
    def queued_bytes(self) -> int:
        """Return how many bytes wait for the peer, those in hand included."""
        return self._queued_bytes

    async def open(self) -> None:
        """Exchange nonces.

        Both sides bring one: with the accepting side's alone, whoever took
        the place of an accepting instance could repeat its old nonce and with
        it all its old answers.
        """
        self._stream.set_nodelay(True)
        own = os.urandom(NONCE_BYTES)
        await self._stream.write(own)
        other = await self._stream.read_bytes(NONCE_BYTES)
        if self._direction is Direction.CONNECTING:
            session, their_direction = own + other, Direction.ACCEPTING
        else:
            session, their_direction = other + own, Direction.CONNECTING
        self._writer = FrameWriter(self._keys[0], session, self._direction)
        self._reader = FrameReader(
            self._keys, session, their_direction, MAX_HELLO_BYTES
        )

    def trust(self, peer_id: str) -> None:
        """Accept long frames from a peer that has signed its hello."""
        self.peer_id = peer_id
        self._reader.limit = MAX_FRAME_BYTES

    async def read(self) -> Result[list[bytes], Failure]:
        """Wait for the next payloads; there may be none among the bytes.

        Fails with ``peer_unreachable`` when the connection ends.
        """
        try:
            data = await self._stream.read_bytes(READ_BYTES, partial=True)
        except StreamClosedError:
            return Err(Failure(ErrorKind.PEER_UNREACHABLE, "connection lost"))
        self.waiting_since = None
        self._heartbeat_sent = False
        return self._reader.feed(data).map(self._handle_own)

    def _handle_own(self, payloads: list[bytes]) -> list[bytes]:
        messages = []
        for payload in payloads:
            if payload == HEARTBEAT:
                self._put(HEARTBEAT_ANSWER)
            elif payload == GOODBYE:
                self.ended_well = True
            elif payload != HEARTBEAT_ANSWER:
                messages.append(payload)
        if messages:
            self.used = self._now()
        return messages

    def send(self, payload: bytes) -> bool:
        """Queue a payload; return false when the queue is full or closed.

        Guards against a slow peer: it shows as a queue that grows until the
        memory is gone. The queue is bounded, and whoever gets ``False`` must
        close the connection, since a lost message in the middle would break
        the order that is promised.
        """
        if self._stream.closed():
            return False
        if self._queued_bytes + len(payload) > MAX_QUEUE_BYTES:
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
        if not self._writing:
            # Wait for the end of this turn of the loop, so that all that is
            # sent in it goes out in one write.
            self._writing = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        if self._stream.closed() or not self._queue:
            self._writing = False
            self._drained.set()
            return
        frames = b"".join([self._writer.seal(payload) for payload in self._queue])
        written = sum(map(len, self._queue))
        self._queue.clear()
        try:
            done = self._stream.write(frames)
        except StreamClosedError:
            self._writing = False
            self._drained.set()
            return
        if done.done():
            self._finish_write(written)
        else:
            done.add_done_callback(lambda _: self._finish_write(written))

    def _finish_write(self, written: int) -> None:
        self._queued_bytes -= written
        self._flush()

    async def say_goodbye(self) -> None:
        """End the connection in order, so that the peer misses nothing."""
        self.ended_well = True
        if self._stream.closed():
            return
        self._drained.clear()
        self._put(GOODBYE)
        # A peer that does not read must not keep us from stopping.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(GOODBYE_TIMEOUT_S):
                await self._drained.wait()
        self.close()

    def close(self) -> None:
        """Close at once."""
        self._stream.close()

"""State of a connection that this instance opens to a peer."""

import asyncio

from returns.result import Failure as Err, Result

from fescuekeel.components.peers.connection import Connection
from fescuekeel.components.peers.const import MAX_QUEUE_BYTES
from fescuekeel.errors import ErrorKind, Failure, Ran
from fescuekeel.messages import WireMessage

__all__ = ["OutgoingChannel", "PendingAnswer"]

PendingAnswer = asyncio.Future[Result[WireMessage, Failure]]


class OutgoingChannel:
    """Queue payloads until the connection is open and track its requests.

    A request can only be answered on the connection that it was sent on; the
    peer may have restarted before a later connection.
    """

    def __init__(
        self, peer_id: str, number: int, is_replacement: bool, now: float
    ) -> None:
        self.peer_id = peer_id
        self.number = number
        self.is_replacement = is_replacement
        self.created_at = now
        self.connection: Connection | None = None
        self.pending_answers_by_number: dict[int, PendingAnswer] = {}
        self._queue: list[bytes] = []
        self._queued_bytes = 0

    @property
    def queued_bytes(self) -> int:
        """Return the bytes that are not yet sent."""
        if self.connection is None:
            return self._queued_bytes
        return self.connection.queued_bytes

    def send(self, payload: bytes) -> bool:
        """Queue a payload; return false if the queue is full or closed."""
        if self.connection is not None:
            return self.connection.send(payload)
        if self._queued_bytes + len(payload) > MAX_QUEUE_BYTES:
            return False
        self._queue.append(payload)
        self._queued_bytes += len(payload)
        return True

    def attach(self, connection: Connection) -> None:
        """Set the open connection and send the queued payloads on it."""
        self.connection = connection
        for payload in self._queue:
            connection.send(payload)
        self._queue.clear()
        self._queued_bytes = 0

    def fail(self, detail: str) -> None:
        """Fail all pending requests and close the connection."""
        # Without a connection, no request can have reached the peer.
        ran = Ran.NO if self.connection is None else None
        failure = Failure(ErrorKind.PEER_UNREACHABLE, detail, ran)
        for pending in self.pending_answers_by_number.values():
            if not pending.done():
                pending.set_result(Err(failure))
        self.pending_answers_by_number.clear()
        if self.connection is not None:
            self.connection.close()

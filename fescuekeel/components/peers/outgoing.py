"""The connecting side's state, from the first message to the loss."""

import asyncio

from returns.result import Failure as Err, Result

from fescuekeel.components.peers.connection import Connection
from fescuekeel.components.peers.const import MAX_QUEUE_BYTES
from fescuekeel.errors import ErrorKind, Failure, Ran
from fescuekeel.messages import WireMessage

__all__ = ["Asked", "Outgoing"]

Asked = asyncio.Future[Result[WireMessage, Failure]]


class Outgoing:
    """Hold what waits for one connection to a peer.

    Questions belong to the connection that they went out on: an answer on a
    later one is another life's and is not taken for theirs.
    """

    def __init__(self, peer_id: str, replaces: bool, now: float) -> None:
        self.peer_id = peer_id
        self.replaces = replaces
        self.began = now
        self.connection: Connection | None = None
        self.asked_by_number: dict[int, Asked] = {}
        self._waiting: list[bytes] = []
        self._waiting_bytes = 0

    @property
    def queued_bytes(self) -> int:
        """Return how many bytes wait for the peer."""
        if self.connection is None:
            return self._waiting_bytes
        return self.connection.queued_bytes

    def put(self, payload: bytes) -> bool:
        """Queue a payload; return false when the peer is too slow."""
        if self.connection is not None:
            return self.connection.send(payload)
        if self._waiting_bytes + len(payload) > MAX_QUEUE_BYTES:
            return False
        self._waiting.append(payload)
        self._waiting_bytes += len(payload)
        return True

    def attach(self, connection: Connection) -> None:
        """Send what has waited for the connection."""
        self.connection = connection
        for payload in self._waiting:
            connection.send(payload)
        self._waiting.clear()
        self._waiting_bytes = 0

    def fail(self, detail: str) -> None:
        """Fail each open question and close the connection."""
        # What still waits for a connection certainly did not reach the peer.
        ran = Ran.NO if self.connection is None else None
        failure = Failure(ErrorKind.PEER_UNREACHABLE, detail, ran)
        for asked in self.asked_by_number.values():
            if not asked.done():
                asked.set_result(Err(failure))
        self.asked_by_number.clear()
        if self.connection is not None:
            self.connection.close()

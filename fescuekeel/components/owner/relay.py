"""Relay of answer chunks to the entry instance."""

import asyncio

from fescuekeel.helpers.peer_link import PeerLink
from fescuekeel.messages import WorkChunk

__all__ = ["ChunkRelay"]


class ChunkRelay:
    """Merge the chunks of one event loop iteration into one message.

    An engine step delivers the tokens of a whole batch at once, and one
    message for each would dominate the cost of the relay. With ``coalesce``
    false each chunk is sent as it arrives.
    """

    def __init__(
        self,
        link: PeerLink,
        entry: str,
        request_id: str,
        attempt: int,
        *,
        coalesce: bool = True,
    ) -> None:
        self._link = link
        self._entry = entry
        self._request_id = request_id
        self._attempt = attempt
        self._coalesce = coalesce
        self._chunks: list[bytes] = []
        self._position = 0
        self._tokens = 0
        self._scheduled = False

    def add(self, position: int, data: bytes, tokens: int) -> None:
        """Add a chunk; positions must be consecutive."""
        # The end marker has no tokens and must stay a message of its own.
        if tokens == 0:
            self.flush()
        if not self._chunks:
            self._position = position
        self._chunks.append(data)
        self._tokens += tokens
        if tokens == 0 or not self._coalesce:
            self.flush()
            return
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._flush_scheduled)

    def flush(self) -> None:
        """Send the buffered chunks."""
        if not self._chunks:
            return
        chunk = WorkChunk(
            self._request_id,
            self._attempt,
            self._position,
            b"".join(self._chunks),
            self._tokens,
        )
        self._chunks.clear()
        self._tokens = 0
        self._link.send(self._entry, chunk)

    def _flush_scheduled(self) -> None:
        self._scheduled = False
        self.flush()

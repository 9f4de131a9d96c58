"""Pieces of an answer on their way to the entry instance."""

import asyncio

from fescuekeel.helpers.peer_link import PeerLink
from fescuekeel.messages import WorkChunk

__all__ = ["ChunkRelay"]


class ChunkRelay:
    """Send the pieces that come within one turn of the loop as one message.

    An endpoint that steps a full batch wakes this process once for many
    tokens; one message for each would cost more than the relaying itself.
    With ``whole`` false each piece is sent as it came.
    """

    def __init__(
        self,
        link: PeerLink,
        entry: str,
        request_id: str,
        attempt: int,
        *,
        whole: bool = True,
    ) -> None:
        self._link = link
        self._entry = entry
        self._request_id = request_id
        self._attempt = attempt
        self._whole = whole
        self._pieces: list[bytes] = []
        self._position = 0
        self._tokens = 0
        self._scheduled = False

    def add(self, position: int, data: bytes, tokens: int) -> None:
        """Take a piece; positions follow each other."""
        # The end mark stays a piece of its own, since its count is zero.
        if tokens == 0:
            self.flush()
        if not self._pieces:
            self._position = position
        self._pieces.append(data)
        self._tokens += tokens
        if tokens == 0 or not self._whole:
            self.flush()
            return
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._flush_scheduled)

    def flush(self) -> None:
        """Send what is held."""
        if not self._pieces:
            return
        chunk = WorkChunk(
            self._request_id,
            self._attempt,
            self._position,
            b"".join(self._pieces),
            self._tokens,
        )
        self._pieces.clear()
        self._tokens = 0
        self._link.send(self._entry, chunk)

    def _flush_scheduled(self) -> None:
        self._scheduled = False
        self.flush()

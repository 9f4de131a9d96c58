"""Frames between instances: bounded, signed and in sequence."""

import hmac
from enum import Enum

from returns.result import Failure as Err, Result, Success

from fescuekeel.const import MAX_FRAME_BYTES
from fescuekeel.errors import ErrorKind, Failure

__all__ = ["Direction", "FrameReader", "FrameWriter"]

LENGTH_BYTES = 4
MAC_BYTES = 32
SEQUENCE_BYTES = 8


class Direction(Enum):
    """Name the side of a connection that signs."""

    CONNECTING = b"c"
    ACCEPTING = b"a"


def _sign(key: bytes, prefix: bytes, sequence: int, payload: bytes) -> bytes:
    signed = prefix + sequence.to_bytes(SEQUENCE_BYTES, "big") + payload
    return hmac.digest(key, signed, "sha256")


class FrameWriter:
    """Sign payloads.

    A frame is the length of the rest in 4 bytes, an HMAC-SHA256 and the
    payload. What is signed starts with both sides' nonces, the direction and
    the frame's number, so that a recorded frame is worth nothing on another
    connection, in the other direction, or a second time.

    >>> writer = FrameWriter(b"key", b"nonces", Direction.CONNECTING)
    >>> reader = FrameReader((b"key",), b"nonces", Direction.CONNECTING)
    >>> reader.feed(writer.seal(b"one") + writer.seal(b"two")).unwrap()
    [b'one', b'two']
    """

    def __init__(self, key: bytes, session: bytes, direction: Direction) -> None:
        self._key = key
        self._prefix = session + direction.value
        self._sequence = 0

    def seal(self, payload: bytes) -> bytes:
        """Return the frame of the next payload."""
        mac = _sign(self._key, self._prefix, self._sequence, payload)
        self._sequence += 1
        length = MAC_BYTES + len(payload)
        return length.to_bytes(LENGTH_BYTES, "big") + mac + payload


class FrameReader:
    """Split what arrives into payloads and check each one's signature.

    ``limit`` bounds the length of a payload in bytes; it is checked before
    the payload is awaited, so that a length alone reserves nothing.
    """

    def __init__(
        self,
        keys: tuple[bytes, ...],
        session: bytes,
        direction: Direction,
        limit: int = MAX_FRAME_BYTES,
    ) -> None:
        self.limit = limit
        self._keys = keys
        self._prefix = session + direction.value
        self._sequence = 0
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Result[list[bytes], Failure]:
        """Return the payloads that are complete.

        Fails with ``bad_frame`` on a length out of bounds and ``stranger`` on
        a signature by none of the keys; the connection is of no use then.
        """
        self._buffer += data
        payloads = []
        start = 0
        while len(self._buffer) - start >= LENGTH_BYTES:
            length = int.from_bytes(self._buffer[start : start + LENGTH_BYTES], "big")
            if not MAC_BYTES < length <= MAC_BYTES + self.limit:
                return Err(Failure(ErrorKind.BAD_FRAME, f"length {length}"))
            end = start + LENGTH_BYTES + length
            if len(self._buffer) < end:
                break
            body = start + LENGTH_BYTES + MAC_BYTES
            mac = bytes(self._buffer[start + LENGTH_BYTES : body])
            payload = bytes(self._buffer[body:end])
            if not self._check(mac, payload):
                return Err(Failure(ErrorKind.STRANGER))
            payloads.append(payload)
            start = end
        del self._buffer[:start]
        return Success(payloads)

    def _check(self, mac: bytes, payload: bytes) -> bool:
        for key in self._keys:
            expected = _sign(key, self._prefix, self._sequence, payload)
            if hmac.compare_digest(mac, expected):
                self._sequence += 1
                # The peer goes on to sign with the same key.
                self._keys = (key, *(other for other in self._keys if other != key))
                return True
        return False

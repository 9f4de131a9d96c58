"""Framing between instances: bounded, signed and sequenced payloads."""

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
    """Side of a connection that signs a frame."""

    CONNECTING = b"c"
    ACCEPTING = b"a"


def _sign(key: bytes, prefix: bytes, sequence: int, payload: bytes) -> bytes:
    signed = prefix + sequence.to_bytes(SEQUENCE_BYTES, "big") + payload
    return hmac.digest(key, signed, "sha256")


class FrameWriter:
    """Encode payloads as signed frames.

    A frame is a 4-byte length of the rest, an HMAC-SHA256 and the payload.
    The signature also covers both sides' nonces, the direction and the
    sequence number, so that a frame cannot be replayed on another connection,
    in the other direction or a second time.

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
        """Return the frame that carries the next payload."""
        mac = _sign(self._key, self._prefix, self._sequence, payload)
        self._sequence += 1
        length = MAC_BYTES + len(payload)
        return length.to_bytes(LENGTH_BYTES, "big") + mac + payload


class FrameReader:
    """Decode received bytes into payloads and verify their signatures.

    A length above ``max_payload_bytes`` is rejected without waiting for the
    payload.
    """

    def __init__(
        self,
        keys: tuple[bytes, ...],
        session: bytes,
        direction: Direction,
        max_payload_bytes: int = MAX_FRAME_BYTES,
    ) -> None:
        self.max_payload_bytes = max_payload_bytes
        self._keys = keys
        self._prefix = session + direction.value
        self._sequence = 0
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Result[list[bytes], Failure]:
        """Add received bytes and return the payloads that are complete.

        Fails with ``bad_frame`` on a length out of bounds and ``stranger`` on
        a signature that matches none of the keys. The reader cannot be used
        after a failure.
        """
        self._buffer += data
        payloads = []
        start = 0
        while len(self._buffer) - start >= LENGTH_BYTES:
            length = int.from_bytes(self._buffer[start : start + LENGTH_BYTES], "big")
            if not MAC_BYTES < length <= MAC_BYTES + self.max_payload_bytes:
                return Err(
                    Failure(
                        ErrorKind.BAD_FRAME, f"frame length {length} is out of bounds"
                    )
                )
            end = start + LENGTH_BYTES + length
            if len(self._buffer) < end:
                break
            body = start + LENGTH_BYTES + MAC_BYTES
            mac = bytes(self._buffer[start + LENGTH_BYTES : body])
            payload = bytes(self._buffer[body:end])
            if not self._verify(mac, payload):
                return Err(Failure(ErrorKind.STRANGER))
            payloads.append(payload)
            start = end
        del self._buffer[:start]
        return Success(payloads)

    def _verify(self, mac: bytes, payload: bytes) -> bool:
        for key in self._keys:
            expected = _sign(key, self._prefix, self._sequence, payload)
            if hmac.compare_digest(mac, expected):
                self._sequence += 1
                # A peer signs with one key, so that key is tried first.
                self._keys = (key, *(other for other in self._keys if other != key))
                return True
        return False

"""A lightweight caller on one keep-alive connection, for generating load."""

import asyncio
import json
import time
from dataclasses import dataclass, field

from bench.path.const import LOOPBACK, SHOP_TOKEN

__all__ = ["Caller", "Response", "make_body"]

READ_BYTES = 65_536
HEAD_END = b"\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
TOKEN_MARKER = b'"position"'
CONTENT_LENGTH = b"content-length:"


@dataclass(slots=True)
class Response:
    """A response and the arrival times of its tokens, in monotonic seconds."""

    status: int
    started_at: float
    ended_at: float
    body: bytes
    arrivals: list[float] = field(default_factory=list)

    @property
    def total_s(self) -> float:
        """Return the time to the complete response."""
        return self.ended_at - self.started_at

    @property
    def first_token_s(self) -> float:
        """Return the time to the first token."""
        return (self.arrivals[0] if self.arrivals else self.ended_at) - self.started_at

    @property
    def gaps_s(self) -> list[float]:
        """Return the times between tokens; zero within one response chunk."""
        pairs = zip(self.arrivals, self.arrivals[1:], strict=False)
        return [later - earlier for earlier, later in pairs]


def make_body(model: str, prompt: str, max_tokens: int, stream: bool) -> bytes:
    """Return the body of a completion request."""
    fields = {
        "model": model,
        "prompt": prompt,
        "max_tokens": max_tokens,
        "stream": stream,
    }
    return json.dumps(fields).encode()


class Caller:
    """Send requests sequentially."""

    def __init__(self, address: str) -> None:
        self._host, _, self._port = address.rpartition(":")
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Open the connection."""
        self._reader, self._writer = await asyncio.open_connection(
            self._host or LOOPBACK, int(self._port), limit=READ_BYTES
        )

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()

    async def complete(self, body: bytes) -> Response:
        """Send a completion request and read the whole response.

        Raises ``ConnectionError`` if the connection closes early.
        """
        assert self._reader is not None and self._writer is not None
        request_head = (
            "POST /v1/completions HTTP/1.1\r\nHost: bench\r\n"
            f"Authorization: Bearer {SHOP_TOKEN}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        started_at = time.monotonic()
        self._writer.write(request_head.encode() + body)
        response_head, received = await self._read_head()
        status = int(response_head.split(b" ", 2)[1])
        arrivals: list[float] = []
        if CONTENT_LENGTH in response_head.lower():
            length = int(
                response_head.lower().split(CONTENT_LENGTH)[1].split(b"\r\n")[0]
            )
            while len(received) < length:
                received += await self._read()
        else:
            self._record_tokens(received, arrivals)
            while not received.endswith(LAST_CHUNK):
                received += await self._read()
                self._record_tokens(received, arrivals)
        return Response(status, started_at, time.monotonic(), bytes(received), arrivals)

    def _record_tokens(self, body: bytearray, arrivals: list[float]) -> None:
        now = time.monotonic()
        arrivals += [now] * (body.count(TOKEN_MARKER) - len(arrivals))

    async def _read_head(self) -> tuple[bytes, bytearray]:
        data = bytearray()
        while HEAD_END not in data:
            data += await self._read()
        head, _, received = data.partition(HEAD_END)
        return bytes(head), received

    async def _read(self) -> bytes:
        assert self._reader is not None
        data = await self._reader.read(READ_BYTES)
        if not data:
            raise ConnectionError("connection closed before the end of the response")
        return data

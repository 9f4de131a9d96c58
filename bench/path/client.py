"""A caller on one kept-alive connection, cheap enough to load others."""

import asyncio
import json
import time
from dataclasses import dataclass, field

from bench.path.const import LOOPBACK, SHOP_TOKEN

__all__ = ["Answer", "Caller", "make_body"]

READ_BYTES = 65_536
HEAD_END = b"\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
TOKEN_MARK = b'"position"'
LENGTH = b"content-length:"


@dataclass(slots=True)
class Answer:
    """What came back and when; times in monotonic seconds."""

    status: int
    began: float
    ended: float
    body: bytes
    arrivals: list[float] = field(default_factory=list)

    @property
    def total_s(self) -> float:
        """Return the time to the whole answer."""
        return self.ended - self.began

    @property
    def first_s(self) -> float:
        """Return the time to the first token."""
        return (self.arrivals[0] if self.arrivals else self.ended) - self.began

    @property
    def gaps_s(self) -> list[float]:
        """Return the times between tokens; those of one piece are zero."""
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
    """Send one request after the other."""

    def __init__(self, address: str) -> None:
        self._host, _, self._port = address.rpartition(":")
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Connect."""
        self._reader, self._writer = await asyncio.open_connection(
            self._host or LOOPBACK, int(self._port), limit=READ_BYTES
        )

    def close(self) -> None:
        """Disconnect."""
        if self._writer is not None:
            self._writer.close()

    async def ask(self, body: bytes) -> Answer:
        """Send a completion and read the whole answer.

        Raises ``ConnectionError`` when the connection ends early.
        """
        assert self._reader is not None and self._writer is not None
        head = (
            "POST /v1/completions HTTP/1.1\r\nHost: bench\r\n"
            f"Authorization: Bearer {SHOP_TOKEN}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        began = time.monotonic()
        self._writer.write(head.encode() + body)
        text, rest = await self._read_head()
        status = int(text.split(b" ", 2)[1])
        arrivals: list[float] = []
        if LENGTH in text.lower():
            wanted = int(text.lower().split(LENGTH)[1].split(b"\r\n")[0])
            while len(rest) < wanted:
                rest += await self._read()
        else:
            self._note(rest, arrivals)
            while not rest.endswith(LAST_CHUNK):
                rest += await self._read()
                self._note(rest, arrivals)
        return Answer(status, began, time.monotonic(), bytes(rest), arrivals)

    def _note(self, body: bytearray, arrivals: list[float]) -> None:
        now = time.monotonic()
        arrivals += [now] * (body.count(TOKEN_MARK) - len(arrivals))

    async def _read_head(self) -> tuple[bytes, bytearray]:
        data = bytearray()
        while HEAD_END not in data:
            data += await self._read()
        head, _, rest = data.partition(HEAD_END)
        return bytes(head), rest

    async def _read(self) -> bytes:
        assert self._reader is not None
        data = await self._reader.read(READ_BYTES)
        if not data:
            raise ConnectionError("closed early")
        return data

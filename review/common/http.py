"""Plain HTTP/1.1 for the stand-ins: clients' connections and reading."""

import asyncio
import contextlib
from dataclasses import dataclass, field

__all__ = [
    "Answer",
    "Client",
    "Message",
    "read_head",
    "read_message",
    "write_answer",
]

MAX_BYTES = 8 * 1024 * 1024


@dataclass(slots=True)
class Message:
    """A request or an answer: its first line, headers in lower case, body."""

    line: str
    headers: dict[str, str]
    body: bytes

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.line.split(" ")[0]

    @property
    def target(self) -> str:
        """Return the path of a request."""
        return self.line.split(" ")[1]


@dataclass(frozen=True, slots=True)
class Answer:
    """What a client got: ``status`` is 0 where no whole answer came."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read a first line and the headers."""
    raw = await reader.readuntil(b"\r\n\r\n")
    line, *rest = raw.decode("latin-1").split("\r\n")
    headers = {}
    for text in rest:
        name, colon, value = text.partition(":")
        if colon:
            headers[name.lower()] = value.strip()
    return line, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read a body by its framing; without one, until the connection ends."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return b""


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a whole request."""
    line, headers = await read_head(reader)
    return Message(line, headers, await read_body(reader, headers))


def write_answer(status: str, headers: dict[str, str], body: bytes) -> bytes:
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Client:
    """A client that keeps its connection and sends one request at a time."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def ask(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
        wait_s: float,
    ) -> Answer:
        """Send a request once, and wait for the answer within its budget."""
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += [f"Content-Length: {len(body)}", "", ""]
        try:
            async with asyncio.timeout(wait_s):
                if self._writer is None:
                    host, port = self._address.split(":")
                    pair = await asyncio.open_connection(host, int(port))
                    self._reader, self._writer = pair
                assert self._reader is not None
                self._writer.write("\r\n".join(lines).encode("latin-1") + body)
                line, found = await read_head(self._reader)
                status = int(line.split(" ")[1])
                try:
                    got = await read_body(self._reader, found)
                except (asyncio.IncompleteReadError, ConnectionError, ValueError):
                    self.close()
                    return Answer(status, found)
                if found.get("connection", "").lower() == "close":
                    self.close()
                return Answer(status, found, got, whole=True)
        except (
            TimeoutError,
            OSError,
            asyncio.IncompleteReadError,
            ValueError,
            IndexError,
        ):
            self.close()
            return Answer(0)

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            with contextlib.suppress(OSError):
                self._writer.close()
        self._reader = self._writer = None

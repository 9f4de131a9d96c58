"""A small HTTP/1.1 server and client of raw bytes, for stand-ins."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

__all__ = ["Answer", "ClientConnection", "Request", "call", "reset", "respond", "serve"]

MAX_HEAD = 65536


@dataclass
class Request:
    """A request that was read completely."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    peer: str = ""

    def get(self, name: str) -> str:
        """Return a header, empty if there is none."""
        return self.headers.get(name.lower(), "")


@dataclass
class Answer:
    """What a client read: ``whole`` says that its framing came to its end."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False
    closed: bool = False


Handler = Callable[
    [Request, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]
]


def _split_head(head: bytes) -> tuple[str, dict[str, str]]:
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def _read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = bytearray()
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if not size:
                while (await reader.readline()).strip():
                    pass
                return bytes(body)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(headers.get("content-length", 0)))


async def serve(
    handler: Handler,
    host: str,
    port: int,
    writers: set[asyncio.StreamWriter] | None = None,
) -> asyncio.Server:
    """Serve requests; the handler returns whether to keep the connection.

    ``writers`` has those of the open connections.
    """
    open_writers = set() if writers is None else writers

    async def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        peer = writer.get_extra_info("peername")
        open_writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first, headers = _split_head(head[:-4])
                method, target, _ = first.split(" ")
                body = await _read_body(reader, headers)
                request = Request(method, target, headers, body, str(peer))
                if not await handler(request, reader, writer):
                    break
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
            ValueError,
        ):
            pass
        except asyncio.CancelledError:
            # The case has ended.
            pass
        finally:
            open_writers.discard(writer)
            writer.close()

    return await asyncio.start_server(accept, host, port, limit=MAX_HEAD, backlog=500)


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    raw = writer.get_extra_info("socket")
    if raw is not None and raw.fileno() >= 0:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def respond(
    writer: asyncio.StreamWriter,
    status: int,
    body: bytes,
    headers: tuple[tuple[str, str], ...] = (),
) -> None:
    """Write an answer with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    writer.write("\r\n".join(lines).encode("latin-1") + body)


class ClientConnection:
    """A client's connection, for one request after the other."""

    def __init__(self) -> None:
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def open(self, address: str, timeout_s: float = 1.0) -> None:
        """Connect to ``IP:PORT``."""
        host, _, port = address.rpartition(":")
        opening = asyncio.open_connection(host, int(port), limit=2**20)
        self.reader, self.writer = await asyncio.wait_for(opening, timeout_s)

    def send(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes = b"",
    ) -> None:
        """Send a request whose body has a length."""
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        text = "\r\n".join([*lines, "", ""])
        self.writer.write(text.encode("latin-1") + body)

    async def read(self, answer: Answer) -> Answer:
        """Read one answer into ``answer``, as far as it comes."""
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
            first, headers = _split_head(head[:-4])
            answer.status, answer.headers = int(first.split(" ")[1]), headers
            if headers.get("transfer-encoding", "").lower() == "chunked":
                await self._read_chunks(answer)
            elif "content-length" in headers:
                length = int(headers["content-length"])
                while len(answer.body) < length:
                    data = await self.reader.read(length - len(answer.body))
                    if not data:
                        raise ConnectionResetError
                    answer.body += data
                answer.whole = True
            else:
                while data := await self.reader.read(65536):
                    answer.body += data
                answer.whole = answer.closed = True
        except (ConnectionError, asyncio.IncompleteReadError):
            answer.closed = True
        return answer

    async def _read_chunks(self, answer: Answer) -> None:
        while True:
            size = int((await self.reader.readuntil(b"\r\n")).split(b";")[0], 16)
            answer.body += await self.reader.readexactly(size)
            await self.reader.readexactly(2)
            if not size:
                answer.whole = True
                return

    def close(self) -> None:
        """Close the connection."""
        if hasattr(self, "writer"):
            self.writer.close()


async def call(
    address: str,
    method: str,
    target: str,
    headers: list[tuple[str, str]],
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Answer:
    """Send one request on a new connection; status 0 without an answer."""
    connection, answer = ClientConnection(), Answer()
    try:
        async with asyncio.timeout(timeout_s):
            await connection.open(address)
            connection.send(method, target, headers, body)
            await connection.read(answer)
    except (TimeoutError, OSError):
        pass
    finally:
        connection.close()
    return answer

"""Clients that send much at once and stay, each on a connection of its own."""

import asyncio
import contextlib
import socket
from collections.abc import Iterable, Iterator

from fescuekeel.helpers.listen import split_address

__all__ = ["Crowd", "Piece", "chunk_body", "make_head"]

Piece = bytes
HOST = "shop.example"
PATH = "/charge/x"
CONNECTS_AT_ONCE = 50
RECEIVE_BYTES = 65536


def make_head(path: str = PATH, host: str = HOST, *more: str) -> bytes:
    """Return the head of a request without its last line."""
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {host}",
        "Fescuekeel-Request-Id: 00000000000000ff",
        "Fescuekeel-Deadline-Ms: 5000",
        *more,
    ]
    return "\r\n".join(lines).encode() + b"\r\n"


def chunk_body(body_bytes: int, chunk_bytes: int) -> bytes:
    """Return a body in chunks, without the last chunk."""
    chunk = b"%x\r\n" % chunk_bytes + b"x" * chunk_bytes + b"\r\n"
    return chunk * (body_bytes // chunk_bytes)


class Crowd:
    """Connections that send the same pieces and are then held open.

    What a client gets is not read, unless it ``reads``. A client whose
    connection is refused, closed or reset stays away.
    """

    def __init__(self, address: str, size: int, reads: bool = False) -> None:
        self._address = split_address(address)
        self._size = size
        self._reads = reads
        self._sockets: list[socket.socket] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._connecting = asyncio.Semaphore(CONNECTS_AT_ONCE)
        self._sent = 0
        self._all_sent = asyncio.Event()

    def begin(self, pieces: Iterable[Piece]) -> None:
        """Let all clients begin to send."""
        shared = tuple(pieces)
        self._tasks = [
            asyncio.ensure_future(self._run(iter(shared))) for _ in range(self._size)
        ]

    async def wait_until_sent(self, timeout_s: float) -> None:
        """Wait until all have sent all, or cannot send on."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._all_sent.wait()

    async def leave(self) -> None:
        """Close all connections at once."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for own in self._sockets:
            own.close()

    async def _run(self, pieces: Iterator[Piece]) -> None:
        own = socket.socket()
        own.setblocking(False)
        self._sockets.append(own)
        loop = asyncio.get_running_loop()
        try:
            async with self._connecting:
                await loop.sock_connect(own, self._address)
            for piece in pieces:
                await loop.sock_sendall(own, piece)
        except OSError:
            return
        finally:
            self._sent += 1
            if self._sent == self._size:
                self._all_sent.set()
        while self._reads:
            with contextlib.suppress(OSError):
                if await loop.sock_recv(own, RECEIVE_BYTES):
                    continue
            return

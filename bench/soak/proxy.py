"""A loopback proxy whose connections misbehave as told."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

__all__ = ["Proxy"]

LOOPBACK = "127.0.0.1"
READ_BYTES = 64 * 1024
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass(eq=False, slots=True)
class Link:
    """One connection through the proxy; ``silent`` never ends."""

    near: asyncio.StreamWriter
    far: asyncio.StreamWriter
    silent: bool = False


@dataclass(eq=False)
class Proxy:
    """Pass connections on to one address.

    ``to_target`` and ``from_target`` let bytes pass in each direction; bytes
    that are held back arrive once they do again. While both are shut, a new
    connection is not made either: it hangs as behind a cut. Each piece is
    delayed by ``delay_s``.
    """

    target: str
    address: str = ""
    delay_s: float = 0.0
    to_target: asyncio.Event = field(default_factory=asyncio.Event)
    from_target: asyncio.Event = field(default_factory=asyncio.Event)
    _links: set[Link] = field(default_factory=set)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _server: asyncio.Server | None = None

    async def start(self) -> str:
        """Listen, and return the address that leads to the target."""
        self.heal()
        self._server = await asyncio.start_server(self._accept, LOOPBACK, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{LOOPBACK}:{port}"
        return self.address

    def cut(self, one_way: bool = False) -> None:
        """Hold back all bytes, or those to the target only."""
        self.to_target.clear()
        if not one_way:
            self.from_target.clear()

    def heal(self) -> None:
        """End a cut and a delay; links that went silent stay so."""
        self.delay_s = 0.0
        self.to_target.set()
        self.from_target.set()

    def silence_open(self) -> None:
        """Let open connections go silent for good; new ones work."""
        for link in self._links:
            link.silent = True

    def reset_open(self) -> None:
        """Reset open connections at both ends."""
        for link in list(self._links):
            _reset(link.near)
            _reset(link.far)

    async def stop(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for link in list(self._links):
            _reset(link.near)
            _reset(link.far)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await self.to_target.wait()
        host, _, port = self.target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            _reset(writer)
            return
        link = Link(writer, far_writer)
        self._links.add(link)
        self._spawn(self._pump(link, reader, far_writer, self.to_target))
        self._spawn(self._pump(link, far_reader, writer, self.from_target))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _pump(
        self,
        link: Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        flowing: asyncio.Event,
    ) -> None:
        ended_well = False
        try:
            while data := await reader.read(READ_BYTES):
                await self._hold(link, flowing)
                writer.write(data)
                await writer.drain()
            ended_well = True
        except OSError:
            # A reset at one end is one at the other, below.
            ended_well = False
        await self._hold(link, flowing)
        self._links.discard(link)
        if not ended_well:
            _reset(writer)
            return
        with contextlib.suppress(OSError, RuntimeError):
            writer.write_eof()

    async def _hold(self, link: Link, flowing: asyncio.Event) -> None:
        await flowing.wait()
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if link.silent:
            await asyncio.Event().wait()


def _reset(writer: asyncio.StreamWriter) -> None:
    raw = writer.get_extra_info("socket")
    if raw is not None and raw.fileno() >= 0:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()

"""Loopback TCP proxy that injects network faults."""

import asyncio
import contextlib
import socket
import struct
from collections import deque
from collections.abc import Coroutine
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

__all__ = ["AnswerCut", "Cut", "Proxy"]

LOOPBACK = "127.0.0.1"
READ_BYTES = 64 * 1024
LISTEN_BACKLOG = 100
# A listener whose queue holds two connections drops further ones, so that
# their connects hang.
FULL_QUEUE_BACKLOG = 1
FULL_QUEUE_CONNECTIONS = 2
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Cut(StrEnum):
    """How a link fails.

    ``HANG``: connects are never established, open connections pass nothing.
    ``RESET``: connects are refused, open connections are reset. ``REFUSE``:
    connects are refused, open connections go on.
    """

    HANG = "hang"
    RESET = "reset"
    REFUSE = "refuse"


@dataclass(frozen=True, slots=True)
class AnswerCut:
    """Where the bytes of an answer stop, and how its connection ends.

    It ends ``after_s`` after its first ``bytes_passed``, by a reset or an
    orderly close.
    """

    bytes_passed: int
    by_reset: bool = False
    after_s: float = 0.0


@dataclass(eq=False, slots=True)
class ProxiedConnection:
    """One connection through the proxy.

    Once unresponsive, it passes no more bytes to the target or from it.
    """

    downstream: asyncio.StreamWriter
    upstream: asyncio.StreamWriter
    unresponsive_to_target: bool = False
    unresponsive_from_target: bool = False


@dataclass(eq=False)
class Proxy:
    """Forward connections to one address.

    ``to_target`` and ``from_target`` let bytes pass in each direction; a
    cleared event delays them until it is set. New connections hang while
    ``to_target`` is cleared. Each chunk is delayed by ``delay_s``. The next
    chunks from the target are cut as ``answer_cuts`` say.
    """

    target: str
    address: str = ""
    delay_s: float = 0.0
    answer_cuts: deque[AnswerCut] = field(default_factory=deque)
    to_target: asyncio.Event = field(default_factory=asyncio.Event)
    from_target: asyncio.Event = field(default_factory=asyncio.Event)
    _connections: set[ProxiedConnection] = field(default_factory=set)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _server: asyncio.Server | None = None
    _reserved: list[socket.socket] = field(default_factory=list)

    async def start(self) -> str:
        """Start to listen; return the address of the proxy."""
        self.heal()
        await self._listen(0)
        return self.address

    async def _listen(self, port: int) -> None:
        listener = _bind(port)
        self._server = await asyncio.start_server(
            self._accept, sock=listener, backlog=LISTEN_BACKLOG
        )
        self.address = f"{LOOPBACK}:{listener.getsockname()[1]}"

    @property
    def port(self) -> int:
        """Return the port that the proxy listens to."""
        return int(self.address.rpartition(":")[2])

    def cut(self, how: Cut) -> None:
        """Cut the link until ``restore``."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self._release_port()
        if how is Cut.RESET:
            self.reset_connections()
        # Kept bound, so that no other socket gets the port meanwhile. Connects
        # to a socket that does not listen are refused.
        listener = _bind(self.port)
        self._reserved.append(listener)
        if how is Cut.HANG:
            self.partition()
            self._fill_queue(listener)

    def _fill_queue(self, listener: socket.socket) -> None:
        """Listen with a full queue, so that connects are never established."""
        listener.listen(FULL_QUEUE_BACKLOG)
        for _ in range(FULL_QUEUE_CONNECTIONS):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect((LOOPBACK, self.port))
            self._reserved.append(filler)

    def _release_port(self) -> None:
        for item in self._reserved:
            item.close()
        self._reserved.clear()

    async def restore(self) -> None:
        """End a cut; connects are accepted and held bytes pass again."""
        self._release_port()
        self.heal()
        if self._server is None:
            await self._listen(self.port)

    def partition(self, one_way: bool = False) -> None:
        """Block both directions, or only the one to the target."""
        self.to_target.clear()
        if not one_way:
            self.from_target.clear()

    def heal(self) -> None:
        """End partitions and delays; unresponsive connections stay so."""
        self.delay_s = 0.0
        self.to_target.set()
        self.from_target.set()

    def stall_connections(self, one_way: bool = False) -> None:
        """Make open connections unresponsive; new ones work.

        With ``one_way``, bytes from the target still pass.
        """
        for connection in self._connections:
            connection.unresponsive_to_target = True
            connection.unresponsive_from_target |= not one_way

    def reset_connections(self) -> None:
        """Reset open connections at both ends."""
        for connection in list(self._connections):
            _reset(connection.downstream)
            _reset(connection.upstream)

    async def stop(self) -> None:
        """Close the listener and reset all connections."""
        self._release_port()
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for connection in list(self._connections):
            _reset(connection.downstream)
            _reset(connection.upstream)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await self.to_target.wait()
        host, _, port = self.target.rpartition(":")
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            _reset(writer)
            return
        connection = ProxiedConnection(writer, upstream_writer)
        self._connections.add(connection)
        self._spawn(self._relay(connection, reader, upstream_writer, self.to_target))
        self._spawn(self._relay(connection, upstream_reader, writer, self.from_target))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _relay(
        self,
        connection: ProxiedConnection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        passing: asyncio.Event,
    ) -> None:
        closed_cleanly = False
        try:
            while data := await reader.read(READ_BYTES):
                await self._wait_to_pass(connection, passing)
                if self.answer_cuts and passing is self.from_target:
                    await self._cut_answer(connection, data)
                    return
                writer.write(data)
                await writer.drain()
            closed_cleanly = True
        except OSError:
            # Propagated to the other side as a reset below.
            closed_cleanly = False
        await self._wait_to_pass(connection, passing)
        self._connections.discard(connection)
        if not closed_cleanly:
            _reset(writer)
            return
        with contextlib.suppress(OSError, RuntimeError):
            writer.write_eof()

    async def _cut_answer(self, connection: ProxiedConnection, data: bytes) -> None:
        """Pass the beginning of an answer on, then end its connection."""
        cut = self.answer_cuts.popleft()
        connection.downstream.write(data[: cut.bytes_passed])
        await connection.downstream.drain()
        await asyncio.sleep(cut.after_s)
        self._connections.discard(connection)
        _reset(connection.upstream)
        if cut.by_reset:
            _reset(connection.downstream)
        else:
            connection.downstream.close()

    async def _wait_to_pass(
        self, connection: ProxiedConnection, passing: asyncio.Event
    ) -> None:
        await passing.wait()
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        to_target = passing is self.to_target
        if (
            connection.unresponsive_to_target
            if to_target
            else connection.unresponsive_from_target
        ):
            await asyncio.Event().wait()


def _bind(port: int) -> socket.socket:
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((LOOPBACK, port))
    return listener


def _reset(writer: asyncio.StreamWriter) -> None:
    raw = writer.get_extra_info("socket")
    if raw is not None and raw.fileno() >= 0:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()

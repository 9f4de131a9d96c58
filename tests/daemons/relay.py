"""TCP relays that can silently stop forwarding, as a network may."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from fescuekeel.components.peers.const import NONCE_BYTES
from fescuekeel.components.peers.frames import LENGTH_BYTES, MAC_BYTES
from fescuekeel.helpers.wire import decode
from fescuekeel.messages import Hello

__all__ = ["Network", "RelayedConnection"]

LOOPBACK = "127.0.0.1"
READ_BYTES = 64 * 1024
ConnectionFilter = Callable[[str, str], bool]


@dataclass(eq=False, slots=True)
class RelayedConnection:
    """A relayed connection; forwards data while ``unblocked`` is set."""

    source: str
    target: str
    unblocked: asyncio.Event = field(default_factory=asyncio.Event)


def read_sender(data: bytes) -> str:
    """Return the sender named by the hello; empty until it is complete."""
    start = NONCE_BYTES + LENGTH_BYTES
    if len(data) < start:
        return ""
    end = start + int.from_bytes(data[NONCE_BYTES:start], "big")
    if len(data) < end:
        return ""
    body = decode(data[start + MAC_BYTES : end]).unwrap().body
    assert isinstance(body, Hello)
    return body.instance


class Network:
    """Relays connections, and can cut or freeze them.

    A frozen connection stays open at both ends but forwards nothing, not even
    its close, as when a middlebox has dropped its state. New connections work
    unless ``is_cut`` is true of their source and target.
    """

    def __init__(self) -> None:
        self.connections: set[RelayedConnection] = set()
        self.is_cut: ConnectionFilter = lambda source, target: False
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def relay(self, target: str, address: str, source: str = "") -> str:
        """Return the address of a new relay to the target.

        Without a source, it is read from the hello of the peers' protocol.
        """
        host, _, port = address.rpartition(":")

        async def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            connection = RelayedConnection(source, target)
            self._apply_cut(connection)
            self._writers.add(writer)
            try:
                target_reader, target_writer = await asyncio.open_connection(host, port)
            except OSError:
                writer.close()
                return
            self._writers.add(target_writer)
            self.connections.add(connection)
            read_hello = not source
            self._spawn(self._forward(connection, reader, target_writer, read_hello))
            self._spawn(
                self._forward(connection, target_reader, writer, read_hello=False)
            )

        server = await asyncio.start_server(accept, LOOPBACK, 0)
        self._servers.append(server)
        return f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}"

    def cut(self, is_cut: ConnectionFilter) -> None:
        """Block matching connections, both open and new ones."""
        self.is_cut = is_cut
        for connection in self.connections:
            self._apply_cut(connection)

    def heal(self) -> None:
        """End the cut, and deliver the data held back."""
        self.cut(lambda source, target: False)

    def freeze(self, choose: ConnectionFilter) -> int:
        """Block matching open connections for good; return how many."""
        chosen = [
            connection
            for connection in self.connections
            if connection.unblocked.is_set()
            and choose(connection.source, connection.target)
        ]
        for connection in chosen:
            connection.unblocked.clear()
        # Removed, so that no later cut or heal unblocks them.
        self.connections.difference_update(chosen)
        return len(chosen)

    async def stop(self) -> None:
        """Close all relays and connections."""
        for server in self._servers:
            server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for writer in self._writers:
            writer.close()

    def _apply_cut(self, connection: RelayedConnection) -> None:
        if self.is_cut(connection.source, connection.target):
            connection.unblocked.clear()
        else:
            connection.unblocked.set()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _forward(
        self,
        connection: RelayedConnection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        read_hello: bool,
    ) -> None:
        head = b""
        try:
            while data := await reader.read(READ_BYTES):
                if read_hello and not connection.source:
                    head += data
                    connection.source = read_sender(head)
                    self._apply_cut(connection)
                await connection.unblocked.wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        await connection.unblocked.wait()
        self.connections.discard(connection)
        self._writers.discard(writer)
        writer.close()

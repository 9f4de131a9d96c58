"""Accept connections and refuse strangers."""

import asyncio
import ssl
from collections.abc import Callable

from returns.result import Failure as Err, Result, Success

from fescuekeel.components.peers.connection import Connection
from fescuekeel.components.peers.const import (
    HELLO_TIMEOUT_S,
    IDLE_S,
    MAX_INCOMING,
)
from fescuekeel.components.peers.frames import Direction
from fescuekeel.const import PROTOCOL_VERSION
from fescuekeel.core import Instance
from fescuekeel.errors import ErrorKind, Failure
from fescuekeel.helpers.listen import bind_address
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.wire import decode, encode
from fescuekeel.messages import Envelope, Hello, HelloAnswer

__all__ = ["Acceptor"]


class IncomingConnection(Connection):
    """Tell the acceptor of a connection once it stands."""

    on_made: Callable[[Connection, object], None]

    def __init__(self, keys: tuple[bytes, ...], now: Callable[[], float]) -> None:
        super().__init__(keys, Direction.ACCEPTING, now)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin, then tell."""
        super().connection_made(transport)
        self.on_made(self, transport.get_extra_info("peername"))


class Acceptor:
    """Own the listening socket and the connections that peers opened."""

    def __init__(
        self,
        instance: Instance,
        keys: tuple[bytes, ...],
        tls: ssl.SSLContext | None,
        on_hello: Callable[[Hello], HelloAnswer],
    ) -> None:
        self.address = ""
        self.connections: set[Connection] = set()
        self.on_message: Callable[[Connection, Envelope], None] = lambda *_: None
        self.on_lost: Callable[[Connection], None] = lambda *_: None
        self._instance = instance
        self._keys = keys
        self._tls = tls
        self._on_hello = on_hello
        self._servers: list[asyncio.Server] = []

    async def listen_at(self, address: str) -> None:
        """Listen; port 0 takes a free one, which ``address`` then shows."""
        sockets, self.address = bind_address(address)
        loop = asyncio.get_running_loop()
        for socket in sockets:
            server = await loop.create_server(
                self._make_connection, sock=socket, ssl=self._tls
            )
            self._servers.append(server)

    def stop(self) -> None:
        """Accept no further connection."""
        for server in self._servers:
            server.close()

    def close_idle(self, now: float) -> None:
        """Close connections that nothing has come on for long."""
        for connection in list(self.connections):
            if now - connection.heard > 2 * IDLE_S:
                connection.ended_well = True
                connection.close()

    def _make_connection(self) -> asyncio.Protocol:
        connection = IncomingConnection(self._keys, self._instance.now)
        connection.on_made = self._begin
        return connection

    def _begin(self, connection: Connection, address: object) -> None:
        if len(self.connections) >= MAX_INCOMING:
            self._refuse("too_many", address)
            connection.close()
            return
        self.connections.add(connection)
        self._instance.spawn(self._greet(connection, address), "peers.accept")

    def _refuse(self, reason: str, address: object) -> None:
        self._instance.metrics.count(f"peers.refused.{reason}")
        log_event("peer_refused", reason=reason, address=address)

    async def _greet(self, connection: Connection, address: object) -> None:
        """Await the hello, then listen until the end or a broken rule.

        Guards against strangers and damage: either shows as a frame that
        fails a check. Only this connection is closed, nothing of the frame is
        decoded before its signature holds, and the reason is counted.
        """
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                greeted = await self._await_hello(connection)
        except TimeoutError:
            greeted = Err(Failure(ErrorKind.PEER_UNREACHABLE, "no hello"))
        if isinstance(greeted, Err):
            self._end(connection, address, greeted.failure())
            return
        connection.listen(
            lambda payload: self._take(connection, address, payload),
            lambda failure: self._end(connection, address, _name(failure)),
        )

    def _take(self, connection: Connection, address: object, payload: bytes) -> None:
        decoded = decode(payload)
        if isinstance(decoded, Err):
            self._end(connection, address, _name(decoded.failure()))
            return
        self.on_message(connection, decoded.unwrap())

    def _end(self, connection: Connection, address: object, failure: Failure) -> None:
        if connection not in self.connections:
            return
        self.connections.discard(connection)
        connection.close()
        if failure.kind is not ErrorKind.PEER_UNREACHABLE:
            self._refuse(failure.detail or failure.kind.value, address)
        self.on_lost(connection)

    async def _await_hello(self, connection: Connection) -> Result[None, Failure]:
        result = await connection.read()
        if isinstance(result, Err):
            return Err(_name(result.failure()))
        decoded = decode(result.unwrap())
        if isinstance(decoded, Err):
            return Err(_name(decoded.failure()))
        envelope = decoded.unwrap()
        hello = envelope.body
        # The connecting side sends nothing more until it has the answer.
        if not isinstance(hello, Hello) or connection.has_payloads:
            return Err(Failure(ErrorKind.BAD_FRAME, ErrorKind.BAD_FRAME.value))
        if hello.version != PROTOCOL_VERSION:
            return Err(Failure(ErrorKind.BAD_FRAME, "version"))
        connection.trust(hello.instance)
        answer = Envelope(0, envelope.number, self._on_hello(hello))
        connection.send(encode(answer))
        return Success(None)


def _name(failure: Failure) -> Failure:
    # The detail becomes the counter's name, so that it has to be closed.
    return Failure(failure.kind, failure.kind.value)

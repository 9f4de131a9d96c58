"""Accept connections from peers and reject unauthenticated ones."""

import asyncio
import ssl
from collections.abc import Callable

from returns.result import Failure as Err, Result, Success

from fescuekeel.components.peers.connection import Connection
from fescuekeel.components.peers.const import (
    HANDSHAKE_DESCRIPTOR_SHARE,
    HELLO_TIMEOUT_S,
    IDLE_S,
    MAX_INCOMING_CONNECTIONS,
    PEER_DESCRIPTOR_SHARE,
)
from fescuekeel.components.peers.frames import Direction
from fescuekeel.components.peers.incoming_channels import IncomingChannels
from fescuekeel.const import PROTOCOL_VERSION
from fescuekeel.core import Instance
from fescuekeel.errors import ErrorKind, Failure
from fescuekeel.helpers.client_resources import get_descriptors
from fescuekeel.helpers.listen import bind_address
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.wire import decode, encode
from fescuekeel.messages import Envelope, Hello, HelloAnswer

__all__ = ["Acceptor"]

MS_PER_S = 1000


class IncomingConnection(Connection):
    """Connection that calls ``on_connected`` once it is established."""

    on_connected: Callable[[Connection, object], None]

    def __init__(self, keys: tuple[bytes, ...], now: Callable[[], float]) -> None:
        super().__init__(keys, Direction.ACCEPTING, now)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the connection and notify the acceptor."""
        super().connection_made(transport)
        self.on_connected(self, transport.get_extra_info("peername"))


class Acceptor:
    """Manage the listening sockets and the connections opened by peers."""

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
        self._channels = IncomingChannels()
        # In the order in which they were accepted.
        self._handshaking: dict[Connection, None] = {}
        self._servers: list[asyncio.Server] = []

    async def listen_at(self, address: str) -> None:
        """Listen at an address and store the bound one in ``address``.

        Port 0 binds a free port.
        """
        sockets, self.address = bind_address(address)
        loop = asyncio.get_running_loop()
        for socket in sockets:
            server = await loop.create_server(
                self._make_connection, sock=socket, ssl=self._tls
            )
            self._servers.append(server)

    def stop(self) -> None:
        """Stop accepting connections; open ones are kept."""
        for server in self._servers:
            server.close()

    def release(self, connection: Connection) -> None:
        """Stop managing a connection that has become a byte stream."""
        self.connections.discard(connection)

    def close_idle(self, now: float) -> None:
        """Close connections on which no data has arrived recently.

        The limit exceeds that of the opening side, which should close first.
        """
        for connection in list(self.connections):
            if now - connection.last_received_at > 2 * IDLE_S:
                connection.closed_cleanly = True
                connection.close()

    def _make_connection(self) -> asyncio.Protocol:
        connection = IncomingConnection(self._keys, self._instance.now)
        connection.on_connected = self._start_handshake
        return connection

    def _start_handshake(self, connection: Connection, address: object) -> None:
        descriptors = get_descriptors(self._instance.settings.resources)
        max_peers = min(MAX_INCOMING_CONNECTIONS, PEER_DESCRIPTOR_SHARE * descriptors)
        if len(self.connections) - len(self._handshaking) >= max_peers:
            self._report_refusal("too_many", address)
            connection.close()
            return
        self._handshaking[connection] = None
        if len(self._handshaking) > HANDSHAKE_DESCRIPTOR_SHARE * descriptors:
            self._close_oldest_handshake()
        self.connections.add(connection)
        self._instance.spawn(self._handshake(connection, address), "peers.accept")

    def _close_oldest_handshake(self) -> None:
        """Close the connection that owes its hello for the longest.

        Guards against connections without a hello that leave no descriptors.
        """
        oldest = next(iter(self._handshaking))
        del self._handshaking[oldest]
        self._instance.metrics.count("peers.refused.too_many_handshakes")
        oldest.close()

    def _report_refusal(self, reason: str, address: object) -> None:
        self._instance.metrics.count(f"peers.refused.{reason}")
        log_event("peer_refused", reason=reason, address=address)

    async def _handshake(self, connection: Connection, address: object) -> None:
        """Authenticate the peer, then receive until the connection closes.

        A frame that is invalid or not signed with a shared key closes only
        this connection; the reason is counted. Payloads are decoded only
        after their signature is verified.
        """
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                handshake = await self._receive_hello(connection)
        except TimeoutError:
            handshake = Err(
                Failure(ErrorKind.PEER_UNREACHABLE, "no Hello received in time")
            )
        finally:
            self._handshaking.pop(connection, None)
        if isinstance(handshake, Err):
            self._close(connection, address, handshake.failure())
            return
        connection.set_callbacks(
            lambda payload: self._handle_payload(connection, address, payload),
            lambda failure: self._close(
                connection, address, _use_kind_as_detail(failure)
            ),
        )

    def _handle_payload(
        self, connection: Connection, address: object, payload: bytes
    ) -> None:
        decoded = decode(payload)
        if isinstance(decoded, Err):
            self._close(connection, address, _use_kind_as_detail(decoded.failure()))
            return
        self.on_message(connection, decoded.unwrap())

    def _close(self, connection: Connection, address: object, failure: Failure) -> None:
        if connection not in self.connections:
            return
        self.connections.discard(connection)
        self._channels.discard(connection)
        connection.close()
        if failure.kind is not ErrorKind.PEER_UNREACHABLE:
            self._report_refusal(failure.detail or failure.kind.value, address)
        self.on_lost(connection)

    async def _receive_hello(self, connection: Connection) -> Result[None, Failure]:
        result = await connection.read()
        if isinstance(result, Err):
            return Err(_use_kind_as_detail(result.failure()))
        decoded = decode(result.unwrap())
        if isinstance(decoded, Err):
            return Err(_use_kind_as_detail(decoded.failure()))
        envelope = decoded.unwrap()
        hello = envelope.body
        # The connecting side must wait for the answer before it sends more.
        if not isinstance(hello, Hello) or connection.has_unread_payloads:
            return Err(Failure(ErrorKind.BAD_FRAME, ErrorKind.BAD_FRAME.value))
        if hello.version != PROTOCOL_VERSION:
            return Err(Failure(ErrorKind.BAD_FRAME, "version"))
        if self._channels.is_obsolete(hello):
            return Err(Failure(ErrorKind.BAD_FRAME, "obsolete"))
        connection.mark_authenticated(hello.instance)
        connection.carries_channel = hello.channel > 0
        answer = Envelope(0, envelope.number, self._on_hello(hello))
        connection.send(encode(answer))
        self._close_previous(hello, connection)
        return Success(None)

    def _close_previous(self, hello: Hello, connection: Connection) -> None:
        """Close the connection that the peer has replaced, as lost."""
        previous = self._channels.replace(hello, connection)
        if previous is None or previous.closed:
            return
        silent_s = self._instance.now() - previous.last_received_at
        self._instance.metrics.count("peers.lost.replaced")
        log_event(
            "peer_connection_replaced",
            peer=hello.instance,
            channel=hello.channel,
            silent_ms=round(silent_s * MS_PER_S),
            outcome="goodbye" if previous.closed_cleanly else "lost",
        )
        failure = Failure(ErrorKind.PEER_UNREACHABLE, "replaced")
        self._close(previous, "", failure)


def _use_kind_as_detail(failure: Failure) -> Failure:
    # The detail becomes part of a metric name and must come from a fixed set.
    return Failure(failure.kind, failure.kind.value)

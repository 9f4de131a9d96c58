"""Accept connections and refuse strangers."""

import asyncio
import ssl
from collections.abc import Callable

from returns.pipeline import is_successful
from returns.result import Failure as Err, Result, Success
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

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


class Acceptor(TCPServer):
    """Own the listening socket and the connections that peers opened."""

    def __init__(
        self,
        instance: Instance,
        keys: tuple[bytes, ...],
        tls: ssl.SSLContext | None,
        on_hello: Callable[[Hello], HelloAnswer],
    ) -> None:
        super().__init__(ssl_options=tls)
        self.address = ""
        self.connections: set[Connection] = set()
        self.on_message: Callable[[Connection, Envelope], None] = lambda *_: None
        self.on_lost: Callable[[Connection], None] = lambda *_: None
        self._instance = instance
        self._keys = keys
        self._on_hello = on_hello

    def listen_at(self, address: str) -> None:
        """Listen; port 0 takes a free one, which ``address`` then shows."""
        sockets, self.address = bind_address(address)
        self.add_sockets(sockets)

    async def handle_stream(self, stream: IOStream, address: object) -> None:
        """Serve one connection until it ends or breaks a rule.

        Guards against strangers and damage: either shows as a frame that
        fails a check. Only this connection is closed, nothing of the frame is
        decoded before its signature holds, and the reason is counted.
        """
        if len(self.connections) >= MAX_INCOMING:
            self._refuse("too_many", address)
            stream.close()
            return
        connection = Connection(
            stream, self._keys, Direction.ACCEPTING, self._instance.now
        )
        self.connections.add(connection)
        try:
            result = await self._serve(connection)
        finally:
            connection.close()
            self.connections.discard(connection)
        failure = result.failure()
        if failure.kind is not ErrorKind.PEER_UNREACHABLE:
            self._refuse(failure.detail or failure.kind.value, address)
        self.on_lost(connection)

    def _refuse(self, reason: str, address: object) -> None:
        self._instance.metrics.count(f"peers.refused.{reason}")
        log_event("peer_refused", reason=reason, address=address)

    async def _serve(self, connection: Connection) -> Result[None, Failure]:
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                await connection.open()
                greeted = await self._await_hello(connection)
        except (StreamClosedError, TimeoutError):
            return Err(Failure(ErrorKind.PEER_UNREACHABLE, "no hello"))
        if not is_successful(greeted):
            return Err(greeted.failure())
        while True:
            try:
                async with asyncio.timeout(2 * IDLE_S):
                    result = await connection.read()
            except TimeoutError:
                connection.ended_well = True
                return Err(Failure(ErrorKind.PEER_UNREACHABLE, "idle"))
            if not is_successful(result):
                return Err(_name(result.failure()))
            for payload in result.unwrap():
                decoded = decode(payload)
                if not is_successful(decoded):
                    return Err(_name(decoded.failure()))
                self.on_message(connection, decoded.unwrap())

    async def _await_hello(self, connection: Connection) -> Result[None, Failure]:
        payloads: list[bytes] = []
        while not payloads:
            result = await connection.read()
            if not is_successful(result):
                return Err(_name(result.failure()))
            payloads = result.unwrap()
        decoded = decode(payloads[0])
        if not is_successful(decoded):
            return Err(_name(decoded.failure()))
        envelope = decoded.unwrap()
        hello = envelope.body
        # The connecting side sends nothing more until it has the answer.
        if not isinstance(hello, Hello) or len(payloads) > 1:
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

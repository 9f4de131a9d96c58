"""Open connections to peers and perform the handshake."""

import asyncio
import ssl
from collections.abc import Callable

from returns.result import Failure as Err, Result, Success

from fescuekeel.components.peers.connection import Connection
from fescuekeel.components.peers.const import CONNECT_TIMEOUT_S
from fescuekeel.components.peers.frames import Direction
from fescuekeel.errors import ErrorKind, Failure
from fescuekeel.helpers.listen import split_address
from fescuekeel.helpers.wire import decode, encode
from fescuekeel.messages import Envelope, Hello, HelloAnswer

__all__ = ["Dialer"]


class Dialer:
    """Connect to peers, with a timeout."""

    def __init__(
        self,
        keys: tuple[bytes, ...],
        tls: ssl.SSLContext | None,
        now: Callable[[], float],
    ) -> None:
        self._keys = keys
        self._tls = tls
        self._now = now

    async def dial(
        self, address: str, hello: Hello
    ) -> Result[tuple[Connection, HelloAnswer], Failure]:
        """Connect, send the hello and wait for the answer.

        The answer identifies the peer before anything else is sent, because
        the address may now belong to another instance.
        """
        connection = Connection(self._keys, Direction.CONNECTING, self._now)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                host, port = split_address(address)
                await asyncio.get_running_loop().create_connection(
                    lambda: connection, host, port, ssl=self._tls
                )
                answer = await self._handshake(connection, hello)
        except (OSError, TimeoutError, ValueError) as error:
            answer = Err(Failure(ErrorKind.PEER_UNREACHABLE, repr(error)))
        if isinstance(answer, Success):
            return Success((connection, answer.unwrap()))
        connection.close()
        return Err(answer.failure())

    async def _handshake(
        self, connection: Connection, hello: Hello
    ) -> Result[HelloAnswer, Failure]:
        connection.send(encode(Envelope(1, 0, hello)))
        result = await connection.read()
        if isinstance(result, Err):
            return Err(result.failure())
        decoded = decode(result.unwrap())
        if isinstance(decoded, Err):
            return Err(decoded.failure())
        body = decoded.unwrap().body
        if not isinstance(body, HelloAnswer):
            return Err(
                Failure(
                    ErrorKind.BAD_FRAME, "expected HelloAnswer as the first message"
                )
            )
        connection.mark_authenticated(body.instance)
        return Success(body)

"""Open a connection to a peer and learn who is there."""

import asyncio
import socket
import ssl
from collections.abc import Callable

from returns.pipeline import is_successful
from returns.result import Failure as Err, Result, Success
from tornado.iostream import IOStream, StreamClosedError

from fescuekeel.components.peers.connection import Connection
from fescuekeel.components.peers.const import CONNECT_TIMEOUT_S
from fescuekeel.components.peers.frames import Direction
from fescuekeel.errors import ErrorKind, Failure
from fescuekeel.helpers.listen import split_address
from fescuekeel.helpers.wire import decode, encode
from fescuekeel.messages import Envelope, Hello, HelloAnswer

__all__ = ["Dialer"]


class Dialer:
    """Connect to addresses, within a bound of time."""

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
        """Connect, say hello and wait for the answer.

        Nothing else is sent before the answer shows who is there: an address
        may have passed to another instance.
        """
        stream: IOStream | None = None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                host, port = split_address(address)
                family = socket.AF_INET6 if ":" in host else socket.AF_INET
                stream = IOStream(socket.socket(family, socket.SOCK_STREAM))
                await stream.connect((host, port))
                if self._tls is not None:
                    stream = await stream.start_tls(False, self._tls)
                connection = Connection(
                    stream, self._keys, Direction.CONNECTING, self._now
                )
                answer = await self._greet(connection, hello)
        except (OSError, StreamClosedError, TimeoutError, ValueError) as error:
            answer = Err(Failure(ErrorKind.PEER_UNREACHABLE, repr(error)))
        if is_successful(answer):
            return Success((connection, answer.unwrap()))
        if stream is not None:
            stream.close()
        return Err(answer.failure())

    async def _greet(
        self, connection: Connection, hello: Hello
    ) -> Result[HelloAnswer, Failure]:
        await connection.open()
        connection.send(encode(Envelope(1, 0, hello)))
        payloads: list[bytes] = []
        while not payloads:
            result = await connection.read()
            if not is_successful(result):
                return Err(result.failure())
            payloads = result.unwrap()
        decoded = decode(payloads[0])
        if not is_successful(decoded):
            return Err(decoded.failure())
        body = decoded.unwrap().body
        if not isinstance(body, HelloAnswer):
            return Err(Failure(ErrorKind.BAD_FRAME, "no answer to the hello"))
        connection.trust(body.instance)
        return Success(body)

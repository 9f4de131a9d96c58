"""The byte streams of an instance, in both directions."""

import asyncio

from returns.result import Failure as Err, Result, Success

from fescuekeel.components.peers.connection import Connection
from fescuekeel.components.peers.dialing import Dialer
from fescuekeel.components.peers.stream import ByteStream
from fescuekeel.errors import ErrorKind, Failure
from fescuekeel.helpers.peer_link import OpenedStream
from fescuekeel.helpers.wire import decode, encode
from fescuekeel.messages import Envelope, Hello, WireMessage

__all__ = ["Streams"]


class Streams:
    """Open streams, and watch over all of them."""

    def __init__(self, dialer: Dialer) -> None:
        self._dialer = dialer
        self._open: set[ByteStream] = set()

    async def open(
        self,
        peer_id: str,
        address: str,
        hello: Hello,
        body: WireMessage,
        timeout_s: float,
    ) -> Result[OpenedStream, Failure]:
        """Open a connection, send the message and wait for its answer."""
        connection: Connection | None = None
        try:
            async with asyncio.timeout(timeout_s):
                dialed = await self._dialer.dial(address, hello)
                if isinstance(dialed, Err):
                    return dialed
                connection, peer = dialed.unwrap()
                if peer.instance != peer_id:
                    return self._fail(connection, f"address belongs to {peer.instance}")
                connection.send(encode(Envelope(1, 0, body)))
                received = await connection.read()
        except TimeoutError:
            return self._fail(connection, "timeout")
        except BaseException:
            if connection is not None:
                connection.close()
            raise
        if isinstance(received, Err):
            return self._fail(connection, received.failure().detail)
        decoded = decode(received.unwrap())
        if isinstance(decoded, Err):
            return self._fail(connection, "bad frame")
        stream = self._add(connection, sends_heartbeats=True)
        return Success(OpenedStream(stream, decoded.unwrap().body))

    def add(self, connection: Connection) -> ByteStream:
        """Add the stream of a connection that a peer has opened."""
        return self._add(connection, sends_heartbeats=False)

    def _add(self, connection: Connection, sends_heartbeats: bool) -> ByteStream:
        stream = ByteStream(connection, sends_heartbeats)
        self._open.add(stream)
        return stream

    def _fail(
        self, connection: Connection | None, detail: str
    ) -> Result[OpenedStream, Failure]:
        if connection is not None:
            connection.close()
        return Err(Failure(ErrorKind.PEER_UNREACHABLE, detail))

    def check(self, now: float, was_suspended: bool) -> None:
        """Send heartbeats, and drop streams that are closed or silent."""
        for stream in list(self._open):
            stream.check(now, was_suspended)
            if stream.closed:
                self._open.discard(stream)

    def close(self) -> None:
        """Abort all streams."""
        for stream in self._open:
            stream.close()

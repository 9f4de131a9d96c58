"""HTTP/1.1 connections to endpoints and to the platform's store.

One exchange at a time goes over a connection, and none is ever repeated here.
What a caller of this module has to know about a failure is one thing: whether
a byte of the request can have reached the other side.
"""

import asyncio
import socket
import struct
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

import h11

from fescuekeel.helpers.dialect import Header
from fescuekeel.helpers.listen import split_address

__all__ = [
    "AnswerBrokenError",
    "BodyPiece",
    "Connection",
    "ConnectionPool",
    "HttpAnswer",
    "NotConnectedError",
    "ResponseHead",
    "connect",
    "fetch",
]

# Reading from the socket pauses while so many bytes wait for a slow caller.
MAX_UNREAD_BYTES = 256 * 1024
# The kernel gives a connection up when sent data stays unacknowledged for so
# long, which a machine without power or behind a cut shows in no other way.
TCP_USER_TIMEOUT_MS = 3000
# Lingering is on, for no time at all: closing resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# A response head longer than this is not a response.
MAX_HEAD_BYTES = 64 * 1024
# An answer that is read whole, such as a report or a page, stays below this.
MAX_WHOLE_BYTES = 16 * 1024 * 1024
# Idle connections to one endpoint that are kept; beyond, they are closed.
MAX_IDLE = 64


class NotConnectedError(Exception):
    """Say that no connection was made, so that not one byte was sent."""


class AnswerBrokenError(Exception):
    """Say that the answer ended before it was whole.

    What was sent before may have had its effect.
    """


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response, names in lower case."""

    status: int
    headers: tuple[Header, ...]

    def get(self, name: str, default: str = "") -> str:
        """Return a header's first value."""
        for known, value in self.headers:
            if known == name:
                return value
        return default


@dataclass(frozen=True, slots=True)
class BodyPiece:
    """Some bytes of a response's body."""

    data: bytes


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A response that was read whole."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


class Connection(asyncio.Protocol):
    """Own one connection and the exchange that it is used for.

    ``fresh`` is true until the first exchange has ended: a failure on a
    connection that was kept may only mean that the other side closed it while
    it was idle.
    """

    def __init__(self) -> None:
        self.fresh = True
        self.answering = False
        self._http = h11.Connection(
            our_role=h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._transport: asyncio.Transport | None = None
        self._lost: str | None = None
        self._unread: deque[bytes] = deque()
        self._unread_bytes = 0
        self._ended = False
        self._woken: asyncio.Future[None] | None = None

    # What asyncio calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport and set the socket's options."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        raw = transport.get_extra_info("socket")
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Keep the bytes for the reader.

        Guards against an answer that comes twice or late: it shows as bytes
        while no exchange is under way. They belong to no request, so that the
        connection is not used again.
        """
        if not self.answering:
            self.close()
            return
        self._unread.append(data)
        self._unread_bytes += len(data)
        if self._unread_bytes > MAX_UNREAD_BYTES and self._transport is not None:
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Note that the other side sends nothing more."""
        self._ended = True
        self._wake()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Note the end; an error such as a reset makes the answer broken."""
        if error is not None or not self._ended:
            self._lost = repr(error) if error is not None else "closed here"
        self._wake()

    def _wake(self) -> None:
        if self._woken is not None and not self._woken.done():
            self._woken.set_result(None)

    # What the user of a connection calls.

    @property
    def usable(self) -> bool:
        """Tell whether another exchange may begin."""
        open_ = self._transport is not None and not self._transport.is_closing()
        return open_ and not self._ended and self._lost is None

    def send(
        self, method: str, target: str, headers: Sequence[Header], body: bytes
    ) -> None:
        """Send a whole request; its answer is read next."""
        if self._transport is None or not self.usable:
            raise NotConnectedError("closed while idle")
        request = h11.Request(
            method=method.encode("latin-1"),
            target=target.encode("latin-1"),
            headers=[
                (name.encode("latin-1"), value.encode("latin-1"))
                for name, value in headers
            ],
        )
        data = self._http.send(request) or b""
        if body:
            data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        self.answering = True
        self._transport.write(data)

    async def read_head(self) -> ResponseHead:
        """Wait for the head of the answer."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise AnswerBrokenError(f"no head but {type(event).__name__}")
            headers = tuple(
                (name.decode("latin-1"), value.decode("latin-1"))
                for name, value in event.headers
            )
            return ResponseHead(event.status_code, headers)

    async def read_piece(self) -> BodyPiece | None:
        """Wait for the next piece; ``None`` is the end of a whole answer."""
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return BodyPiece(bytes(event.data))
        if isinstance(event, h11.EndOfMessage):
            return None
        raise AnswerBrokenError(f"no body but {type(event).__name__}")

    async def _next_event(self) -> object:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                raise AnswerBrokenError(str(error)) from error
            if event is not h11.NEED_DATA:
                return event
            await self._feed()

    async def _feed(self) -> None:
        while not self._unread:
            if self._lost is not None:
                raise AnswerBrokenError(self._lost)
            if self._ended:
                self._http.receive_data(b"")
                return
            self._woken = asyncio.get_running_loop().create_future()
            await self._woken
        while self._unread:
            self._http.receive_data(self._unread.popleft())
        if self._unread_bytes > MAX_UNREAD_BYTES and self._transport is not None:
            self._transport.resume_reading()
        self._unread_bytes = 0

    def finish(self) -> bool:
        """End the exchange; return whether the connection may be kept.

        Guards against bytes that follow a whole answer, and against an answer
        that came before the request was taken in: either way what comes next
        on this connection could be taken for another request's answer.
        """
        self.answering = False
        self.fresh = False
        extra, _ = self._http.trailing_data
        both_done = (
            self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        )
        unsent = self._transport is None or self._transport.get_write_buffer_size()
        if not both_done or extra or self._unread or unsent or not self.usable:
            self.close()
            return False
        self._http.start_next_cycle()
        return True

    def close(self) -> None:
        """Reset the connection, which stops the work at an endpoint.

        Guards against bytes that outlive their sender's patience: behind a
        cut the kernel goes on sending what was written before an ordinary
        close, so that an order or a request that was given up arrives once
        the cut heals. A reset drops them.
        """
        if self._transport is None:
            return
        raw = self._transport.get_extra_info("socket")
        if raw is not None and raw.fileno() >= 0:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._transport.abort()


async def connect(address: str, timeout_s: float) -> Connection:
    """Open a connection to ``IP:PORT``; raise ``NotConnectedError``."""
    host, port = split_address(address)
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(Connection, host, port)
    except (OSError, TimeoutError) as error:
        raise NotConnectedError(repr(error)) from error
    return connection


class ConnectionPool:
    """Keep idle connections to one endpoint, the last used first.

    Each is kept for a time of its own and then closed, so that a request is
    not sent on a connection that the endpoint is about to close: it could
    have run, and nobody would know.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self._idle: list[tuple[Connection, float]] = []

    def take(self, now: float) -> Connection | None:
        """Return an idle connection that is safe to use, if there is one."""
        while self._idle:
            connection, until = self._idle.pop()
            if connection.usable and now < until:
                return connection
            connection.close()
        return None

    async def open(self, timeout_s: float) -> Connection:
        """Open a new connection; raise ``NotConnectedError``."""
        return await connect(self.address, timeout_s)

    def give_back(self, connection: Connection, until: float) -> None:
        """Keep a connection whose exchange has ended."""
        if len(self._idle) >= MAX_IDLE:
            connection.close()
            return
        self._idle.append((connection, until))

    def close_idle(self, now: float) -> None:
        """Close what has been idle for too long."""
        kept = []
        for connection, until in self._idle:
            if connection.usable and now < until:
                kept.append((connection, until))
            else:
                connection.close()
        self._idle = kept

    def close(self) -> None:
        """Close every idle connection."""
        for connection, _ in self._idle:
            connection.close()
        self._idle.clear()


async def fetch(
    connection: Connection,
    method: str,
    target: str,
    headers: Sequence[Header],
    body: bytes,
    timeout_s: float,
) -> HttpAnswer:
    """Send a request and read the answer whole.

    Raises ``AnswerBrokenError`` when that does not succeed in time; the
    connection is closed then.
    """
    try:
        async with asyncio.timeout(timeout_s):
            connection.send(method, target, headers, body)
            head = await connection.read_head()
            whole = bytearray()
            while (piece := await connection.read_piece()) is not None:
                whole += piece.data
                if len(whole) > MAX_WHOLE_BYTES:
                    raise AnswerBrokenError("the answer is too long")
    except TimeoutError as error:
        connection.close()
        raise AnswerBrokenError("timeout") from error
    except BaseException:
        connection.close()
        raise
    connection.finish()
    return HttpAnswer(head.status, head.headers, bytes(whole))

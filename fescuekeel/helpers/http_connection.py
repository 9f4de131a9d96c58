"""HTTP/1.1 client connections to endpoints and to the platform's store.

A connection carries one request at a time, and nothing is retried here. The
exceptions distinguish failures before anything was sent from all later ones.
"""

import asyncio
import itertools
import re
import socket
import time
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import TypeVar

import h11

from fescuekeel.helpers.correlation import Correlation, Match, match_answer
from fescuekeel.helpers.dialect import Header
from fescuekeel.helpers.late_loop import wait_for_task
from fescuekeel.helpers.linger import reset_on_close
from fescuekeel.helpers.listen import split_address
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.loop_turns import TURN_BYTES, WorkMeter, get_loop_turns
from fescuekeel.helpers.status_line import find_status_line_defect
from fescuekeel.helpers.whole_answer import (
    BodyEnd,
    Framing,
    find_defect,
    find_framing,
)

__all__ = [
    "MAX_IDLE_CONNECTIONS",
    "BodyChunk",
    "Connection",
    "ConnectionPool",
    "HttpResponse",
    "IncompleteResponseError",
    "NotConnectedError",
    "ResponseHead",
    "connect",
    "fetch",
    "open_connection",
]

Opened = TypeVar("Opened", bound=asyncio.Protocol)

# Reading from the socket is paused beyond this, for backpressure.
MAX_UNPARSED_BYTES = 256 * 1024
# Closes a connection whose sent data stays unacknowledged, as after a power
# failure or behind a network partition.
TCP_USER_TIMEOUT_MS = 3000
MAX_HEAD_BYTES = 64 * 1024
# A head of many short lines takes far longer to parse than one of the same
# size with a few long ones.
MAX_HEAD_LINES = 256
HEAD_END = re.compile(rb"\n\r?\n")
MAX_HEAD_END_BYTES = 3
# Responses with status 1xx before the final one; one endpoint that sent them
# without end took most of a core.
MAX_INTERIM_RESPONSES = 16
# The parser reads a trailer in one go, and each of its lines takes far longer
# than its bytes do elsewhere.
MAX_CHUNKED_BYTES = 4 * 1024
MAX_IDLE_CONNECTIONS = 64
# Answers to other requests that are read before the own one, and their bytes.
MAX_DROPPED_ANSWERS = 4
MAX_DROPPED_BYTES = 1024 * 1024
# The wait for the own answer after one that may be the own one, but has no id.
MAX_WAIT_AFTER_UNKNOWN_S = 1.0
CONNECTION_NUMBERS = itertools.count(1)


class NotConnectedError(Exception):
    """No connection was established, so nothing was sent."""


class IncompleteResponseError(Exception):
    """The response is incomplete; the request may have run."""


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response; header names are in lower case."""

    status: int
    headers: tuple[Header, ...]

    def get(self, name: str, default: str = "") -> str:
        """Return the first value of a header."""
        for known, value in self.headers:
            if known == name:
                return value
        return default


@dataclass(frozen=True, slots=True)
class BodyChunk:
    """Chunk of a response body."""

    data: bytes


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Complete response."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


class Connection(asyncio.Protocol):
    """One connection and its current request.

    ``fresh`` is true until the first request has ended: a failure on a reused
    connection may only mean that the server closed it while it was idle.
    ``relayed_by`` is the peer through which the connection goes, empty if it
    is direct, and ``opened_at`` when it was opened on the instance's clock.
    ``incarnation`` is that of the endpoint, once it has been checked.
    ``framing`` is that of the current response, and ``ended_by`` what ended
    its body, ``None`` until then. ``number`` tells the connections of this
    process apart, and ``sends`` counts the requests that were sent on it.
    ``repeats_ids`` says whether the last response had the id of its request:
    on a connection without ids only the first response is certain to belong
    to its request.
    """

    def __init__(self, relayed_by: str = "", opened_at: float = 0.0) -> None:
        self.fresh = True
        self.relayed_by = relayed_by
        self.opened_at = opened_at
        self.number = next(CONNECTION_NUMBERS)
        self.sends = 0
        self.repeats_ids = False
        self.awaiting_response = False
        self.incarnation = ""
        self.framing: Framing | None = None
        self.ended_by: BodyEnd | None = None
        self._made_at = time.monotonic()
        self._method = ""
        self._correlation: Correlation | None = None
        self._request: h11.Request | None = None
        self._body = b""
        self._dropped = 0
        self._http = _make_parser()
        self._transport: asyncio.Transport | None = None
        self._close_reason: str | None = None
        self._unparsed: deque[bytes] = deque()
        self._unparsed_bytes = 0
        self._eof_received = False
        self._waiter: asyncio.Future[None] | None = None
        # What was taken of the first item of ``_unparsed``.
        self._taken_bytes = 0
        self._work = WorkMeter()
        self._head_lines = 0
        self._head_tail = b""

    # Protocol callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the socket options."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        raw = transport.get_extra_info("socket")
        if raw is None:
            return
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Buffer the data for the reader.

        Data that arrives while no request is in progress belongs to a late or
        duplicated response, so the connection is closed.
        """
        if not self.awaiting_response:
            self.close()
            return
        self._unparsed.append(data)
        self._unparsed_bytes += len(data)
        if self._unparsed_bytes > MAX_UNPARSED_BYTES and self._transport is not None:
            self._transport.pause_reading()
        self._wake_waiter()

    def eof_received(self) -> bool:
        """Record that the server has closed its side."""
        self._eof_received = True
        self._wake_waiter()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Record the end; after an error the response is incomplete."""
        if error is not None or not self._eof_received:
            self._close_reason = (
                repr(error) if error is not None else "connection closed locally"
            )
        self._wake_waiter()

    def _wake_waiter(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    # Public API.

    @property
    def usable(self) -> bool:
        """Return whether another request may be sent."""
        open_ = self._transport is not None and not self._transport.is_closing()
        return open_ and not self._eof_received and self._close_reason is None

    @property
    def awaits_data(self) -> bool:
        """Return whether the reader waits, with nothing left to read.

        It does not while the caller is slow to take what was read before.
        """
        return self._waiter is not None and not self._waiter.done()

    @property
    def age_s(self) -> float:
        """Return for how long the connection has been open."""
        return time.monotonic() - self._made_at

    def send(
        self,
        method: str,
        target: str,
        headers: Sequence[Header],
        body: bytes,
        correlation: Correlation | None = None,
    ) -> None:
        """Send a complete request.

        Without ``correlation`` the next response counts as the response to it.
        """
        if self._transport is None or not self.usable:
            raise NotConnectedError("connection was closed while idle")
        request = h11.Request(
            method=method.encode("latin-1"),
            target=target.encode("latin-1"),
            headers=[
                (name.encode("latin-1"), value.encode("latin-1"))
                for name, value in headers
            ],
        )
        data = _encode_request(self._http, request, body)
        self._correlation, self._request, self._body = correlation, request, body
        self.repeats_ids = False
        self.awaiting_response = True
        self.sends += 1
        self._work = WorkMeter()
        self._method = method
        self.framing = self.ended_by = None
        self._transport.write(data)

    async def read_head(self) -> ResponseHead:
        """Wait for the status and the headers of the response.

        Responses to other requests that come before it are dropped. After one
        without an id, which may be the own one, the wait is short.
        """
        head = await self._read_next_head()
        match self._match_answer(head):
            case Match.OWN:
                return head
            case Match.OTHER:
                return await self._read_past(head)
        try:
            async with asyncio.timeout(MAX_WAIT_AFTER_UNKNOWN_S):
                return await self._read_past(head)
        except TimeoutError as error:
            raise IncompleteResponseError("response has no id") from error

    async def _read_past(self, head: ResponseHead) -> ResponseHead:
        """Drop responses up to that to the own request; return its head."""
        for _ in range(MAX_DROPPED_ANSWERS):
            await self._drop_response()
            head = await self._read_next_head()
            if self._match_answer(head) is Match.OWN:
                return head
        raise IncompleteResponseError("too many responses to other requests")

    def _match_answer(self, head: ResponseHead) -> Match:
        if self._correlation is None:
            return Match.OWN
        answered_id = head.get(self._correlation.header)
        match = match_answer(self._correlation.id, answered_id, self.sends)
        self.repeats_ids = bool(answered_id)
        if match is not Match.OWN:
            log_event(
                "answer_dropped",
                request_id=self._correlation.id,
                answered_id=answered_id,
                status=head.status,
                connection=self.number,
                position=self.sends,
                outcome=match.value,
            )
        return match

    async def _drop_response(self) -> None:
        """Read a response to its end, and begin with the next one.

        Nothing can follow a response that ends with its connection. A response
        to HEAD has no body, though it may declare one: as the other request's
        method is not known, nothing is read past then.
        """
        self._dropped += 1
        if self.framing is Framing.CLOSE or self._method == "HEAD":
            raise IncompleteResponseError("response to another request")
        dropped_bytes = 0
        while (chunk := await self.read_chunk()) is not None:
            dropped_bytes += len(chunk.data)
            if dropped_bytes > MAX_DROPPED_BYTES:
                raise IncompleteResponseError("endless response to another request")
        if self._http.their_state is not h11.DONE:
            raise IncompleteResponseError("response to another request ends all")
        self._begin_next_response()

    def _begin_next_response(self) -> None:
        """Let a new parser await the response to the same request."""
        assert self._request is not None
        extra, _ = self._http.trailing_data
        self._http = _make_parser()
        _encode_request(self._http, self._request, self._body)
        if extra:
            self._put_back(extra)
        self.framing = self.ended_by = None

    async def _read_next_head(self) -> ResponseHead:
        interim = 0
        while True:
            event = await self._next_event()
            _check_status_line(event)
            if isinstance(event, h11.InformationalResponse):
                interim += 1
                if interim > MAX_INTERIM_RESPONSES:
                    raise IncompleteResponseError("too many interim responses")
                await get_loop_turns().wait(self._work)
                continue
            if not isinstance(event, h11.Response):
                raise IncompleteResponseError(
                    f"expected a response head, got {type(event).__name__}"
                )
            headers = tuple(
                (name.decode("latin-1"), value.decode("latin-1"))
                for name, value in event.headers
            )
            self.framing = find_framing(self._method, event.status_code, dict(headers))
            return ResponseHead(event.status_code, headers)

    async def read_chunk(self) -> BodyChunk | None:
        """Wait for the next chunk; ``None`` ends a complete response."""
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return BodyChunk(bytes(event.data))
        if isinstance(event, h11.EndOfMessage):
            self.ended_by = self.ended_by or BodyEnd.DECLARED
            return None
        raise IncompleteResponseError(
            f"expected response body, got {type(event).__name__}"
        )

    async def _next_event(self) -> object:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                raise IncompleteResponseError(str(error)) from error
            if event is not h11.NEED_DATA:
                await self._count_work(event)
                return event
            self._check_trailer()
            await self._feed()

    async def _count_work(self, event: object) -> None:
        """Go on in a later iteration of the event loop if this one is full.

        Reading what has already arrived never waits by itself.
        """
        work_bytes = len(event.data) if isinstance(event, h11.Data) else 0
        turns = get_loop_turns()
        if not turns.may_go_on(self._work, work_bytes):
            await turns.begin(self._work, work_bytes)

    def _check_trailer(self) -> None:
        """Raise ``IncompleteResponseError`` if a trailer has too many lines.

        Lines that the parser does not pass on are those of a trailer.
        """
        if self._http.their_state is not h11.SEND_BODY:
            return
        unread, _ = self._http.trailing_data
        if unread.count(b"\n") > MAX_HEAD_LINES:
            raise IncompleteResponseError("response trailer has too many lines")

    async def _feed(self) -> None:
        while not self._unparsed:
            if self._close_reason is not None:
                self._end_by_connection(BodyEnd.RESET, self._close_reason)
            if self._eof_received:
                self._end_by_connection(BodyEnd.CLOSED)
                self._http.receive_data(b"")
                return
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        was_full = self._unparsed_bytes > MAX_UNPARSED_BYTES
        data = self._take_unparsed()
        self._http.receive_data(data)
        is_full = self._unparsed_bytes > MAX_UNPARSED_BYTES
        if was_full and not is_full and self._transport is not None:
            self._transport.resume_reading()

    def _take_unparsed(self) -> bytes:
        """Return the next received bytes, no more than fit one turn."""
        is_chunked = self.framing is Framing.CHUNKS
        limit = MAX_CHUNKED_BYTES if is_chunked else TURN_BYTES
        first = self._unparsed[0]
        data = first[self._taken_bytes : self._taken_bytes + limit]
        if self._http.their_state is h11.SEND_RESPONSE:
            data = data[: self._measure_head(data)]
        self._taken_bytes += len(data)
        self._unparsed_bytes -= len(data)
        if self._taken_bytes == len(first):
            self._unparsed.popleft()
            self._taken_bytes = 0
        return data

    def _put_back(self, data: bytes) -> None:
        """Let data be read again before all other."""
        if self._taken_bytes:
            data += self._unparsed.popleft()[self._taken_bytes :]
            self._taken_bytes = 0
        self._unparsed.appendleft(data)
        self._unparsed_bytes = sum(map(len, self._unparsed))

    def _measure_head(self, data: bytes) -> int:
        """Return how many bytes belong to the next head.

        Raises ``IncompleteResponseError`` if the head has too many lines.
        """
        found = HEAD_END.search(self._head_tail + data)
        length = len(data)
        if found is not None:
            length = found.end() - len(self._head_tail)
        self._head_lines += data.count(b"\n", 0, length)
        if self._head_lines > MAX_HEAD_LINES:
            raise IncompleteResponseError("response head has too many lines")
        if found is None:
            self._head_tail = (self._head_tail + data)[1 - MAX_HEAD_END_BYTES :]
        else:
            self._head_lines, self._head_tail = 0, b""
        return length

    def _end_by_connection(self, end: BodyEnd, reason: str = "") -> None:
        """Record that the connection has ended the response.

        Raises ``IncompleteResponseError`` if that does not make it whole.
        """
        self.ended_by = end
        defect = find_defect(self.framing, end, within_event=False)
        if defect:
            raise IncompleteResponseError(f"{defect} ({reason})" if reason else defect)

    def finish(self) -> bool:
        """End the request; return whether the connection can be reused.

        It is closed if data precedes or follows the complete response, or if
        the response came before the whole request was sent: the next data
        could be taken for the response to another request.
        """
        self.awaiting_response = False
        self.fresh = False
        self._request, self._body = None, b""
        extra, _ = self._http.trailing_data
        both_done = (
            self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        )
        unsent = self._transport is None or self._transport.get_write_buffer_size()
        unexplained = extra or self._unparsed or self._dropped
        if not both_done or unexplained or unsent or not self.usable:
            self.close()
            return False
        self._http.start_next_cycle()
        return True

    def close(self) -> None:
        """Reset the connection, which cancels the request at the endpoint.

        After an ordinary close the kernel keeps retransmitting, so that a
        cancelled request or order would still arrive once a network partition
        heals. A reset drops the unsent data.
        """
        if self._transport is None:
            return
        reset_on_close(self._transport.get_extra_info("socket"))
        self._transport.abort()


def _check_status_line(event: object) -> None:
    """Raise ``IncompleteResponseError`` unless a head is one of HTTP/1."""
    if isinstance(event, h11.InformationalResponse | h11.Response):
        version = event.http_version.decode("latin-1")
        defect = find_status_line_defect(version, event.status_code)
        if defect:
            raise IncompleteResponseError(defect)


def _make_parser() -> h11.Connection:
    return h11.Connection(our_role=h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)


def _encode_request(http: h11.Connection, request: h11.Request, body: bytes) -> bytes:
    data = http.send(request) or b""
    if body:
        data += http.send(h11.Data(data=body)) or b""
    return data + (http.send(h11.EndOfMessage()) or b"")


async def connect(address: str, timeout_s: float) -> Connection:
    """Connect to ``IP:PORT``; raises ``NotConnectedError``.

    A connection that was established within the timeout is used, even if this
    process notices that later.
    """
    return await open_connection(Connection, address, timeout_s)


async def open_connection(
    make_protocol: Callable[[], Opened], address: str, timeout_s: float
) -> Opened:
    """Connect a protocol to ``IP:PORT``; raises ``NotConnectedError``."""
    try:
        host, port = split_address(address)
    except ValueError as error:
        raise NotConnectedError(f"{address!r} is not an address") from error
    loop = asyncio.get_running_loop()
    opening = loop.create_task(loop.create_connection(make_protocol, host, port))
    try:
        if not await wait_for_task(opening, timeout_s):
            raise TimeoutError(f"no answer within {timeout_s:.3f} s")
        _, protocol = opening.result()
    except (OSError, ValueError, OverflowError) as error:
        # A port beyond 65535 overflows, and a host may be no host name.
        _abandon(opening)
        raise NotConnectedError(repr(error)) from error
    except asyncio.CancelledError:
        _abandon(opening)
        raise
    return protocol


def _abandon(opening: asyncio.Task[tuple[asyncio.Transport, Opened]]) -> None:
    opening.cancel()
    opening.add_done_callback(_close_opened)


def _close_opened(opening: asyncio.Task[tuple[asyncio.Transport, Opened]]) -> None:
    if not opening.cancelled() and opening.exception() is None:
        opening.result()[0].abort()


@dataclass(frozen=True, slots=True)
class IdleConnection:
    """A connection that may be reused until a time."""

    connection: Connection
    released_at: float
    until: float


class ConnectionPool:
    """Idle connections to one endpoint, reused last in, first out.

    Each has an expiry, which must be before the endpoint's keep-alive timeout:
    a request sent while the endpoint closes the connection would have an
    unknown outcome.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.max_idle = MAX_IDLE_CONNECTIONS
        self._idle: list[IdleConnection] = []

    def take(
        self,
        now: float,
        direct_since: float = float("-inf"),
        may_use: Callable[[Connection], bool] = lambda connection: True,
    ) -> Connection | None:
        """Return a usable idle connection, if there is one.

        Direct connections that were released before ``direct_since`` are not
        used: connects have failed since, so these may be broken as well. What
        ``may_use`` returns false for is left for others.
        """
        for index in range(len(self._idle) - 1, -1, -1):
            idle = self._idle[index]
            if not may_use(idle.connection):
                continue
            del self._idle[index]
            is_old = idle.released_at < direct_since and not idle.connection.relayed_by
            if idle.connection.usable and now < idle.until and not is_old:
                return idle.connection
            idle.connection.close()
        return None

    def release(self, connection: Connection, now: float, until: float) -> None:
        """Return a connection whose request has ended to the pool."""
        if len(self._idle) >= self.max_idle or until <= now:
            connection.close()
            return
        self._idle.append(IdleConnection(connection, now, until))

    def close_idle(self, now: float) -> None:
        """Close expired and unusable connections."""
        kept = []
        for idle in self._idle:
            if idle.connection.usable and now < idle.until:
                kept.append(idle)
            else:
                idle.connection.close()
        self._idle = kept

    def close(self) -> None:
        """Close every idle connection."""
        for idle in self._idle:
            idle.connection.close()
        self._idle.clear()


async def fetch(
    connection: Connection,
    method: str,
    target: str,
    headers: Sequence[Header],
    body: bytes,
    timeout_s: float,
    max_bytes: int,
    correlation: Correlation | None = None,
) -> HttpResponse:
    """Send a request and read the complete response.

    Closes the connection and raises ``IncompleteResponseError`` if the
    response is incomplete or late, or its body longer than ``max_bytes``: what
    this kind of response may hold.
    """
    try:
        async with asyncio.timeout(timeout_s):
            connection.send(method, target, headers, body, correlation)
            head = await connection.read_head()
            response_body = bytearray()
            while (chunk := await connection.read_chunk()) is not None:
                response_body += chunk.data
                if len(response_body) > max_bytes:
                    raise IncompleteResponseError(
                        f"response body is longer than {max_bytes} bytes"
                    )
    except TimeoutError as error:
        connection.close()
        raise IncompleteResponseError("timeout") from error
    except BaseException:
        connection.close()
        raise
    connection.finish()
    return HttpResponse(head.status, head.headers, bytes(response_body))

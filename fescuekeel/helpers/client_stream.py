"""Streams of clients that count what they hold, and read in turns."""

import asyncio
import socket
from collections.abc import Awaitable
from typing import TYPE_CHECKING

from tornado.iostream import IOStream, SSLIOStream, StreamClosedError

from fescuekeel.helpers.client_ledger import Client, ClientPhase, CloseReason
from fescuekeel.helpers.client_resources import ClientResources
from fescuekeel.helpers.linger import reset_on_close
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.loop_turns import get_loop_turns
from fescuekeel.helpers.unwritten import count_unwritten_bytes

__all__ = ["ClientStream", "TlsClientStream"]

# What a request may read in one go before it waits for its turn among all that
# have much to read. A read counts as at least this many bytes.
TURN_BYTES = 64 * 1024
READ_BYTES = 1024
# TCP_INFO begins with the state of the connection (tcp_states.h of Linux).
TCP_ESTABLISHED = 1

if TYPE_CHECKING:
    _Stream = IOStream
else:
    _Stream = object


class _CountedStream(_Stream):
    """Count what is read and written, and let others run meanwhile.

    ``resources`` and ``client`` are set once the connection is accepted.
    """

    resources: ClientResources | None = None
    client: Client | None = None
    _work_bytes = 0

    def begin_request(self) -> None:
        """Expect the next request."""
        if self.client is None or self.resources is None:
            return
        self._work_bytes = 0
        self.client.received_bytes = self.client.body_bytes = 0
        self.client.turns = 0
        has_data = self._read_buffer_size > 0
        if has_data and self.client.requests and self._has_peer_closed():
            self.resources.close(self.client, CloseReason.GONE)
            return
        phase = ClientPhase.READING if has_data else ClientPhase.IDLE
        self.resources.enter(self.client, phase)
        self.count_held()

    def record_body(self, body_bytes: int) -> bool:
        """Count the body read so far; return whether there is room for it."""
        if self.client is None:
            return True
        self.client.body_bytes = body_bytes
        return self.count_held()

    def end_request(self) -> None:
        """Record that the request is complete."""
        if self.client is not None and self.resources is not None:
            self.client.requests += 1
            self.resources.enter(self.client, ClientPhase.SERVING)
            self.count_held()

    def count_held(self) -> bool:
        """Count what the stream holds; return whether there is room for it."""
        if self.client is None or self.resources is None:
            return True
        self.client.unparsed_bytes = self._read_buffer_size
        self.client.unwritten_bytes = count_unwritten_bytes(self)
        return self.resources.update(self.client)

    def reset(self) -> None:
        """Close at once, and drop what was not read or written."""
        if not self.closed():
            reset_on_close(self.socket)
            self.close()

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read, and count the bytes."""
        read_bytes = super().read_from_fd(buf)
        client = self.client
        if read_bytes and client is not None and self.resources is not None:
            client.received_bytes += read_bytes
            if client.phase is ClientPhase.IDLE:
                self.resources.enter(client, ClientPhase.READING)
            client.unparsed_bytes = self._read_buffer_size + read_bytes
            self.resources.update(client)
        return read_bytes

    def write(self, data: bytes | memoryview) -> "asyncio.Future[None]":
        """Write, and count what the kernel has not taken."""
        future = super().write(data)
        self.count_held()
        return future

    def read_until_regex(
        self, regex: bytes, max_bytes: int | None = None
    ) -> Awaitable[bytes]:
        """Read up to a match; nothing if the connection has closed.

        Guards against requests that are served after their client has gone, as
        the HTTP library reads on in what it had sent.
        """
        self._check_open()
        return super().read_until_regex(regex, max_bytes)

    def read_until(
        self, delimiter: bytes, max_bytes: int | None = None
    ) -> Awaitable[bytes]:
        """Read up to a delimiter, if need be in a later turn."""
        self._check_open()
        if self._is_turn_over(READ_BYTES):
            return self._read_until_later(delimiter, max_bytes)
        return super().read_until(delimiter, max_bytes)

    def read_bytes(self, num_bytes: int, partial: bool = False) -> Awaitable[bytes]:
        """Read some bytes, if need be in a later turn."""
        self._check_open()
        if self._is_turn_over(max(READ_BYTES, num_bytes)):
            return self._read_bytes_later(num_bytes, partial)
        return super().read_bytes(num_bytes, partial)

    def _is_turn_over(self, work_bytes: int) -> bool:
        self._work_bytes += work_bytes
        return self._work_bytes > TURN_BYTES

    async def _read_until_later(self, delimiter: bytes, max_bytes: int | None) -> bytes:
        await self._wait_for_turn()
        return await super().read_until(delimiter, max_bytes)

    async def _read_bytes_later(self, num_bytes: int, partial: bool) -> bytes:
        await self._wait_for_turn()
        return await super().read_bytes(num_bytes, partial)

    async def _wait_for_turn(self) -> None:
        """Wait for the next turn, unless the client has gone.

        What a client has sent that closed its connection is dropped unread.
        """
        self._work_bytes = 0
        client, resources = self.client, self.resources
        if client is None or resources is None:
            return
        client.turns += 1
        resources.ledger.waiting += 1
        try:
            await get_loop_turns().wait()
            if resources.ledger.takes_too_long(client):
                resources.close(client, CloseReason.PROCESSOR)
        finally:
            resources.ledger.waiting -= 1
        if self._has_peer_closed():
            resources.close(client, CloseReason.GONE)
            self.close()
        self._check_open()

    def _check_open(self) -> None:
        if self.closed():
            raise StreamClosedError(real_error=self.error)

    def _has_peer_closed(self) -> bool:
        if self.closed():
            return True
        try:
            state = self.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        except OSError as error:
            log_event("connection_state_unknown", error=str(error))
            return False
        return state[0] != TCP_ESTABLISHED


class ClientStream(_CountedStream, IOStream):
    """The stream of a client's connection."""


class TlsClientStream(_CountedStream, SSLIOStream):
    """The same over TLS."""

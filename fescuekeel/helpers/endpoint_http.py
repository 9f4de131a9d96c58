"""HTTP client for endpoints; it never retries a request."""

import asyncio
import socket
import time
from collections.abc import Callable
from contextvars import ContextVar
from typing import Any

from tornado.httpclient import HTTPRequest, HTTPResponse
from tornado.iostream import IOStream
from tornado.netutil import is_valid_ip
from tornado.tcpclient import TCPClient

from fescuekeel.helpers.http import HttpClient, begin_fetch

__all__ = [
    "LEASE_LOST",
    "ConnectError",
    "ConnectionLostError",
    "EndpointClient",
    "Exchange",
    "Guard",
    "IdleTimer",
]

# Effectively unlimited: a request queued inside the HTTP client would not be
# subject to the deadlines.
MAX_CLIENTS = 1_000_000
CONNECT_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 8 * 1024 * 1024
# The parser reads a head in one go.
MAX_HEAD_BYTES = 16 * 1024

LEASE_LOST = "the lease has passed"
Guard = Callable[[], bool]


class ConnectError(Exception):
    """No connection was established, so nothing was sent."""


class ConnectionLostError(Exception):
    """An established connection broke or timed out."""


class Exchange:
    """One request, with a handle to abort it.

    ``guard`` is checked once the connection is established, right before the
    first byte is written.
    """

    def __init__(self, guard: Guard | None = None) -> None:
        self.guard = guard
        self.stream: IOStream | None = None
        self.closed = False

    def close(self) -> None:
        """Close the connection, or have it closed once it is established."""
        self.closed = True
        if self.stream is not None:
            self.stream.close()


class IdleTimer:
    """Idle timeout: close a connection that receives no data.

    Without it a half-open connection would stay open without an error. Once it
    is closed, the rest can be requested on a new one. ``expired`` says whether
    the timeout has expired.
    """

    def __init__(self, exchange: Exchange, timeout_s: float) -> None:
        self.exchange = exchange
        self.timeout_s = timeout_s
        self.expired = False
        self._last_data_at = time.monotonic()
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start the timer."""
        self._last_data_at = time.monotonic()
        self._check()

    def reset(self) -> None:
        """Restart the timeout after data was received."""
        self._last_data_at = time.monotonic()

    def stop(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def _check(self) -> None:
        left_s = self._last_data_at + self.timeout_s - time.monotonic()
        if left_s > 0:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(left_s, self._check)
            return
        self.expired = True
        self.exchange.close()


CURRENT_EXCHANGE: ContextVar[Exchange | None] = ContextVar("exchange", default=None)


class TrackedTCPClient(TCPClient):
    """Tell a failed connect from a broken connection.

    The HTTP client reports both as an ``OSError`` or a timeout. Only a failure
    inside ``connect``, before the HTTP client has a stream to write to,
    becomes ``ConnectError``, which means "not run"; after any other failure
    the request may have run.
    """

    async def connect(self, host: str, port: int, *_: Any, **options: Any) -> IOStream:
        """Connect, and store the stream in the current exchange."""
        try:
            async with asyncio.timeout(options.get("timeout")):
                stream = await open_stream(host, port, options["max_buffer_size"])
        except Exception as error:
            raise ConnectError(str(error)) from error
        exchange = CURRENT_EXCHANGE.get()
        if exchange is None:
            return stream
        if exchange.closed:
            stream.close()
            raise ConnectError("request was cancelled")
        # The process may have been suspended while it connected, and its lease
        # may have expired. The HTTP client writes in the same iteration of the
        # event loop as this check.
        if exchange.guard is not None and not exchange.guard():
            stream.close()
            raise ConnectError(LEASE_LOST)
        exchange.stream = stream
        return stream


async def open_stream(host: str, port: int, max_buffer_size: int | None) -> IOStream:
    """Connect to an IP address.

    Bypasses Tornado's connector, which resolves names and tries several
    addresses and so needs more iterations of the event loop.
    """
    if not is_valid_ip(host):
        raise OSError(f"{host} is not an IP address")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    stream = IOStream(
        socket.socket(family, socket.SOCK_STREAM), max_buffer_size=max_buffer_size
    )
    try:
        await stream.connect((host, port))
    except BaseException:
        stream.close()
        raise
    return stream


class NoRetryClient(HttpClient):
    """Tornado's HTTP client with ``TrackedTCPClient`` as its connector."""

    def initialize(self, **kwargs: Any) -> None:  # type: ignore[override]
        """Set up the client."""
        super().initialize(**kwargs)
        self.tcp_client.close()
        self.tcp_client = TrackedTCPClient()


class EndpointClient:
    """Send requests to one endpoint.

    Redirects are not followed, since that would send a body twice. The
    timeouts follow from the deadline of each request.
    """

    def __init__(self, address: str) -> None:
        self.base_url = f"http://{address}"
        self.client = NoRetryClient(
            force_instance=True,
            max_clients=MAX_CLIENTS,
            max_body_size=MAX_ANSWER_BYTES,
            max_header_size=MAX_HEAD_BYTES,
            max_buffer_size=MAX_ANSWER_BYTES,
        )
        self.exchanges: set[Exchange] = set()
        self.closed = False

    async def fetch(
        self,
        method: str,
        path: str,
        *,
        timeout_s: float,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        exchange: Exchange | None = None,
        on_data: Callable[[bytes], None] | None = None,
        on_header: Callable[[str], None] | None = None,
    ) -> HTTPResponse:
        """Send one request once and return the response, whatever its status.

        Raises ``ConnectError`` if nothing was sent, and
        ``ConnectionLostError`` if the connection failed later.
        """
        exchange = exchange or Exchange()
        if self.closed or exchange.closed:
            raise ConnectError("request was cancelled")
        request = HTTPRequest(
            self.base_url + path,
            method=method,
            body=body,
            headers=headers,
            connect_timeout=min(CONNECT_TIMEOUT_S, timeout_s),
            request_timeout=max(timeout_s, 0.001),
            follow_redirects=False,
            decompress_response=False,
            allow_nonstandard_methods=True,
            streaming_callback=on_data and _stop_when_closed(on_data, exchange),
            header_callback=on_header,
        )
        self.exchanges.add(exchange)
        token = CURRENT_EXCHANGE.set(exchange)
        try:
            future = begin_fetch(self.client, request, raise_error=False)
        finally:
            CURRENT_EXCHANGE.reset(token)
        try:
            return await future
        except asyncio.CancelledError:
            exchange.close()
            raise
        except ConnectError:
            raise
        except Exception as error:
            raise ConnectionLostError(str(error) or repr(error)) from error
        finally:
            self.exchanges.discard(exchange)

    def close(self) -> None:
        """Close every connection."""
        self.closed = True
        for exchange in list(self.exchanges):
            exchange.close()
        self.client.close()


def _stop_when_closed(
    on_data: Callable[[bytes], None], exchange: Exchange
) -> Callable[[bytes], None]:
    """Drop what had arrived, and was not read yet, when a call was ended."""

    def receive(data: bytes) -> None:
        if not exchange.closed:
            on_data(data)

    return receive

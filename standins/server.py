"""Serve a stand-in over HTTP on a free loopback port."""

import asyncio
import json
from collections.abc import Iterable, Sequence
from typing import Any, Protocol, cast

from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

__all__ = ["Misbehaviour", "Route", "Server", "StandIn", "StandInHandler"]

LOOPBACK = "127.0.0.1"
Route = tuple[str, type["StandInHandler"]]


class Misbehaviour:
    """Count down what a stand-in was told to do wrong at its connections.

    ``down`` closes every connection, open or new, unanswered. ``swallow`` is
    how many of the next requests are never seen nor answered, and ``mute``
    how many are carried out without ever an answer. ``silence_open`` makes
    every connection that is open now go silent for good, while new ones work.
    """

    def __init__(self) -> None:
        self.down = False
        self.swallow = 0
        self.mute = 0
        self.open_streams: set[Any] = set()
        self.silent_streams: set[Any] = set()

    def control(self, orders: dict[str, Any]) -> None:
        """Take the orders that concern connections."""
        if orders.get("down") and not self.down:
            self._close_open()
        self.down = bool(orders.get("down", self.down))
        self.swallow = int(orders.get("swallow", self.swallow))
        self.mute = int(orders.get("mute", self.mute))
        if orders.get("silence_open"):
            self.silent_streams |= self.open_streams

    def remember(self, stream: Any) -> None:
        """Note a connection until it closes."""
        self.open_streams.add(stream)

    def _close_open(self) -> None:
        for stream in self.open_streams:
            stream.close()

    def forget_closed(self) -> None:
        """Drop what is known of closed connections."""
        closed = {stream for stream in self.open_streams if stream.closed()}
        self.open_streams -= closed
        self.silent_streams -= closed


class StandIn(Protocol):
    """Describe what each stand-in offers to tests."""

    misbehaviour: Misbehaviour

    def control(self, orders: dict[str, Any]) -> None:
        """Misbehave as told."""

    def journal(self) -> dict[str, Any]:
        """Return what was seen so far."""


class StandInHandler(RequestHandler):
    """Answer one request of a stand-in, or misbehave."""

    standin: Any
    muted = False

    def initialize(self, standin: StandIn) -> None:
        """Receive the stand-in."""
        self.standin = standin
        self.closed = asyncio.Event()

    @property
    def stream(self) -> Any:
        """Return the connection's socket stream."""
        return cast(Any, self.request.connection).stream

    @property
    def is_silent(self) -> bool:
        """Tell whether this connection must not answer any more."""
        return self.muted or self.stream in self.standin.misbehaviour.silent_streams

    async def prepare(self) -> None:
        """Apply what was ordered for the connection as a whole."""
        if self.request.path in ("/control", "/journal"):
            return
        misbehaviour: Misbehaviour = self.standin.misbehaviour
        misbehaviour.forget_closed()
        misbehaviour.remember(self.stream)
        if misbehaviour.down:
            self.break_off()
            return
        if misbehaviour.swallow > 0:
            misbehaviour.swallow -= 1
            misbehaviour.silent_streams.add(self.stream)
        if self.is_silent:
            await self.stay_silent()
            return
        if misbehaviour.mute > 0:
            misbehaviour.mute -= 1
            self.muted = True

    def break_off(self) -> None:
        """Close the connection without an answer."""
        self.stream.close()
        self._finished = True

    async def stay_silent(self) -> None:
        """Leave the connection open and unanswered until it is closed."""
        if not self.stream.closed():
            await self.closed.wait()
        self._finished = True

    def on_connection_close(self) -> None:
        """Note that the other side has closed the connection."""
        self.closed.set()

    def read_json(self) -> dict[str, Any]:
        """Return the body's JSON object."""
        body = json.loads(self.request.body or b"{}")
        return body if isinstance(body, dict) else {}

    async def answer(self, status: int, body: dict[str, Any]) -> None:
        """Send a JSON answer unless the connection is silent."""
        if self.is_silent:
            await self.stay_silent()
            return
        self.set_status(status)
        try:
            await self.finish(body)
        except StreamClosedError:
            return


class ControlHandler(StandInHandler):
    """Take orders to misbehave."""

    async def post(self) -> None:
        """Apply a JSON object of orders."""
        orders = self.read_json()
        self.standin.misbehaviour.control(orders)
        self.standin.control(orders)
        await self.answer(200, {})


class JournalHandler(StandInHandler):
    """Show what the stand-in saw."""

    async def get(self) -> None:
        """Answer with the journal."""
        await self.answer(200, self.standin.journal())


class Server:
    """Listen for one stand-in."""

    def __init__(self, standin: StandIn, routes: Iterable[Route]) -> None:
        shared = {"standin": standin}
        every: Sequence[Any] = [
            ("/control", ControlHandler, shared),
            ("/journal", JournalHandler, shared),
            *((pattern, handler, shared) for pattern, handler in routes),
        ]
        application = Application(list(every), log_function=lambda handler: None)
        self._http = HTTPServer(application)
        self._sockets = bind_sockets(0, LOOPBACK)
        self._http.add_sockets(self._sockets)
        self.port: int = self._sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        """Return ``IP:PORT``."""
        return f"{LOOPBACK}:{self.port}"

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f"http://{self.address}"

    async def stop(self) -> None:
        """Close the sockets and all connections."""
        self._http.stop()
        await self._http.close_all_connections()

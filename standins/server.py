"""HTTP server of a stand-in on a free loopback port."""

import asyncio
import json
from collections.abc import Iterable, Sequence
from typing import Any, Protocol, cast

from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

__all__ = ["ConnectionFaults", "Route", "Server", "StandIn", "StandInHandler"]

LOOPBACK = "127.0.0.1"
Route = tuple[str, type["StandInHandler"]]


class ConnectionFaults:
    """Connection faults that a stand-in injects.

    ``down`` closes all open and new connections without a response. The next
    ``swallow`` requests are dropped without running, and the next ``mute``
    requests run without a response. ``silence_open`` makes all connections
    that are open at that time unresponsive.
    """

    def __init__(self) -> None:
        self.down = False
        self.swallow = 0
        self.mute = 0
        self.open_streams: set[Any] = set()
        self.unresponsive_streams: set[Any] = set()

    def control(self, commands: dict[str, Any]) -> None:
        """Apply the commands for connection faults."""
        if commands.get("down") and not self.down:
            self.close_open()
        self.down = bool(commands.get("down", self.down))
        self.swallow = int(commands.get("swallow", self.swallow))
        self.mute = int(commands.get("mute", self.mute))
        if commands.get("silence_open"):
            self.unresponsive_streams |= self.open_streams

    def track_stream(self, stream: Any) -> None:
        """Track a connection until it closes."""
        self.open_streams.add(stream)

    def close_open(self) -> None:
        """Close the connections that are open now."""
        for stream in list(self.open_streams):
            stream.close()

    def discard_closed_streams(self) -> None:
        """Stop tracking closed connections."""
        closed = {stream for stream in self.open_streams if stream.closed()}
        self.open_streams -= closed
        self.unresponsive_streams -= closed


class StandIn(Protocol):
    """Interface of all stand-ins."""

    connection_faults: ConnectionFaults

    def control(self, commands: dict[str, Any]) -> None:
        """Apply the stand-in's own commands."""

    def journal(self) -> dict[str, Any]:
        """Return the recorded calls."""


class StandInHandler(RequestHandler):
    """Base class of handlers that applies the connection faults."""

    standin: Any
    muted = False

    def initialize(self, standin: StandIn) -> None:
        """Set the stand-in."""
        self.standin = standin
        self.closed = asyncio.Event()

    @property
    def stream(self) -> Any:
        """Return the connection's socket stream."""
        return cast(Any, self.request.connection).stream

    @property
    def is_unresponsive(self) -> bool:
        """Return whether this connection must not send a response."""
        return (
            self.muted
            or self.stream in self.standin.connection_faults.unresponsive_streams
        )

    async def prepare(self) -> None:
        """Apply the connection faults."""
        if self.request.path in ("/control", "/journal"):
            return
        connection_faults: ConnectionFaults = self.standin.connection_faults
        connection_faults.discard_closed_streams()
        connection_faults.track_stream(self.stream)
        if connection_faults.down:
            self.drop_connection()
            return
        if connection_faults.swallow > 0:
            connection_faults.swallow -= 1
            connection_faults.unresponsive_streams.add(self.stream)
        if self.is_unresponsive:
            await self.hold_unanswered()
            return
        if connection_faults.mute > 0:
            connection_faults.mute -= 1
            self.muted = True

    def drop_connection(self) -> None:
        """Close the connection without a response."""
        self.stream.close()
        self._finished = True

    async def hold_unanswered(self) -> None:
        """Keep the connection open without a response until it is closed."""
        if not self.stream.closed():
            await self.closed.wait()
        self._finished = True

    def on_connection_close(self) -> None:
        """Wake ``hold_unanswered``."""
        self.closed.set()

    def read_json(self) -> dict[str, Any]:
        """Return the body's JSON object."""
        body = json.loads(self.request.body or b"{}")
        return body if isinstance(body, dict) else {}

    async def respond(self, status: int, body: dict[str, Any]) -> None:
        """Send a JSON response unless the connection is unresponsive."""
        if self.is_unresponsive:
            await self.hold_unanswered()
            return
        self.set_status(status)
        try:
            await self.finish(body)
        except StreamClosedError:
            return


class ControlHandler(StandInHandler):
    """Receive control commands."""

    async def post(self) -> None:
        """Apply a JSON object of commands."""
        commands = self.read_json()
        self.standin.connection_faults.control(commands)
        self.standin.control(commands)
        await self.respond(200, {})


class JournalHandler(StandInHandler):
    """Serve the stand-in's journal."""

    async def get(self) -> None:
        """Respond with the journal."""
        await self.respond(200, self.standin.journal())


class Server:
    """The HTTP server of one stand-in."""

    def __init__(
        self, standin: StandIn, routes: Iterable[Route], port: int = 0
    ) -> None:
        shared = {"standin": standin}
        all_routes: Sequence[Any] = [
            ("/control", ControlHandler, shared),
            ("/journal", JournalHandler, shared),
            *((pattern, handler, shared) for pattern, handler in routes),
        ]
        application = Application(list(all_routes), log_function=lambda handler: None)
        self._http = HTTPServer(application)
        self._sockets = bind_sockets(port, LOOPBACK)
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

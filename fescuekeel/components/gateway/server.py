"""HTTP server for callers."""

import asyncio
import secrets
import socket
import ssl
from typing import TYPE_CHECKING

from returns.result import Result, Success
from tornado.web import Application, RequestHandler

from fescuekeel.components.gateway.admission import (
    Admission,
    CallerInput,
    admit_completion,
    admit_plain,
    get_intent,
)
from fescuekeel.components.gateway.const import (
    CALLER_BODY_TIMEOUT_S,
    CALLER_IDLE_TIMEOUT_S,
    COMPLETIONS_PATH,
    JSON_CONTENT_TYPE,
    SERVICES_PREFIX,
)
from fescuekeel.components.gateway.schemas import clean_request_id
from fescuekeel.components.gateway.sink import HandlerSink
from fescuekeel.const import (
    HEADER_IDEMPOTENCY_KEY,
    HEADER_REQUEST_ID,
    MAX_BODY_BYTES,
    MAX_HEADER_BYTES,
)
from fescuekeel.errors import ErrorKind, Failure
from fescuekeel.helpers.client_server import ClientServer
from fescuekeel.helpers.listen import bind_address
from fescuekeel.helpers.settings import CallersSettings

if TYPE_CHECKING:
    from fescuekeel.components.gateway.component import Gateway

__all__ = ["CallersServer"]

RANDOM_ID_BYTES = 8
# A body above MAX_BODY_BYTES gets an error response; above this multiple it is
# not read and the connection is closed.
HARD_BODY_FACTOR = 2
# TCP keepalive detects a dead caller after about a minute, even while nothing
# is written to it.
KEEPALIVE_IDLE_S = 30
KEEPALIVE_INTERVAL_S = 10
KEEPALIVE_PROBES = 3


class CallerHandler(RequestHandler):
    """Base handler for one request of a caller."""

    def initialize(self, gateway: "Gateway") -> None:
        """Set the gateway that serves the request."""
        self.gateway = gateway
        self.request_id = ""

    def prepare(self) -> None:
        """Assign a unique id to the request."""
        caller_id = clean_request_id(self.request.headers.get(HEADER_REQUEST_ID, ""))
        unique = secrets.token_hex(RANDOM_ID_BYTES)
        self.request_id = f"{caller_id}.{unique}" if caller_id else unique
        self.set_header(HEADER_REQUEST_ID, caller_id or unique)

    def on_connection_close(self) -> None:
        """Cancel the request of a caller that disconnected."""
        self.gateway.handle_caller_disconnect(self.request_id)

    def read_input(self, path: str) -> CallerInput:
        """Return the parts of the request that admission needs."""
        headers = self.request.headers
        return CallerInput(
            authorization=headers.get("Authorization", ""),
            method=self.request.method or "GET",
            path=path,
            content_type=headers.get("Content-Type", JSON_CONTENT_TYPE),
            body=self.request.body,
            idempotency_key=headers.get(HEADER_IDEMPOTENCY_KEY, ""),
        )

    async def answer(self, admitted: Result[Admission, Failure]) -> None:
        """Serve an admitted request, or respond with its rejection."""
        if isinstance(admitted, Success):
            admission = admitted.unwrap()
            sink = HandlerSink(self, admission.stream)
            try:
                await self.gateway.serve(self.request_id, admission, sink)
            finally:
                sink.close_unfinished()
            return
        sink = HandlerSink(self, stream=False)
        await self.gateway.refuse(self.request_id, admitted.failure(), sink)


class CompletionHandler(CallerHandler):
    """Handle a completion request."""

    async def post(self) -> None:
        """Admit and serve the request."""
        caller = self.read_input(COMPLETIONS_PATH)
        intent = get_intent(self.gateway.instance.bus)
        await self.answer(intent.bind(lambda known: admit_completion(known, caller)))


class PlainHandler(CallerHandler):
    """Handle a request to a plain service."""

    async def serve_any(self, service: str, rest: str) -> None:
        """Admit and serve the request, for every HTTP method."""
        query = f"?{self.request.query}" if self.request.query else ""
        caller = self.read_input(f"/{rest or ''}{query}")
        intent = get_intent(self.gateway.instance.bus)
        await self.answer(
            intent.bind(lambda known: admit_plain(known, service, caller))
        )

    get = post = put = delete = patch = serve_any


class HealthHandler(RequestHandler):
    """Health check for the platform's load balancer."""

    def initialize(self, gateway: "Gateway") -> None:
        """Set the gateway."""
        self.gateway = gateway

    def get(self) -> None:
        """Respond 200 if the gateway is ready, 503 otherwise."""
        self.set_status(200 if self.gateway.ready else 503)


class UnknownPathHandler(CallerHandler):
    """Reject requests to unknown paths."""

    async def prepare(self) -> None:  # type: ignore[override]
        """Reject the request."""
        super().prepare()
        await self.answer(Result.from_failure(Failure(ErrorKind.UNKNOWN_SERVICE)))


class CallersServer:
    """HTTP server that owns the listening sockets for callers."""

    def __init__(self, gateway: "Gateway", settings: CallersSettings) -> None:
        self._settings = settings
        own = {"gateway": gateway}
        application = Application(
            [
                (COMPLETIONS_PATH, CompletionHandler, own),
                (rf"{SERVICES_PREFIX}([A-Za-z0-9._-]+)(?:/(.*))?", PlainHandler, own),
                (r"/healthz", HealthHandler, own),
                (r".*", UnknownPathHandler, own),
            ],
            log_function=lambda handler: None,
        )
        self._server = ClientServer(
            application,
            gateway.instance.client_resources,
            "callers",
            ssl_options=self._make_ssl_context(),
            max_buffer_size=4 * MAX_BODY_BYTES,
            max_body_size=HARD_BODY_FACTOR * MAX_BODY_BYTES,
            max_header_size=MAX_HEADER_BYTES,
            body_timeout=CALLER_BODY_TIMEOUT_S,
            idle_connection_timeout=CALLER_IDLE_TIMEOUT_S,
        )
        self.address = settings.address

    def _make_ssl_context(self) -> ssl.SSLContext | None:
        if not self._settings.tls_certificate:
            return None
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        context.load_cert_chain(self._settings.tls_certificate, self._settings.tls_key)
        return context

    def start(self) -> None:
        """Listen on the configured address."""
        sockets, self.address = bind_address(self._settings.address)
        for listening in sockets:
            _set_keepalive(listening)
        self._server.add_sockets(sockets)

    def stop_listening(self) -> None:
        """Stop accepting connections."""
        self._server.stop()

    async def close(self) -> None:
        """Close the remaining connections."""
        async with asyncio.timeout(1.0):
            await self._server.close_all_connections()


def _set_keepalive(listening: socket.socket) -> None:
    # Accepted connections inherit these options on Linux.
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    listening.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    listening.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    listening.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)

"""The HTTP interface for operators, on a separate port."""

import hashlib
import hmac

from returns.result import Result, Success
from tornado.web import Application, RequestHandler

from fescuekeel.components.operators.const import (
    BODY_TIMEOUT_S,
    DOMAIN,
    IDLE_TIMEOUT_S,
    MAX_BODY_BYTES,
    MAX_HEADER_BYTES,
)
from fescuekeel.components.operators.views import (
    View,
    explain,
    show_counters,
    show_status,
    show_tree,
)
from fescuekeel.core import Instance
from fescuekeel.errors import ErrorKind, Failure
from fescuekeel.helpers.client_server import ClientServer
from fescuekeel.helpers.http import read_bearer
from fescuekeel.helpers.listen import bind_address
from fescuekeel.helpers.logging import log_event
from fescuekeel.messages import DrainRequested

__all__ = ["OperatorsServer"]

ACCEPTED = 202


class OperatorHandler(RequestHandler):
    """Base of all handlers; authenticates the operator first."""

    def initialize(self, instance: Instance) -> None:
        """Set the instance to show."""
        self.instance = instance

    def prepare(self) -> None:
        """Reject requests without the operators' token."""
        token = read_bearer(self.request.headers.get("Authorization", ""))
        actual = hashlib.sha256(token.encode()).hexdigest()
        expected = self.instance.settings.operators.token_sha256
        if not hmac.compare_digest(actual, expected):
            self.instance.metrics.count("operators.unauthenticated")
            self.send_failure(Failure(ErrorKind.UNAUTHENTICATED))

    def send_failure(self, failure: Failure) -> None:
        """Respond with a failure as JSON."""
        self.set_status(failure.response.status)
        text = failure.detail or failure.response.text
        self.finish({"error": {"kind": failure.kind.value, "text": text}})

    def send_result(self, result: Result[View, Failure]) -> None:
        """Respond with a view or a failure."""
        if isinstance(result, Success):
            self.finish(result.unwrap())
            return
        self.send_failure(result.failure())

    def read_target(self) -> tuple[str, str, str, str]:
        """Return shop, service, adapter and version, empty if absent."""
        names = ("shop", "service", "adapter", "version")
        shop, service, adapter, version = (
            self.get_query_argument(name, "") for name in names
        )
        return shop, service, adapter, version


class StatusHandler(OperatorHandler):
    """Show this instance, its member table and what it owns."""

    def get(self) -> None:
        """Respond with the status."""
        self.finish(show_status(self.instance))


class CountersHandler(OperatorHandler):
    """Show counters and histograms."""

    def get(self) -> None:
        """Respond with the counters."""
        self.finish(show_counters(self.instance.metrics))


class TreeHandler(OperatorHandler):
    """Show the tree in force."""

    def get(self) -> None:
        """Respond with the revision and the requested policy."""
        self.send_result(show_tree(self.instance, *self.read_target()))


class ExplainHandler(OperatorHandler):
    """Show where a request would be routed."""

    def get(self) -> None:
        """Respond with the ranked endpoints and the reason."""
        self.send_result(explain(self.instance, *self.read_target()))


class DrainHandler(OperatorHandler):
    """Shut this instance down gracefully."""

    def post(self) -> None:
        """Request a graceful stop of the daemon."""
        log_event("drain_requested", source=self.request.remote_ip)
        self.set_status(ACCEPTED)
        self.finish({"draining": True})
        self.instance.bus.publish(DrainRequested("operator"))


class OperatorsServer:
    """The HTTP server for operators."""

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self._server: ClientServer | None = None
        self.address = ""

    async def start(self) -> None:
        """Listen on the configured address; port 0 picks a free port."""
        options = {"instance": self._instance}
        application = Application(
            [
                ("/status", StatusHandler, options),
                ("/counters", CountersHandler, options),
                ("/tree", TreeHandler, options),
                ("/explain", ExplainHandler, options),
                ("/drain", DrainHandler, options),
            ],
            log_function=lambda handler: None,
        )
        resources = self._instance.client_resources
        resources.limit_port(DOMAIN)
        self._server = ClientServer(
            application,
            resources,
            DOMAIN,
            idle_connection_timeout=IDLE_TIMEOUT_S,
            body_timeout=BODY_TIMEOUT_S,
            max_body_size=MAX_BODY_BYTES,
            max_header_size=MAX_HEADER_BYTES,
        )
        address = self._instance.settings.operators.address
        sockets, self.address = bind_address(address)
        self._server.add_sockets(sockets)
        log_event("operators_listening", address=self.address)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()

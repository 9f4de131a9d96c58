"""The interface of the forwarder to its requests."""

from typing import Protocol, TypeVar

from fescuekeel.components.endpoints import EndpointLoad, EndpointStates
from fescuekeel.components.forward.attempts import AttemptEnd
from fescuekeel.components.forward.choice import Choice
from fescuekeel.components.forward.crashes import CrashReporter
from fescuekeel.components.forward.endpoint_limiter import EndpointLimiter
from fescuekeel.components.forward.overhead import OverheadEstimator
from fescuekeel.components.origins import Origins
from fescuekeel.components.relay import Relay
from fescuekeel.core import Instance
from fescuekeel.errors import Failure
from fescuekeel.helpers.dialect import CallerMetadata, Dialect
from fescuekeel.helpers.http_connection import Connection, ConnectionPool
from fescuekeel.helpers.published import ClientAccount, Route

__all__ = ["RequestHost"]

R = TypeVar("R", contravariant=True)
A = TypeVar("A", contravariant=True)


class RequestHost(Protocol[R, A]):
    """Select endpoints for requests, connect to them and record outcomes.

    ``R`` is the type of a request and ``A`` that of one of its attempts.
    """

    instance: Instance
    dialect: Dialect
    crashes: CrashReporter
    endpoints: EndpointStates
    limiter: EndpointLimiter
    origins: Origins
    relay: Relay

    # Before a request is sent.

    def find_route(self, host: str, target: str) -> Route | None:
        """Return the route in force of a request, if any."""

    def find_account(
        self, route: Route, metadata: CallerMetadata
    ) -> ClientAccount | Failure | None:
        """Authenticate a request with the current configuration."""

    async def select_endpoint(self, request: R, avoided: str = "") -> Choice | Failure:
        """Select an endpoint; wait for its weights and for admission."""

    def get_priority(self, request: R) -> int | None:
        """Return the priority for an engine, ``None`` for plain services."""

    def has_retry_budget(self, request: R) -> bool:
        """Return whether the retry budget has a retry left."""

    def may_retry(self, request: R, end: AttemptEnd) -> bool:
        """Return whether the retry budget allows a retry of an attempt."""

    def spend_retry(self, request: R) -> bool:
        """Use the retry budget for a request that is sent now."""

    def refund_retry(self, request: R) -> None:
        """Return the retry of a request that was not sent after all."""

    # Endpoints.

    def is_listed(self, endpoint: str) -> bool:
        """Return whether an endpoint may get requests by the catalog."""

    def read_unconfirmed_s(self, endpoint: str) -> float:
        """Return for how long its entry has been missing, else -1."""

    def get_load(self, endpoint: str) -> EndpointLoad:
        """Return the observed load of an endpoint."""

    def get_overhead_estimator(self, service: str) -> OverheadEstimator:
        """Return the estimator of a service's first-chunk overhead."""

    def count_tokens_ahead(self, endpoint: str, tokens: int) -> int:
        """Return the tokens queued at an engine ahead of a prompt."""

    def get_pool(self, endpoint: str) -> ConnectionPool:
        """Return the connection pool of an endpoint."""

    async def open(self, endpoint: str, pool: ConnectionPool) -> Connection:
        """Open a connection, and record whether the endpoint is reachable."""

    # Reports of requests.

    def record_use_ended(self) -> None:
        """Report the end of a use of weights to the holders soon."""

    def record_attempt(
        self, request: R, choice: Choice, attempt: A, end: AttemptEnd | None
    ) -> None:
        """Record one attempt."""

    def record_refused(self, request: R, failure: Failure) -> None:
        """Record a refusal."""

    def record_end(self, request: R) -> None:
        """Record the end of a request."""

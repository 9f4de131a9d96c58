"""What a request asks of the forwarder that it runs in."""

from typing import Protocol, TypeVar

from fescuekeel.components.forward.attempts import AttemptEnd
from fescuekeel.components.forward.choice import Choice
from fescuekeel.components.forward.endpoints import EndpointLoad
from fescuekeel.components.forward.overhead import FirstPieceFit
from fescuekeel.core import Instance
from fescuekeel.errors import Failure
from fescuekeel.helpers.dialect import CallerHead, Dialect
from fescuekeel.helpers.exchange import Connection, ConnectionPool
from fescuekeel.helpers.published import ClientAccount, Route

__all__ = ["RequestHost"]

R = TypeVar("R", contravariant=True)
A = TypeVar("A", contravariant=True)


class RequestHost(Protocol[R, A]):
    """Place requests, send them and record what became of them.

    ``R`` is the type of a request and ``A`` that of one of its attempts.
    """

    instance: Instance
    dialect: Dialect

    # Before a request is sent.

    def find_account(
        self, route: Route, head: CallerHead
    ) -> ClientAccount | Failure | None:
        """Return whose request it is, by what is in force now."""

    async def place(self, request: R) -> Choice | Failure:
        """Choose an endpoint; wait for its weights and the prompt's turn."""

    def get_priority(self, request: R) -> int | None:
        """Return the priority that an engine gets, none at plain services."""

    def spend_retry(self, request: R, end: AttemptEnd) -> bool:
        """Take from the budget; return whether the request may go again."""

    # Endpoints.

    def get_load(self, endpoint: str) -> EndpointLoad:
        """Return what is seen of an endpoint."""

    def get_fit(self, service: str) -> FirstPieceFit:
        """Return what is learned of the first pieces of a service."""

    def count_ahead(self, endpoint: str, tokens: int) -> int:
        """Return the tokens that wait at an engine before a prompt."""

    def get_pool(self, endpoint: str) -> ConnectionPool:
        """Return the connections to an endpoint."""

    async def open(self, endpoint: str, pool: ConnectionPool) -> Connection:
        """Open a connection, and learn whether the endpoint is reachable."""

    # What requests tell.

    def note_use_ended(self) -> None:
        """Let holders hear soon that an endpoint's weights are used less."""

    def note_attempt(
        self, request: R, choice: Choice, attempt: A, end: AttemptEnd | None
    ) -> None:
        """Record one attempt."""

    def note_refused(self, request: R, failure: Failure) -> None:
        """Record a refusal."""

    def note_end(self, request: R) -> None:
        """Record the end of a request."""

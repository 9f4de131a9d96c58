"""Orders to an endpoint and reports of it, each on a new connection."""

from collections.abc import Callable

from fescuekeel.components.endpoints import EndpointStates
from fescuekeel.components.placement.const import (
    ORDER_TIMEOUT_S,
    REPORT_TIMEOUT_S,
)
from fescuekeel.components.relay import Relay
from fescuekeel.core import Instance
from fescuekeel.helpers.dialect import (
    MAX_ORDER_REPLY_BYTES,
    MAX_REPORT_BYTES,
    Dialect,
    EndpointReport,
    HttpCall,
    OrderReply,
    WeightOrder,
)
from fescuekeel.helpers.endpoint_call import call_endpoint
from fescuekeel.helpers.http_connection import (
    Connection,
    HttpResponse,
    IncompleteResponseError,
    NotConnectedError,
)
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.published import EndpointRecord

__all__ = ["OrderLink"]

Guard = Callable[[], bool]


class OrderLink:
    """Call an endpoint, each time on a new connection.

    On one that has carried a call, a second answer to that call could be taken
    for the answer to the next.
    """

    def __init__(
        self,
        instance: Instance,
        dialect: Dialect,
        relay: Relay,
        endpoints: EndpointStates,
        record: EndpointRecord,
    ) -> None:
        self.endpoint = record.id
        self._instance = instance
        self._dialect = dialect
        self._relay = relay
        self._endpoints = endpoints
        self._address = record.address
        self._connections: set[Connection] = set()

    async def fetch_report(self) -> EndpointReport | None:
        """Return the endpoint's report, ``None`` if it is unavailable."""
        call = self._dialect.make_report_call(self.endpoint)
        self._instance.metrics.count("placement.reports")
        try:
            response = await self._fetch(
                call, REPORT_TIMEOUT_S, MAX_REPORT_BYTES, lambda: True
            )
            if response is None or response.status != 200:
                return None
            return self._dialect.read_report(response.body)
        except (NotConnectedError, IncompleteResponseError, ValueError) as error:
            self._instance.metrics.count("placement.report_failed")
            log_event("report_failed", endpoint=self.endpoint, error=str(error))
            return None

    async def is_reachable(self) -> bool:
        """Return whether the endpoint accepts connections."""
        return await self._relay.is_reachable_directly(self.endpoint, self._address)

    async def send_order(self, order: WeightOrder, guard: Guard) -> OrderReply | None:
        """Send an order; ``None`` if it is unknown whether it was accepted.

        ``guard`` is checked right before writing to the connection. If it
        returns false, or if there is no connection, the order was certainly
        not sent.
        """
        call = self._dialect.make_order(order)
        try:
            response = await self._fetch(
                call, ORDER_TIMEOUT_S, MAX_ORDER_REPLY_BYTES, guard
            )
        except NotConnectedError:
            return OrderReply.UNAVAILABLE
        except IncompleteResponseError:
            return None
        if response is None:
            return OrderReply.UNAVAILABLE
        return self._dialect.read_order_reply(response.status)

    async def _fetch(
        self, call: HttpCall, timeout_s: float, max_bytes: int, guard: Guard
    ) -> HttpResponse | None:
        connection = await self._relay.connect_directly(self.endpoint, self._address)
        self._instance.metrics.count("placement.connections")
        self._connections.add(connection)
        try:
            if not guard():
                return None
            response = await call_endpoint(
                connection, self._dialect, call, self._address, timeout_s, max_bytes
            )
        finally:
            connection.close()
            self._connections.discard(connection)
        metadata = self._dialect.read_response(response.status, dict(response.headers))
        self._endpoints.record_response(self.endpoint, metadata)
        return response

    def close(self) -> None:
        """Close the connections of calls in progress."""
        for connection in list(self._connections):
            connection.close()

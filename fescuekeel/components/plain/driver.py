"""The driver for plain HTTP services."""

from pydantic import BaseModel, ConfigDict
from tornado.httpclient import HTTPResponse

from fescuekeel.components.plain.const import (
    DEFAULT_CONTENT_TYPE,
    HEADER_NOT_RUN,
    PATH_REPORT,
)
from fescuekeel.const import HEADER_IDEMPOTENCY_KEY, HEADER_REQUEST_ID
from fescuekeel.core import Instance
from fescuekeel.helpers.driver import (
    CacheHints,
    Call,
    Guard,
    OnChunk,
    OrderOutcome,
    Outcome,
    Report,
    RunningCall,
)
from fescuekeel.helpers.endpoint_http import (
    ConnectError,
    ConnectionLostError,
    EndpointClient,
    Exchange,
)
from fescuekeel.helpers.json_work import check_value_count
from fescuekeel.messages import AdapterRef

__all__ = ["PlainDriver"]

BODY_METHODS = frozenset({"POST", "PUT", "PATCH"})


class RunningBody(BaseModel):
    """A running request in a service's report."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    request_id: str


class ReportBody(BaseModel):
    """A service's report of its state."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    boot_id: str
    running: tuple[RunningBody, ...] = ()
    max_running: int = 0


class PlainDriver:
    """Connect to one plain HTTP service, which has no adapters."""

    def __init__(self, instance: Instance, address: str) -> None:
        self.instance = instance
        self.client = EndpointClient(address)
        self.exchanges_by_request: dict[str, Exchange] = {}

    async def dispatch(self, call: Call, on_chunk: OnChunk) -> Outcome:
        """Send a request and wait for its response."""
        try:
            response = await self._send(call)
        except ConnectError as error:
            return Outcome.refused(str(error))
        except ConnectionLostError as error:
            return Outcome.unknown(str(error))
        if response.code == 503 and response.headers.get(HEADER_NOT_RUN) == "1":
            return Outcome.refused("refused by the service")
        if response.body:
            on_chunk(0, response.body, 1)
        return Outcome(
            status=response.code,
            content_type=response.headers.get("Content-Type", DEFAULT_CONTENT_TYPE),
        )

    async def resume(self, call: Call, position: int, on_chunk: OnChunk) -> Outcome:
        """Return that a response can't be resumed."""
        return Outcome.unknown("plain services can't resume responses")

    async def cancel(self, request_id: str) -> None:
        """Close the request's connection."""
        exchange = self.exchanges_by_request.get(request_id)
        if exchange is not None:
            exchange.close()

    async def load(
        self, adapter: AdapterRef, fence: int, timeout_s: float, guard: Guard
    ) -> OrderOutcome:
        """Return that the service can't load adapters."""
        return OrderOutcome(False, detail="plain services have no adapters")

    async def evict(
        self, adapter: AdapterRef, fence: int, timeout_s: float, guard: Guard
    ) -> OrderOutcome:
        """Return that the service can't evict adapters."""
        return OrderOutcome(False, detail="plain services have no adapters")

    async def report(self, timeout_s: float) -> Report | None:
        """Return the service's report, or ``None`` if it can't be read."""
        try:
            response = await self.client.fetch("GET", PATH_REPORT, timeout_s=timeout_s)
            check_value_count(response.body)
            body = ReportBody.model_validate_json(response.body)
        except (ConnectError, ConnectionLostError, ValueError):
            return None
        return Report(
            boot_id=body.boot_id,
            fence=0,
            max_running=body.max_running,
            loaded=frozenset(),
            running=tuple(
                RunningCall(item.request_id, AdapterRef()) for item in body.running
            ),
        )

    async def read_cache_hints(self, since: int, timeout_s: float) -> CacheHints:
        """Return no hints: plain services have no prompt cache."""
        return CacheHints((), since)

    def close(self) -> None:
        """Close all connections."""
        self.client.close()

    async def _send(self, call: Call) -> HTTPResponse:
        has_body = bool(call.body) or call.method in BODY_METHODS
        exchange = Exchange(call.guard)
        self.exchanges_by_request[call.request_id] = exchange
        headers = {HEADER_REQUEST_ID: call.request_id}
        if call.idempotency_key:
            headers[HEADER_IDEMPOTENCY_KEY] = call.idempotency_key
        if has_body:
            headers["Content-Type"] = call.content_type
        try:
            return await self.client.fetch(
                call.method,
                call.path,
                body=call.body if has_body else None,
                headers=headers,
                timeout_s=call.remaining_s,
                exchange=exchange,
            )
        finally:
            self.exchanges_by_request.pop(call.request_id, None)

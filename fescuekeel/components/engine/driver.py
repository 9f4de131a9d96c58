"""Driver for inference engines."""

import asyncio
import contextlib
import json
import time
from dataclasses import replace

from tornado.httpclient import HTTPResponse

from fescuekeel.components.engine.const import (
    CANCEL_TIMEOUT_S,
    JSON_HEADERS,
    MAX_SILENCE_S,
    PATH_CACHE_EVENTS,
    PATH_CANCEL,
    PATH_EVICT,
    PATH_LOAD,
    PATH_REPORT,
    RESUME_ATTEMPTS,
    RESUME_PAUSE_S,
    SILENCE_S,
    UNSTREAMED_SILENCE_FACTOR,
)
from fescuekeel.components.engine.events import BodyAssembler, EventStream
from fescuekeel.components.engine.model import (
    CacheEventsBody,
    ErrorBody,
    LoadBody,
    ReportBody,
    compose_completion,
    parse_body,
)
from fescuekeel.components.engine.stream_connection import (
    STALE_FENCE,
    StreamConnection,
    make_cut_outcome,
    parse_refusal,
)
from fescuekeel.core import Instance
from fescuekeel.errors import ErrorKind, Failure, Ran
from fescuekeel.helpers.driver import (
    CacheHints,
    Call,
    Guard,
    OnChunk,
    OrderOutcome,
    Outcome,
    Report,
)
from fescuekeel.helpers.endpoint_http import (
    ConnectError,
    ConnectionLostError,
    EndpointClient,
    Exchange,
    IdleTimer,
)
from fescuekeel.messages import AdapterRef

__all__ = ["EngineDriver"]

JSON_TYPE = "application/json"
CANCELLED = Outcome(Failure(ErrorKind.CANCELLED, ran=Ran.UNKNOWN), 499)


class EngineDriver:
    """HTTP client for one inference engine."""

    def __init__(self, instance: Instance, address: str) -> None:
        self.instance = instance
        self.client = EndpointClient(address)
        self.exchanges_by_request: dict[str, Exchange] = {}
        self.cancelled: set[str] = set()
        self.silence_s = SILENCE_S

    async def dispatch(self, call: Call, on_chunk: OnChunk) -> Outcome:
        """Hand over a request and wait until it ends."""
        try:
            if not call.stream:
                return await self._complete(call, on_chunk)
            return await self._stream(call, EventStream(), on_chunk, resume=False)
        finally:
            self.cancelled.discard(call.request_id)

    async def resume(self, call: Call, position: int, on_chunk: OnChunk) -> Outcome:
        """Resume a running stream from a token position on."""
        stream = EventStream(position, one_token_per_chunk=True)
        try:
            return await self._stream(call, stream, on_chunk, resume=True)
        finally:
            self.cancelled.discard(call.request_id)

    async def cancel(self, request_id: str) -> None:
        """Cancel a request and close its connection."""
        self.cancelled.add(request_id)
        body: dict[str, object] = {"request_id": request_id}
        with contextlib.suppress(ConnectError, ConnectionLostError):
            await self._post(PATH_CANCEL, body, CANCEL_TIMEOUT_S)
        exchange = self.exchanges_by_request.get(request_id)
        if exchange is None:
            self.cancelled.discard(request_id)
            return
        exchange.close()

    async def load(
        self, adapter: AdapterRef, fence: int, timeout_s: float, guard: Guard
    ) -> OrderOutcome:
        """Load an adapter and wait until the load has ended."""
        return await self._send_adapter_order(
            PATH_LOAD, adapter, fence, timeout_s, guard
        )

    async def evict(
        self, adapter: AdapterRef, fence: int, timeout_s: float, guard: Guard
    ) -> OrderOutcome:
        """Evict an adapter and wait until the eviction has ended."""
        return await self._send_adapter_order(
            PATH_EVICT, adapter, fence, timeout_s, guard
        )

    async def report(self, timeout_s: float) -> Report | None:
        """Return the engine's report, or ``None`` if it is unavailable."""
        response = await self._get(PATH_REPORT, timeout_s)
        if response is None or response.code != 200:
            return None
        body = parse_body(ReportBody, response.body)
        return None if body is None else body.to_report()

    async def read_cache_hints(self, since: int, timeout_s: float) -> CacheHints:
        """Return the cache events from number ``since`` on."""
        response = await self._get(f"{PATH_CACHE_EVENTS}?since={since}", timeout_s)
        if response is None or response.code != 200:
            return CacheHints((), since)
        body = parse_body(CacheEventsBody, response.body)
        return CacheHints((), since) if body is None else body.to_hints()

    def close(self) -> None:
        """Close all connections."""
        self.client.close()

    async def _complete(self, call: Call, on_chunk: OnChunk) -> Outcome:
        """Run a request whose response is not streamed.

        If the connection is lost, the tokens are fetched by resuming as a
        stream, and the response is assembled here.
        """
        deadline = time.monotonic() + call.remaining_s
        outcome = await self._fetch_whole(call, on_chunk)
        if outcome is not None:
            return outcome
        if call.request_id in self.cancelled:
            return CANCELLED
        remaining_s = deadline - time.monotonic()
        if remaining_s <= 0:
            return Outcome.unknown("no response before the deadline")
        self.instance.metrics.count("engine.reconnected")
        assembler = BodyAssembler()
        outcome = await self._stream(
            replace(call, remaining_s=remaining_s),
            EventStream(),
            lambda position, data, tokens: assembler.add(data if tokens else b""),
            resume=True,
        )
        if outcome.failure is not None:
            return Outcome.unknown(outcome.failure.detail)
        on_chunk(0, assembler.build(), 1)
        return Outcome(content_type=JSON_TYPE)

    async def _fetch_whole(self, call: Call, on_chunk: OnChunk) -> Outcome | None:
        path, body = compose_completion(call)
        exchange = Exchange(call.guard)
        idle_timer = IdleTimer(exchange, self.silence_s * UNSTREAMED_SILENCE_FACTOR)
        self.exchanges_by_request[call.request_id] = exchange
        idle_timer.start()
        try:
            response = await self.client.fetch(
                "POST",
                path,
                body=body,
                headers=JSON_HEADERS,
                timeout_s=call.remaining_s,
                exchange=exchange,
            )
        except ConnectError as error:
            return Outcome.refused(str(error))
        except ConnectionLostError:
            return None
        finally:
            idle_timer.stop()
            self.exchanges_by_request.pop(call.request_id, None)
        if response.code != 200:
            return parse_refusal(response.code, response.body)
        on_chunk(0, response.body, 1)
        return Outcome(content_type=response.headers.get("Content-Type", JSON_TYPE))

    async def _stream(
        self, call: Call, stream: EventStream, on_chunk: OnChunk, resume: bool
    ) -> Outcome:
        """Read a stream to its end, resuming on new connections as needed.

        Guards against connections that break or stay idle. The request is
        sent once; resuming by position never makes the engine run it again.
        An idle connection may also mean that the request is queued in the
        engine, so it does not count as a failure but doubles the timeout.
        """
        deadline = time.monotonic() + call.remaining_s
        silence_s = self.silence_s
        failures = 0
        while True:
            position = stream.position
            connection = StreamConnection(
                self, call, stream, on_chunk, deadline, silence_s
            )
            outcome = await connection.run(resume)
            if outcome is not None:
                return outcome
            if call.request_id in self.cancelled:
                return CANCELLED
            if stream.position > position:
                failures, silence_s = 0, self.silence_s
            elif connection.idle_timer.expired:
                silence_s = min(2 * silence_s, MAX_SILENCE_S)
            else:
                failures += 1
            if failures > RESUME_ATTEMPTS or time.monotonic() >= deadline:
                return make_cut_outcome(stream, connection.detail)
            self._count_resume(connection.idle_timer.expired)
            await asyncio.sleep(RESUME_PAUSE_S * 2**failures)
            stream.reset()
            resume = True

    def _count_resume(self, expired: bool) -> None:
        self.instance.metrics.count("engine.reconnected")
        if expired:
            self.instance.metrics.count("engine.silent_stream")

    async def _send_adapter_order(
        self,
        path: str,
        adapter: AdapterRef,
        fence: int,
        timeout_s: float,
        guard: Guard,
    ) -> OrderOutcome:
        started = time.monotonic()
        body: dict[str, object] = {"model": str(adapter)}
        if fence:
            body["fence"] = fence
        try:
            response = await self._post(path, body, timeout_s, guard)
        except ConnectError as error:
            return OrderOutcome(False, detail=str(error))
        except ConnectionLostError as error:
            return OrderOutcome(False, detail=str(error), unconfirmed=True)
        took_s = time.monotonic() - started
        if response.code != 200:
            refusal = parse_body(ErrorBody, response.body) or ErrorBody()
            stale = refusal.fence if refusal.error == STALE_FENCE else 0
            return OrderOutcome(False, took_s, refusal.error, stale)
        answer = parse_body(LoadBody, response.body)
        if answer is not None and answer.took_ms:
            took_s = answer.took_ms / 1000
        return OrderOutcome(True, took_s, fence=fence)

    async def _post(
        self,
        path: str,
        body: dict[str, object],
        timeout_s: float,
        guard: Guard | None = None,
    ) -> HTTPResponse:
        return await self.client.fetch(
            "POST",
            path,
            body=json.dumps(body).encode(),
            headers=JSON_HEADERS,
            timeout_s=timeout_s,
            exchange=Exchange(guard),
        )

    async def _get(self, path: str, timeout_s: float) -> HTTPResponse | None:
        try:
            return await self.client.fetch("GET", path, timeout_s=timeout_s)
        except (ConnectError, ConnectionLostError):
            return None

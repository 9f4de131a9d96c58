"""One HTTP connection that reads part of an engine's stream."""

import json
import time
from typing import Protocol

from tornado.httpclient import HTTPResponse

from fescuekeel.components.engine.const import JSON_HEADERS, PATH_RESUME
from fescuekeel.components.engine.events import END_MARK, EventStream
from fescuekeel.components.engine.model import (
    ErrorBody,
    compose_completion,
    parse_body,
)
from fescuekeel.core import Instance
from fescuekeel.errors import ErrorKind, Failure
from fescuekeel.helpers.driver import Call, OnChunk, Outcome
from fescuekeel.helpers.endpoint_http import (
    ConnectError,
    ConnectionLostError,
    EndpointClient,
    Exchange,
    IdleTimer,
)

__all__ = ["DriverContext", "StreamConnection", "make_cut_outcome", "parse_refusal"]

EVENT_STREAM = "text/event-stream"
NOT_LOADED = "not_loaded"
STALE_FENCE = "stale_fence"
FULL = "full"
# A refusal is a few words.
MAX_REFUSAL_BYTES = 64 * 1024


class DriverContext(Protocol):
    """The parts of the driver that a connection uses."""

    instance: Instance
    client: EndpointClient
    exchanges_by_request: dict[str, Exchange]


class StreamConnection:
    """Read a stream over one HTTP connection."""

    def __init__(
        self,
        driver: DriverContext,
        call: Call,
        stream: EventStream,
        on_chunk: OnChunk,
        deadline: float,
        silence_s: float,
    ) -> None:
        self.driver = driver
        self.call = call
        self.stream = stream
        self.on_chunk = on_chunk
        self.deadline = deadline
        self.exchange = Exchange()
        self.status = 0
        self.refusal = b""
        self.detail = ""
        self.idle_timer = IdleTimer(self.exchange, silence_s)

    async def run(self, resume: bool) -> Outcome | None:
        """Return the outcome, or ``None`` if the stream has to be resumed."""
        request_id = self.call.request_id
        # A resume only reads, so the guard applies to the hand-over alone.
        self.exchange.guard = None if resume else self.call.guard
        self.driver.exchanges_by_request[request_id] = self.exchange
        self.idle_timer.start()
        try:
            response = await self._fetch(resume)
        except ConnectError as error:
            self.detail = str(error)
            return None if resume else Outcome.refused(str(error))
        except ConnectionLostError as error:
            self.detail = str(error)
            return self._finish()
        finally:
            self.idle_timer.stop()
            self.driver.exchanges_by_request.pop(request_id, None)
        if response.code != 200:
            return self._parse_refusal(response.code, resume)
        self.detail = "stream closed before its end mark"
        return self._finish()

    async def _fetch(self, resume: bool) -> HTTPResponse:
        path, body = compose_completion(self.call)
        if resume:
            path = PATH_RESUME
            fields = {
                "request_id": self.call.request_id,
                "position": self.stream.position,
            }
            body = json.dumps(fields).encode()
        return await self.driver.client.fetch(
            "POST",
            path,
            body=body,
            headers=JSON_HEADERS,
            timeout_s=self.deadline - time.monotonic(),
            exchange=self.exchange,
            on_data=self._receive,
            on_header=self._receive_header,
        )

    def _finish(self) -> Outcome | None:
        if self.stream.error:
            return make_cut_outcome(self.stream, self.stream.error)
        return Outcome(content_type=EVENT_STREAM) if self.stream.done else None

    def _parse_refusal(self, status: int, resume: bool) -> Outcome:
        if not resume:
            return parse_refusal(status, self.refusal)
        # The engine rejected the resume, not the request, which may have run.
        return make_cut_outcome(self.stream, f"resume rejected with status {status}")

    def _receive_header(self, line: str) -> None:
        self.idle_timer.reset()
        if line.startswith("HTTP/"):
            self.status = int(line.split(" ", 2)[1])

    def _receive(self, data: bytes) -> None:
        self.idle_timer.reset()
        if self.status != 200:
            self.refusal += data[: MAX_REFUSAL_BYTES - len(self.refusal)]
            return
        if self.stream.done:
            return
        for chunk in self.stream.feed(data):
            self.on_chunk(chunk.position, chunk.data, chunk.tokens)
        if self.stream.done:
            self.on_chunk(self.stream.position, END_MARK, 0)
        if self.stream.done or self.stream.gap:
            self.exchange.close()


def parse_refusal(status: int, content: bytes) -> Outcome:
    """Distinguish explicit rejections ("not run") from other errors."""
    body = parse_body(ErrorBody, content) or ErrorBody()
    if status == 404 and body.error == NOT_LOADED:
        return Outcome.refused(body.error, loaded=False)
    if status == 409 and body.error == STALE_FENCE:
        return Outcome.refused(body.error, stale_fence=body.fence)
    if status == 503 and body.error == FULL:
        return Outcome.refused(body.error)
    return Outcome.unknown(f"status {status} {body.error}".strip())


def make_cut_outcome(stream: EventStream, detail: str) -> Outcome:
    """Return the outcome of a stream that cannot be resumed."""
    if stream.position == 0:
        return Outcome.unknown(detail)
    return Outcome(Failure(ErrorKind.ANSWER_CUT, detail), 502)

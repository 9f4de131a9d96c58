"""One connection's part of an engine's stream."""

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
    BrokenError,
    ConnectError,
    EndpointClient,
    Exchange,
    SilenceWatch,
)

__all__ = ["EngineLink", "StreamLeg", "cut", "read_refusal"]

EVENT_STREAM = "text/event-stream"
NOT_LOADED = "not_loaded"
STALE_FENCE = "stale_fence"
FULL = "full"


class EngineLink(Protocol):
    """What a leg needs of its driver."""

    instance: Instance
    client: EndpointClient
    exchanges_by_request: dict[str, Exchange]


class StreamLeg:
    """Read one connection's part of a stream."""

    def __init__(
        self,
        link: EngineLink,
        call: Call,
        stream: EventStream,
        on_chunk: OnChunk,
        deadline: float,
        silence_s: float,
    ) -> None:
        self.link = link
        self.call = call
        self.stream = stream
        self.on_chunk = on_chunk
        self.deadline = deadline
        self.exchange = Exchange()
        self.status = 0
        self.refusal = b""
        self.detail = ""
        self.watch = SilenceWatch(self.exchange, silence_s)

    async def run(self, resume: bool) -> Outcome | None:
        """Return the outcome, or ``None`` when the stream must be resumed."""
        request_id = self.call.request_id
        # Reading on is no order: only the hand-over itself is guarded.
        self.exchange.guard = None if resume else self.call.guard
        self.link.exchanges_by_request[request_id] = self.exchange
        self.watch.start()
        try:
            response = await self._fetch(resume)
        except ConnectError as error:
            self.detail = str(error)
            return None if resume else Outcome.refused(str(error))
        except BrokenError as error:
            self.detail = str(error)
            return self._finish()
        finally:
            self.watch.stop()
            self.link.exchanges_by_request.pop(request_id, None)
        if response.code != 200:
            return self._read_refusal(response.code, resume)
        self.detail = "the stream ended early"
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
        return await self.link.client.fetch(
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
            return cut(self.stream, self.stream.error)
        return Outcome(content_type=EVENT_STREAM) if self.stream.done else None

    def _read_refusal(self, status: int, resume: bool) -> Outcome:
        if not resume:
            return read_refusal(status, self.refusal)
        # The engine answered a resume, not the request: what it refuses now
        # says nothing about whether the request ran before.
        return cut(self.stream, f"resume refused with {status}")

    def _receive_header(self, line: str) -> None:
        self.watch.hear()
        if line.startswith("HTTP/"):
            self.status = int(line.split(" ", 2)[1])

    def _receive(self, data: bytes) -> None:
        self.watch.hear()
        if self.status != 200:
            self.refusal += data
            return
        if self.stream.done:
            return
        for piece in self.stream.feed(data):
            self.on_chunk(piece.position, piece.data, piece.tokens)
        if self.stream.done:
            self.on_chunk(self.stream.position, END_MARK, 0)
        if self.stream.done or self.stream.gap:
            self.exchange.close()


def read_refusal(status: int, content: bytes) -> Outcome:
    """Tell explicit refusals, which mean "not run", from other errors."""
    body = parse_body(ErrorBody, content) or ErrorBody()
    if status == 404 and body.error == NOT_LOADED:
        return Outcome.refused(body.error, loaded=False)
    if status == 409 and body.error == STALE_FENCE:
        return Outcome.refused(body.error, stale_fence=body.fence)
    if status == 503 and body.error == FULL:
        return Outcome.refused(body.error)
    return Outcome.unknown(f"status {status} {body.error}".strip())


def cut(stream: EventStream, detail: str) -> Outcome:
    """Return the outcome of a stream that can't be taken up again."""
    if stream.position == 0:
        return Outcome.unknown(detail)
    return Outcome(Failure(ErrorKind.ANSWER_CUT, detail), 502)

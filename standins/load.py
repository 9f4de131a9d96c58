"""Send requests as callers do and check the responses."""

import asyncio
import json
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from tornado.httpclient import HTTPError, HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from standins.tokens import expected_text

__all__ = ["Caller", "Result", "SampleRequest", "Verdict"]

MAX_CONNECTIONS = 2000
CONNECT_TIMEOUT_S = 5.0
DONE = "[DONE]"
EVENT_PREFIX = "data: "
INTERRUPTED_KIND = "answer_cut"


class Verdict(StrEnum):
    """The result of a request for its caller."""

    ANSWERED = "answered"
    REFUSED = "refused"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class SampleRequest:
    """A request of the load, identified in the journals by its ``marker``.

    ``model`` is the requested model and ``served_by`` the adapter and version
    that must serve it; both are empty for a plain service. ``due_s`` is the
    time of sending, in seconds from the start.
    """

    marker: str
    shop: str
    service: str
    token: str
    due_s: float
    timeout_s: float
    repeatable: bool
    model: str = ""
    served_by: str = ""
    prompt: str = ""
    max_tokens: int = 0
    stream: bool = False
    method: str = "POST"
    path: str = "/v1/completions"
    key: str = ""

    @property
    def body(self) -> str | None:
        """Return the request body."""
        if self.model:
            completion = {
                "model": self.model,
                "prompt": self.prompt,
                "max_tokens": self.max_tokens,
                "stream": self.stream,
            }
            return json.dumps(completion)
        if self.method == "GET":
            return None
        return json.dumps({"marker": self.marker})


@dataclass(slots=True)
class Result:
    """Result of a request.

    ``kind`` and ``ran`` are fields of the error; ``detail`` says why the
    request counts as lost.
    """

    request: SampleRequest
    verdict: Verdict = Verdict.LOST
    kind: str = ""
    ran: str = ""
    detail: str = ""
    duration_s: float = 0.0
    first_chunk_s: float | None = None
    stall_s: float | None = None
    queue_s: float | None = None


@dataclass(slots=True)
class ReceivedBody:
    """Collect the chunks of a response body and time the first."""

    started_at: float = field(default_factory=time.monotonic)
    first_at: float | None = None
    chunks: list[bytes] = field(default_factory=list)

    def add_chunk(self, chunk: bytes) -> None:
        """Append a chunk, and record the time of the first one."""
        if self.first_at is None:
            self.first_at = time.monotonic()
        self.chunks.append(chunk)

    @property
    def body(self) -> bytes:
        """Return the body received so far."""
        return b"".join(self.chunks)


class Caller:
    """Send requests to the instances in turn."""

    def __init__(self, addresses: Sequence[str]) -> None:
        self.addresses = addresses
        self.sent = 0
        self.ended = 0
        self.http = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CONNECTIONS
        )

    async def run(self, requests: Sequence[SampleRequest]) -> list[Result]:
        """Send each request when it is due; return all results."""
        started_at = time.monotonic()
        work = (self._send_when_due(request, started_at) for request in requests)
        return list(await asyncio.gather(*work))

    async def _send_when_due(self, request: SampleRequest, started_at: float) -> Result:
        await asyncio.sleep(max(0.0, started_at + request.due_s - time.monotonic()))
        return await self.send(request)

    async def send(self, request: SampleRequest, address: str = "") -> Result:
        """Send a request and check its response."""
        address = address or self.addresses[self.sent % len(self.addresses)]
        self.sent += 1
        result = Result(request)
        received = ReceivedBody()
        try:
            response = await self.http.fetch(
                self._make_request(request, address, received), raise_error=False
            )
            _read_wait_headers(result, response.headers)
            _check_response(result, response.code, received.body)
        except (HTTPError, OSError, ValueError, KeyError, TypeError) as error:
            result.verdict = Verdict.LOST
            result.detail = f"no final answer: {error!r}"
        result.duration_s = time.monotonic() - received.started_at
        if request.stream and received.first_at is not None:
            result.first_chunk_s = received.first_at - received.started_at
        self.ended += 1
        return result

    def _make_request(
        self, request: SampleRequest, address: str, received: ReceivedBody
    ) -> HTTPRequest:
        headers = {
            "Authorization": f"Bearer {request.token}",
            "Content-Type": "application/json",
            "X-Request-Id": request.marker,
        }
        if request.key:
            headers["Idempotency-Key"] = request.key
        return HTTPRequest(
            f"http://{address}{request.path}",
            method=request.method,
            headers=headers,
            body=request.body,
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=request.timeout_s,
            # Following a redirect would send the request twice.
            follow_redirects=False,
            streaming_callback=received.add_chunk,
        )


def _read_wait_headers(result: Result, headers: Any) -> None:
    if "X-Stall-Ms" in headers:
        result.stall_s = float(headers["X-Stall-Ms"]) / 1000
    if "X-Queue-Ms" in headers:
        result.queue_s = float(headers["X-Queue-Ms"]) / 1000


def _check_response(result: Result, status: int, body: bytes) -> None:
    request = result.request
    if status != 200:
        _record_error(result, json.loads(body))
        return
    if not request.model:
        _check_plain(result, json.loads(body))
    elif request.stream:
        _check_stream(result, body.decode("utf-8"))
    else:
        _check_completion(result, json.loads(body))


def _record_error(result: Result, body: dict[str, Any]) -> None:
    error = body["error"]
    result.verdict = Verdict.REFUSED
    result.kind, result.ran = str(error["kind"]), str(error["ran"])
    if result.kind == INTERRUPTED_KIND:
        result.verdict = Verdict.LOST
        result.detail = "the answer was cut"


def _set_verdict(result: Result, fault: str) -> None:
    result.detail = fault
    result.verdict = Verdict.LOST if fault else Verdict.ANSWERED


def _check_plain(result: Result, body: dict[str, Any]) -> None:
    request = result.request
    echo = body["path"] + body["body"]
    _set_verdict(result, "" if request.marker in echo else "another request's answer")


def _check_completion(result: Result, body: dict[str, Any]) -> None:
    _set_verdict(
        result,
        _find_mismatch(result.request, body["model"], body["choices"][0]["text"]),
    )


def _check_stream(result: Result, text: str) -> None:
    if text and not text.endswith("\n\n"):
        _set_verdict(result, "the stream ends within an event")
        return
    events = [event.removeprefix(EVENT_PREFIX) for event in text.split("\n\n") if event]
    parsed = [json.loads(event) for event in events if event != DONE]
    errors = [event for event in parsed if "error" in event]
    if errors:
        _record_error(result, errors[0])
        return
    if not events or events[-1] != DONE:
        _set_verdict(result, "the stream has no end")
        return
    positions = [event["position"] for event in parsed]
    if positions != list(range(len(positions))):
        _set_verdict(result, f"positions {positions}")
        return
    models = {event["model"] for event in parsed}
    whole = "".join(event["choices"][0]["text"] for event in parsed)
    _set_verdict(
        result, _find_mismatch(result.request, " ".join(sorted(models)), whole)
    )


def _find_mismatch(request: SampleRequest, model: str, text: str) -> str:
    if model != request.served_by:
        return f"answered by {model}, not {request.served_by}"
    if text != expected_text(request.served_by, request.prompt, request.max_tokens):
        return f"wrong text of {len(text.split())} tokens for {request.max_tokens}"
    return ""

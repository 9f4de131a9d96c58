"""Send requests as callers do and check what comes back."""

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
KIND_CUT = "answer_cut"


class Verdict(StrEnum):
    """Name what a caller got."""

    ANSWERED = "answered"
    REFUSED = "refused"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class SampleRequest:
    """One request of the load; ``marker`` is found again in the journals.

    ``model`` is what the request asks for and ``runs_on`` the adapter with
    its version that must answer; both are empty for a plain service.
    ``due_s`` is when it is sent, in seconds from the start.
    """

    marker: str
    shop: str
    service: str
    token: str
    due_s: float
    timeout_s: float
    repeatable: bool
    model: str = ""
    runs_on: str = ""
    prompt: str = ""
    max_tokens: int = 0
    stream: bool = False
    method: str = "POST"
    path: str = "/v1/completions"
    key: str = ""

    @property
    def body(self) -> str | None:
        """Return the body to send."""
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
    """What came of one request; times in seconds.

    ``kind`` and ``ran`` are those of a refusal, ``detail`` says what is wrong
    with an answer.
    """

    request: SampleRequest
    verdict: Verdict = Verdict.LOST
    kind: str = ""
    ran: str = ""
    detail: str = ""
    took_s: float = 0.0
    first_s: float | None = None
    stall_s: float | None = None
    queue_s: float | None = None


@dataclass(slots=True)
class Arrival:
    """Collect the pieces of one answer."""

    started: float = field(default_factory=time.monotonic)
    first: float | None = None
    pieces: list[bytes] = field(default_factory=list)

    def take(self, piece: bytes) -> None:
        """Keep a piece and note when the first one came."""
        if self.first is None:
            self.first = time.monotonic()
        self.pieces.append(piece)

    @property
    def body(self) -> bytes:
        """Return all that came."""
        return b"".join(self.pieces)


class Caller:
    """Send requests to the entry instances in turn."""

    def __init__(self, addresses: Sequence[str]) -> None:
        self.addresses = addresses
        self.sent = 0
        self.ended = 0
        self.http = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CONNECTIONS
        )

    async def run(self, requests: Sequence[SampleRequest]) -> list[Result]:
        """Send each request when it is due; return all results."""
        start = time.monotonic()
        work = (self._send_when_due(request, start) for request in requests)
        return list(await asyncio.gather(*work))

    async def _send_when_due(self, request: SampleRequest, start: float) -> Result:
        await asyncio.sleep(max(0.0, start + request.due_s - time.monotonic()))
        return await self.send(request)

    async def send(self, request: SampleRequest, address: str = "") -> Result:
        """Send one request and judge its answer by itself."""
        address = address or self.addresses[self.sent % len(self.addresses)]
        self.sent += 1
        result = Result(request)
        arrival = Arrival()
        try:
            response = await self.http.fetch(
                self._compose(request, address, arrival), raise_error=False
            )
            _read_waits(result, response.headers)
            _judge(result, response.code, arrival.body)
        except (HTTPError, OSError, ValueError, KeyError, TypeError) as error:
            result.verdict = Verdict.LOST
            result.detail = f"no final answer: {error!r}"
        result.took_s = time.monotonic() - arrival.started
        if request.stream and arrival.first is not None:
            result.first_s = arrival.first - arrival.started
        self.ended += 1
        return result

    def _compose(
        self, request: SampleRequest, address: str, arrival: Arrival
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
            # A redirect that is followed would send the request twice.
            follow_redirects=False,
            streaming_callback=arrival.take,
        )


def _read_waits(result: Result, headers: Any) -> None:
    if "X-Stall-Ms" in headers:
        result.stall_s = float(headers["X-Stall-Ms"]) / 1000
    if "X-Queue-Ms" in headers:
        result.queue_s = float(headers["X-Queue-Ms"]) / 1000


def _judge(result: Result, status: int, body: bytes) -> None:
    request = result.request
    if status != 200:
        _take_error(result, json.loads(body))
        return
    if not request.model:
        _judge_plain(result, json.loads(body))
    elif request.stream:
        _judge_stream(result, body.decode("utf-8"))
    else:
        _judge_whole(result, json.loads(body))


def _take_error(result: Result, body: dict[str, Any]) -> None:
    error = body["error"]
    result.verdict = Verdict.REFUSED
    result.kind, result.ran = str(error["kind"]), str(error["ran"])
    if result.kind == KIND_CUT:
        result.verdict = Verdict.LOST
        result.detail = "the answer was cut"


def _settle(result: Result, wrong: str) -> None:
    result.detail = wrong
    result.verdict = Verdict.LOST if wrong else Verdict.ANSWERED


def _judge_plain(result: Result, body: dict[str, Any]) -> None:
    request = result.request
    seen = body["path"] + body["body"]
    _settle(result, "" if request.marker in seen else "another request's answer")


def _judge_whole(result: Result, body: dict[str, Any]) -> None:
    _settle(result, _compare(result.request, body["model"], body["choices"][0]["text"]))


def _judge_stream(result: Result, text: str) -> None:
    if text and not text.endswith("\n\n"):
        _settle(result, "the stream ends within an event")
        return
    events = [event.removeprefix(EVENT_PREFIX) for event in text.split("\n\n") if event]
    parsed = [json.loads(event) for event in events if event != DONE]
    errors = [event for event in parsed if "error" in event]
    if errors:
        _take_error(result, errors[0])
        return
    if not events or events[-1] != DONE:
        _settle(result, "the stream has no end")
        return
    positions = [event["position"] for event in parsed]
    if positions != list(range(len(positions))):
        _settle(result, f"positions {positions}")
        return
    models = {event["model"] for event in parsed}
    whole = "".join(event["choices"][0]["text"] for event in parsed)
    _settle(result, _compare(result.request, " ".join(sorted(models)), whole))


def _compare(request: SampleRequest, model: str, text: str) -> str:
    if model != request.runs_on:
        return f"answered by {model}, not {request.runs_on}"
    if text != expected_text(request.runs_on, request.prompt, request.max_tokens):
        return f"wrong text of {len(text.split())} tokens for {request.max_tokens}"
    return ""

"""HTTP interface of the stand-in engine."""

import json
import time
from typing import Any

from tornado.httpclient import HTTPError
from tornado.iostream import StreamClosedError
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from standins.engine import Engine, Fetcher, RejectedError
from standins.engine_state import EngineRequest, EngineSettings, Outcome
from standins.server import Server, StandInHandler

__all__ = ["start_engine"]

FETCH_TIMEOUT_S = 3600.0
MAX_FETCHES = 1000
DEFAULT_MAX_TOKENS = 16


class OrderHandler(StandInHandler):
    """Check the fencing token, execute the order and report rejections."""

    standin: Engine

    async def post(self) -> None:
        """Execute the order unless its fencing token is stale."""
        body = self.read_json()
        boot_id = self.standin.boot_id
        try:
            self.standin.check_fence(body.get("fence"))
            await self.execute(body)
        except RejectedError as rejection:
            if self.standin.boot_id != boot_id:
                self.drop_connection()
                return
            await self.respond(rejection.status, rejection.body)

    async def execute(self, body: dict[str, Any]) -> None:
        """Execute the order."""
        raise NotImplementedError

    async def stream_tokens(self, request: EngineRequest, position: int) -> None:
        """Stream the events of a request, starting at a position."""
        self.set_header("Content-Type", "text/event-stream")
        # Sends each token at its step instead of waiting for the previous
        # one to be acknowledged (Nagle's algorithm), as engines do.
        self.stream.set_nodelay(True)
        limit = self._take_token_limit()
        sent = 0
        try:
            while True:
                # Taken before the tokens are read, so that a token added in
                # between sets this event and the wait below returns at once.
                changed = request.changed
                while position < len(request.tokens):
                    if self.is_unresponsive or (limit is not None and sent >= limit):
                        await self.hold_unanswered()
                        return
                    self.write(format_event(request, position))
                    position += 1
                    sent += 1
                    await self.flush()
                if request.outcome:
                    await self._end_stream(request)
                    return
                await changed.wait()
        except StreamClosedError:
            return

    def _take_token_limit(self) -> int | None:
        settings = self.standin.settings
        if settings.silent_streams <= 0:
            return None
        settings.silent_streams -= 1
        return settings.silent_after

    async def _end_stream(self, request: EngineRequest) -> None:
        if request.outcome is Outcome.RESTARTED:
            self.drop_connection()
            return
        if self.is_unresponsive:
            await self.hold_unanswered()
            return
        if request.outcome is not Outcome.FINISHED:
            self.write(f'data: {{"error": "{request.outcome.value}"}}\n\n')
            await self.finish()
            return
        self.write("data: [DONE]\n\n")
        await self.finish()


def format_event(request: EngineRequest, position: int) -> str:
    """Return the server-sent event of one token."""
    is_last = position + 1 == request.max_tokens
    choice = {
        "text": request.tokens[position],
        "index": 0,
        "finish_reason": "length" if is_last else None,
    }
    event = {
        "id": request.request_id,
        "model": request.model,
        "choices": [choice],
        "position": position,
    }
    return f"data: {json.dumps(event)}\n\n"


class CompletionsHandler(OrderHandler):
    """Run a request."""

    async def execute(self, body: dict[str, Any]) -> None:
        """Queue the request and respond, streamed or as one body."""
        request = self.standin.submit(
            str(body.get("request_id", "")),
            str(body.get("model", "")),
            str(body.get("prompt", "")),
            int(body.get("max_tokens") or DEFAULT_MAX_TOKENS),
            int(body.get("priority", 0)),
        )
        if body.get("stream"):
            await self.stream_tokens(request, 0)
            return
        while not request.outcome:
            await request.changed.wait()
        await self._send_completion(request)

    async def _send_completion(self, request: EngineRequest) -> None:
        if request.outcome is Outcome.RESTARTED:
            self.drop_connection()
            return
        if request.outcome is not Outcome.FINISHED:
            await self.respond(500, {"error": request.outcome.value})
            return
        choice = {
            "text": "".join(request.tokens),
            "index": 0,
            "finish_reason": "length",
        }
        completion = {
            "id": request.request_id,
            "model": request.model,
            "choices": [choice],
            "usage": {"completion_tokens": len(request.tokens)},
        }
        await self.respond(200, completion)


class ResumeHandler(OrderHandler):
    """Resume a stream at a position."""

    async def execute(self, body: dict[str, Any]) -> None:
        """Find the request and stream it."""
        request = self.standin.find(str(body.get("request_id", "")))
        await self.stream_tokens(request, int(body.get("position", 0)))


class CancelHandler(OrderHandler):
    """Cancel a request."""

    async def execute(self, body: dict[str, Any]) -> None:
        """Cancel the request; respond with whether it was unfinished."""
        cancelled = self.standin.cancel(str(body.get("request_id", "")))
        await self.respond(200, {"cancelled": cancelled})


class LoadHandler(OrderHandler):
    """Load an adapter."""

    async def execute(self, body: dict[str, Any]) -> None:
        """Respond when the adapter is loaded."""
        self.standin.record_order("load", body)
        took_ms = await self.standin.load(str(body.get("model", "")))
        await self.respond(200, {"took_ms": took_ms})


class UnloadHandler(OrderHandler):
    """Evict an adapter."""

    async def execute(self, body: dict[str, Any]) -> None:
        """Evict the adapter, even if requests are using it."""
        self.standin.record_order("unload", body)
        self.standin.unload(str(body.get("model", "")))
        await self.respond(200, {})


class ReportHandler(StandInHandler):
    """Show the load report."""

    async def get(self) -> None:
        """Respond with the report."""
        await self.respond(200, self.standin.report())


class CacheEventsHandler(StandInHandler):
    """Show cache events."""

    async def get(self) -> None:
        """Respond with the events from a number on."""
        since = int(self.get_argument("since", "0"))
        engine: Engine = self.standin
        await self.respond(200, engine.cache.list_events_since(since, time.monotonic()))


ROUTES = [
    ("/v1/completions", CompletionsHandler),
    ("/v1/resume", ResumeHandler),
    ("/v1/cancel", CancelHandler),
    ("/v1/load_lora_adapter", LoadHandler),
    ("/v1/unload_lora_adapter", UnloadHandler),
    ("/v1/report", ReportHandler),
    ("/v1/cache_events", CacheEventsHandler),
]


def make_fetcher(store_url: str) -> Fetcher:
    """Return a function that fetches weights from the store over HTTP."""
    client = SimpleAsyncHTTPClient(force_instance=True, max_clients=MAX_FETCHES)

    async def fetch(model: str) -> bool:
        try:
            await client.fetch(
                f"{store_url}/fetch",
                method="POST",
                body=json.dumps({"model": model}),
                request_timeout=FETCH_TIMEOUT_S,
                follow_redirects=False,
            )
        except (HTTPError, OSError):
            return False
        return True

    return fetch


async def start_engine(
    settings: EngineSettings | None = None, store_url: str = ""
) -> tuple[Engine, Server]:
    """Start an engine on a free port.

    Without a weight store, loads take ``settings.load_s`` only.
    """
    fetch = make_fetcher(store_url) if store_url else None
    engine = Engine(settings or EngineSettings(), fetch)
    engine.start()
    return engine, Server(engine, ROUTES)

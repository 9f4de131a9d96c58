"""The HTTP interface of a stand-in engine."""

import json
import time
from typing import Any

from tornado.httpclient import HTTPError
from tornado.iostream import StreamClosedError
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from standins.engine import Engine, Fetcher, RefusedError
from standins.engine_state import EngineRequest, EngineSettings, Outcome
from standins.server import Server, StandInHandler

__all__ = ["start_engine"]

FETCH_TIMEOUT_S = 3600.0
MAX_FETCHES = 1000
DEFAULT_MAX_TOKENS = 16


class OrderHandler(StandInHandler):
    """Check the fence, carry out one order, answer refusals."""

    standin: Engine

    async def post(self) -> None:
        """Carry out the order unless its fence is stale."""
        body = self.read_json()
        boot_id = self.standin.boot_id
        try:
            self.standin.check_fence(body.get("fence"))
            await self.carry_out(body)
        except RefusedError as refused:
            if self.standin.boot_id != boot_id:
                self.break_off()
                return
            await self.answer(refused.status, refused.body)

    async def carry_out(self, body: dict[str, Any]) -> None:
        """Carry out the order."""
        raise NotImplementedError

    async def stream_tokens(self, request: EngineRequest, position: int) -> None:
        """Send the events of one request from a position on."""
        self.set_header("Content-Type", "text/event-stream")
        # As engines do: each token goes out at its step, instead of waiting
        # for the acknowledgement of the one before.
        self.stream.set_nodelay(True)
        limit = self._take_silence()
        sent = 0
        try:
            while True:
                # Taken before the tokens are read: a token that comes between
                # the two sets this event, and the wait below ends at once.
                changed = request.changed
                while position < len(request.tokens):
                    if self.is_silent or (limit is not None and sent >= limit):
                        await self.stay_silent()
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

    def _take_silence(self) -> int | None:
        settings = self.standin.settings
        if settings.silent_streams <= 0:
            return None
        settings.silent_streams -= 1
        return settings.silent_after

    async def _end_stream(self, request: EngineRequest) -> None:
        if request.outcome is Outcome.RESTARTED:
            self.break_off()
            return
        if self.is_silent:
            await self.stay_silent()
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

    async def carry_out(self, body: dict[str, Any]) -> None:
        """Queue the request and answer, streamed or whole."""
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
        await self._answer_whole(request)

    async def _answer_whole(self, request: EngineRequest) -> None:
        if request.outcome is Outcome.RESTARTED:
            self.break_off()
            return
        if request.outcome is not Outcome.FINISHED:
            await self.answer(500, {"error": request.outcome.value})
            return
        choice = {
            "text": "".join(request.tokens),
            "index": 0,
            "finish_reason": "length",
        }
        whole = {
            "id": request.request_id,
            "model": request.model,
            "choices": [choice],
            "usage": {"completion_tokens": len(request.tokens)},
        }
        await self.answer(200, whole)


class ResumeHandler(OrderHandler):
    """Send a stream again from a position on."""

    async def carry_out(self, body: dict[str, Any]) -> None:
        """Find the request and stream it."""
        request = self.standin.find(str(body.get("request_id", "")))
        await self.stream_tokens(request, int(body.get("position", 0)))


class CancelHandler(OrderHandler):
    """Stop a request."""

    async def carry_out(self, body: dict[str, Any]) -> None:
        """Cancel and tell whether there was anything to cancel."""
        cancelled = self.standin.cancel(str(body.get("request_id", "")))
        await self.answer(200, {"cancelled": cancelled})


class LoadHandler(OrderHandler):
    """Load an adapter."""

    async def carry_out(self, body: dict[str, Any]) -> None:
        """Answer when the adapter is loaded."""
        self.standin.note_order("load", body)
        took_ms = await self.standin.load(str(body.get("model", "")))
        await self.answer(200, {"took_ms": took_ms})


class UnloadHandler(OrderHandler):
    """Drop an adapter."""

    async def carry_out(self, body: dict[str, Any]) -> None:
        """Obey, also when the adapter serves."""
        self.standin.note_order("unload", body)
        self.standin.unload(str(body.get("model", "")))
        await self.answer(200, {})


class ReportHandler(StandInHandler):
    """Show the load report."""

    async def get(self) -> None:
        """Answer with the report."""
        await self.answer(200, self.standin.report())


class CacheEventsHandler(StandInHandler):
    """Show cache events."""

    async def get(self) -> None:
        """Answer with the events since a number."""
        since = int(self.get_argument("since", "0"))
        engine: Engine = self.standin
        await self.answer(200, engine.cache.since(since, time.monotonic()))


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

    Without a weight store a load takes ``settings.load_s`` only.
    """
    fetch = make_fetcher(store_url) if store_url else None
    engine = Engine(settings or EngineSettings(), fetch)
    engine.start()
    return engine, Server(engine, ROUTES)

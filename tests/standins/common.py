"""Helpers for the tests of the stand-ins."""

import asyncio
import json
from collections.abc import Callable, Coroutine
from typing import Any

from tornado.httpclient import HTTPError
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from standins.server import Server

TIMEOUT_S = 20.0
NO_RESPONSE = 599


def run(work: Coroutine[Any, Any, None]) -> None:
    """Run a test with a time limit."""
    asyncio.run(asyncio.wait_for(work, TIMEOUT_S))


async def until(condition: Callable[[], object]) -> None:
    """Poll until a condition holds."""
    while True:
        if condition():
            return
        await asyncio.sleep(0.001)


class Client:
    """Call one stand-in."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.http = SimpleAsyncHTTPClient(force_instance=True, max_clients=100)

    async def post(self, path: str, **body: Any) -> tuple[int, dict[str, Any]]:
        return await self.call("POST", path, json.dumps(body))

    async def get(self, path: str) -> tuple[int, dict[str, Any]]:
        return await self.call("GET", path, None)

    async def call(
        self, method: str, path: str, body: str | None, **options: Any
    ) -> tuple[int, dict[str, Any]]:
        url = self.server.url + path
        try:
            response = await self.http.fetch(
                url, method=method, body=body, raise_error=False, **options
            )
        except (HTTPError, OSError):
            return NO_RESPONSE, {}
        return response.code, json.loads(response.body or b"{}")

    async def stream(self, path: str, **body: Any) -> list[dict[str, Any]]:
        response = await self.http.fetch(
            self.server.url + path, method="POST", body=json.dumps(body)
        )
        return parse_events(response.body)


def parse_events(body: bytes) -> list[dict[str, Any]]:
    lines = [line[6:] for line in body.decode().split("\n\n") if line]
    assert lines[-1] == "[DONE]"
    return [json.loads(line) for line in lines[:-1]]

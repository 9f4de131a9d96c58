"""Tests of the caller of the path measurement."""

import asyncio

import pytest

from bench.path.client import Caller, make_body
from standins.engine_http import start_engine


async def request_completions(stream, tokens):
    engine, server = await start_engine()
    engine.control({"loaded": ["a@1"]})
    caller = Caller(server.address)
    await caller.open()
    try:
        bodies = [make_body("a@1", prompt, tokens, stream) for prompt in ("x", "y")]
        return [await caller.complete(body) for body in bodies]
    finally:
        caller.close()
        engine.stop()
        await server.stop()


class TestCaller:
    @pytest.mark.parametrize("tokens", [1, 5])
    def test_every_streamed_token_has_an_arrival_time(self, tokens):
        for response in asyncio.run(request_completions(True, tokens)):
            assert response.status == 200
            assert len(response.arrivals) == tokens
            assert response.started_at <= response.arrivals[0] <= response.ended_at
            assert len(response.gaps_s) == tokens - 1

    def test_whole_response_is_read_to_its_content_length(self):
        for response in asyncio.run(request_completions(False, 3)):
            assert response.body.endswith(b"}")
            assert response.arrivals == []

    def test_truncated_response_raises(self):
        """A truncated response must not be counted as a fast one."""

        async def run():
            engine, server = await start_engine()
            engine.control({"loaded": ["a@1"]})
            caller = Caller(server.address)
            await caller.open()
            asyncio.get_running_loop().call_later(0.1, engine.restart)
            try:
                await caller.complete(make_body("a@1", "x", 10_000, True))
            finally:
                engine.stop()
                await server.stop()

        with pytest.raises(ConnectionError):
            asyncio.run(run())

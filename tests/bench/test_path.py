"""Tests of the caller that the bench of the path measures with."""

import asyncio

import pytest

from bench.path.client import Caller, make_body
from standins.engine_http import start_engine


async def ask_engine(stream, tokens):
    engine, server = await start_engine()
    engine.control({"loaded": ["a@1"]})
    caller = Caller(server.address)
    await caller.open()
    try:
        bodies = [make_body("a@1", text, tokens, stream) for text in ("x", "y")]
        return [await caller.ask(body) for body in bodies]
    finally:
        caller.close()
        engine.stop()
        await server.stop()


class TestCaller:
    @pytest.mark.parametrize("tokens", [1, 5])
    def test_each_token_of_a_stream_is_timed(self, tokens):
        for answer in asyncio.run(ask_engine(True, tokens)):
            assert answer.status == 200
            assert len(answer.arrivals) == tokens
            assert answer.began <= answer.arrivals[0] <= answer.ended
            assert len(answer.gaps_s) == tokens - 1

    def test_a_whole_answer_ends_with_its_length(self):
        for answer in asyncio.run(ask_engine(False, 3)):
            assert answer.body.endswith(b"}")
            assert answer.arrivals == []

    def test_an_answer_that_breaks_off_is_no_answer(self):
        """An engine restarts while the bench counts its tokens.

        Its half answer would count as a fast one.
        """

        async def run():
            engine, server = await start_engine()
            engine.control({"loaded": ["a@1"]})
            caller = Caller(server.address)
            await caller.open()
            asyncio.get_running_loop().call_later(0.1, engine.restart)
            try:
                await caller.ask(make_body("a@1", "x", 10_000, True))
            finally:
                engine.stop()
                await server.stop()

        with pytest.raises(ConnectionError):
            asyncio.run(run())

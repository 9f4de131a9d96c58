"""Tests of writing answers to callers that read slowly."""

import asyncio

import pytest

from fescuekeel.components.forward.caller import CallerGoneError
from tests.components.forward.slow_caller import LAST_CHUNK, open_slow_caller

SLOW_S = 2.5
PATIENCE_S = 20


def run(work):
    asyncio.run(asyncio.wait_for(work(), PATIENCE_S))


class TestSlowCaller:
    # Guards against an answer that is cut as its caller reads slowly.
    def test_whole_answer_is_written_before_the_connection_closes(self, instance):
        async def work():
            async with open_slow_caller(instance, True) as (caller, raw):
                await asyncio.sleep(SLOW_S)
                assert (await caller.read_rest(raw)).endswith(LAST_CHUNK)
                await caller.answering

        run(work)

    # Guards against a connection that stays open for as long as its caller
    # likes, although all that it gets is written.
    def test_caller_that_never_reads_counts_as_gone(self, instance, monkeypatch):
        module = "fescuekeel.components.forward.caller"
        monkeypatch.setattr(f"{module}.MAX_FLUSH_S", 0.2)

        async def work():
            async with open_slow_caller(instance, True) as (caller, _):
                with pytest.raises(CallerGoneError):
                    await caller.answering

        run(work)


class TestWriting:
    # Guards against closing a connection whose answer was made before a
    # shutdown, but is not written yet.
    def test_server_is_writing_until_the_caller_has_read(self, instance):
        async def work():
            async with open_slow_caller(instance, False) as (caller, raw):
                await caller.answering
                assert caller.server.is_writing
                assert (await caller.read_rest(raw)).endswith(LAST_CHUNK)
                assert not caller.server.is_writing

        run(work)

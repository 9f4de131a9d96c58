"""Tests of reading answers that are not passed on."""

import asyncio
from types import SimpleNamespace

import pytest

from fescuekeel.components.endpoints import EndpointLoad
from fescuekeel.components.forward.attempt import Attempt
from fescuekeel.components.forward.const import MAX_KEPT_ANSWER_BYTES
from fescuekeel.components.forward.exchange import Exchange
from fescuekeel.core import Instance
from fescuekeel.helpers.dialect import ResponseMetadata
from fescuekeel.helpers.http_connection import BodyChunk, ResponseHead
from tests.common import make_settings

CHUNK = b"x" * 4096
RESPONSE = ResponseMetadata(not_run=True, signed=True, request_id="r1")
MAX_CHUNKS = MAX_KEPT_ANSWER_BYTES // len(CHUNK) + 1


class EndlessConnection:
    """A connection whose answer never ends."""

    chunks = 0

    async def read_chunk(self):
        self.chunks += 1
        assert self.chunks <= MAX_CHUNKS
        return BodyChunk(CHUNK)


def make_exchange():
    """Return the exchange of a request that may be retried."""
    load = EndpointLoad()
    forwarder = SimpleNamespace(
        instance=Instance(make_settings()), get_load=lambda endpoint: load
    )
    request = SimpleNamespace(
        forwarder=forwarder,
        failover=SimpleNamespace(end_search=lambda: None),
        state=SimpleNamespace(answer_started=False),
        failed_answer=None,
    )
    return Exchange(request, Attempt("e1", 0.0, 0, 0), None)


class TestAnswerWithoutEnd:
    # Guards against a retry that waits for the end of an endless answer, while
    # the instance reads it at full speed.
    @pytest.mark.parametrize("is_rejection", [True, False])
    def test_is_read_up_to_a_bound(self, is_rejection):
        async def work():
            exchange, connection = make_exchange(), EndlessConnection()
            if is_rejection:
                await exchange._drain(connection, RESPONSE)
            else:
                head = ResponseHead(500, ())
                await exchange._keep_failed(connection, head, RESPONSE)
            assert exchange.request.failed_answer is None
            assert connection.chunks == MAX_CHUNKS

        asyncio.run(work())

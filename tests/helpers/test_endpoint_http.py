"""Tests of calls to endpoints of the completions interface."""

import asyncio
import time

import pytest

from fescuekeel.helpers.endpoint_http import (
    MAX_ANSWER_BYTES,
    ConnectionLostError,
    EndpointClient,
)
from tests.helpers.test_endless_responses import ENDLESS, EndlessServer

TIMEOUT_S = 8.0
# The kernel's buffers on both sides take some of what the server has sent.
MAX_SENT_BYTES = 3 * MAX_ANSWER_BYTES
REPEATED = 64


async def call_endless(beginning, repeated, on_data=None):
    """Return how long a call takes until it is given up, and what was sent."""
    async with EndlessServer(beginning, repeated * REPEATED) as server:
        client = EndpointClient(server.address)
        began_at = time.monotonic()
        with pytest.raises(ConnectionLostError):
            await client.fetch("GET", "/", timeout_s=TIMEOUT_S, on_data=on_data)
        client.close()
        return time.monotonic() - began_at, server.sent_bytes


@pytest.mark.parametrize("kind", ENDLESS)
class TestEndlessResponses:
    # Guards against an endpoint whose bytes without end are kept until the
    # instance has no memory left.
    def test_it_is_given_up_before_the_timeout(self, kind):
        async def work():
            took_s, sent_bytes = await call_endless(*ENDLESS[kind])
            assert took_s < TIMEOUT_S / 2
            assert sent_bytes < MAX_SENT_BYTES

        asyncio.run(asyncio.wait_for(work(), 20))


class TestEndlessStream:
    # Guards against a stream that is passed on without end.
    def test_what_is_passed_on_is_bounded(self):
        async def work():
            parts = []
            _, sent_bytes = await call_endless(*ENDLESS["body in chunks"], parts.append)
            assert sum(map(len, parts)) <= MAX_ANSWER_BYTES
            assert sent_bytes < MAX_SENT_BYTES

        asyncio.run(asyncio.wait_for(work(), 20))

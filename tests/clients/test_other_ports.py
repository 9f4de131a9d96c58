"""Clients of the completions interface, and of the other ports."""

import asyncio

import pytest

from tests.clients.crowd import Crowd, chunk_body, make_head
from tests.clients.daemon import MIB, open_completions, open_forwarding
from tests.clients.test_forwarding_port import END, HELD_S, SENT_TIMEOUT_S, repeat

COMPLETIONS = "/v1/completions"
CHUNKED = "Transfer-Encoding: chunked"


def announce(path, body_bytes):
    return make_head(path, "any", f"Content-Length: {body_bytes}") + END


def chunked(path):
    return make_head(path, "any", CHUNKED) + END


COMPLETIONS_FORMS = {
    "bodies without their last byte": (
        150,
        [announce(COMPLETIONS, MIB), *repeat(b"x" * 65536, 15), b"x" * 65535],
    ),
    "chunks of one byte": (
        40,
        [chunked(COMPLETIONS), *repeat(chunk_body(32 * 1024, 1), 8)],
    ),
    "heads without an end": (
        800,
        [make_head(COMPLETIONS, "any"), *repeat(b"X-A: " + b"y" * 990 + b"\r\n", 15)],
    ),
    "nothing": (600, []),
}
OPERATORS_FORMS = {
    "bodies without their last byte": (
        800,
        [announce("/drain", 16 * 1024), b"x" * (16 * 1024 - 1)],
    ),
    "nothing": (600, []),
}
READY_FORMS = {
    "bodies without their last byte": (
        40,
        [announce("/readyz", 4 * MIB), *repeat(b"x" * 65536, 63), b"x" * 65535],
    ),
    "nothing": (600, []),
}
PEERS_FORMS = {
    "nothing": (600, []),
    "bytes that are no frame": (100, repeat(b"x" * 65536, 64)),
}


async def play(victim, address, size, pieces):
    """Let a crowd come, stay and leave, and check the process."""
    crowd = Crowd(address, size)
    crowd.begin(pieces)
    try:
        await crowd.wait_until_sent(SENT_TIMEOUT_S)
        await asyncio.sleep(HELD_S)
        await victim.check()
    finally:
        await crowd.leave()
    await victim.check_gone()
    await victim.check_served()
    await victim.check()


class TestCompletions:
    # Guards against clients without a token that exhaust an instance.
    @pytest.mark.parametrize("form", COMPLETIONS_FORMS)
    def test_the_process_serves_on_within_its_limits(self, form, tmp_path):
        async def work():
            async with open_completions(tmp_path) as (victim, _):
                await play(victim, victim.callers, *COMPLETIONS_FORMS[form])

        asyncio.run(work())


class TestOperators:
    # Guards against the same by the operators' port, without a token.
    @pytest.mark.parametrize("form", OPERATORS_FORMS)
    def test_the_process_serves_on_within_its_limits(self, form, tmp_path):
        async def work():
            async with open_forwarding(tmp_path) as (victim, _):
                await play(victim, victim.operators, *OPERATORS_FORMS[form])

        asyncio.run(work())


class TestReady:
    # Guards against the same by the port of the readiness probe.
    @pytest.mark.parametrize("form", READY_FORMS)
    def test_the_process_serves_on_within_its_limits(self, form, tmp_path):
        async def work():
            async with open_forwarding(tmp_path) as (victim, _):
                await play(victim, victim.ready, *READY_FORMS[form])

        asyncio.run(work())


class TestPeers:
    # Guards against the same by the peers' port, without a key.
    @pytest.mark.parametrize("form", PEERS_FORMS)
    def test_the_process_serves_on_within_its_limits(self, form, tmp_path):
        async def work():
            async with open_forwarding(tmp_path) as (victim, _):
                await play(victim, victim.peers, *PEERS_FORMS[form])

        asyncio.run(work())

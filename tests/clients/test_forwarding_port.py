"""Clients of the callers' port of the forwarding interface."""

import asyncio

import pytest

from standins.forwarding.raw_caller import call_raw
from tests.clients.crowd import Crowd, chunk_body, make_head
from tests.clients.daemon import LIMITS, MIB, open_forwarding

SENT_TIMEOUT_S = 15.0
HELD_S = 2.0
LIMIT_BYTES = 4 * MIB
SMALL_BYTES = 65_000
CHUNKED = "Transfer-Encoding: chunked"
END = b"\r\n"


def announce(body_bytes):
    return make_head("/charge/x", "shop.example", f"Content-Length: {body_bytes}") + END


def chunked():
    return make_head("/charge/x", "shop.example", CHUNKED) + END


def repeat(piece, count):
    return [piece] * count


LOOKUP = (
    b"GET /lookup/x HTTP/1.1\r\nHost: shop.example\r\n"
    b"Fescuekeel-Request-Id: 00000000000000ab\r\n"
    b"Fescuekeel-Deadline-Ms: 5000\r\n\r\n"
)
# What each client sends, by name, and how many clients there are.
FORMS = {
    "small bodies without their last byte": (
        800,
        [announce(SMALL_BYTES), b"x" * (SMALL_BYTES - 1)],
    ),
    "small whole bodies": (800, [announce(SMALL_BYTES), b"x" * SMALL_BYTES]),
    "large bodies without their last byte": (
        100,
        [announce(LIMIT_BYTES), *repeat(b"x" * (64 * 1024), 63), b"x" * 65535],
    ),
    "large whole bodies": (
        100,
        [announce(LIMIT_BYTES), *repeat(b"x" * (64 * 1024), 64)],
    ),
    "large chunks without the last": (
        100,
        [chunked(), *repeat(chunk_body(64 * 1024, 64 * 1024), 63)],
    ),
    "pieces of a kilobyte without the last": (
        100,
        [chunked(), *repeat(chunk_body(64 * 1024, 1024), 63)],
    ),
    "chunks of one byte": (40, [chunked(), *repeat(chunk_body(32 * 1024, 1), 8)]),
    "chunks without an end": (60, [chunked(), *repeat(chunk_body(MIB, 65536), 16)]),
    "one endless chunk": (
        60,
        [chunked(), b"40000000\r\n", *repeat(b"x" * 65536, 256)],
    ),
    "bodies over the limit, announced": (
        60,
        [announce(1024 * MIB), *repeat(b"x" * 65536, 256)],
    ),
    "heads without an end": (
        800,
        [make_head(), *repeat(b"X-Some: " + b"y" * 990 + b"\r\n", 59)],
    ),
    "nothing": (600, []),
    "requests in one go, answers not read": (60, [LOOKUP * 5000]),
}


@pytest.mark.parametrize("form", FORMS)
class TestCrowd:
    # Guards against clients that exhaust the memory, the descriptors or the
    # processor time of an instance, so that it ends or hangs.
    def test_the_process_serves_on_within_its_limits(self, form, tmp_path):
        async def work():
            async with open_forwarding(tmp_path) as (victim, _):
                size, pieces = FORMS[form]
                crowd = Crowd(victim.callers, size)
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

        asyncio.run(work())


class TestRequestsThatDoNotComeOn:
    # Guards against clients that hold connections with requests that are never
    # complete, for as long as they like.
    def test_they_are_closed_while_their_clients_stay(self, tmp_path):
        async def work():
            limits = LIMITS + "slow_request_s = 1\nmin_bytes_per_s = 1000000\n"
            async with open_forwarding(tmp_path, limits) as (victim, _):
                crowd = Crowd(victim.callers, 100)
                crowd.begin([announce(SMALL_BYTES), b"x" * 1000])
                try:
                    await crowd.wait_until_sent(SENT_TIMEOUT_S)
                    await victim.check_gone()
                    await victim.check_served()
                finally:
                    await crowd.leave()

        asyncio.run(work())


HEADERS = (
    ("Host", "shop.example"),
    ("Fescuekeel-Request-Id", "00000000000000ac"),
    ("Fescuekeel-Deadline-Ms", "20000"),
)
# Single requests within the published limits.
SINGLE_FORMS = {
    "of the largest size": ((), b"x" * LIMIT_BYTES),
    "in chunks of one byte": (
        (("Transfer-Encoding", "chunked"),),
        chunk_body(SMALL_BYTES, 1) + b"0\r\n\r\n",
    ),
}


class TestCalm:
    # Guards against limits that ordinary callers meet.
    @pytest.mark.parametrize("form", SINGLE_FORMS)
    def test_a_single_request_within_the_limits_is_served(self, form, tmp_path):
        async def work():
            more, body = SINGLE_FORMS[form]
            headers = [*HEADERS, *more]
            async with open_forwarding(tmp_path) as (victim, _):
                answer = await call_raw(
                    victim.callers, "POST", "/charge/x", headers, body, timeout_s=30.0
                )
                assert answer.status == 200, answer

        asyncio.run(work())

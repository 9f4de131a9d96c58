"""The last look at the catalog before a request is written."""

import asyncio
from types import SimpleNamespace

import pytest

from fescuekeel.components.forward.attempts import AttemptEnd
from fescuekeel.components.forward.choice import Choice, ChoiceReason
from fescuekeel.components.forward.exchange import Exchange

ENDPOINT = "e1@1700"
WAITS = ["connect", "incarnation", "own word"]


class ScriptedExchange(Exchange):
    """An exchange whose endpoint leaves during one of its waits."""

    def __init__(self, leaves_during):
        self.leaves_during = leaves_during
        self.is_listed = True
        endpoints = SimpleNamespace(
            find_block=lambda endpoint: None,
            has_answered_lately=lambda endpoint: leaves_during != "own word",
        )
        limiter = SimpleNamespace(
            get_max_rejections_per_s=lambda service: None,
            is_limited=lambda endpoint: False,
        )
        forwarder = SimpleNamespace(
            crashes=SimpleNamespace(find_failure=lambda request: None),
            is_listed=lambda endpoint: self.is_listed,
            read_unconfirmed_s=lambda endpoint: 0.1,
            endpoints=endpoints,
            limiter=limiter,
        )
        request = SimpleNamespace(forwarder=forwarder, service="s")
        choice = Choice(ENDPOINT, ChoiceReason.LEAST_COST, 0.0, unconfirmed=True)
        super().__init__(request, SimpleNamespace(connection=None), choice)

    async def wait(self, name):
        await asyncio.sleep(0)
        if name == self.leaves_during:
            self.is_listed = False
        return True

    async def _connect(self):
        await self.wait("connect")
        return SimpleNamespace()

    def _needs_incarnation(self, connection):
        return True

    async def _check_incarnation(self, connection):
        return await self.wait("incarnation")

    async def _ask_for_own_word(self, connection):
        return await self.wait("own word")


class TestLastLook:
    # Guards against a request that is written to an endpoint whose leaving
    # became known while the request waited for something.
    @pytest.mark.parametrize("leaves_during", WAITS)
    def test_nothing_is_sent_if_the_endpoint_leaves_meanwhile(self, leaves_during):
        exchange = ScriptedExchange(leaves_during)
        assert asyncio.run(exchange.connect()) is AttemptEnd.UNSENT

    def test_a_listed_endpoint_is_sent_to(self):
        assert asyncio.run(ScriptedExchange("").connect()) is None

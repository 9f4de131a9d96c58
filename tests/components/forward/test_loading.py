"""Tests of load requests that several requests share."""

import asyncio

from fescuekeel.components.forward.holders import HolderClient
from fescuekeel.components.forward.loading import LoadRequester
from fescuekeel.core import Instance
from fescuekeel.helpers.placement_view import TOO_MANY_LOADS
from fescuekeel.messages import LoadAnswer, LoadAsk
from tests.common import make_settings

ASK = LoadAsk("e1", "m", "a", 1, 1)


class FakeHolders(HolderClient):
    """The holder refuses the first request and accepts later ones."""

    def __init__(self, instance):
        super().__init__(instance)
        self.asked = 0

    def find(self, endpoint):
        return "i2"

    async def ask_load(self, ask, timeout_s):
        self.asked += 1
        await asyncio.sleep(0)
        if self.asked == 1:
            return LoadAnswer(False, TOO_MANY_LOADS)
        return LoadAnswer(True, version=1)


def make_requester():
    instance = Instance(make_settings(id="i1"))
    holders = FakeHolders(instance)
    return LoadRequester(instance, holders), holders


class TestLoadRequester:
    def test_concurrent_requests_share_a_load(self):
        async def run():
            requester, holders = make_requester()
            details = await asyncio.gather(*(requester.load(ASK) for _ in range(5)))
            assert set(details) == {TOO_MANY_LOADS}
            assert holders.asked == 1

        asyncio.run(run())

    def test_request_that_comes_as_a_load_ends_asks_again(self):
        """Guards against sharing a load that ended before the request."""

        async def run():
            requester, holders = make_requester()
            first = asyncio.create_task(requester.load(ASK))
            await asyncio.sleep(0)
            while not all(task.done() for task in requester._tasks_by_key.values()):  # noqa: ASYNC110
                await asyncio.sleep(0)
            assert await requester.load(ASK) == ""
            assert await first == TOO_MANY_LOADS
            assert holders.asked == 2

        asyncio.run(run())

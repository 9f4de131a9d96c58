"""Tests of requests that wait for the same account's home at once."""

import asyncio
import itertools
from unittest import mock

from hypothesis import given, settings, strategies as st
from returns.result import Failure as Err, Success

from fescuekeel.components.allowance import Allowances
from fescuekeel.components.allowance.local_allowance import LocalAllowance
from fescuekeel.core import Instance
from fescuekeel.errors import ErrorKind, Failure
from fescuekeel.helpers.published import ClientAccount
from fescuekeel.messages import AllowanceAnswer, Member, MemberView
from tests.common import make_settings

ACCOUNT = ClientAccount("a", None, 10.0, 10.0)
# More decisions than any number of requests here needs: the loop spins.
MAX_DECISIONS = 5_000
SILENT, REFUSED = -1, 0
prices = st.lists(st.integers(1, 30).map(float), min_size=1, max_size=30)
# Units of each grant.
answers = st.lists(
    st.one_of(st.integers(1, 60), st.just(SILENT), st.just(REFUSED)), max_size=12
)


class FakePeerLink:
    """Answers each query with the next number of units, after some turns."""

    def __init__(self, units):
        self.units = itertools.chain(units, itertools.repeat(REFUSED))
        self.granted = 0.0
        self.asked = 0

    async def ask(self, instance_id, body, timeout_s):
        self.asked += 1
        units = next(self.units)
        for _ in range(self.asked % 3):
            await asyncio.sleep(0)
        if units == SILENT:
            return Err(Failure(ErrorKind.PEER_UNREACHABLE, "timeout"))
        self.granted += units
        return Success(AllowanceAnswer(float(units), 400))


async def start_allowances(link=None):
    """Start the component; with a link, all homes are remote."""
    clock = [1000.0]
    instance = Instance(make_settings(id="i1"), clock=lambda: clock[0])
    allowances = Allowances(instance)
    ids = ["i1"] if link is None else ["h1", "h2"]
    members = {id: Member(id, "", "dc1", 1) for id in ids}
    instance.components_by_domain["peers"] = link
    instance.bus.publish_state(MemberView(members))
    await allowances.start()
    clock[0] += 20.0
    return allowances


class CountedDecisions:
    """Ends a test in which the decisions go round without waiting."""

    def __init__(self):
        self.count = 0
        self.spend = LocalAllowance.spend

    def __enter__(self):
        def spend(local, price, now):
            self.count += 1
            assert self.count < MAX_DECISIONS, "the event loop is blocked"
            return self.spend(local, price, now)

        self.patch = mock.patch.object(LocalAllowance, "spend", spend)
        self.patch.start()
        return self

    def __exit__(self, *error):
        self.patch.stop()


class TestConcurrentRequests:
    def test_request_that_comes_as_a_query_ends(self):
        """Guards against a daemon that spins on a query that has ended."""

        async def run():
            allowances = await start_allowances()
            late = []

            async def admit_later():
                late.append(asyncio.create_task(allowances.admit("c", ACCOUNT, 30.0)))

            first = asyncio.create_task(allowances.admit("a", ACCOUNT, 5.0))
            await asyncio.gather(first, asyncio.create_task(admit_later()))
            return await late[0]

        with CountedDecisions():
            assert asyncio.run(run()) is None

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(prices, answers)
    def test_each_request_ends_within_the_limit(self, prices, answers):
        """Guards against blocked requests and against exceeding the limit."""

        async def run():
            link = FakePeerLink(answers)
            allowances = await start_allowances(link)
            work = (allowances.admit(str(n), ACCOUNT, p) for n, p in enumerate(prices))
            failures = await asyncio.gather(*work)
            admitted = sum(
                price
                for price, failure in zip(prices, failures, strict=True)
                if failure is None
            )
            assert admitted <= link.granted
            assert link.asked <= 2 * len(prices)

        with CountedDecisions():
            asyncio.run(run())

    def test_cancelled_request_leaves_its_grant_to_others(self):
        """Guards against units that are lost when a caller disconnects."""

        async def run():
            link = FakePeerLink([20])
            allowances = await start_allowances(link)
            cancelled = asyncio.create_task(allowances.admit("a", ACCOUNT, 15.0))
            await asyncio.sleep(0)
            cancelled.cancel()
            await asyncio.gather(cancelled, return_exceptions=True)
            for _ in range(5):
                await asyncio.sleep(0)
            assert await allowances.admit("b", ACCOUNT, 20.0) is None
            assert link.asked == 1

        asyncio.run(run())

"""Tests of how requests are let in by their account's limit."""

import asyncio

from fescuekeel.components.allowance import Allowances
from fescuekeel.core import Instance
from fescuekeel.errors import ErrorKind
from fescuekeel.helpers.published import ClientAccount
from fescuekeel.messages import Member, MemberView
from tests.common import make_settings

LIMITED = ClientAccount("a", None, 10.0, 10.0)
START_S = 1000.0


def admit(*prices, account=LIMITED, waited_s=0.0):
    """Send requests to an instance that is alone; return the refusals."""

    async def work():
        clock = [START_S]
        instance = Instance(make_settings(id="i1"), clock=lambda: clock[0])
        allowances = Allowances(instance)
        member = Member("i1", "", "dc1", 1)
        instance.bus.publish_state(MemberView({"i1": member}))
        await allowances.start()
        clock[0] += waited_s
        refused = [await allowances.admit("r", account, price) for price in prices]
        return [None if failure is None else failure.kind for failure in refused]

    return asyncio.run(work())


class TestAdmit:
    def test_what_has_come_in_is_granted(self):
        assert admit(5.0, 5.0, waited_s=10.0) == [None, None]

    def test_what_is_beyond_the_limit_is_refused(self):
        kinds = admit(60.0, 60.0, waited_s=20.0)
        assert kinds == [None, ErrorKind.RATE_LIMITED]

    def test_a_request_that_costs_nothing_is_let_in(self):
        """A request that told zero tokens was refused for ever."""
        assert admit(0.0) == [None]

    def test_without_a_limit_everything_is_let_in(self):
        assert admit(1e9, account=ClientAccount("a")) == [None]

    def test_a_request_larger_than_a_window_ends(self):
        """It asked its home again and again, and no other was served."""
        assert admit(1e9, waited_s=20.0) == [ErrorKind.RATE_LIMITED]

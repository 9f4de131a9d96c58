"""Tests of the admission of requests by their account's limit."""

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
    """Send requests to a single instance; return the kinds of its failures."""

    async def work():
        clock = [START_S]
        instance = Instance(make_settings(id="i1"), clock=lambda: clock[0])
        allowances = Allowances(instance)
        member = Member("i1", "", "dc1", 1)
        instance.bus.publish_state(MemberView({"i1": member}))
        await allowances.start()
        clock[0] += waited_s
        failures = [await allowances.admit("r", account, price) for price in prices]
        return [None if failure is None else failure.kind for failure in failures]

    return asyncio.run(work())


class TestAdmit:
    def test_what_has_accrued_is_granted(self):
        assert admit(5.0, 5.0, waited_s=10.0) == [None, None]

    def test_what_exceeds_the_limit_is_refused(self):
        kinds = admit(60.0, 60.0, waited_s=20.0)
        assert kinds == [None, ErrorKind.RATE_LIMITED]

    def test_a_request_without_a_price_is_admitted(self):
        """Guards against refusing every request of zero tokens."""
        assert admit(0.0) == [None]

    def test_without_a_limit_everything_is_admitted(self):
        assert admit(1e9, account=ClientAccount("a")) == [None]

    def test_a_request_larger_than_a_window_is_refused(self):
        """Guards against a request that asks its home forever."""
        assert admit(1e9, waited_s=20.0) == [ErrorKind.RATE_LIMITED]

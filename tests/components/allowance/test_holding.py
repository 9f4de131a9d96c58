"""Tests of what one instance holds of an account's allowance."""

from fescuekeel.components.allowance.bucket import TokenBucket
from fescuekeel.components.allowance.const import RECHECK_S
from fescuekeel.components.allowance.holding import (
    AskHome,
    Holding,
    MayBegin,
    Refuse,
)
from fescuekeel.components.allowance.home import Grant


def make_holding():
    return Holding(TokenBucket(0.0, 0.0, 0.0, 0.0))


class TestRefusal:
    def test_a_refusal_does_not_bar_the_account_until_its_whole_wait_is_over(self):
        """All of an account's requests were refused for three seconds.

        A large one had found no room and was told a wait of three seconds.
        Each instance believed that for all that came after it, and in the
        meantime nothing at all was granted to anybody.
        """
        holding = make_holding()
        holding.take_grant(Grant(0.0, wait_s=3.0), asked=10.0)
        refused = holding.spend(200.0, now=10.1)
        assert isinstance(refused, Refuse)
        assert isinstance(holding.spend(200.0, now=10.0 + RECHECK_S), AskHome)

    def test_callers_are_told_the_whole_wait(self):
        holding = make_holding()
        holding.take_grant(Grant(0.0, wait_s=3.0), asked=10.0)
        assert abs(holding.spend(200.0, now=10.1).wait_s - 2.9) < 1e-9

    def test_the_home_is_not_asked_for_every_request(self):
        holding = make_holding()
        holding.take_grant(Grant(0.0, wait_s=3.0), asked=10.0)
        asks = sum(
            isinstance(holding.spend(200.0, now=10.0 + hundredth / 100), AskHome)
            for hundredth in range(int(RECHECK_S * 100))
        )
        assert asks == 0


class TestGrant:
    def test_a_grant_lapses(self):
        holding = make_holding()
        holding.take_grant(Grant(500.0), asked=10.0)
        assert isinstance(holding.spend(200.0, now=10.5), MayBegin)
        assert isinstance(holding.spend(200.0, now=11.5), AskHome)

"""Tests of the units that one instance holds of an account's limit."""

from fescuekeel.components.allowance.bucket import TokenBucket
from fescuekeel.components.allowance.const import RECHECK_S
from fescuekeel.components.allowance.home import Grant
from fescuekeel.components.allowance.local_allowance import (
    Admit,
    AskHome,
    LocalAllowance,
    Refuse,
)


def make_local():
    return LocalAllowance(TokenBucket(0.0, 0.0, 0.0, 0.0))


class TestRefusal:
    def test_the_home_is_asked_again_before_the_wait_is_over(self):
        """Guards against a large refused request that blocks smaller ones."""
        local = make_local()
        local.apply_grant(Grant(0.0, wait_s=3.0), asked_at=10.0)
        refused = local.spend(200.0, now=10.1)
        assert isinstance(refused, Refuse)
        assert isinstance(local.spend(200.0, now=10.0 + RECHECK_S), AskHome)

    def test_a_refusal_returns_the_whole_wait(self):
        local = make_local()
        local.apply_grant(Grant(0.0, wait_s=3.0), asked_at=10.0)
        assert abs(local.spend(200.0, now=10.1).wait_s - 2.9) < 1e-9

    def test_the_home_is_not_asked_for_every_refused_request(self):
        local = make_local()
        local.apply_grant(Grant(0.0, wait_s=3.0), asked_at=10.0)
        asks = sum(
            isinstance(local.spend(200.0, now=10.0 + hundredth / 100), AskHome)
            for hundredth in range(int(RECHECK_S * 100))
        )
        assert asks == 0


class TestGrant:
    def test_a_grant_expires(self):
        local = make_local()
        local.apply_grant(Grant(500.0), asked_at=10.0)
        assert isinstance(local.spend(200.0, now=10.5), Admit)
        assert isinstance(local.spend(200.0, now=11.5), AskHome)

"""Tests of rate limits, concurrency limits and retry budgets."""

import pytest
from hypothesis import given, settings, strategies as st

from fescuekeel.components.gateway.limits import MIN_RETRIES, Limits
from fescuekeel.components.tree.model import Limit, Policy, Pool, PoolKind
from fescuekeel.errors import ErrorKind
from fescuekeel.messages import AdapterRef


def make_policy(*limits, retry_share=0.1, service="service"):
    return Policy(
        shop="shop",
        service=service,
        pool=Pool("plain", PoolKind.PLAIN),
        urgency=1,
        answer_s=1.0,
        repeatable=True,
        stall_weight=1.0,
        batch_weight=1.0,
        max_in_flight=0,
        rate_per_s=0.0,
        retry_share=retry_share,
        max_tokens=0,
        adapter=AdapterRef(),
        limits=limits,
    )


class TestLimits:
    def test_rate_is_enforced_and_retry_after_is_exact(self):
        policy = make_policy(Limit("shop", rate_per_s=4))
        limits = Limits()
        assert [limits.admit(policy, 0.0) for _ in range(4)] == [None] * 4
        refused = limits.admit(policy, 0.0)
        assert refused.kind is ErrorKind.RATE_LIMITED
        assert refused.retry_after_s == pytest.approx(0.25)
        assert limits.admit(policy, 0.25) is None
        assert limits.admit(policy, 0.25) is not None

    def test_limit_of_a_shop_covers_all_its_services(self):
        shop = Limit("shop", max_in_flight=2)
        one = make_policy(shop, Limit("shop/one", max_in_flight=1), service="one")
        two = make_policy(shop, service="two")
        limits = Limits()
        assert limits.admit(one, 0.0) is None
        assert limits.admit(one, 0.0) is not None
        assert limits.admit(two, 0.0) is None
        assert limits.admit(two, 0.0) is not None
        limits.release(one)
        assert limits.admit(two, 0.0) is None

    def test_rejected_request_consumes_no_limit(self):
        policy = make_policy(
            Limit("shop", rate_per_s=3), Limit("shop/service", max_in_flight=1)
        )
        limits = Limits()
        assert limits.admit(policy, 0.0) is None
        assert all(limits.admit(policy, 0.0) is not None for _ in range(9))
        for _ in range(2):
            limits.release(policy)
            assert limits.admit(policy, 0.0) is None

    def test_instances_divide_a_limit(self):
        policy = make_policy(Limit("shop", max_in_flight=8))
        limits = Limits(instances=4)
        assert [limits.admit(policy, 0.0) is None for _ in range(3)] == [
            True,
            True,
            False,
        ]

    @settings(derandomize=True, deadline=None, database=None)
    @given(st.lists(st.booleans(), max_size=60), st.integers(1, 5))
    def test_concurrency_never_exceeds_the_limit(self, arrivals, most):
        policy = make_policy(Limit("shop", max_in_flight=most))
        limits = Limits()
        running = 0
        for arrives in arrivals:
            if arrives:
                assert (limits.admit(policy, 0.0) is None) == (running < most)
                running = min(most, running + 1)
            elif running:
                limits.release(policy)
                running -= 1


class TestRetryBudget:
    def test_retries_are_limited_to_a_share_of_the_traffic(self):
        """Guards against a retry storm while all endpoints fail."""
        policy = make_policy(retry_share=0.1)
        limits = Limits()
        retries = 0
        for number in range(1000):
            now = number * 0.001
            assert limits.admit(policy, now) is None
            retries += limits.may_retry(policy, now)
        assert MIN_RETRIES <= retries <= MIN_RETRIES + 0.1 * 1000

    def test_budget_recovers_without_traffic(self):
        policy = make_policy()
        limits = Limits()
        while limits.may_retry(policy, 0.0):
            pass
        assert not limits.may_retry(policy, 0.0)
        assert limits.may_retry(policy, 60.0)

    def test_retry_share_of_zero_allows_no_retry(self):
        assert not Limits().may_retry(make_policy(retry_share=0.0), 0.0)

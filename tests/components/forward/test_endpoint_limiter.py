"""Tests of requests that keep to the rate limits of endpoints."""

import asyncio

import pytest

from fescuekeel.components.allowance import Allowances
from fescuekeel.components.forward.endpoint_limiter import EndpointLimiter
from fescuekeel.components.gossip import Gossip
from fescuekeel.core import Instance
from fescuekeel.messages import Member, MemberView
from tests.common import make_settings

ENDPOINT = "e1"
WINDOW_S = 4.0


class NoPeers:
    """A link without peers."""

    def send_all(self, instance_ids, body):
        assert not list(instance_ids)


async def list_taken(rates, seconds, tries_per_s):
    """Return when requests get a part of a limit, after some answers."""
    clock = [1000.0]
    instance = Instance(make_settings(id="i1"), clock=lambda: clock[0])
    components = instance.components_by_domain
    components["peers"] = NoPeers()
    components["gossip"] = Gossip(instance)
    components["allowance"] = allowances = Allowances(instance)
    limiter = EndpointLimiter(instance)
    instance.bus.publish_state(MemberView({"i1": Member("i1", "", "dc1", 1)}))
    await allowances.start()
    limiter.start()
    for rate in rates:
        clock[0] += 10.0
        limiter.record_answer(ENDPOINT, rate, clock[0])
    taken = []
    for _ in range(int(seconds * tries_per_s)):
        clock[0] += 1 / tries_per_s
        if await limiter.take(ENDPOINT) == 0:
            taken.append(clock[0])
    return taken


def run(*rates, seconds=20.0, tries_per_s=20):
    return asyncio.run(list_taken(rates, seconds, tries_per_s))


def count_most_in_window(times):
    return max(sum(at <= t < at + WINDOW_S for t in times) for at in times)


class TestTake:
    def test_without_a_limit_everything_is_sent(self):
        assert len(run()) == len(run(None)) == len(run(3.0, None)) == 400

    @pytest.mark.parametrize("rate", [1.0, 3.0, 8.0])
    def test_a_limit_is_used_and_not_exceeded(self, rate):
        times = run(rate)
        assert count_most_in_window(times) <= WINDOW_S * rate + 1
        assert len(times) >= 0.95 * 20 * rate

    def test_the_last_limit_counts(self):
        assert count_most_in_window(run(8.0, 1.0)) <= 5
        assert len(run(1.0, 8.0)) >= 0.9 * 20 * 8

    def test_some_requests_reach_an_endpoint_that_takes_none(self):
        # Guards against a limit whose end no endpoint can announce.
        assert len(run(0.0)) >= 8
        assert count_most_in_window(run(0.0)) <= 3

    @pytest.mark.parametrize("rate", [-1.0, float("nan"), float("inf"), 1e99])
    def test_an_invalid_limit_changes_nothing(self, rate):
        assert len(run(rate)) == 400
        assert count_most_in_window(run(1.0, rate)) <= 5

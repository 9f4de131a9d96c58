"""Tests of the policy bench: what it plays with and that it can fail."""

import pytest

from bench.policy.fakes import Clock, Engine, Store
from bench.policy.rivals import Clairvoyant, FirstCome, Ours
from bench.policy.simulation import play
from bench.policy.traces import DEPLOYMENTS, WARM_UP_S, Trace, make_trace
from fescuekeel.components.owner.scheduling.decision import EndpointScheduler
from fescuekeel.components.owner.scheduling.holdings import Holdings
from fescuekeel.messages import AdapterRef

A, B = AdapterRef("a", "1"), AdapterRef("b", "1")
DEPLOYMENT = DEPLOYMENTS["nyirahabimana"]


def make_short_trace(name="knee", requests=2200):
    whole = make_trace(DEPLOYMENT, name, 1)
    return Trace(name, 1, whole.requests[:requests], cuts=True, restarts=True)


class TestTraces:
    def test_a_seed_gives_the_same_trace(self):
        first, second = (make_trace(DEPLOYMENT, "knee", 7) for _ in range(2))
        assert first == second
        assert first.requests != make_trace(DEPLOYMENT, "knee", 8).requests

    def test_the_knee_lies_where_the_store_is_nearly_busy(self):
        assert 2.0 < DEPLOYMENT.knee_per_s < 4.0


class TestFakes:
    def test_two_fetches_share_the_rate(self):
        clock, done = Clock(), []
        store = Store(clock, loads_per_s=2.0)
        store.fetch(lambda: done.append(clock.now))
        clock.run(0.25)
        store.fetch(lambda: done.append(clock.now))
        clock.run(5.0)
        assert done == pytest.approx([0.75, 1.0])

    def test_steps_are_shared_by_a_batch(self):
        engine = Engine("e1", Clock(), 0.01, 4, loaded={A})
        assert engine.start("r1", A, 10) == pytest.approx(0.1)
        engine.start("r2", A, 20)
        assert (engine.steps, engine.tokens) == (20, 30)

    def test_an_engine_notices_wrong_orders(self):
        engine = Engine("e1", Clock(), 0.01, 4, loaded={A})
        engine.start("r1", A, 10)
        with pytest.raises(AssertionError, match="serves"):
            engine.evict(A)
        with pytest.raises(AssertionError, match="not loaded"):
            engine.start("r2", B, 10)


class BrokenHoldings(Holdings):
    """Let everything be evicted without a look at what serves."""

    def is_idle(self, adapter, now):
        return True


class Broken(Ours):
    def make_scheduler(self):
        return EndpointScheduler(holdings=BrokenHoldings())


class Counting(Ours):
    """Count the questions and what was sent on."""

    asked = moved = 0

    def should_move(self, here, there):
        moves = super().should_move(here, there)
        self.asked, self.moved = self.asked + 1, self.moved + moves
        return moves


class TestPlay:
    def test_owners_ask_before_loads_and_some_requests_move(self):
        trace, policy = make_short_trace(), Counting()
        play(DEPLOYMENT, trace, policy)
        assert 0 < policy.moved < policy.asked < len(trace.requests)

    def test_every_request_ends_once_under_each_policy(self):
        trace = make_short_trace()
        counted = sum(request.at >= WARM_UP_S for request in trace.requests)
        for policy in (Ours(), FirstCome(), Clairvoyant(trace, DEPLOYMENT)):
            result = play(DEPLOYMENT, trace, policy)
            assert len(result.outcomes) == counted > 0

    def test_the_same_run_twice_gives_the_same(self):
        trace = make_short_trace()
        first, second = (play(DEPLOYMENT, trace, Ours()) for _ in range(2))
        assert first.outcomes == second.outcomes

    def test_an_eviction_of_a_serving_adapter_is_noticed(self):
        with pytest.raises(AssertionError, match="serves"):
            play(DEPLOYMENT, make_short_trace("triple", 2000), Broken())

"""Tests of the policy simulation and its fakes."""

import pytest

from bench.policy.fakes import FakeClock, FakeEngine, FakeStore
from bench.policy.policies import Clairvoyant, FirstCome, ProjectPolicy
from bench.policy.simulation import simulate
from bench.policy.traces import DEPLOYMENTS, WARM_UP_S, Trace, make_trace
from fescuekeel.components.owner.scheduling.decision import EndpointScheduler
from fescuekeel.components.owner.scheduling.holdings import Holdings
from fescuekeel.messages import AdapterRef

A, B = AdapterRef("a", "1"), AdapterRef("b", "1")
DEPLOYMENT = DEPLOYMENTS["nyirahabimana"]


def make_short_trace(name="knee", requests=2200):
    whole = make_trace(DEPLOYMENT, name, 1)
    return Trace(name, 1, whole.requests[:requests], has_partition=True, restarts=True)


class TestTraces:
    def test_trace_is_deterministic(self):
        first, second = (make_trace(DEPLOYMENT, "knee", 7) for _ in range(2))
        assert first == second
        assert first.requests != make_trace(DEPLOYMENT, "knee", 8).requests

    def test_knee_rate_is_plausible(self):
        assert 2.0 < DEPLOYMENT.knee_per_s < 4.0


class TestFakes:
    def test_concurrent_fetches_share_the_rate(self):
        clock, done = FakeClock(), []
        store = FakeStore(clock, loads_per_s=2.0)
        store.fetch(lambda: done.append(clock.now))
        clock.run(0.25)
        store.fetch(lambda: done.append(clock.now))
        clock.run(5.0)
        assert done == pytest.approx([0.75, 1.0])

    def test_batched_requests_share_steps(self):
        engine = FakeEngine("e1", FakeClock(), 0.01, 4, loaded={A})
        assert engine.start("r1", A, 10) == pytest.approx(0.1)
        engine.start("r2", A, 20)
        assert (engine.steps, engine.tokens) == (20, 30)

    def test_engine_rejects_invalid_orders(self):
        engine = FakeEngine("e1", FakeClock(), 0.01, 4, loaded={A})
        engine.start("r1", A, 10)
        with pytest.raises(AssertionError, match="serves"):
            engine.evict(A)
        with pytest.raises(AssertionError, match="not loaded"):
            engine.start("r2", B, 10)


class BrokenHoldings(Holdings):
    """Allow the eviction of adapters in use."""

    def is_idle(self, adapter, now):
        return True


class Broken(ProjectPolicy):
    def make_scheduler(self):
        return EndpointScheduler(holdings=BrokenHoldings())


class Counting(ProjectPolicy):
    """Count move decisions and moves."""

    asked = moved = 0

    def should_move(self, here, there):
        moves = super().should_move(here, there)
        self.asked, self.moved = self.asked + 1, self.moved + moves
        return moves


class TestPlay:
    def test_some_requests_move_to_the_alternate_endpoint(self):
        trace, policy = make_short_trace(), Counting()
        simulate(DEPLOYMENT, trace, policy)
        assert 0 < policy.moved < policy.asked < len(trace.requests)

    def test_every_request_has_one_outcome(self):
        trace = make_short_trace()
        counted = sum(request.at >= WARM_UP_S for request in trace.requests)
        for policy in (ProjectPolicy(), FirstCome(), Clairvoyant(trace, DEPLOYMENT)):
            result = simulate(DEPLOYMENT, trace, policy)
            assert len(result.outcomes) == counted > 0

    def test_simulation_is_deterministic(self):
        trace = make_short_trace()
        first, second = (simulate(DEPLOYMENT, trace, ProjectPolicy()) for _ in range(2))
        assert first.outcomes == second.outcomes

    def test_eviction_of_an_adapter_in_use_raises(self):
        with pytest.raises(AssertionError, match="serves"):
            simulate(DEPLOYMENT, make_short_trace("triple", 2000), Broken())

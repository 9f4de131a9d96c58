"""Tests that orders never exceed an endpoint's adapter capacity."""

import asyncio
import random
from collections import Counter, deque
from types import SimpleNamespace

import hypothesis.strategies as st
import pytest
from hypothesis import given, settings

from fescuekeel.components.placement import holder as holder_module
from fescuekeel.components.placement.claims import Claims, OwnClaim
from fescuekeel.components.placement.holder import EndpointHolder
from fescuekeel.components.placement.model import LoadRequest
from fescuekeel.components.placement.scheduler import AdapterScheduler
from fescuekeel.core import Bus, Metrics
from fescuekeel.helpers.dialect import EndpointReport, OrderKind, OrderReply
from fescuekeel.helpers.published import EndpointRecord, Weights
from tests.fuzz.loop import VirtualLoop

MODEL = Weights("m")
ADAPTERS = [Weights("m", f"a{number}") for number in range(12)]
CAPACITY = 3
LOAD_S = 0.25
STEP_S = 0.005
SIMULATION_S = 5.0


class Endpoint:
    """An endpoint with a few adapter slots and late reports.

    ``fenced`` says that it rejects older fencing tokens, ``answer_loss`` is
    the share of its replies to orders that are lost, and ``lost_reports`` the
    number of first reports that the second holder does not get.
    """

    def __init__(
        self, clock, lag_s, fenced=True, answer_loss=0.0, seed=0, lost_reports=0
    ):
        self.clock = clock
        self.lag_s = lag_s
        self.fenced = fenced
        self.answer_loss = answer_loss
        self.lost_reports = lost_reports
        self.random = random.Random(seed)
        self.held = {MODEL, *ADAPTERS[:CAPACITY]}
        self.done_by_pending = {}
        self.fence = 0
        self.orders_taken = 0
        self.max_held = 0
        self.orders = 0
        self.loads_by_holder = Counter()
        self.history = deque()
        self.record_state()

    def record_state(self):
        """Record the current state for later reports."""
        now = self.clock()
        for weights, done in list(self.done_by_pending.items()):
            if done <= now:
                del self.done_by_pending[weights]
                self.held.add(weights)
        state = set(self.held), frozenset(self.done_by_pending), self.orders_taken
        self.history.append((now, state))
        while len(self.history) > 1 and self.history[1][0] <= now - self.lag_s:
            self.history.popleft()

    def report(self):
        self.record_state()
        held, pending, taken = self.history[0][1]
        versions = dict.fromkeys(held, 1)
        return EndpointReport(versions, pending, False, 0, 0, 0, 0, orders_taken=taken)

    def order(self, order):
        self.record_state()
        reply = self.take(order)
        self.record_state()
        self.max_held = max(
            self.max_held, len(self.held | self.done_by_pending.keys()) - 1
        )
        return None if self.random.random() < self.answer_loss else reply

    def take(self, order):
        if self.fenced and order.fence < self.fence:
            return OrderReply.FENCED
        if order.after_orders is not None and order.after_orders != self.orders_taken:
            return OrderReply.BUSY
        self.fence = max(self.fence, order.fence)
        if order.kind is OrderKind.UNLOAD:
            if order.weights in self.held:
                self.held.discard(order.weights)
                self.orders_taken += 1
            return OrderReply.HOLDS_ALREADY
        if order.weights in self.held:
            return OrderReply.HOLDS_ALREADY
        if order.weights not in self.done_by_pending:
            self.done_by_pending[order.weights] = self.clock() + LOAD_S
            self.orders_taken += 1
            self.orders += 1
            self.loads_by_holder[order.holder] += 1
        return OrderReply.ACCEPTED


class Link:
    """Transmit calls to the endpoint in a few milliseconds each way.

    The first ``lost_reports`` reports are lost.
    """

    def __init__(self, endpoint, seed, lost_reports=0):
        self.endpoint = endpoint
        self.random = random.Random(seed)
        self.lost_reports = lost_reports

    async def travel(self):
        await asyncio.sleep(self.random.uniform(0.001, 0.008))

    async def fetch_report(self):
        await self.travel()
        report = self.endpoint.report()
        await self.travel()
        if self.lost_reports:
            self.lost_reports -= 1
            return None
        return report

    async def is_reachable(self):
        await self.travel()
        return False

    async def send_order(self, order, guard):
        if not guard():
            return OrderReply.UNAVAILABLE
        await self.travel()
        reply = self.endpoint.order(order)
        await self.travel()
        return reply

    def close(self):
        """Do nothing."""


class PresetClaims(Claims):
    """Claims that begin at a set time; the endpoint always answers."""

    def hold(self, term, since):
        claim = OwnClaim(since, term=term, contact_since=since, last_contact=since)
        self.own_claims_by_endpoint["e1"] = claim

    def begin(self, now):
        self.own_claims_by_endpoint["e1"].held = True
        self.keep(now)

    def keep(self, now):
        self._last_step = now


class Simulation:
    """One endpoint, two holders, and callers that request adapters of both."""

    def __init__(self, endpoint, seed, loop):
        self.endpoint = endpoint
        self.random = random.Random(seed)
        self.loop = loop
        self.numbers = iter(range(1, 1 << 20))
        self.holders = []
        self.claims = []
        for term in (1, 2):
            self.add_holder(term, seed + term)

    def keep_running(self, make_work, name, is_local):
        return self.loop.create_task(make_work())

    def add_holder(self, term, seed):
        claims = PresetClaims(f"i{term}", lease_s=3.0, fenced=self.endpoint.fenced)
        claims.hold(term, self.loop.time())
        instance = SimpleNamespace(
            id=f"i{term}",
            now=self.loop.time,
            bus=Bus(),
            metrics=Metrics(),
            keep_running=self.keep_running,
        )
        holder = EndpointHolder(
            instance,
            None,
            claims,
            EndpointRecord("e1", "s", "127.0.0.1:1", "dc1", 8, False),
            AdapterScheduler(CAPACITY, "m"),
            None,
            SimpleNamespace(find_block=lambda id: None),
            lambda result: None,
            lambda: None,
            lambda record: True,
            lambda record: None,
        )
        lost_reports = self.endpoint.lost_reports if term > 1 else 0
        holder._link = Link(self.endpoint, seed, lost_reports)
        self.holders.append(holder)
        self.claims.append(claims)

    def request_adapters(self):
        """Request a random adapter of every holder."""
        now = self.loop.time()
        for holder in self.holders:
            weights = self.random.choice(ADAPTERS)
            number = next(self.numbers)
            holder.scheduler.add_request(
                LoadRequest(number, weights, 0, 1, False, now, now + 1, now + 2)
            )
            holder.wake()

    async def run(self, second_from):
        """Hold the first claim from the start, and the second later."""
        self.claims[0].begin(self.loop.time())
        end = self.loop.time() + SIMULATION_S
        second_from += self.loop.time()
        while self.loop.time() < end:
            now = self.loop.time()
            if (
                now >= second_from
                and not self.claims[1].own_claims_by_endpoint["e1"].held
            ):
                self.claims[1].begin(now)
            for claims in self.claims:
                claims.keep(now)
            if self.random.random() < 0.1:
                self.request_adapters()
            await asyncio.sleep(STEP_S)
        for holder in self.holders:
            holder.close()


def simulate(seed, second_from, lag_s, fenced=True, answer_loss=0.0, lost_reports=0):
    """Simulate two holders and return the endpoint that they order."""
    now = 100.0
    loop = VirtualLoop(lambda: now)
    asyncio.set_event_loop(loop)
    endpoint = Endpoint(loop.time, lag_s, fenced, answer_loss, seed, lost_reports)

    async def begin():
        await Simulation(endpoint, seed, loop).run(second_from)

    task = loop.create_task(begin())
    while not task.done():
        loop.run_due()
        if task.done():
            break
        now = max(now, loop.next_time)
    loop.kill()
    asyncio.set_event_loop(None)
    task.result()
    return endpoint


@pytest.fixture(autouse=True)
def no_sockets(monkeypatch):
    monkeypatch.setattr(
        holder_module, "OrderLink", lambda *arguments: SimpleNamespace()
    )


seeds = st.integers(0, 1 << 30)
starts = st.floats(0.5, 2.0)
lags = st.floats(0.0, 0.4)


class TestTwoHolders:
    @settings(deadline=None, max_examples=60)
    @given(seeds, starts, lags)
    def test_a_second_holder_does_not_overrun_a_fenced_endpoint(
        self, seed, second_from, lag_s
    ):
        """Guards against a first order that is based on a late report."""
        endpoint = simulate(seed, second_from, lag_s)
        assert endpoint.orders > CAPACITY
        assert endpoint.max_held <= CAPACITY

    @settings(deadline=None, max_examples=30)
    @given(seeds, starts, lags, st.integers(0, 3))
    def test_a_second_holder_succeeds_beside_an_active_one(
        self, seed, second_from, lag_s, lost_reports
    ):
        """Guards against orders that all rest on outdated reports."""
        endpoint = simulate(seed, second_from, lag_s, lost_reports=lost_reports)
        assert endpoint.loads_by_holder["i2"] > 0

    @settings(deadline=None, max_examples=60)
    @given(seeds, starts, lags)
    def test_two_holders_do_not_overrun_an_endpoint_without_fencing(
        self, seed, second_from, lag_s
    ):
        """Guards against two holders that both rely on late reports."""
        endpoint = simulate(seed, second_from, lag_s, fenced=False)
        assert endpoint.orders > CAPACITY
        assert endpoint.max_held <= CAPACITY

    @pytest.mark.parametrize("answer_loss", [0.1, 0.3, 0.6])
    def test_lost_replies_do_not_overrun_an_endpoint(self, answer_loss):
        """Guards against repeating a load that was refused as a new one."""
        for seed in range(20):
            lag_s = 0.02 * seed
            endpoint = simulate(seed, 1.0, lag_s, answer_loss=answer_loss)
            assert endpoint.max_held <= CAPACITY, f"seed {seed}"


class TestOneHolder:
    @settings(deadline=None, max_examples=30)
    @given(seeds, lags, st.sampled_from([0.0, 0.1, 0.3]))
    def test_lost_answers_do_not_overrun_an_endpoint(self, seed, lag_s, answer_loss):
        """Guards against counting a slot as free after a lost reply."""
        endpoint = simulate(seed, SIMULATION_S, lag_s, answer_loss=answer_loss)
        assert endpoint.orders > CAPACITY
        assert endpoint.max_held <= CAPACITY

"""Tests of the limit of endpoints that stand few rejections."""

import heapq
import itertools
import random

import pytest
from hypothesis import given, settings, strategies as st

from fescuekeel.components.allowance.concurrency import (
    ConcurrencyLimit,
    PermitOutcome,
    PermitRequest,
)
from fescuekeel.components.allowance.const import PERMIT_MARGIN_S


def make_request(instance="i1", number=1, priority=5, patience_s=0.0, running=0):
    return PermitRequest(instance, number, priority, patience_s, 2.0, running)


def fill(limit, count, now=0.0):
    """Take permits until there are none left, at most ``count``."""
    granted = 0
    for number in range(1, count + 1):
        granted += limit.ask(make_request(number=number), now)[0].granted
    return granted


class TestPermits:
    def test_as_many_are_granted_as_the_endpoint_runs(self):
        assert fill(ConcurrencyLimit(4, 4.0), 10) == 4

    def test_a_new_endpoint_begins_slowly(self):
        assert fill(ConcurrencyLimit(8, 4.0, is_new=True), 10) == 2

    def test_requests_without_a_permit_count(self):
        limit = ConcurrencyLimit(4, 4.0)
        limit.ask(make_request("i2", 1, running=3), 0.0)
        assert fill(limit, 10) == 0

    def test_a_permit_without_a_word_is_free_in_the_end(self):
        limit = ConcurrencyLimit(1, 4.0)
        assert fill(limit, 2) == 1
        assert fill(limit, 2, now=2.0 + PERMIT_MARGIN_S) == 1

    def test_permits_of_an_instance_that_is_gone_are_free(self):
        limit = ConcurrencyLimit(1, 4.0)
        limit.ask(make_request("i1", 1), 0.0)
        limit.ask(make_request("i2", 1, patience_s=1.0), 0.0)
        decisions = limit.drop_instances({"i1"}, 0.1)
        assert [(item.request.instance, item.granted) for item in decisions] == [
            ("i2", True)
        ]


class TestQueue:
    def test_the_most_urgent_gets_the_next_permit(self):
        limit = ConcurrencyLimit(1, 4.0)
        limit.ask(make_request(number=1), 0.0)
        limit.ask(make_request(number=2, priority=5, patience_s=1.0), 0.1)
        limit.ask(make_request(number=3, priority=1, patience_s=1.0), 0.2)
        (decision,) = limit.end(("i1", 1), PermitOutcome.ANSWERED, 0.3)
        assert decision.request.number == 3

    def test_the_least_urgent_is_refused_when_too_many_wait(self):
        limit = ConcurrencyLimit(1, 4.0)
        limit.ask(make_request(number=1), 0.0)
        refused = []
        for number, priority in enumerate([3, 9, 2, 1], 2):
            request = make_request(number=number, priority=priority, patience_s=1.0)
            refused += limit.ask(request, 0.0)
        assert [(item.request.priority, item.granted) for item in refused] == [
            (9, False),
            (3, False),
        ]

    def test_it_is_refused_after_its_patience_with_a_time_to_return(self):
        limit = ConcurrencyLimit(1, 4.0)
        limit.ask(make_request(number=1), 0.0)
        limit.ask(make_request(number=2, patience_s=0.5), 0.0)
        assert limit.get_next_check(0.0) == 0.5
        (decision,) = limit.step(0.5)
        assert not decision.granted
        assert decision.wait_s > 0

    # Guards against a permit that goes to a request whose caller has left.
    def test_one_that_has_left_waits_no_more(self):
        limit = ConcurrencyLimit(1, 4.0)
        limit.ask(make_request(number=1), 0.0)
        limit.ask(make_request(number=2, patience_s=1.0), 0.0)
        limit.ask(make_request(number=3, patience_s=1.0), 0.0)
        assert limit.end(("i1", 2), PermitOutcome.UNUSED, 0.1) == []
        (decision,) = limit.end(("i1", 1), PermitOutcome.ANSWERED, 0.2)
        assert decision.request.number == 3


class TestRejections:
    # Guards against sending on while an endpoint is close to falling over.
    def test_nothing_is_granted_after_some_of_those_it_stands(self):
        limit = ConcurrencyLimit(100, 4.0)
        fill(limit, 10)
        for number in (1, 2, 3):
            limit.end(("i1", number), PermitOutcome.REJECTED, 0.1)
        limit.end(("i1", 4), PermitOutcome.ANSWERED, 0.1)
        assert not limit.ask(make_request(number=50), 0.2)[0].granted
        assert limit.ask(make_request(number=51), 1.2)[0].granted

    # Guards against an endpoint that is idle in part after a single rejection.
    def test_as_many_are_granted_as_fitted_beside_the_rejected_one(self):
        limit = ConcurrencyLimit(4, 4.0)
        fill(limit, 5)
        for number in (1, 2):
            limit.end(("i1", number), PermitOutcome.ANSWERED, 0.1)
            assert limit.ask(make_request(number=number + 5), 0.1)[0].granted
        assert limit.ask(make_request(number=8), 0.1)[0].granted
        limit.end(("i1", 8), PermitOutcome.REJECTED, 0.2)
        limit.end(("i1", 3), PermitOutcome.ANSWERED, 0.3)
        assert limit.ask(make_request(number=9), 0.3)[0].granted
        assert not limit.ask(make_request(number=10), 0.3)[0].granted

    def test_the_limit_falls_once_for_one_moment(self):
        limit = ConcurrencyLimit(10, 20.0)
        fill(limit, 10)
        limit.end(("i1", 1), PermitOutcome.REJECTED, 0.1)
        before = limit.value
        limit.end(("i1", 2), PermitOutcome.REJECTED, 0.11)
        assert limit.value == before < 10


class Endpoint:
    """An endpoint on a simulated clock that falls over."""

    def __init__(self, slots, waiting, max_rejections_per_s, run_s):
        self.slots, self.max_waiting = slots, waiting
        self.max_rejections_per_s, self.run_s = max_rejections_per_s, run_s
        self.busy, self.queue, self.rejected, self.falls = 0, [], [], 0
        self.served = 0

    def arrive(self, key, now):
        """Return whether the request is taken, and when it ends if it runs."""
        if self.busy < self.slots:
            self.busy += 1
            return True, now + self.run_s
        if len(self.queue) < self.max_waiting:
            self.queue.append(key)
            return True, None
        self.rejected = [at for at in self.rejected if at > now - 1.0] + [now]
        if len(self.rejected) > self.max_rejections_per_s:
            self.falls += 1
            self.rejected = []
        return False, None

    def leave(self, now):
        """End a run; return the next request and its end, if one waited."""
        self.served += 1
        if self.queue:
            return self.queue.pop(0), now + self.run_s
        self.busy -= 1
        return None


class Simulation:
    """Instances, a home and an endpoint that exchange delayed messages."""

    def __init__(self, endpoint, instances, requests_per_s, seed, max_delay_s=0.006):
        self.endpoint = endpoint
        self.max_delay_s = max_delay_s
        self.limit = ConcurrencyLimit(endpoint.slots, endpoint.max_rejections_per_s)
        self.random = random.Random(seed)
        self.instances = instances
        self.requests_per_s = requests_per_s
        self.events, self.order = [], itertools.count()
        self.numbers = itertools.count(1)

    def schedule(self, at, action, *arguments):
        heapq.heappush(self.events, (at, next(self.order), action, arguments))

    def delay(self, now):
        return now + self.random.uniform(0.0005, self.max_delay_s)

    def run(self, seconds, shrinks_at, waiting_then):
        self.schedule(0.0, self.offer)
        self.schedule(shrinks_at, self.shrink, waiting_then)
        while self.events and self.events[0][0] < seconds:
            now, _, action, arguments = heapq.heappop(self.events)
            action(now, *arguments)
        return self.endpoint.falls, self.endpoint.served

    def shrink(self, now, waiting):
        self.endpoint.max_waiting = waiting

    def offer(self, now):
        self.schedule(now + self.random.expovariate(self.requests_per_s), self.offer)
        instance = f"i{self.random.randrange(self.instances)}"
        request = make_request(instance, next(self.numbers), patience_s=0.3)
        self.schedule(self.delay(now), self.ask, request)

    def ask(self, now, request):
        self.decide(now, self.limit.ask(request, now))

    def decide(self, now, decisions):
        for decision in decisions:
            if decision.granted:
                self.schedule(self.delay(now), self.send, decision.request.key)
        check_s = self.limit.get_next_check(now)
        if check_s < 10:
            self.schedule(now + max(0.001, check_s), self.check)

    def check(self, now):
        self.decide(now, self.limit.step(now))

    def send(self, now, key):
        taken, ends_at = self.endpoint.arrive(key, now)
        if not taken:
            self.schedule(self.delay(now), self.end, key, PermitOutcome.REJECTED)
        elif ends_at is not None:
            self.schedule(ends_at, self.leave, key)

    def leave(self, now, key):
        self.schedule(self.delay(now), self.end, key, PermitOutcome.ANSWERED)
        following = self.endpoint.leave(now)
        if following is not None:
            self.schedule(following[1], self.leave, following[0])

    def end(self, now, key, outcome):
        self.decide(now, self.limit.end(key, outcome, now))


@pytest.mark.parametrize("instances", [1, 8, 75])
class TestShrinkingRoom:
    # Guards against a limit that is learned only by one fall after the other.
    def test_an_endpoint_stands_it_and_is_used(self, instances):
        falls = served = capacity = 0
        for seed in range(6):
            endpoint = Endpoint(slots=4, waiting=20, max_rejections_per_s=3, run_s=0.1)
            simulation = Simulation(endpoint, instances, 60.0, seed)
            fell, done = simulation.run(20.0, shrinks_at=5.0, waiting_then=0)
            falls, served = falls + fell, served + done
            capacity += 4 / 0.1 * 20
        assert falls == 0
        assert served >= 0.8 * capacity

    # Guards against an endpoint that waits for messages while requests wait.
    def test_an_endpoint_is_used_although_messages_take_long(self, instances):
        use = []
        for seed in range(6):
            endpoint = Endpoint(slots=4, waiting=20, max_rejections_per_s=4, run_s=0.4)
            simulation = Simulation(endpoint, instances, 13.0, seed, max_delay_s=0.1)
            falls, served = simulation.run(12.0, shrinks_at=3.0, waiting_then=1)
            assert falls == 0
            use.append(served * 0.4 / 4 / 12.0)
        assert min(use) >= 0.8

    @settings(max_examples=10, deadline=None)
    @given(
        st.integers(1, 12),
        st.integers(0, 3),
        st.integers(1, 8),
        st.floats(0.02, 0.5),
        st.integers(0, 2**32),
    )
    def test_falls_are_rare_whatever_the_room(
        self, instances, slots, waiting, max_rejections_per_s, run_s, seed
    ):
        endpoint = Endpoint(slots, 20, max_rejections_per_s, run_s)
        offered = 1.5 * slots / run_s
        simulation = Simulation(endpoint, instances, offered, seed)
        falls, _ = simulation.run(15.0, shrinks_at=5.0, waiting_then=waiting)
        assert falls <= 2

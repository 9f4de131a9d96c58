"""Tests of the adapters that an endpoint holds."""

import hypothesis.strategies as st
from hypothesis import given, settings

from fescuekeel.components.placement.const import GRANT_TTL_S, MAX_PENDING
from fescuekeel.components.placement.model import LoadRequest, LoadResult, SendOrder
from fescuekeel.components.placement.scheduler import AdapterScheduler
from fescuekeel.helpers.dialect import EndpointReport, OrderKind, OrderReply
from fescuekeel.helpers.published import Weights

MODEL = Weights("m")


def adapter(number):
    return Weights("m", f"a{number}")


def make_report(held=(), pending=(), orders_taken=0):
    versions = {MODEL: 1} | dict.fromkeys(held, 1)
    return EndpointReport(
        versions, frozenset(pending), False, 0, 0, 0, 0, orders_taken=orders_taken
    )


def make_scheduler(capacity=3, held=()):
    scheduler = AdapterScheduler(capacity, "m")
    scheduler.record_report(make_report(held), requested_at=0.0, now=0.0)
    return scheduler


def make_request(
    number, weights, priority=1, is_replica=False, since=0.0, on_time_s=5.0
):
    on_time_until = since + on_time_s
    return LoadRequest(
        number, weights, 0, priority, is_replica, since, on_time_until, since + 9.0
    )


def select(effects, kind=SendOrder):
    return [effect for effect in effects if isinstance(effect, kind)]


class TestLoading:
    def test_request_ends_once_the_endpoint_holds_the_adapter(self):
        scheduler = make_scheduler()
        scheduler.add_request(make_request(1, adapter(1)))
        (order,) = select(scheduler.step({}, 1.0))
        scheduler.record_reply(order, OrderReply.ACCEPTED, 1.0)
        assert select(scheduler.step({}, 1.1), LoadResult) == []
        (again,) = select(scheduler.step({}, 1.3))
        assert again.is_repeat
        scheduler.record_reply(again, OrderReply.HOLDS_ALREADY, 1.3)
        (result,) = select(scheduler.step({}, 1.3), LoadResult)
        assert result.loaded

    def test_nothing_is_ordered_before_the_first_report(self):
        scheduler = AdapterScheduler(3, "m")
        scheduler.add_request(make_request(1, adapter(1)))
        assert scheduler.step({}, 1.0) == []

    def test_empty_endpoint_gets_its_model_first(self):
        scheduler = AdapterScheduler(3, "m")
        scheduler.record_report(
            EndpointReport({}, frozenset(), False, 0, 0, 0, 0),
            requested_at=0.0,
            now=0.0,
        )
        scheduler.add_request(make_request(1, adapter(1)))
        (order,) = select(scheduler.step({}, 1.0))
        assert order.weights == MODEL
        assert select(scheduler.step({}, 1.1)) == []

    def test_urgent_request_goes_first(self):
        scheduler = make_scheduler(capacity=20)
        for number in range(MAX_PENDING + 1):
            scheduler.add_request(make_request(number, adapter(number)))
        scheduler.add_request(make_request(99, adapter(99), priority=0, since=1.0))
        orders = select(scheduler.step({}, 1.0))
        assert orders[0].weights == adapter(99)
        assert len(orders) == MAX_PENDING

    def test_late_request_does_not_delay_others(self):
        scheduler = make_scheduler(capacity=1)
        scheduler.add_request(make_request(1, adapter(1), priority=0, on_time_s=0.5))
        scheduler.add_request(make_request(2, adapter(2), priority=2))
        (order,) = select(scheduler.step({}, 1.0))
        assert order.weights == adapter(2)

    def test_expired_request_ends(self):
        """Guards against loads for requests whose callers have given up."""
        scheduler = make_scheduler(capacity=1, held=[adapter(1)])
        scheduler.usage.record_prompt_waiting(adapter(1))
        scheduler.add_request(make_request(1, adapter(2), since=5.0))
        (result,) = select(scheduler.step({}, 14.0), LoadResult)
        assert not result.loaded
        assert scheduler.requests_by_number == {}


class TestSlots:
    def test_unanswered_load_keeps_its_slot(self):
        """Guards against reusing the slot of a load whose reply was lost."""
        scheduler = make_scheduler(capacity=3, held=[adapter(1), adapter(2)])
        scheduler.add_request(make_request(1, adapter(3), since=5.0))
        (order,) = select(scheduler.step({}, 5.0))
        scheduler.record_reply(order, None, 5.0)
        scheduler.add_request(make_request(2, adapter(4), since=5.0))
        orders = select(scheduler.step({}, 5.1))
        loads = [item for item in orders if item.kind is OrderKind.LOAD]
        assert all(item.is_repeat for item in loads)

    def test_missing_load_is_not_repeated_beyond_capacity(self):
        """Guards against repeating a refused load whose reply was lost.

        The endpoint would accept the repeated order as a new one.
        """
        scheduler = AdapterScheduler(2, "m")
        scheduler.record_report(make_report([adapter(1)], orders_taken=5), 0.0, 0.0)
        scheduler.usage.record_prompt_waiting(adapter(1))
        scheduler.add_request(make_request(1, adapter(2), since=5.0))
        (load,) = select(scheduler.step({}, 5.0))
        scheduler.record_reply(load, None, 5.0)
        held = [adapter(1), adapter(3)]
        report = make_report(held, orders_taken=6)
        assert scheduler.record_report(report, 5.5, 5.5) == [adapter(2)]
        scheduler.usage.record_prompt_waiting(adapter(3))
        assert scheduler.count_occupied() == 2
        assert select(scheduler.step({}, 6.0)) == []

    def test_pending_adapter_with_an_unload_order_keeps_its_slot(self):
        """Guards against unloading an adapter that another sender loads."""
        scheduler = make_scheduler(capacity=1, held=[adapter(1)])
        scheduler.add_request(make_request(1, adapter(2), since=5.0))
        (unload,) = select(scheduler.step({}, 5.0))
        scheduler.record_reply(unload, OrderReply.ACCEPTED, 5.0)
        pending = make_report(pending=[adapter(1)], orders_taken=2)
        scheduler.record_report(pending, requested_at=6.0, now=6.0)
        assert scheduler.count_occupied() == 1
        assert select(scheduler.step({}, 6.0)) == []

    def test_load_is_repeated_until_a_later_report(self):
        """Guards against dropping a load that the endpoint may yet accept."""
        scheduler = AdapterScheduler(2, "m")
        scheduler.record_report(make_report([adapter(1)], orders_taken=5), 0.0, 0.0)
        scheduler.add_request(make_request(1, adapter(2), since=5.0))
        (load,) = select(scheduler.step({}, 5.0))
        scheduler.record_reply(load, None, 5.0)
        scheduler.record_report(make_report([adapter(1)], orders_taken=5), 5.5, 5.5)
        assert scheduler.count_occupied() == 2
        (again,) = select(scheduler.step({}, 6.0))
        assert (again.weights, again.is_repeat) == (adapter(2), True)

    def test_reload_after_unload_keeps_its_slot(self):
        """Guards against a report from before an unload.

        It still shows the adapter: a load in progress would look done, and its
        slot would count as free.
        """
        scheduler = make_scheduler(
            capacity=3, held=[adapter(1), adapter(2), adapter(3)]
        )
        scheduler.add_request(make_request(9, adapter(9), since=5.0))
        unloads = select(scheduler.step({}, 5.0))
        for unload in unloads:
            scheduler.record_reply(unload, OrderReply.HOLDS_ALREADY, 5.3)
        unloaded = unloads[0].weights
        scheduler.add_request(make_request(1, unloaded, since=5.3))
        del scheduler.requests_by_number[9]
        (load,) = select(scheduler.step({}, 5.3))
        scheduler.record_reply(load, OrderReply.ACCEPTED, 5.3)
        occupied = scheduler.count_occupied()
        stale = make_report([adapter(1), adapter(2), adapter(3)])
        scheduler.record_report(stale, requested_at=5.35, now=5.36)
        assert scheduler.count_occupied() == occupied

    def test_adapter_in_use_is_not_unloaded(self):
        """Guards against unloading an adapter under an admitted prompt.

        The endpoint would refuse other orders until the prompt's stream ends.
        """
        scheduler = make_scheduler(capacity=2, held=[adapter(1), adapter(2)])
        scheduler.usage.record_prompt_waiting(adapter(1))
        scheduler.usage.record_prompt_waiting(adapter(2))
        scheduler.usage.record_prompt_decided(adapter(2), "i1", granted=True, now=5.0)
        scheduler.add_request(make_request(9, adapter(9), since=5.0))
        assert select(scheduler.step({}, 5.1)) == []
        assert scheduler.list_servable().keys() == {MODEL, adapter(1), adapter(2)}
        scheduler.usage.record_prompt_decided(adapter(1), "i1", granted=True, now=5.2)
        for number in (1, 2):
            scheduler.usage.record_use(
                "i1", adapter(number), running=1, begun=1, now=5.3
            )
        assert select(scheduler.step({}, 5.3 + GRANT_TTL_S)) == []

    def test_idle_adapter_is_evicted_at_once(self):
        """Guards against a delay before an idle adapter is evicted."""
        scheduler = make_scheduler(capacity=1, held=[adapter(1)])
        scheduler.add_request(make_request(9, adapter(9), since=5.0))
        (unload,) = select(scheduler.step({}, 5.0))
        assert (unload.kind, unload.weights) == (OrderKind.UNLOAD, adapter(1))
        scheduler.record_reply(unload, OrderReply.HOLDS_ALREADY, 5.0)
        (load,) = select(scheduler.step({}, 5.0))
        assert (load.kind, load.weights) == (OrderKind.LOAD, adapter(9))

    def test_two_requests_for_one_adapter_evict_one(self):
        scheduler = make_scheduler(capacity=2, held=[adapter(1), adapter(2)])
        for number in (8, 9):
            scheduler.add_request(make_request(number, adapter(9), since=5.0))
        assert len(select(scheduler.step({}, 5.0))) == 1

    def test_adapter_with_least_demand_is_evicted(self):
        scheduler = make_scheduler(capacity=3, held=[adapter(n) for n in (1, 2, 3)])
        for number in (1, 3):
            scheduler.usage.record_use(
                "i1", adapter(number), running=0, begun=5, now=4.0
            )
        scheduler.add_request(make_request(9, adapter(9), since=5.0))
        unloads = select(scheduler.step({}, 5.0))
        assert unloads[0].weights == adapter(2)

    def test_replica_does_not_evict_an_adapter_with_equal_demand(self):
        scheduler = make_scheduler(capacity=1, held=[adapter(1)])
        scheduler.usage.record_use("i1", adapter(1), running=0, begun=5, now=4.0)
        scheduler.usage.record_use("i1", adapter(2), running=0, begun=5, now=4.0)
        scheduler.add_request(make_request(1, adapter(2), is_replica=True))
        assert scheduler._choose_victim(adapter(2), True, 5.0) is None
        assert scheduler._choose_victim(adapter(2), False, 5.0) == adapter(1)


class TestLoadNow:
    """Guards against requests that wait here while another engine is idle."""

    def test_idle_adapter_can_be_replaced(self):
        scheduler = make_scheduler(capacity=1, held=[adapter(1)])
        assert scheduler.can_load_now(adapter(2), 5.0)

    def test_adapters_in_use_cannot_be_replaced(self):
        scheduler = make_scheduler(capacity=1, held=[adapter(1)])
        scheduler.usage.record_prompt_waiting(adapter(1))
        assert not scheduler.can_load_now(adapter(2), 5.0)
        assert scheduler.can_load_now(adapter(1), 5.0)

    def test_waiting_requests_come_first(self):
        scheduler = make_scheduler(capacity=2, held=[adapter(1), adapter(2)])
        scheduler.add_request(make_request(1, adapter(3), since=5.0))
        assert not scheduler.can_load_now(adapter(4), 5.0)
        assert scheduler.can_load_now(adapter(3), 5.0)


class TestRefusedOrders:
    def refuse(self, scheduler, now):
        """Refuse an order; the report after it shows nothing new."""
        (order, *_) = select(scheduler.step({}, now))
        scheduler.record_reply(order, OrderReply.BUSY, now)
        scheduler.record_report(make_report(held=[adapter(1)]), now, now)

    def test_order_is_not_repeated_at_once(self):
        """Guards against a tight loop of refused orders."""
        scheduler = make_scheduler(capacity=1, held=[adapter(1)])
        scheduler.add_request(make_request(1, adapter(2), since=5.0))
        self.refuse(scheduler, 5.0)
        assert select(scheduler.step({}, 5.01)) == []
        sent = sum(bool(self.try_once(scheduler, 5.0 + n / 100)) for n in range(2, 102))
        assert 2 <= sent <= 6

    def try_once(self, scheduler, now):
        orders = select(scheduler.step({}, now))
        for order in orders:
            scheduler.record_reply(order, OrderReply.BUSY, now)
        scheduler.record_report(make_report(held=[adapter(1)]), now, now)
        return orders

    def test_blocked_endpoint_accepts_no_requests(self):
        scheduler = make_scheduler(capacity=1, held=[adapter(1)])
        scheduler.add_request(make_request(1, adapter(2), since=5.0))
        self.refuse(scheduler, 5.0)
        assert scheduler.accepts_request(adapter(3), False, 5.1)
        self.refuse(scheduler, 5.2)
        assert not scheduler.accepts_request(adapter(3), False, 5.4)

    def test_unblocked_endpoint_accepts_requests_again(self):
        """Guards against staying blocked for lack of requests."""
        scheduler = make_scheduler(capacity=1, held=[adapter(1)])
        scheduler.add_request(make_request(1, adapter(2), since=5.0))
        self.refuse(scheduler, 5.0)
        self.refuse(scheduler, 5.4)
        assert not scheduler.accepts_request(adapter(3), False, 5.5)
        assert scheduler.accepts_request(adapter(3), False, 6.0)


class TestVersions:
    def test_newer_version_replaces_the_held_one(self):
        scheduler = make_scheduler(held=[adapter(1)])
        orders = select(scheduler.step({adapter(1): 2}, 5.0))
        assert orders == [SendOrder(OrderKind.LOAD, adapter(1), 2)]
        assert adapter(1) not in scheduler.list_servable()


class FakeEngine:
    """An engine that detects when its adapter capacity is exceeded."""

    def __init__(self, capacity):
        self.capacity = capacity
        self.held = set()
        self.pending = {}
        self.overrun = False
        self.orders_taken = 0
        self.history = []

    def settle(self, now):
        for weights, done in list(self.pending.items()):
            if now >= done:
                del self.pending[weights]
                self.held.add(weights)
        self.history.append((now, set(self.held), set(self.pending), self.orders_taken))

    def order(self, order, after_orders, now, load_s):
        if after_orders != self.orders_taken:
            return OrderReply.BUSY
        if order.kind is OrderKind.UNLOAD:
            self.orders_taken += order.weights in self.held
            self.held.discard(order.weights)
            return OrderReply.HOLDS_ALREADY
        if order.weights in self.held:
            return OrderReply.HOLDS_ALREADY
        if order.weights not in self.pending:
            self.pending[order.weights] = now + load_s
            self.orders_taken += 1
        if len(self.held) + len(self.pending) > self.capacity:
            self.overrun = True
        return OrderReply.ACCEPTED

    def report(self, now, lag_s):
        _, held, pending, taken = next(
            (item for item in reversed(self.history) if item[0] <= now - lag_s),
            self.history[0],
        )
        return make_report(held, pending, taken)


class TestAgainstAnEngine:
    @settings(max_examples=80, deadline=None)
    @given(st.data())
    def test_capacity_is_never_exceeded(self, data):
        """Capacity suffices whatever is requested, lost or reported late."""
        engine = FakeEngine(capacity=4)
        engine.settle(0.0)
        scheduler = AdapterScheduler(4, "m")
        number = 0
        for tick in range(200):
            now = 1.0 + tick * 0.05
            engine.settle(now)
            if data.draw(st.integers(0, 3)) == 0:
                number += 1
                weights = adapter(data.draw(st.integers(0, 9)))
                scheduler.add_request(make_request(number, weights, since=now))
            if tick % 5 == 0:
                lag_s = data.draw(st.sampled_from((0.0, 0.1, 0.3)))
                scheduler.record_report(engine.report(now, lag_s), now, now)
            for effect in select(scheduler.step({}, now)):
                known = scheduler.order_count.value
                load_s = data.draw(st.floats(0.02, 1.0))
                if known is None:
                    scheduler.withdraw(effect)
                    continue
                reply = engine.order(effect, known, now, load_s)
                lost = data.draw(st.integers(0, 9)) == 0
                scheduler.record_reply(effect, None if lost else reply, now)
            assert not engine.overrun

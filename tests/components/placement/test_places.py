"""Tests of which adapters an endpoint holds."""

import hypothesis.strategies as st
from hypothesis import given, settings

from fescuekeel.components.placement.const import GRANT_TTL_S, MAX_PENDING
from fescuekeel.components.placement.model import Ask, AskEnded, GiveOrder
from fescuekeel.components.placement.places import EndpointPlaces
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


def make_places(places=3, held=()):
    known = EndpointPlaces(places, "m")
    known.note_report(make_report(held), asked=0.0, now=0.0)
    return known


def make_ask(number, weights, priority=1, spread=False, since=0.0, on_time_s=5.0):
    on_time_until = since + on_time_s
    return Ask(number, weights, 0, priority, spread, since, on_time_until, since + 9.0)


def take(effects, kind=GiveOrder):
    return [effect for effect in effects if isinstance(effect, kind)]


class TestLoading:
    def test_ask_is_answered_once_the_endpoint_holds_it(self):
        places = make_places()
        places.ask(make_ask(1, adapter(1)))
        (order,) = take(places.step({}, 1.0))
        places.note_reply(order, OrderReply.ACCEPTED, 1.0)
        assert take(places.step({}, 1.1), AskEnded) == []
        (again,) = take(places.step({}, 1.3))
        assert again.again
        places.note_reply(again, OrderReply.HOLDS_ALREADY, 1.3)
        (ended,) = take(places.step({}, 1.3), AskEnded)
        assert ended.loaded

    def test_nothing_is_ordered_before_the_first_report(self):
        places = EndpointPlaces(3, "m")
        places.ask(make_ask(1, adapter(1)))
        assert places.step({}, 1.0) == []

    def test_empty_endpoint_gets_its_model_first(self):
        places = EndpointPlaces(3, "m")
        places.note_report(
            EndpointReport({}, frozenset(), False, 0, 0, 0, 0), asked=0.0, now=0.0
        )
        places.ask(make_ask(1, adapter(1)))
        (order,) = take(places.step({}, 1.0))
        assert order.weights == MODEL
        assert take(places.step({}, 1.1)) == []

    def test_urgent_ask_goes_first(self):
        places = make_places(places=20)
        for number in range(MAX_PENDING + 1):
            places.ask(make_ask(number, adapter(number)))
        places.ask(make_ask(99, adapter(99), priority=0, since=1.0))
        orders = take(places.step({}, 1.0))
        assert orders[0].weights == adapter(99)
        assert len(orders) == MAX_PENDING

    def test_late_ask_does_not_make_others_late(self):
        places = make_places(places=1)
        places.ask(make_ask(1, adapter(1), priority=0, on_time_s=0.5))
        places.ask(make_ask(2, adapter(2), priority=2))
        (order,) = take(places.step({}, 1.0))
        assert order.weights == adapter(2)

    def test_ask_that_nobody_waits_for_ends(self):
        """Under a burst places went to adapters that nobody waited for.

        The ask for a load outlived the patience of those who had asked for it.
        """
        places = make_places(places=1, held=[adapter(1)])
        places.usage.expect(adapter(1))
        places.ask(make_ask(1, adapter(2), since=5.0))
        (ended,) = take(places.step({}, 14.0), AskEnded)
        assert not ended.loaded
        assert places.asks_by_number == {}


class TestRoom:
    def test_unanswered_load_keeps_its_place(self):
        """An engine was ordered to hold more than it has places for.

        The answer to a load was lost with its connection. The load had been
        taken all the same, and its place was given away.
        """
        places = make_places(places=3, held=[adapter(1), adapter(2)])
        places.ask(make_ask(1, adapter(3), since=5.0))
        (order,) = take(places.step({}, 5.0))
        places.note_reply(order, None, 5.0)
        places.ask(make_ask(2, adapter(4), since=5.0))
        orders = take(places.step({}, 5.1))
        loads = [item for item in orders if item.kind is OrderKind.LOAD]
        assert all(item.again for item in loads)

    def test_reload_after_unload_keeps_its_place(self):
        """An engine was ordered to hold more than it has places for.

        An adapter was unloaded and, a moment later, asked for again. A report
        from before the unload still showed it, so that the load under way
        looked done; what had been unloaded did not count as held either.
        """
        places = make_places(places=3, held=[adapter(1), adapter(2), adapter(3)])
        places.ask(make_ask(9, adapter(9), since=5.0))
        unloads = take(places.step({}, 5.0))
        for unload in unloads:
            places.note_reply(unload, OrderReply.HOLDS_ALREADY, 5.3)
        gone = unloads[0].weights
        places.ask(make_ask(1, gone, since=5.3))
        del places.asks_by_number[9]
        (load,) = take(places.step({}, 5.3))
        places.note_reply(load, OrderReply.ACCEPTED, 5.3)
        taken = places.count_taken()
        stale = make_report([adapter(1), adapter(2), adapter(3)])
        places.note_report(stale, asked=5.35, now=5.36)
        assert places.count_taken() == taken

    def test_adapter_in_use_is_not_unloaded(self):
        """No order was taken for four seconds by one engine.

        It had been ordered to unload an adapter in use, waited for the runs
        and refused all else. A prompt for the adapter had got its turn, and
        its instance had not told of it yet.
        """
        places = make_places(places=2, held=[adapter(1), adapter(2)])
        places.usage.expect(adapter(1))
        places.usage.expect(adapter(2))
        places.usage.settle(adapter(2), "i1", granted=True, now=5.0)
        places.ask(make_ask(9, adapter(9), since=5.0))
        assert take(places.step({}, 5.1)) == []
        assert places.list_servable().keys() == {MODEL, adapter(1), adapter(2)}
        places.usage.settle(adapter(1), "i1", granted=True, now=5.2)
        for number in (1, 2):
            places.usage.note_use("i1", adapter(number), running=1, begun=1, now=5.3)
        assert take(places.step({}, 5.3 + GRANT_TTL_S)) == []

    def test_idle_adapter_goes_at_once(self):
        """A prompt waited for a quarter of a second more than its load took.

        The adapter in its place was idle, and was given notice first.
        """
        places = make_places(places=1, held=[adapter(1)])
        places.ask(make_ask(9, adapter(9), since=5.0))
        (unload,) = take(places.step({}, 5.0))
        assert (unload.kind, unload.weights) == (OrderKind.UNLOAD, adapter(1))
        places.note_reply(unload, OrderReply.HOLDS_ALREADY, 5.0)
        (load,) = take(places.step({}, 5.0))
        assert (load.kind, load.weights) == (OrderKind.LOAD, adapter(9))

    def test_two_asks_for_one_adapter_drive_out_one(self):
        places = make_places(places=2, held=[adapter(1), adapter(2)])
        for number in (8, 9):
            places.ask(make_ask(number, adapter(9), since=5.0))
        assert len(take(places.step({}, 5.0))) == 1

    def test_least_wanted_adapter_goes(self):
        places = make_places(places=3, held=[adapter(n) for n in (1, 2, 3)])
        for number in (1, 3):
            places.usage.note_use("i1", adapter(number), running=0, begun=5, now=4.0)
        places.ask(make_ask(9, adapter(9), since=5.0))
        unloads = take(places.step({}, 5.0))
        assert unloads[0].weights == adapter(2)

    def test_copy_does_not_drive_out_what_is_wanted_as_much(self):
        places = make_places(places=1, held=[adapter(1)])
        places.usage.note_use("i1", adapter(1), running=0, begun=5, now=4.0)
        places.usage.note_use("i1", adapter(2), running=0, begun=5, now=4.0)
        places.ask(make_ask(1, adapter(2), spread=True))
        assert places._choose_victim(adapter(2), True, 5.0) is None
        assert places._choose_victim(adapter(2), False, 5.0) == adapter(1)


class TestRoomNow:
    """Asks waited for a place while another engine had ten idle ones."""

    def test_idle_adapter_makes_room(self):
        places = make_places(places=1, held=[adapter(1)])
        assert places.can_load_now(adapter(2), 5.0)

    def test_adapters_in_use_leave_no_room(self):
        places = make_places(places=1, held=[adapter(1)])
        places.usage.expect(adapter(1))
        assert not places.can_load_now(adapter(2), 5.0)
        assert places.can_load_now(adapter(1), 5.0)

    def test_those_that_wait_come_first(self):
        places = make_places(places=2, held=[adapter(1), adapter(2)])
        places.ask(make_ask(1, adapter(3), since=5.0))
        assert not places.can_load_now(adapter(4), 5.0)
        assert places.can_load_now(adapter(3), 5.0)


class TestRefusedOrders:
    def refuse(self, places, now):
        """Refuse an order; the report after it shows nothing new."""
        (order, *_) = take(places.step({}, now))
        places.note_reply(order, OrderReply.BUSY, now)
        places.note_report(make_report(held=[adapter(1)]), now, now)

    def test_order_is_not_repeated_at_once(self):
        """An engine got thirty orders a second, and refused each of them."""
        places = make_places(places=1, held=[adapter(1)])
        places.ask(make_ask(1, adapter(2), since=5.0))
        self.refuse(places, 5.0)
        assert take(places.step({}, 5.01)) == []
        given = sum(bool(self.try_once(places, 5.0 + n / 100)) for n in range(2, 102))
        assert 2 <= given <= 6

    def try_once(self, places, now):
        orders = take(places.step({}, now))
        for order in orders:
            places.note_reply(order, OrderReply.BUSY, now)
        places.note_report(make_report(held=[adapter(1)]), now, now)
        return orders

    def test_blocked_endpoint_takes_no_asks(self):
        places = make_places(places=1, held=[adapter(1)])
        places.ask(make_ask(1, adapter(2), since=5.0))
        self.refuse(places, 5.0)
        assert places.has_room_to_ask(adapter(3), False, 5.1)
        self.refuse(places, 5.2)
        assert not places.has_room_to_ask(adapter(3), False, 5.4)

    def test_endpoint_that_was_blocked_takes_asks_again(self):
        """An engine got no order for eleven seconds.

        It had refused some, so that asks went elsewhere; and since none came
        any more, nothing showed that it took orders again.
        """
        places = make_places(places=1, held=[adapter(1)])
        places.ask(make_ask(1, adapter(2), since=5.0))
        self.refuse(places, 5.0)
        self.refuse(places, 5.4)
        assert not places.has_room_to_ask(adapter(3), False, 5.5)
        assert places.has_room_to_ask(adapter(3), False, 6.0)


class TestVersions:
    def test_named_version_replaces_the_one_held(self):
        places = make_places(held=[adapter(1)])
        orders = take(places.step({adapter(1): 2}, 5.0))
        assert orders == [GiveOrder(OrderKind.LOAD, adapter(1), 2)]
        assert adapter(1) not in places.list_servable()


class FakeEngine:
    """Hold adapters as an engine does, and know when it is overrun."""

    def __init__(self, places):
        self.places = places
        self.held = set()
        self.pending = {}
        self.overrun = False
        self.taken = 0
        self.history = []

    def settle(self, now):
        for weights, done in list(self.pending.items()):
            if now >= done:
                del self.pending[weights]
                self.held.add(weights)
        self.history.append((now, set(self.held), set(self.pending), self.taken))

    def order(self, order, after_orders, now, load_s):
        if after_orders != self.taken:
            return OrderReply.BUSY
        if order.kind is OrderKind.UNLOAD:
            self.taken += order.weights in self.held
            self.held.discard(order.weights)
            return OrderReply.HOLDS_ALREADY
        if order.weights in self.held:
            return OrderReply.HOLDS_ALREADY
        if order.weights not in self.pending:
            self.pending[order.weights] = now + load_s
            self.taken += 1
        if len(self.held) + len(self.pending) > self.places:
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
    def test_endpoint_is_never_overrun(self, data):
        """Whatever is asked for, lost or reported late, places suffice."""
        engine = FakeEngine(places=4)
        engine.settle(0.0)
        places = EndpointPlaces(4, "m")
        number = 0
        for tick in range(200):
            now = 1.0 + tick * 0.05
            engine.settle(now)
            if data.draw(st.integers(0, 3)) == 0:
                number += 1
                weights = adapter(data.draw(st.integers(0, 9)))
                places.ask(make_ask(number, weights, since=now))
            if tick % 5 == 0:
                lag_s = data.draw(st.sampled_from((0.0, 0.1, 0.3)))
                places.note_report(engine.report(now, lag_s), now, now)
            for effect in take(places.step({}, now)):
                known = places.order_count.taken
                load_s = data.draw(st.floats(0.02, 1.0))
                if known is None:
                    places.withdraw(effect)
                    continue
                reply = engine.order(effect, known, now, load_s)
                lost = data.draw(st.integers(0, 9)) == 0
                places.note_reply(effect, None if lost else reply, now)
            assert not engine.overrun

"""Tests of how the orders that an endpoint has taken are counted."""

from fescuekeel.components.placement.const import REPORT_LAG_S
from fescuekeel.components.placement.holdings import Holdings
from fescuekeel.components.placement.model import Ask, Order
from fescuekeel.components.placement.order_count import OrderCount, ReportAge
from fescuekeel.components.placement.places import EndpointPlaces
from fescuekeel.helpers.dialect import EndpointReport, OrderKind, OrderReply
from fescuekeel.helpers.published import Weights

MODEL = Weights("m")
CARDS = Weights("m", "cards")
ROPE = Weights("m", "rope")


def make_places(held=(), orders_taken=5):
    places = EndpointPlaces(1, "m")
    versions = {MODEL: 1} | dict.fromkeys(held, 1)
    report = EndpointReport(
        versions, frozenset(), False, 0, 0, 0, 0, orders_taken=orders_taken
    )
    places.note_report(report, asked=0.0, now=0.0)
    return places


def ask_for(places, weights):
    places.ask(Ask(1, weights, 0, 1, False, 0.0, 5.0, 9.0))
    (order,) = places.step({}, 1.0)
    return order


class TestOrderCount:
    def make_count(self):
        """Return a count of four, the last of them an own order at 1.0."""
        count = OrderCount(taken=3, confirmed=True)
        count.note_taken(now=1.0)
        return count

    def test_a_report_with_more_orders_shows_another_holder(self):
        count = self.make_count()
        assert count.compare(4) is ReportAge.CURRENT
        assert count.compare(5) is ReportAge.NEWER

    def test_a_report_from_before_an_own_order_is_left_aside(self):
        count = self.make_count()
        assert count.compare(3) is ReportAge.OLDER
        assert not count.note_report(3, asked=1.0 + REPORT_LAG_S / 2)
        assert count.taken == 4

    def test_a_count_that_no_report_ever_shows_is_given_up(self):
        """Guards against orders that are refused for good."""
        count = self.make_count()
        assert count.note_report(3, asked=1.0 + REPORT_LAG_S)
        assert count.taken == 3

    def test_in_doubt_any_report_is_taken(self):
        count = self.make_count()
        count.note_doubt()
        assert count.compare(2) is ReportAge.CURRENT
        assert count.note_report(2, asked=1.1)
        assert count.taken == 2


class TestWhatCounts:
    def test_a_load_counts_once_however_often_it_is_given(self):
        places = make_places()
        places.note_reply(ask_for(places, CARDS), OrderReply.ACCEPTED, 1.0)
        (again,) = places.step({}, 2.0)
        places.note_reply(again, OrderReply.ACCEPTED, 2.0)
        (again,) = places.step({}, 2.1)
        places.note_reply(again, OrderReply.HOLDS_ALREADY, 2.1)
        assert places.order_count.taken == 6

    def test_an_unload_that_is_done_at_once_counts(self):
        places = make_places(held=[CARDS])
        places.usage.begin(-10.0)
        order = ask_for(places, ROPE)
        assert order.kind is OrderKind.UNLOAD
        places.note_reply(order, OrderReply.HOLDS_ALREADY, 1.0)
        assert places.order_count.taken == 6

    def test_a_refused_order_does_not_count_and_stops_others(self):
        places = make_places()
        places.note_reply(ask_for(places, CARDS), OrderReply.BUSY, 1.0)
        assert places.order_count.taken == 5
        assert places.step({}, 3.0) == []

    def test_an_order_without_an_answer_leaves_the_count_in_doubt(self):
        places = make_places()
        places.note_reply(ask_for(places, CARDS), None, 1.0)
        assert places.order_count.taken is None
        assert places.step({}, 3.0) == []


class TestOrderWithoutEffect:
    def test_it_names_the_base_model_and_no_adapter(self):
        """Guards against a load of an adapter that is gone by now."""
        order = make_places(held=[CARDS]).choose_order_without_effect()
        assert (order.kind, order.weights) == (OrderKind.LOAD, MODEL)
        assert (order.version, order.again) == (1, True)

    def test_without_a_told_version_there_is_none(self):
        assert EndpointPlaces(1, "m").choose_order_without_effect() is None
        places = EndpointPlaces(1, "m", Holdings({MODEL: 0}))
        assert places.choose_order_without_effect() is None

    def test_a_load_that_is_under_way_is_left_alone(self):
        places = make_places()
        places.orders_by_weights[MODEL] = Order(OrderKind.LOAD, 1, 0.0, 9.0)
        assert places.choose_order_without_effect() is None

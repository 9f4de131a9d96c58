"""Tests of the count of accepted orders."""

from fescuekeel.components.placement.const import REPORT_LAG_S
from fescuekeel.components.placement.holdings import Holdings
from fescuekeel.components.placement.model import LoadRequest, Order
from fescuekeel.components.placement.order_count import OrderCount, ReportAge
from fescuekeel.components.placement.scheduler import AdapterScheduler
from fescuekeel.helpers.dialect import EndpointReport, OrderKind, OrderReply
from fescuekeel.helpers.published import Weights

MODEL = Weights("m")
CARDS = Weights("m", "cards")
ROPE = Weights("m", "rope")


def make_scheduler(held=(), orders_taken=5):
    scheduler = AdapterScheduler(1, "m")
    versions = {MODEL: 1} | dict.fromkeys(held, 1)
    report = EndpointReport(
        versions, frozenset(), False, 0, 0, 0, 0, orders_taken=orders_taken
    )
    scheduler.record_report(report, requested_at=0.0, now=0.0)
    return scheduler


def request_load(scheduler, weights):
    scheduler.add_request(LoadRequest(1, weights, 0, 1, False, 0.0, 5.0, 9.0))
    (order,) = scheduler.step({}, 1.0)
    return order


class TestOrderCount:
    def make_count(self):
        """Return a count of four, the last of them an own order at 1.0."""
        count = OrderCount(value=3, confirmed=True)
        count.record_accepted(now=1.0)
        return count

    def test_a_report_with_more_orders_shows_another_holder(self):
        count = self.make_count()
        assert count.compare(4) is ReportAge.CURRENT
        assert count.compare(5) is ReportAge.NEWER

    def test_a_report_from_before_an_own_order_is_ignored(self):
        count = self.make_count()
        assert count.compare(3) is ReportAge.OLDER
        assert not count.record_report(3, requested_at=1.0 + REPORT_LAG_S / 2)
        assert count.value == 4

    def test_a_count_that_reports_never_confirm_is_replaced(self):
        """Guards against orders that are refused for good."""
        count = self.make_count()
        assert count.record_report(3, requested_at=1.0 + REPORT_LAG_S)
        assert count.value == 3

    def test_any_report_sets_an_unknown_count(self):
        count = self.make_count()
        count.mark_unknown()
        assert count.compare(2) is ReportAge.CURRENT
        assert count.record_report(2, requested_at=1.1)
        assert count.value == 2


class TestCountedOrders:
    def test_a_load_counts_once_however_often_it_is_repeated(self):
        scheduler = make_scheduler()
        scheduler.record_reply(request_load(scheduler, CARDS), OrderReply.ACCEPTED, 1.0)
        (again,) = scheduler.step({}, 2.0)
        scheduler.record_reply(again, OrderReply.ACCEPTED, 2.0)
        (again,) = scheduler.step({}, 2.1)
        scheduler.record_reply(again, OrderReply.HOLDS_ALREADY, 2.1)
        assert scheduler.order_count.value == 6

    def test_an_unload_that_is_done_at_once_counts(self):
        scheduler = make_scheduler(held=[CARDS])
        scheduler.usage.record_claim_held(-10.0)
        order = request_load(scheduler, ROPE)
        assert order.kind is OrderKind.UNLOAD
        scheduler.record_reply(order, OrderReply.HOLDS_ALREADY, 1.0)
        assert scheduler.order_count.value == 6

    def test_a_refused_order_does_not_count_and_stops_others(self):
        scheduler = make_scheduler()
        scheduler.record_reply(request_load(scheduler, CARDS), OrderReply.BUSY, 1.0)
        assert scheduler.order_count.value == 5
        assert scheduler.step({}, 3.0) == []

    def test_an_order_without_a_reply_makes_the_count_unknown(self):
        scheduler = make_scheduler()
        scheduler.record_reply(request_load(scheduler, CARDS), None, 1.0)
        assert scheduler.order_count.value is None
        assert scheduler.step({}, 3.0) == []


class TestUnknownCount:
    def test_pending_adapter_is_not_held(self):
        """Guards against adapters of an outdated report that were reloaded."""
        scheduler = make_scheduler(held=[CARDS])
        scheduler.order_count.mark_unknown()
        report = EndpointReport(
            {MODEL: 1}, frozenset([CARDS]), False, 0, 0, 0, 0, orders_taken=7
        )
        scheduler.record_report(report, requested_at=1.0, now=1.0)
        assert scheduler.get_servable_version(CARDS) is None
        assert scheduler.count_occupied() == 1


class TestNoopOrder:
    def test_it_names_the_base_model_and_no_adapter(self):
        """Guards against loading an adapter that has been unloaded since."""
        order = make_scheduler(held=[CARDS]).choose_noop_order()
        assert (order.kind, order.weights) == (OrderKind.LOAD, MODEL)
        assert (order.version, order.is_repeat) == (1, True)

    def test_there_is_none_without_a_reported_version(self):
        assert AdapterScheduler(1, "m").choose_noop_order() is None
        scheduler = AdapterScheduler(1, "m", Holdings({MODEL: 0}))
        assert scheduler.choose_noop_order() is None

    def test_a_load_in_progress_is_not_repeated(self):
        scheduler = make_scheduler()
        scheduler.orders_by_weights[MODEL] = Order(OrderKind.LOAD, 1, 0.0, 9.0)
        assert scheduler.choose_noop_order() is None

"""Tests of what a new holder does before its first order."""

import hypothesis.strategies as st
from hypothesis import given

from fescuekeel.components.placement.const import REPORT_LAG_S
from fescuekeel.components.placement.takeover import (
    Takeover,
    choose_order_that_holds,
)
from fescuekeel.helpers.dialect import OrderKind
from fescuekeel.helpers.published import Weights

BASE = Weights("m")
HELD = Weights("m", "a1")


class Endpoint:
    """An endpoint that refuses older fencing numbers, with late reports."""

    def __init__(self, lag_s):
        self.fence = 1
        self.lag_s = lag_s
        self.accepted = []

    def order(self, fence, now):
        if fence < self.fence:
            return False
        self.fence = fence
        self.accepted.append(now)
        return True

    def count_shown(self, now):
        return sum(at <= now - self.lag_s for at in self.accepted)


class TestFence:
    @given(
        st.floats(0, REPORT_LAG_S),
        st.lists(st.floats(0, 3), max_size=20),
        st.floats(0, 1),
    )
    def test_no_order_of_the_holder_before_is_missed(self, lag_s, old_orders, began):
        """An endpoint stopped for good: it was ordered to hold too much.

        An instance that had started behind a cut heard of no holder and gave
        its first order by a report that did not show the last order of the
        real holder, given a tenth of a second before.
        """
        endpoint = Endpoint(lag_s)
        takeover = Takeover(fenced=True)
        now = began
        olds = sorted(old_orders)
        while not takeover.may_order:
            while olds and olds[0] <= now:
                endpoint.order(1, olds.pop(0))
            if now >= takeover.next_look:
                shown = endpoint.count_shown(now)
                takeover.note_report(now)
            if takeover.needs_fence:
                endpoint.order(2, now)
                takeover.note_fence(now)
            now += 0.05
        for late in olds:
            assert not endpoint.order(1, late)
        assert shown == len(endpoint.accepted)

    def test_without_fencing_numbers_a_report_is_all_there_is(self):
        takeover = Takeover(fenced=False)
        assert not takeover.may_order
        takeover.note_report(asked=1.0)
        assert takeover.may_order
        assert not takeover.needs_fence


class TestOrderThatHolds:
    def test_it_names_what_is_held_in_its_version(self):
        order = choose_order_that_holds({BASE: 1, HELD: 0}, ())
        assert (order.kind, order.weights, order.version) == (OrderKind.LOAD, BASE, 1)

    def test_an_adapter_is_named_before_the_base_model(self):
        order = choose_order_that_holds({BASE: 1, HELD: 3}, ())
        assert (order.weights, order.version) == (HELD, 3)

    def test_without_a_told_version_there_is_none(self):
        assert choose_order_that_holds({}, ()) is None
        assert choose_order_that_holds({HELD: 0}, ()) is None

    def test_what_is_under_way_is_left_alone(self):
        assert choose_order_that_holds({HELD: 3}, {HELD}) is None

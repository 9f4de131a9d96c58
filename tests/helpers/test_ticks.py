"""Tests of the common grid of periodic work."""

import hypothesis.strategies as st
from hypothesis import given

from fescuekeel.components.catalog.const import DUTY_POLL_S, NEWS_PERIOD_S
from fescuekeel.components.forward.component import SWEEP_PERIOD_S
from fescuekeel.components.forward.use import USE_PERIOD_S
from fescuekeel.components.membership.const import TICK_S as MEMBERSHIP_TICK_S
from fescuekeel.components.peers.const import CHECK_PERIOD_S
from fescuekeel.components.placement.const import TICK_S as PLACEMENT_TICK_S
from fescuekeel.helpers.ticks import SHORTEST_SHARE, get_next_tick_s

TIMES = st.floats(0, 1e6)
PERIODS = st.sampled_from([0.1, 0.2, 0.25, 0.5])


class TestGrid:
    @given(TIMES, PERIODS, st.floats(0, 1))
    def test_work_comes_neither_twice_in_a_row_nor_much_late(
        self, now, period_s, phase_s
    ):
        wait_s = get_next_tick_s(period_s, now, phase_s)
        slack = 1e-6
        assert SHORTEST_SHARE * period_s - slack <= wait_s
        assert wait_s <= (1 + SHORTEST_SHARE) * period_s + slack

    def test_periods_meet_at_common_moments(self):
        """An idle instance woke up some forty times a second."""
        moments = set()
        for number, period_s in enumerate((0.1, 0.1, 0.2, 0.2, 0.25, 0.5)):
            now = 100.0 + 0.013 * number
            while now < 110.0:
                now += get_next_tick_s(period_s, now, phase_s=0.3)
                moments.add(round(now, 3))
        assert len(moments) <= 13 * 10

    def test_the_periods_of_the_product_share_four_moments_a_second(self):
        """A fleet at rest used more processor than its callers' requests.

        Each instance woke seventeen times a second for work that was due
        anyway within a quarter of a second.
        """
        periods = (
            DUTY_POLL_S,
            NEWS_PERIOD_S,
            SWEEP_PERIOD_S,
            USE_PERIOD_S,
            MEMBERSHIP_TICK_S,
            CHECK_PERIOD_S,
            PLACEMENT_TICK_S,
        )
        moments = set()
        for number, period_s in enumerate(periods):
            now = 100.0 + 0.013 * number
            while now < 110.0:
                now += get_next_tick_s(period_s, now, phase_s=0.3)
                moments.add(round(now, 3))
        assert len(moments) <= 4 * 10 + 1

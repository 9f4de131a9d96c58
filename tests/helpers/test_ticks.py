"""Tests of the common grid of periodic work."""

import hypothesis.strategies as st
from hypothesis import given

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

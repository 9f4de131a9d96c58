"""Tests of aligning periodic tasks to common ticks."""

import hypothesis.strategies as st
from hypothesis import given

from fescuekeel.components.catalog.const import NEWS_PERIOD_S, WATCHER_POLL_S
from fescuekeel.components.forward.component import SWEEP_PERIOD_S
from fescuekeel.components.forward.use import USE_PERIOD_S
from fescuekeel.components.membership.const import TICK_S as MEMBERSHIP_TICK_S
from fescuekeel.components.peers.const import CHECK_PERIOD_S
from fescuekeel.components.placement.const import TICK_S as PLACEMENT_TICK_S
from fescuekeel.helpers.ticks import MIN_WAIT_SHARE, get_next_tick_s

TIMES = st.floats(0, 1e6)
PERIODS = st.sampled_from([0.1, 0.2, 0.25, 0.5])


class TestAlignment:
    @given(TIMES, PERIODS, st.floats(0, 1))
    def test_wait_is_about_one_period(self, now, period_s, phase_s):
        wait_s = get_next_tick_s(period_s, now, phase_s)
        slack = 1e-6
        assert MIN_WAIT_SHARE * period_s - slack <= wait_s
        assert wait_s <= (1 + MIN_WAIT_SHARE) * period_s + slack

    def test_tasks_share_their_wake_ups(self):
        wake_ups = set()
        for number, period_s in enumerate((0.1, 0.1, 0.2, 0.2, 0.25, 0.5)):
            now = 100.0 + 0.013 * number
            while now < 110.0:
                now += get_next_tick_s(period_s, now, phase_s=0.3)
                wake_ups.add(round(now, 3))
        assert len(wake_ups) <= 13 * 10

    def test_components_share_four_wake_ups_per_second(self):
        """Wake-ups of idle instances must not dominate their CPU time."""
        periods = (
            WATCHER_POLL_S,
            NEWS_PERIOD_S,
            SWEEP_PERIOD_S,
            USE_PERIOD_S,
            MEMBERSHIP_TICK_S,
            CHECK_PERIOD_S,
            PLACEMENT_TICK_S,
        )
        wake_ups = set()
        for number, period_s in enumerate(periods):
            now = 100.0 + 0.013 * number
            while now < 110.0:
                now += get_next_tick_s(period_s, now, phase_s=0.3)
                wake_ups.add(round(now, 3))
        assert len(wake_ups) <= 4 * 10 + 1

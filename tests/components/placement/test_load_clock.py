"""Tests of learning from an endpoint's loads."""

from fescuekeel.components.placement.const import CHECK_PERIOD_S, MAX_PENDING
from fescuekeel.components.placement.load_clock import LoadClock


def note(clock, took_s, times=30, warm=False):
    for _ in range(times):
        clock.note(took_s, warm)


class TestFirstLook:
    def test_slow_loads_are_looked_for_later(self):
        clock = LoadClock()
        note(clock, 0.8)
        assert abs(clock.get_first_look_s(warm=False) - (0.8 - CHECK_PERIOD_S)) < 0.01

    def test_warm_loads_show_nothing_of_others(self):
        clock, other = LoadClock(), LoadClock()
        note(clock, 0.02, warm=True)
        assert clock == other
        assert clock.get_first_look_s(warm=True) < 0.05


class TestLoadsAtOnce:
    """An urgent adapter took as long as three others that came before it.

    The weight store served more loads at once than it does at full speed.
    """

    def test_fewer_are_ordered_while_loads_take_longer(self):
        clock = LoadClock()
        note(clock, 0.25, times=1)
        note(clock, 0.65)
        assert clock.max_at_once == 1

    def test_more_are_ordered_once_they_are_fast_again(self):
        clock = LoadClock()
        note(clock, 0.25, times=1)
        note(clock, 0.65)
        note(clock, 0.26, times=40)
        assert clock.max_at_once == MAX_PENDING

    def test_engine_whose_loads_always_take_long_is_not_held_back(self):
        clock = LoadClock()
        note(clock, 0.9)
        assert clock.max_at_once == MAX_PENDING

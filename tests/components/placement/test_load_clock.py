"""Tests of the estimate of load times."""

from fescuekeel.components.placement.const import CHECK_PERIOD_S, MAX_PENDING
from fescuekeel.components.placement.load_estimator import LoadTimeEstimator


def record_loads(estimator, took_s, times=30, warm=False):
    for _ in range(times):
        estimator.record_load(took_s, warm)


class TestFirstCheck:
    def test_slow_loads_are_checked_later(self):
        estimator = LoadTimeEstimator()
        record_loads(estimator, 0.8)
        assert (
            abs(estimator.get_first_check_s(warm=False) - (0.8 - CHECK_PERIOD_S)) < 0.01
        )

    def test_warm_loads_do_not_affect_the_estimate(self):
        estimator, other = LoadTimeEstimator(), LoadTimeEstimator()
        record_loads(estimator, 0.02, warm=True)
        assert estimator == other
        assert estimator.get_first_check_s(warm=True) < 0.05


class TestConcurrency:
    """Guards against slowing urgent loads by more than the store can serve."""

    def test_concurrency_decreases_while_loads_slow_down(self):
        estimator = LoadTimeEstimator()
        record_loads(estimator, 0.25, times=1)
        record_loads(estimator, 0.65)
        assert estimator.max_concurrent == 1

    def test_concurrency_recovers_with_load_times(self):
        estimator = LoadTimeEstimator()
        record_loads(estimator, 0.25, times=1)
        record_loads(estimator, 0.65)
        record_loads(estimator, 0.26, times=40)
        assert estimator.max_concurrent == MAX_PENDING

    def test_uniformly_slow_loads_are_not_limited(self):
        estimator = LoadTimeEstimator()
        record_loads(estimator, 0.9)
        assert estimator.max_concurrent == MAX_PENDING

"""Tests of estimating the overhead of first chunks."""

import random

from fescuekeel.components.endpoints import ENGINE_STEP_S, EndpointLoad
from fescuekeel.components.forward.const import MAX_OVERHEAD_S
from fescuekeel.components.forward.overhead import OverheadEstimator

FIRST_S = 0.09
TOKENS_PER_S = 16_000


def make_estimator(overhead_s=FIRST_S, samples=40):
    rng = random.Random(1)
    estimator = OverheadEstimator()
    for _ in range(samples):
        tokens = rng.randint(100, 4000)
        noise_s = rng.uniform(0.0, 0.02)
        estimator.note(tokens, overhead_s + tokens / TOKENS_PER_S + noise_s)
    return estimator


class TestOverhead:
    """Guards against refusing prompts for engines that are partly idle.

    With the fixed overhead counted as prefill, their speed is underestimated.
    """

    def test_overhead_is_separated_from_prefill(self):
        assert abs(make_estimator().overhead_s - FIRST_S) < 0.025

    def test_speed_excludes_the_overhead(self):
        load = EndpointLoad()
        load.begin(None, 1200)
        wait_s = FIRST_S + 1200 / TOKENS_PER_S
        load.record_first_chunk(1200, 0, wait_s, FIRST_S, 0.0)
        assert abs(load.speeds[0] - TOKENS_PER_S) < 1

    def test_speed_is_sampled_with_other_prompts_ahead(self):
        """Guards against having no speed samples under load."""
        load = EndpointLoad()
        load.begin(None, 4000)
        load.begin(None, 1200)
        wait_s = FIRST_S + 1200 / TOKENS_PER_S
        load.record_first_chunk(1200, 4000, wait_s, FIRST_S, 0.0)
        assert abs(load.speeds[0] - TOKENS_PER_S) < 1

    def test_default_is_used_without_enough_samples(self):
        assert OverheadEstimator().overhead_s == ENGINE_STEP_S
        assert make_estimator(samples=3).overhead_s == ENGINE_STEP_S

    def test_default_is_used_for_prompts_of_one_size(self):
        estimator = OverheadEstimator()
        for _ in range(20):
            estimator.note(1000, 0.2)
        assert estimator.overhead_s == ENGINE_STEP_S

    def test_estimate_is_bounded(self):
        assert make_estimator(overhead_s=5.0).overhead_s == MAX_OVERHEAD_S

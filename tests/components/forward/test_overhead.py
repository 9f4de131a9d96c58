"""Tests of learning what a first piece takes besides reading."""

import random

from fescuekeel.components.forward.const import MAX_OVERHEAD_S, STEP_S
from fescuekeel.components.forward.endpoints import EndpointLoad
from fescuekeel.components.forward.overhead import FirstPieceFit

FIRST_S = 0.09
TOKENS_PER_S = 16_000


def make_fit(overhead_s=FIRST_S, samples=40):
    chance = random.Random(1)
    fit = FirstPieceFit()
    for _ in range(samples):
        tokens = chance.randint(100, 4000)
        noise_s = chance.uniform(0.0, 0.02)
        fit.note(tokens, overhead_s + tokens / TOKENS_PER_S + noise_s)
    return fit


class TestOverhead:
    """A tenth of a day's prompts were refused by engines that were half idle.

    The engines add 80 ms to each first piece, in which they go on with other
    prompts. That was taken for reading time, so that an engine that reads 16
    tokens a millisecond counted as one that reads 8.
    """

    def test_fixed_part_is_told_from_reading(self):
        assert abs(make_fit().overhead_s - FIRST_S) < 0.025

    def test_speed_is_learned_without_it(self):
        load = EndpointLoad()
        load.begin(None, 1200)
        wait_s = FIRST_S + 1200 / TOKENS_PER_S
        load.note_first_piece(1200, 0, wait_s, FIRST_S, 0.0)
        assert abs(load.speeds[0] - TOKENS_PER_S) < 1

    def test_speed_is_learned_from_a_prompt_behind_others(self):
        """Prompts waited for their turn at an engine that idled half the time.

        Its speed was learned only from prompts that were read alone, and under
        load none was.
        """
        load = EndpointLoad()
        load.begin(None, 4000)
        load.begin(None, 1200)
        wait_s = FIRST_S + 1200 / TOKENS_PER_S
        load.note_first_piece(1200, 4000, wait_s, FIRST_S, 0.0)
        assert abs(load.speeds[0] - TOKENS_PER_S) < 1

    def test_little_is_believed_before_enough_is_known(self):
        assert FirstPieceFit().overhead_s == STEP_S
        assert make_fit(samples=3).overhead_s == STEP_S

    def test_prompts_of_one_size_show_nothing(self):
        fit = FirstPieceFit()
        for _ in range(20):
            fit.note(1000, 0.2)
        assert fit.overhead_s == STEP_S

    def test_it_is_bounded(self):
        assert make_fit(overhead_s=5.0).overhead_s == MAX_OVERHEAD_S

"""Tests of the spacing of prompts."""

from fescuekeel.components.placement.pacing import PromptPacer


class TestPromptPacer:
    def test_prompts_that_come_together_are_spaced(self):
        """Streams of other callers paused for more than they accept.

        Four prompts of different entries reached one engine together; it read
        them in a row, between whose pieces the running streams got nothing
        for 350 ms.
        """
        pacer = PromptPacer(window_s=0.3)
        for number in range(4):
            pacer.ask(number, 2000, priority=1)
        assert pacer.grant(0.0) == [0, 1]
        assert pacer.grant(0.2) == []
        assert pacer.grant(0.3) == [2, 3]

    def test_urgent_prompt_goes_first(self):
        pacer = PromptPacer(window_s=0.3)
        for number, priority in enumerate((1, 1, 0)):
            pacer.ask(number, 4000, priority)
        assert pacer.grant(0.0) == [2]

    def test_prompt_larger_than_a_window_still_goes(self):
        pacer = PromptPacer(window_s=0.1)
        pacer.ask(1, 100_000, priority=1)
        assert pacer.grant(0.0) == [1]

    def test_pending_tokens_fade_with_the_window(self):
        pacer = PromptPacer(window_s=0.3)
        pacer.ask(1, 4000, priority=1)
        pacer.ask(2, 4000, priority=1)
        pacer.grant(0.0)
        assert pacer.count_pending(0.1) == 8000
        assert pacer.count_pending(0.3) == 4000

"""Tests of prompt admission."""

import hypothesis.strategies as st
from hypothesis import given

from fescuekeel.components.placement.const import (
    LONG_PAUSE_RATIO,
    MAX_PROMPT_QUEUE_S,
    MAX_PROMPT_SHARE,
    MIN_PROMPT_SHARE,
)
from fescuekeel.components.placement.pacing import Prompt, PromptPacer

SPEED = 20_000


def make_pacer(window_s=0.3):
    return PromptPacer(window_s, tokens_per_s=SPEED, share=0.75)


def make_prompt(number, tokens=2000, priority=1, on_time_until=9.0, until=99.0):
    return Prompt(number, tokens, priority, on_time_until, until)


def granted(decisions):
    return [decision.number for decision in decisions if decision.granted]


def refused(decisions):
    return [decision.number for decision in decisions if not decision.granted]


class TestSpacing:
    def test_concurrent_prompts_are_spaced(self):
        """Guards against one engine reading several prompts in a row."""
        pacer = make_pacer()
        for number in range(4):
            pacer.enqueue(make_prompt(number))
        assert granted(pacer.step(0.0)) == [0, 1]
        assert pacer.step(0.2) == []
        assert granted(pacer.step(0.3)) == [2, 3]

    def test_prompt_larger_than_a_window_is_admitted(self):
        pacer = make_pacer(window_s=0.1)
        pacer.enqueue(make_prompt(1, tokens=100_000))
        assert granted(pacer.step(0.0)) == [1]

    def test_pending_tokens_expire_with_the_window(self):
        pacer = make_pacer()
        pacer.enqueue(make_prompt(1, tokens=4000))
        pacer.enqueue(make_prompt(2, tokens=4000))
        pacer.step(0.0)
        assert pacer.count_pending_tokens(0.1) == 8000
        assert pacer.count_pending_tokens(0.3) == 4000

    def test_faster_engine_gets_more(self):
        slow, fast = make_pacer(), make_pacer()
        for _ in range(50):
            fast.record_speed(2 * SPEED)
        assert fast.limit > 1.8 * slow.limit


class TestPauses:
    def run_windows(self, pacer, windows, pause, waiting=True, first=0):
        """Step through windows whose pauses depend on the share."""
        paused = 0
        for window in range(first, first + windows):
            now = window * (pacer.window_s + 0.001)
            if waiting:
                pacer.enqueue(make_prompt(window, tokens=100_000, until=now + 0.1))
            pacer.step(now)
            share = pause(pacer.share)
            paused += share >= LONG_PAUSE_RATIO
            pacer.record_pause(share, now)
        return paused

    def test_share_decreases_while_streams_pause(self):
        """Guards against long pauses at an engine that itself reads fast."""
        pacer = make_pacer()
        self.run_windows(pacer, 200, lambda share: 2.0 * share)
        assert 0.35 < pacer.share < 0.5

    def test_long_pauses_become_rare(self):
        pacer = make_pacer()
        self.run_windows(pacer, 200, lambda share: 2.0 * share)
        paused = self.run_windows(pacer, 200, lambda share: 2.0 * share, first=200)
        assert 10 < paused < 40

    def test_pause_reported_by_several_instances_counts_once(self):
        pacer = make_pacer()
        for _ in range(9):
            pacer.record_pause(1.5, 10.0)
        assert pacer.share > 0.6

    def test_share_increases_without_pauses(self):
        pacer = make_pacer()
        self.run_windows(pacer, 200, lambda share: 0.3)
        assert pacer.share == MAX_PROMPT_SHARE

    def test_share_does_not_increase_without_waiting_prompts(self):
        pacer = make_pacer()
        self.run_windows(pacer, 50, lambda share: 0.3, waiting=False)
        assert pacer.share == 0.75

    def test_share_has_a_minimum(self):
        pacer = make_pacer()
        self.run_windows(pacer, 500, lambda share: 9.0)
        assert pacer.share >= MIN_PROMPT_SHARE


class TestOrder:
    def test_urgent_prompt_goes_first(self):
        pacer = make_pacer()
        for number, priority in enumerate((1, 1, 0)):
            pacer.enqueue(make_prompt(number, 4000, priority))
        assert granted(pacer.step(0.0)) == [2]

    def test_late_prompt_does_not_make_others_late(self):
        """Guards against serving a burst in order of arrival."""
        pacer = make_pacer()
        pacer.enqueue(make_prompt(1, 4000, on_time_until=0.5))
        pacer.enqueue(make_prompt(2, 4000, on_time_until=2.0))
        assert granted(pacer.step(1.0)) == [2]


class TestBounds:
    def test_prompt_beyond_the_queue_bound_is_refused_at_once(self):
        """Guards against queueing prompts for longer than callers wait."""
        pacer = make_pacer()
        decisions = []
        for number in range(40):
            pacer.enqueue(make_prompt(number))
            decisions += pacer.step(0.0)
        assert refused(decisions)
        assert pacer.estimate_wait_s() <= MAX_PROMPT_QUEUE_S

    def test_least_urgent_prompt_is_refused_first(self):
        pacer = make_pacer()
        for number in range(40):
            pacer.enqueue(make_prompt(number, priority=1))
            pacer.step(0.0)
        pacer.enqueue(make_prompt(99, priority=0))
        decisions = pacer.step(0.0)
        assert refused(decisions)
        assert 99 not in refused(decisions)

    def test_prompt_is_refused_when_its_wait_expires(self):
        pacer = make_pacer()
        pacer.enqueue(make_prompt(1, 6000))
        pacer.enqueue(make_prompt(2, 6000, until=0.1))
        pacer.step(0.0)
        assert pacer.get_next_step() == 0.1
        assert refused(pacer.step(0.1)) == [2]

    def test_waiting_prompts_are_admitted_on_drain(self):
        """Guards against prompts left unanswered after the claim has ended."""
        pacer = make_pacer()
        for number in range(4):
            pacer.enqueue(make_prompt(number))
        pacer.step(0.0)
        assert granted(pacer.drain()) == [2, 3]
        assert pacer.waiting_tokens == 0

    @given(st.lists(st.tuples(st.integers(1, 9000), st.integers(0, 9))))
    def test_each_prompt_is_decided_once(self, prompts):
        pacer = make_pacer()
        decisions = []
        for number, (tokens, priority) in enumerate(prompts):
            pacer.enqueue(make_prompt(number, tokens, priority))
            decisions += pacer.step(number * 0.01)
        for tenth in range(1000):
            decisions += pacer.step(tenth / 10)
        assert sorted(decision.number for decision in decisions) == list(
            range(len(prompts))
        )
        assert pacer.waiting_tokens == 0


class TestCrowded:
    """One engine of many serves an adapter that all instances request."""

    def make_impatient(self, number, priority=1, tokens=2000):
        return Prompt(number, tokens, priority, 9.0, 99.0, patient=False)

    def test_prompt_that_would_wait_longer_than_elsewhere_is_refused(self):
        pacer = make_pacer()
        for number in range(6):
            pacer.enqueue(self.make_impatient(number))
        decisions = pacer.step(0.0, elsewhere_s=0.25)
        assert granted(decisions) == [0, 1]
        assert refused(decisions) == [3, 4, 5]

    def test_patient_prompt_keeps_waiting(self):
        pacer = make_pacer()
        for number in range(4):
            pacer.enqueue(make_prompt(number))
        assert refused(pacer.step(0.0, elsewhere_s=0.25)) == []

    def test_urgent_prompt_is_not_refused_for_those_behind_it(self):
        pacer = make_pacer()
        for number in range(4):
            pacer.enqueue(make_prompt(number))
        pacer.enqueue(self.make_impatient(9, priority=0))
        assert 9 in granted(pacer.step(0.0, elsewhere_s=0.25))

    def test_engine_without_free_slots_refuses_impatient_prompts(self):
        pacer = make_pacer()
        pacer.enqueue(make_prompt(1))
        pacer.enqueue(self.make_impatient(2))
        decisions = pacer.step(0.0, free_slots=0)
        assert (granted(decisions), refused(decisions)) == ([1], [2])

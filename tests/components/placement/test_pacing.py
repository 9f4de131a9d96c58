"""Tests of the spacing of prompts."""

import hypothesis.strategies as st
from hypothesis import given

from fescuekeel.components.placement.const import (
    LONG_PAUSE,
    MAX_PROMPT_SHARE,
    MAX_TURN_QUEUE_S,
    MIN_PROMPT_SHARE,
)
from fescuekeel.components.placement.pacing import Prompt, PromptPacer

SPEED = 20_000


def make_pacer(window_s=0.3):
    return PromptPacer(window_s, tokens_per_s=SPEED, share=0.75)


def make_prompt(number, tokens=2000, priority=1, on_time_until=9.0, until=99.0):
    return Prompt(number, tokens, priority, on_time_until, until)


def granted(turns):
    return [turn.number for turn in turns if turn.granted]


def refused(turns):
    return [turn.number for turn in turns if not turn.granted]


class TestSpacing:
    def test_prompts_that_come_together_are_spaced(self):
        """Streams of other callers paused for more than they accept.

        Four prompts of different entries reached one engine together; it read
        them in a row, between whose pieces the running streams got nothing
        for 350 ms.
        """
        pacer = make_pacer()
        for number in range(4):
            pacer.ask(make_prompt(number))
        assert granted(pacer.step(0.0)) == [0, 1]
        assert pacer.step(0.2) == []
        assert granted(pacer.step(0.3)) == [2, 3]

    def test_prompt_larger_than_a_window_still_goes(self):
        pacer = make_pacer(window_s=0.1)
        pacer.ask(make_prompt(1, tokens=100_000))
        assert granted(pacer.step(0.0)) == [1]

    def test_pending_tokens_fade_with_the_window(self):
        pacer = make_pacer()
        pacer.ask(make_prompt(1, tokens=4000))
        pacer.ask(make_prompt(2, tokens=4000))
        pacer.step(0.0)
        assert pacer.count_pending(0.1) == 8000
        assert pacer.count_pending(0.3) == 4000

    def test_faster_engine_gets_more(self):
        slow, fast = make_pacer(), make_pacer()
        for _ in range(50):
            fast.note_speed(2 * SPEED)
        assert fast.limit > 1.8 * slow.limit


class TestPauses:
    def run_windows(self, pacer, windows, pause, waiting=True, first=0):
        """Let each window have a pause that depends on what it may hold."""
        paused = 0
        for window in range(first, first + windows):
            now = window * (pacer.window_s + 0.001)
            if waiting:
                pacer.ask(make_prompt(window, tokens=100_000, until=now + 0.1))
            pacer.step(now)
            share = pause(pacer.share)
            paused += share >= LONG_PAUSE
            pacer.note_pause(share, now)
        return paused

    def test_fewer_prompts_go_to_an_engine_whose_streams_pause(self):
        """A fifth of all streams paused for too long at a fast engine.

        Its running streams waited for prompts longer than reading took.
        """
        pacer = make_pacer()
        self.run_windows(pacer, 200, lambda share: 2.0 * share)
        assert 0.35 < pacer.share < 0.5

    def test_few_windows_have_a_long_pause_in_the_end(self):
        pacer = make_pacer()
        self.run_windows(pacer, 200, lambda share: 2.0 * share)
        paused = self.run_windows(pacer, 200, lambda share: 2.0 * share, first=200)
        assert 10 < paused < 40

    def test_one_pause_that_all_instances_tell_counts_once(self):
        pacer = make_pacer()
        for _ in range(9):
            pacer.note_pause(1.5, 10.0)
        assert pacer.share > 0.6

    def test_more_prompts_go_where_no_stream_pauses(self):
        pacer = make_pacer()
        self.run_windows(pacer, 200, lambda share: 0.3)
        assert pacer.share == MAX_PROMPT_SHARE

    def test_share_that_nobody_needs_does_not_grow(self):
        pacer = make_pacer()
        self.run_windows(pacer, 50, lambda share: 0.3, waiting=False)
        assert pacer.share == 0.75

    def test_some_prompts_always_go(self):
        pacer = make_pacer()
        self.run_windows(pacer, 500, lambda share: 9.0)
        assert pacer.share >= MIN_PROMPT_SHARE


class TestOrder:
    def test_urgent_prompt_goes_first(self):
        pacer = make_pacer()
        for number, priority in enumerate((1, 1, 0)):
            pacer.ask(make_prompt(number, 4000, priority))
        assert granted(pacer.step(0.0)) == [2]

    def test_late_prompt_does_not_make_others_late(self):
        """Under a burst every stream was late, though half could be in time.

        Prompts were served in the order in which they came: each waited for
        those before it, which had missed their target already.
        """
        pacer = make_pacer()
        pacer.ask(make_prompt(1, 4000, on_time_until=0.5))
        pacer.ask(make_prompt(2, 4000, on_time_until=2.0))
        assert granted(pacer.step(1.0)) == [2]


class TestBounds:
    def test_prompt_without_room_is_refused_at_once(self):
        """Callers gave up after three seconds without any word.

        The queue of an engine was longer than they wait, and nobody told them
        before their own time was over.
        """
        pacer = make_pacer()
        turns = []
        for number in range(40):
            pacer.ask(make_prompt(number))
            turns += pacer.step(0.0)
        assert refused(turns)
        assert pacer.estimate_wait_s() <= MAX_TURN_QUEUE_S

    def test_least_urgent_prompt_makes_room(self):
        pacer = make_pacer()
        for number in range(40):
            pacer.ask(make_prompt(number, priority=1))
            pacer.step(0.0)
        pacer.ask(make_prompt(99, priority=0))
        turns = pacer.step(0.0)
        assert refused(turns)
        assert 99 not in refused(turns)

    def test_wait_ends_when_it_makes_no_sense_any_more(self):
        pacer = make_pacer()
        pacer.ask(make_prompt(1, 6000))
        pacer.ask(make_prompt(2, 6000, until=0.1))
        pacer.step(0.0)
        assert pacer.get_next_step() == 0.1
        assert refused(pacer.step(0.1)) == [2]

    def test_what_waits_goes_when_nobody_keeps_the_turns(self):
        """Prompts waited for two seconds while the engine was idle.

        Its holder had given it up, and did not answer what waited with it.
        """
        pacer = make_pacer()
        for number in range(4):
            pacer.ask(make_prompt(number))
        pacer.step(0.0)
        assert granted(pacer.drain()) == [2, 3]
        assert pacer.waiting_tokens == 0

    @given(st.lists(st.tuples(st.integers(1, 9000), st.integers(0, 9))))
    def test_each_prompt_is_decided_once(self, asked):
        pacer = make_pacer()
        turns = []
        for number, (tokens, priority) in enumerate(asked):
            pacer.ask(make_prompt(number, tokens, priority))
            turns += pacer.step(number * 0.01)
        for tenth in range(1000):
            turns += pacer.step(tenth / 10)
        assert sorted(turn.number for turn in turns) == list(range(len(asked)))
        assert pacer.waiting_tokens == 0


class TestCrowded:
    """One engine of many serves an adapter that all instances ask for."""

    def make_impatient(self, number, priority=1, tokens=2000):
        return Prompt(number, tokens, priority, 9.0, 99.0, patient=False)

    def test_prompt_that_would_wait_longer_than_elsewhere_is_told_so(self):
        pacer = make_pacer()
        for number in range(6):
            pacer.ask(self.make_impatient(number))
        turns = pacer.step(0.0, elsewhere_s=0.25)
        assert granted(turns) == [0, 1]
        assert refused(turns) == [3, 4, 5]

    def test_patient_prompt_keeps_its_place(self):
        pacer = make_pacer()
        for number in range(4):
            pacer.ask(make_prompt(number))
        assert refused(pacer.step(0.0, elsewhere_s=0.25)) == []

    def test_urgent_prompt_is_not_sent_away_for_those_behind_it(self):
        pacer = make_pacer()
        for number in range(4):
            pacer.ask(make_prompt(number))
        pacer.ask(self.make_impatient(9, priority=0))
        assert 9 in granted(pacer.step(0.0, elsewhere_s=0.25))

    def test_engine_without_a_free_slot_takes_only_who_waits_for_one(self):
        pacer = make_pacer()
        pacer.ask(make_prompt(1))
        pacer.ask(self.make_impatient(2))
        turns = pacer.step(0.0, room=0)
        assert (granted(turns), refused(turns)) == ([1], [2])

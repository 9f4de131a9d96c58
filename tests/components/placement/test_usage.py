"""Tests of how an endpoint's weights are used."""

from fescuekeel.components.placement.const import (
    GRANT_TTL_S,
    USE_TTL_S,
    USES_TOLD_S,
)
from fescuekeel.components.placement.usage import WeightUsage
from fescuekeel.helpers.published import Weights

CUPS = Weights("m", "cups")
RINGS = Weights("m", "rings")


class TestInUse:
    def test_prompt_counts_until_its_turn_is_refused(self):
        usage = WeightUsage()
        usage.expect(CUPS)
        assert usage.is_in_use(CUPS, 100.0)
        usage.settle(CUPS, "i1", granted=False, now=100.0)
        assert not usage.is_in_use(CUPS, 100.0)

    def test_one_of_two_prompts_that_ends_leaves_the_other(self):
        usage = WeightUsage()
        usage.expect(CUPS)
        usage.expect(CUPS)
        usage.settle(CUPS, "i1", granted=False, now=0.0)
        assert usage.is_in_use(CUPS, 0.0)

    def test_prompt_of_an_instance_that_fell_silent_counts_on(self):
        """An engine refused all orders for two seconds after a cut began.

        It had been ordered to unload an adapter for which a prompt was on its
        way from behind the cut, of which nothing could be told any more.
        """
        usage = WeightUsage()
        usage.expect(CUPS)
        usage.settle(CUPS, "i1", granted=True, now=0.0)
        assert usage.is_in_use(CUPS, 2 * GRANT_TTL_S)
        usage.note_use("i1", RINGS, running=1, begun=1, now=2 * GRANT_TTL_S)
        assert not usage.is_in_use(CUPS, 2 * GRANT_TTL_S)

    def test_granted_prompt_counts_until_its_instance_tells(self):
        usage = WeightUsage()
        usage.expect(CUPS)
        usage.settle(CUPS, "i1", granted=True, now=0.0)
        assert usage.is_in_use(CUPS, GRANT_TTL_S - 0.01)
        usage.note_use("i1", CUPS, running=1, begun=1, now=0.2)
        assert usage.is_in_use(CUPS, GRANT_TTL_S + 0.01)
        usage.note_use("i1", CUPS, running=0, begun=0, now=0.9)
        assert not usage.is_in_use(CUPS, 0.9)

    def test_use_of_an_instance_that_fell_silent_ends(self):
        usage = WeightUsage()
        usage.note_use("i1", CUPS, running=1, begun=1, now=0.0)
        assert usage.is_in_use(CUPS, USE_TTL_S - 0.1)
        assert not usage.is_in_use(CUPS, USE_TTL_S + 0.1)

    def test_stream_behind_a_cut_still_counts(self):
        """An engine refused all orders for five seconds.

        It had been ordered to unload an adapter whose streams an instance
        behind a cut had begun, and waited for them. Nobody told of them any
        more, but the engine's own report counted them.
        """
        usage = WeightUsage()
        usage.begin(now=-9.0)
        usage.note_use("i1", CUPS, running=1, begun=1, now=1.0)
        # The report comes while the last word of the use is still fresh.
        usage.note_report(1)
        assert usage.is_in_use(CUPS, 1.0 + USE_TTL_S + 0.5)
        usage.note_report(0)
        assert not usage.is_in_use(CUPS, 1.0 + USE_TTL_S + 0.6)

    def test_new_holder_waits_until_uses_are_told(self):
        """An engine refused all orders for five seconds after a takeover.

        The new holder had asked it for reports for seconds, and ordered to
        unload an adapter in use in the moment in which it held the engine:
        uses are told to holders only.
        """
        usage = WeightUsage()
        usage.note_report(3)
        usage.begin(now=5.0)
        assert usage.is_in_use(CUPS, 5.1)
        assert not usage.is_in_use(CUPS, 5.0 + USES_TOLD_S)

    def test_new_holder_of_an_idle_endpoint_does_not_wait(self):
        usage = WeightUsage()
        usage.note_report(0)
        usage.begin(now=0.0)
        assert not usage.is_in_use(CUPS, 0.1)

    def test_what_is_over_is_forgotten(self):
        usage = WeightUsage()
        usage.note_use("i1", CUPS, running=1, begun=1, now=0.0)
        usage.expect(CUPS)
        usage.settle(CUPS, "i1", granted=True, now=0.0)
        usage.prune(1000.0)
        assert usage == WeightUsage()


class TestRoom:
    def test_prompt_counts_from_its_turn_until_it_is_told_of(self):
        """An engine of twelve slots was sent twenty requests at once.

        Its holder counted those it was told of, up to 0.2 s after their turn.
        """
        usage = WeightUsage()
        usage.settle(CUPS, "i1", granted=True, now=0.0)
        assert (usage.count_all_running(0.1), usage.count_starting(0.1)) == (0, 1)
        usage.note_use("i1", CUPS, running=1, begun=1, now=0.2)
        assert (usage.count_all_running(0.3), usage.count_starting(0.3)) == (1, 0)

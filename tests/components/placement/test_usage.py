"""Tests of how an endpoint's weights are used."""

from fescuekeel.components.placement.const import GRANT_TTL_S, USE_TTL_S
from fescuekeel.components.placement.usage import WeightUsage
from fescuekeel.helpers.published import Weights

CUPS = Weights("m", "cups")


class TestInUse:
    def test_prompt_counts_until_its_turn_is_refused(self):
        usage = WeightUsage()
        usage.expect(CUPS)
        assert usage.is_in_use(CUPS, 100.0)
        usage.settle(CUPS, granted=False, now=100.0)
        assert not usage.is_in_use(CUPS, 100.0)

    def test_one_of_two_prompts_that_ends_leaves_the_other(self):
        usage = WeightUsage()
        usage.expect(CUPS)
        usage.expect(CUPS)
        usage.settle(CUPS, granted=False, now=0.0)
        assert usage.is_in_use(CUPS, 0.0)

    def test_granted_prompt_counts_until_its_instance_tells(self):
        usage = WeightUsage()
        usage.expect(CUPS)
        usage.settle(CUPS, granted=True, now=0.0)
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

    def test_what_is_over_is_forgotten(self):
        usage = WeightUsage()
        usage.note_use("i1", CUPS, running=1, begun=1, now=0.0)
        usage.expect(CUPS)
        usage.settle(CUPS, granted=True, now=0.0)
        usage.prune(1000.0)
        assert usage == WeightUsage()

"""Tests of the use of an endpoint's weights."""

from fescuekeel.components.placement.const import (
    GRANT_TTL_S,
    USE_TTL_S,
    USE_UPDATE_WAIT_S,
)
from fescuekeel.components.placement.usage import WeightUsage
from fescuekeel.helpers.published import Weights

CUPS = Weights("m", "cups")
RINGS = Weights("m", "rings")


class TestInUse:
    def test_prompt_counts_until_it_is_refused(self):
        usage = WeightUsage()
        usage.record_prompt_waiting(CUPS)
        assert usage.is_in_use(CUPS, 100.0)
        usage.record_prompt_decided(CUPS, "i1", granted=False, now=100.0)
        assert not usage.is_in_use(CUPS, 100.0)

    def test_one_of_two_prompts_that_ends_leaves_the_other(self):
        usage = WeightUsage()
        usage.record_prompt_waiting(CUPS)
        usage.record_prompt_waiting(CUPS)
        usage.record_prompt_decided(CUPS, "i1", granted=False, now=0.0)
        assert usage.is_in_use(CUPS, 0.0)

    def test_prompt_of_a_silent_instance_still_counts(self):
        """Guards against an unload under a prompt from behind a partition."""
        usage = WeightUsage()
        usage.record_prompt_waiting(CUPS)
        usage.record_prompt_decided(CUPS, "i1", granted=True, now=0.0)
        assert usage.is_in_use(CUPS, 2 * GRANT_TTL_S)
        usage.record_use("i1", RINGS, running=1, begun=1, now=2 * GRANT_TTL_S)
        assert not usage.is_in_use(CUPS, 2 * GRANT_TTL_S)

    def test_granted_prompt_counts_until_its_instance_reports_it(self):
        usage = WeightUsage()
        usage.record_prompt_waiting(CUPS)
        usage.record_prompt_decided(CUPS, "i1", granted=True, now=0.0)
        assert usage.is_in_use(CUPS, GRANT_TTL_S - 0.01)
        usage.record_use("i1", CUPS, running=1, begun=1, now=0.2)
        assert usage.is_in_use(CUPS, GRANT_TTL_S + 0.01)
        usage.record_use("i1", CUPS, running=0, begun=0, now=0.9)
        assert not usage.is_in_use(CUPS, 0.9)

    def test_use_of_a_silent_instance_expires(self):
        usage = WeightUsage()
        usage.record_use("i1", CUPS, running=1, begun=1, now=0.0)
        assert usage.is_in_use(CUPS, USE_TTL_S - 0.1)
        assert not usage.is_in_use(CUPS, USE_TTL_S + 0.1)

    def test_stream_behind_a_partition_still_counts(self):
        """Guards against unloading under streams only the engine reports."""
        usage = WeightUsage()
        usage.record_claim_held(now=-9.0)
        usage.record_use("i1", CUPS, running=1, begun=1, now=1.0)
        # The report comes before the use expires.
        usage.record_report(1)
        assert usage.is_in_use(CUPS, 1.0 + USE_TTL_S + 0.5)
        usage.record_report(0)
        assert not usage.is_in_use(CUPS, 1.0 + USE_TTL_S + 0.6)

    def test_new_holder_waits_for_use_updates(self):
        """Guards against unloading weights in use right after a takeover.

        Instances send their uses only to the current holder.
        """
        usage = WeightUsage()
        usage.record_report(3)
        usage.record_claim_held(now=5.0)
        assert usage.is_in_use(CUPS, 5.1)
        assert not usage.is_in_use(CUPS, 5.0 + USE_UPDATE_WAIT_S)

    def test_new_holder_of_an_idle_endpoint_does_not_wait(self):
        usage = WeightUsage()
        usage.record_report(0)
        usage.record_claim_held(now=0.0)
        assert not usage.is_in_use(CUPS, 0.1)

    def test_expired_entries_are_removed(self):
        usage = WeightUsage()
        usage.record_use("i1", CUPS, running=1, begun=1, now=0.0)
        usage.record_prompt_waiting(CUPS)
        usage.record_prompt_decided(CUPS, "i1", granted=True, now=0.0)
        usage.prune(1000.0)
        assert usage == WeightUsage()


class TestFreeSlots:
    def test_prompt_counts_from_admission_until_it_is_reported(self):
        """Guards against admitting more prompts than there are slots."""
        usage = WeightUsage()
        usage.record_prompt_decided(CUPS, "i1", granted=True, now=0.0)
        assert (usage.count_all_running(0.1), usage.count_starting(0.1)) == (0, 1)
        usage.record_use("i1", CUPS, running=1, begun=1, now=0.2)
        assert (usage.count_all_running(0.3), usage.count_starting(0.3)) == (1, 0)

"""Tests of the verdicts on parts of prompts."""

import statistics

import pytest

from fescuekeel.components.quarantine.const import (
    COMPLETION_TTL_S,
    CRASH_TTL_S,
    MAX_COMPLETED_PARTS,
    MAX_SUSPECT_PARTS,
    QUARANTINE_S,
    SIMULTANEOUS_CRASHES_S,
)
from fescuekeel.components.quarantine.ledger import Crash
from fescuekeel.components.quarantine.part_ledger import PartLedger, SuspectRun
from tests.components.quarantine.part_simulation import PartSimulation, never


def make_ledger(*crashes, interval_s=1.0, has_sound_part=True):
    """Record crashes, each with the paths of requests that ran there."""
    ledger = PartLedger()
    for number, paths in enumerate(crashes):
        crash = Crash(f"e{number}", "i1", number * interval_s)
        for index, path in enumerate(paths):
            parts = tuple(path.split())
            run = SuspectRun(f"f{number}-{index}", parts, has_sound_part)
            ledger.record_crash(crash, run)
    return ledger


def list_quarantined(ledger, now=10.0):
    return ledger.list_quarantined(now)


class TestVerdict:
    def test_three_crashes_of_new_requests_suffice(self):
        assert list_quarantined(make_ledger(["bad"], ["bad"])) == set()
        assert list_quarantined(make_ledger(["bad"], ["bad"], ["bad"])) == {"bad"}

    def test_one_more_is_needed_if_no_part_of_these_requests_completes(self):
        """Guards against refusing all while nothing completes at all."""
        crashes = [["a b"]] * 4
        three = make_ledger(*crashes[:3], has_sound_part=False)
        assert list_quarantined(three) == set()
        assert list_quarantined(make_ledger(*crashes, has_sound_part=False)) == {"b"}

    def test_three_suffice_once_a_part_of_them_has_completed(self):
        ledger = make_ledger(["a b"], ["a b"], ["a b"], has_sound_part=False)
        assert list_quarantined(ledger) == set()
        ledger.release("a")
        assert list_quarantined(ledger) == {"b"}

    def test_one_request_that_comes_again_is_judged_as_a_whole(self):
        ledger = PartLedger()
        for number in range(6):
            crash = Crash(f"e{number}", "i1", float(number))
            ledger.record_crash(crash, SuspectRun("f", ("rare",)))
        assert list_quarantined(ledger) == set()

    def test_endpoints_that_crash_together_blame_no_part(self):
        """Guards against refusing requests after the failure of a rack."""
        together_s = SIMULTANEOUS_CRASHES_S / 10
        crashes = [["a b"], ["a b"], ["a b"], ["a b"], ["a b"], ["a b"]]
        assert list_quarantined(make_ledger(*crashes, interval_s=together_s)) == set()

    def test_the_deepest_part_that_comes_again_is_blamed(self):
        """Guards against refusing all requests below a common part."""
        ledger = make_ledger(["a b bad"], ["a b bad"], ["a b bad"], ["a b bad"])
        assert list_quarantined(ledger) == {"bad"}

    def test_a_first_part_with_various_parts_below_is_found_by_the_fifth(self):
        paths = (["bad x"], ["bad y"], ["bad x"], ["bad y"], ["bad z"])
        assert "bad" in list_quarantined(make_ledger(*paths))

    def test_two_parts_below_one_are_blamed_and_the_one_is_not(self):
        crashes = [["a bad1"], ["a bad2"]] * 3
        assert list_quarantined(make_ledger(*crashes)) == {"bad1", "bad2"}

    def test_an_innocent_part_that_ran_beside_a_culprit_is_not_blamed(self):
        crashes = [["bad", "x"], ["bad", "x"], ["bad"], ["bad", "x"]]
        assert list_quarantined(make_ledger(*crashes)) == {"bad"}

    def test_a_verdict_ends(self):
        ledger = make_ledger(["bad"], ["bad"], ["bad"])
        assert list_quarantined(ledger, 2.0 + QUARANTINE_S) == set()
        ledger.expire(2.0 + CRASH_TTL_S)
        assert ledger.is_empty


class TestCompletions:
    def test_a_part_that_completed_is_no_suspect_for_a_while(self):
        ledger = PartLedger()
        ledger.record_completed(["a"], now=1.0)
        assert ledger.has_completed_lately("a", now=2.0)
        assert not ledger.has_completed_lately("a", now=1.0 + COMPLETION_TTL_S)

    def test_a_released_part_begins_anew(self):
        ledger = make_ledger(["a"], ["a"], ["a"])
        ledger.release("a")
        assert ledger.is_empty
        ledger.record_crash(Crash("e9", "i1", 9.0), SuspectRun("f9", ("a",)))
        assert list_quarantined(ledger) == set()

    def test_memory_is_bounded(self):
        ledger = PartLedger()
        for number in range(MAX_COMPLETED_PARTS + 10):
            ledger.record_completed([f"p{number}"], now=1.0)
        assert len(ledger._completed_at_by_part) == MAX_COMPLETED_PARTS
        for number in range(MAX_SUSPECT_PARTS + 10):
            run = SuspectRun("f", (f"p{number}",))
            ledger.record_crash(Crash("e", "i1", 1.0), run)
        assert len(ledger.list_suspects()) == MAX_SUSPECT_PARTS


def simulate(seeds=8, **options):
    """Return the mean numbers of crashes and of refused innocent requests."""
    options = {"max_sends": 2, "duration_s": 2.0, "culprits": 0} | options
    plays = [PartSimulation(seed, **options).run() for seed in range(seeds)]
    refused = [play.outcomes["innocent", "refused"] for play in plays]
    return (
        statistics.mean(play.crashes for play in plays),
        statistics.mean(refused),
    )


class TestSimulation:
    @pytest.mark.parametrize(
        "options",
        [
            {},
            {"culprits_per_s": 0.4, "seconds": 60.0},
            {"culprit_paths": (("rare",),), "trees": 3},
            {
                "culprit_paths": (("system0", "bad"), ("system1", "bad")),
                "trees": 2,
                "culprits_per_s": 2.0,
            },
        ],
        ids=["usual", "slow", "rare_tree", "second_place"],
    )
    def test_a_culprit_is_found_by_the_fifth_crash(self, options):
        crashes, refused = simulate(**options)
        assert crashes <= 5.0
        assert refused <= 0.5

    def test_without_verdicts_endpoints_go_on_crashing(self):
        crashes, _ = simulate(seeds=2, judge_part=never)
        assert crashes > 20


class TestCallersOrder:
    def test_parts_in_any_order_are_judged(self):
        """Guards against callers that name the same parts in turns."""
        paths = [["x y z"], ["z y x"], ["y x z"]] * 4
        ledger = make_ledger(*paths)
        assert list_quarantined(ledger, 12.0) <= {"x", "y", "z"}

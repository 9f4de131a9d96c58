"""Tests of the verdicts on requests that were in crashes."""

import pytest

from fescuekeel.components.quarantine.const import (
    COMPLETION_TTL_S,
    CRASH_TTL_S,
    MAX_SUSPECTS,
    QUARANTINE_S,
)
from fescuekeel.components.quarantine.ledger import Crash, CrashLedger, Verdict
from tests.components.quarantine.simulation import (
    Simulation,
    choose_apart,
    choose_least_loaded,
    count_crashes,
    judge,
)

NOW = 100.0


def make_ledger(endpoints_by_fingerprint):
    ledger = CrashLedger()
    for fingerprint, endpoints in endpoints_by_fingerprint.items():
        for endpoint in endpoints:
            ledger.record_crash(fingerprint, Crash(endpoint, "i1", NOW))
    return ledger


def list_quarantined(endpoints_by_fingerprint):
    ledger = make_ledger(endpoints_by_fingerprint)
    return {
        fingerprint
        for fingerprint in endpoints_by_fingerprint
        if ledger.judge(fingerprint, NOW) is Verdict.QUARANTINED
    }


class TestVerdict:
    def test_three_crashes_quarantine_a_request(self):
        assert list_quarantined({"f": ["a", "b"]}) == set()
        assert list_quarantined({"f": ["a", "b", "c"]}) == {"f"}

    def test_crashes_seen_by_several_instances_add_up(self):
        ledger = CrashLedger()
        for number in range(3):
            crash = Crash(f"e{number}", f"i{number}", NOW)
            ledger.record_crash("f", crash)
        assert ledger.judge("f", NOW) is Verdict.QUARANTINED

    def test_one_crash_seen_by_several_instances_counts_once(self):
        ledger = CrashLedger()
        for number in range(3):
            ledger.record_crash("f", Crash("e", f"i{number}", NOW))
        assert ledger.judge("f", NOW) is Verdict.SUSPECT

    def test_request_beside_a_worse_one_is_not_quarantined(self):
        # Guards against refusing requests that moved along with a culprit.
        crashes = {"culprit": ["a", "b", "c", "d"], "beside": ["a", "b", "c"]}
        assert list_quarantined(crashes) == {"culprit"}

    def test_requests_with_the_same_crashes_need_one_more(self):
        crashes = {"one": ["a", "b", "c"], "other": ["a", "b", "c"]}
        assert list_quarantined(crashes) == set()
        assert list_quarantined(crashes | {"one": [*"abcd"]}) == {"one"}
        assert list_quarantined({"one": [*"abcd"], "other": [*"abcd"]}) == {
            "one",
            "other",
        }

    def test_culprit_that_always_comes_with_a_worse_one(self):
        # Guards against a culprit that another one hides for ever.
        crashes = {"worse": [*"abcdef"], "hidden": [*"abcd"]}
        assert list_quarantined(crashes) == {"worse"}
        assert list_quarantined(crashes | {"hidden": [*"abcde"]}) == {"worse", "hidden"}

    def test_completed_request_is_released(self):
        ledger = make_ledger({"f": ["a", "b", "c"]})
        for endpoint in "abc":
            ledger.release("f", endpoint)
        assert ledger.judge("f", NOW) is Verdict.CLEAR
        assert ledger.is_empty

    def test_recent_completion_of_the_same_content(self):
        # Guards against refusing a popular request that runs on several
        # endpoints when they fail together.
        ledger = CrashLedger()
        ledger.record_completed("f", NOW)
        assert ledger.has_completed_lately("f", NOW + 1.0)
        assert not ledger.has_completed_lately("f", NOW + COMPLETION_TTL_S)


class TestExpiry:
    def test_quarantine_ends_and_one_more_crash_renews_it(self):
        ledger = make_ledger({"f": ["a", "b", "c"]})
        later = NOW + QUARANTINE_S
        assert ledger.judge("f", later) is Verdict.SUSPECT
        ledger.record_crash("f", Crash("d", "i1", later))
        assert ledger.judge("f", later + 1.0) is Verdict.QUARANTINED

    def test_crashes_are_forgotten(self):
        ledger = make_ledger({"f": ["a"], "g": ["a"]})
        ledger.record_crash("g", Crash("b", "i1", NOW + 1.0))
        assert ledger.expire(NOW + CRASH_TTL_S) == ["f"]
        assert ledger.list_suspects() == ["g"]

    def test_number_of_suspects_is_bounded(self):
        ledger = CrashLedger()
        for number in range(MAX_SUSPECTS + 10):
            ledger.record_crash(f"f{number}", Crash("e", "i1", NOW))
        assert len(ledger.list_suspects()) == MAX_SUSPECTS


class TestSimulation:
    @pytest.mark.parametrize("seed", range(5))
    def test_one_culprit_crashes_four_endpoints_at_most(self, seed):
        simulation = Simulation(seed, duration_s=2.0).run()
        assert simulation.crashes <= 4
        assert simulation.outcomes["innocent", "refused"] == 0
        assert simulation.outcomes["innocent", "lost"] == 0

    def test_fewer_innocent_requests_are_refused_than_by_counting(self):
        refused = {count_crashes: 0, judge: 0}
        for seed in range(5):
            for is_quarantined in refused:
                simulation = Simulation(
                    seed,
                    requests_per_s=40.0,
                    duration_s=3.0,
                    culprits=3,
                    is_quarantined=is_quarantined,
                ).run()
                count = simulation.outcomes["innocent", "refused"]
                refused[is_quarantined] += count
                assert max(simulation.crashes_by_culprit.values()) <= 5
        assert refused[judge] < refused[count_crashes] / 2

    def test_least_loaded_endpoints_keep_suspects_apart(self):
        refused = {choose_apart: 0, choose_least_loaded: 0}
        for seed in range(10):
            for choose in refused:
                simulation = Simulation(seed, duration_s=2.0, choose=choose).run()
                refused[choose] += simulation.outcomes["innocent", "refused"]
        assert refused[choose_least_loaded] <= refused[choose_apart]

"""Tests that the checks of crashing requests and limits detect violations."""

import pytest

from bench.soak.culprits import REPORT_S, Culprits, check_culprits, list_crash_faults
from bench.soak.limits import LimitPeriod, check_limits
from standins.forwarding.workers import CrashRecord, RunRecord, Worker
from tests.soak.test_checks import make_result


def was_undisturbed(start, end):
    return False


def was_disturbed(start, end):
    return True


def make_worker(crash_times=(), run_times=()):
    worker = Worker("s")
    worker.crashes += [CrashRecord("1", "/x", b"crash", at) for at in crash_times]
    worker.records += [RunRecord("1", at) for at in run_times]
    return worker


def find_violations(crash_times, disturbed=was_undisturbed, results=(), lost_at=0.0):
    worker = make_worker(crash_times)
    found = check_culprits([worker], results, lost_at, disturbed)
    return [violation.invariant for violation in found]


class TestCulprits:
    def test_three_late_crashes_are_allowed(self):
        assert find_violations([1.0, 2.0, 3.0, 6.5, 7.0, 7.5]) == []

    def test_more_late_crashes_are_detected(self):
        times = [1.0, 2.0, 3.0, 6.5, 7.0, 7.5, 8.0]
        assert find_violations(times) == ["quarantine"]
        assert find_violations(times, was_disturbed) == []

    def test_crashes_that_no_daemon_can_know_do_not_count(self):
        times = [1.0, 2.0, 3.0, 6.5, 7.0, 7.5, 8.0]
        assert find_violations(times, lost_at=5.0) == []

    def test_many_crashes_before_daemons_know(self):
        assert find_violations([1.0, 2.0, 3.0, 3.1, 3.2, 3.3, 3.4, 3.5]) == []

    def test_refused_innocent_request_is_detected(self):
        results = [make_result(status=400)]
        assert find_violations([], results=results) == ["innocent refused"]

    def test_crashes_count_as_faults(self):
        (fault,) = list_crash_faults([make_worker([105.0])], started_at=100.0)
        assert fault.starts_at == 5.0
        assert not fault.planned


class TestLimits:
    @pytest.mark.parametrize(
        ("runs", "disturbed", "expected"),
        [
            (11, was_undisturbed, []),
            (12, was_undisturbed, ["endpoint limit"]),
            (12, was_disturbed, []),
        ],
    )
    def test_runs_beyond_the_limit_are_detected(self, runs, disturbed, expected):
        worker = make_worker(run_times=[14.0 + number * 0.1 for number in range(runs)])
        period = LimitPeriod(worker, 1.0, named_at=10.0, ended_at=20.0)
        found = check_limits([period], disturbed)
        assert [violation.invariant for violation in found] == expected

    def test_runs_before_daemons_know_are_allowed(self):
        worker = make_worker(run_times=[11.0] * 50)
        period = LimitPeriod(worker, 1.0, named_at=10.0, ended_at=20.0)
        assert list(check_limits([period], was_undisturbed)) == []


class TestReportedCrash:
    # Guards against a check that expects knowledge which ended with the only
    # daemon that had it, a moment after the crash.
    def test_daemon_must_outlast_its_report(self):
        culprits = Culprits(["a:1", "a:2"])
        culprits.addresses_by_request["r1"] = "a:1"
        crash = CrashRecord("r1", "/p", b"body", 10.0)

        def ran_until(address, end):
            return lambda asked, start, until: asked == address and until <= end

        assert culprits._was_reported(crash, ran_until("a:1", 10.0 + REPORT_S))
        assert not culprits._was_reported(crash, ran_until("a:1", 10.5))
        assert not culprits._was_reported(crash, ran_until("a:2", 99.0))

"""Tests of the checks on endpoints that leave or back off by their answers."""

from bench.soak.answers_of_endpoints import check_back_offs, check_leaving
from bench.soak.callers import CallResult, Ending, Route
from standins.forwarding.workers import Worker


def make_result(id, daemon, started_at, ended_at):
    return CallResult(
        id, Route.LOOKUP, daemon, "/", "", started_at, ended_at, Ending.WHOLE, 200
    )


def never(kinds, start, end):
    return False


def always(kinds, start, end):
    return True


class TestLeaving:
    def check(self, late_started_at, daemon, was_disturbed=never):
        worker = Worker("s", leaves=True, left_at=10.0)
        worker.arrivals = [(10.1, "first"), (late_started_at + 0.1, "late")]
        results = [
            make_result("first", 0, 10.0, 10.2),
            make_result("late", daemon, late_started_at, late_started_at + 0.2),
        ]
        return list(check_leaving([worker], results, was_disturbed))

    def test_a_late_request_of_the_daemon_that_knew(self):
        assert len(self.check(12.3, 0)) == 1

    def test_one_within_the_bound_or_of_another_daemon_is_allowed(self):
        assert self.check(12.1, 0) == []
        assert self.check(12.3, 1) == []

    def test_a_restart_excuses(self):
        assert self.check(12.3, 0, always) == []


class TestBackOff:
    def check(self, arrivals, daemon=0, was_disturbed=never, retry_after="3"):
        worker = Worker("s")
        worker.rejected = [(10.0, "first", retry_after)]
        worker.arrivals = [(10.0, "first")]
        worker.arrivals += [(at, f"r{at}") for at in arrivals]
        results = [make_result("first", 0, 9.9, 10.1)]
        results += [make_result(f"r{at}", daemon, at, at) for at in arrivals]
        return list(check_back_offs([worker], results, was_disturbed))

    def test_more_than_two_of_the_daemon_that_was_asked(self):
        assert len(self.check([10.6, 11.0, 12.9])) == 1

    def test_two_or_those_of_another_daemon_are_allowed(self):
        assert self.check([10.6, 11.0]) == []
        assert self.check([10.6, 11.0, 12.9], daemon=1) == []

    def test_those_in_transit_or_after_the_time_are_allowed(self):
        assert self.check([10.1, 10.2, 10.4, 13.0, 13.1, 13.2]) == []

    def test_a_freeze_or_a_time_that_is_no_number_excuses(self):
        assert self.check([10.6, 11.0, 12.9], was_disturbed=always) == []
        assert self.check([10.6, 11.0, 12.9], retry_after="soon") == []

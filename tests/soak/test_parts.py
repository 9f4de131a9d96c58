"""Tests that the check of crashing parts detects violations."""

from bench.soak.culprits import Culprits
from bench.soak.parts import CrashingParts, check_parts
from standins.forwarding.workers import CrashRecord, Worker


def was_undisturbed(start, end):
    return False


def find_violations(times, sound=(), lost_at=0.0, disturbed=was_undisturbed):
    worker = Worker("s")
    worker.crashes += [
        CrashRecord(str(at), f"/{at}", b"%d" % at, at, "bad") for at in times
    ]
    parts = CrashingParts(Culprits([]), {"bad"}, list(sound))
    found = check_parts(parts, [worker], lost_at, disturbed)
    return [violation.invariant for violation in found]


class TestParts:
    def test_three_late_crashes_are_allowed(self):
        assert find_violations([1, 2, 3, 4, 5, 9, 10, 11]) == []

    def test_more_late_crashes_are_detected(self):
        times = [1, 2, 3, 4, 5, 9, 10, 11, 12]
        assert find_violations(times) == ["quarantined part"]
        assert find_violations(times, disturbed=lambda start, end: True) == []
        assert find_violations(times, lost_at=6.0) == []

    def test_a_refused_sound_request_is_detected(self):
        assert find_violations([], sound=[200, 503]) == []
        assert find_violations([], sound=[200, 400]) == ["sound refused"]

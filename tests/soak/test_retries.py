"""Tests that the check of the retry budget detects violations."""

from bench.soak.callers import Route
from bench.soak.retries import RETRY_WINDOW_S, check_retries
from standins.forwarding.platform import PLAIN
from standins.forwarding.workers import Worker
from tests.soak.test_checks import make_result

SLACK = 2.0


def find_violations(retry_times, requests=10, first_at=0.0):
    """Check ten requests that are sent at a time, and retries of the first."""
    worker = Worker(PLAIN)
    results = [
        make_result(Route.LOOKUP, request_id=str(number), started_at=first_at)
        for number in range(requests)
    ]
    worker.arrivals += [(first_at, result.request_id) for result in results]
    worker.arrivals += [(at, "0") for at in retry_times]
    found = check_retries([worker], results, SLACK)
    return [violation.invariant for violation in found]


class TestRetries:
    def test_the_slack_and_a_share_of_the_requests_are_allowed(self):
        assert find_violations([1.0, 1.1, 1.2, 1.3]) == []

    def test_one_more_is_detected(self):
        assert find_violations([1.0, 1.1, 1.2, 1.3, 1.4]) == ["retry budget"]

    def test_those_of_two_windows_are_allowed(self):
        later = 1.5 + RETRY_WINDOW_S
        assert find_violations([1.0, 1.1, 1.2, 1.3, later, later + 0.1]) == []

    def test_requests_of_long_ago_do_not_count(self):
        late = 1.0 + 3 * RETRY_WINDOW_S
        assert find_violations([late, late, late]) == ["retry budget"]

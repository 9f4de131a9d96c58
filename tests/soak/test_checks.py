"""Tests that the soak checks detect violations."""

import pytest

from bench.soak.callers import CallResult, Ending, Route
from bench.soak.checks import RECOVERY_S, Drain, History, check
from bench.soak.plan import Fault, FaultKind, make_plan
from standins.forwarding.workers import RunRecord, Worker

STREAM = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 7))
STARTED_AT = 1000.0


def make_result(route=Route.CHARGE, body=None, **changes):
    echo = b"POST /charge/1 body"
    fields = {
        "request_id": "1",
        "route": route,
        "daemon": 0,
        "path": f"/{route.value}/1",
        "adapter": "a1" if route.stream else "",
        "started_at": STARTED_AT + 1,
        "ended_at": STARTED_AT + 1.1,
        "ending": Ending.WHOLE,
        "status": 200,
        "body": body if body is not None else (STREAM if route.stream else echo),
    }
    return CallResult(**(fields | changes))


def make_worker(runs=1, **changes):
    worker = Worker("s", **changes)
    worker.runs["1"] = runs
    return worker


def find_violations(results=(), workers=(), faults=(), drains=()):
    history = History(STARTED_AT, faults, results, workers, drains)
    return [violation.invariant for violation in check(history)]


class TestChecks:
    def test_correct_run_has_no_violations(self):
        results = [make_result(), make_result(Route.SCRIPT, request_id="2")]
        assert find_violations(results, [make_worker()]) == []

    def test_unrepeatable_request_that_ran_twice(self):
        assert find_violations([make_result()], [make_worker(), make_worker()]) == [
            "at most once"
        ]

    def test_repeatable_request_may_run_twice(self):
        result = make_result(Route.LOOKUP, b"GET /lookup/1 ")
        assert find_violations([result], [make_worker(2)]) == []

    def test_rejected_request_that_ran(self):
        rejected = make_result(status=503, body=b"")
        assert find_violations([rejected], [make_worker()]) == ["not run"]

    def test_response_to_another_request(self):
        assert find_violations([make_result(body=b"POST /charge/2 body")]) == [
            "own answer"
        ]

    def test_missing_route(self):
        assert find_violations([make_result(status=404, body=b"")]) == ["routes"]

    @pytest.mark.parametrize(
        ("body", "violations"),
        [
            (STREAM.replace(b"id: 3\ndata: piece 3\n\n", b""), 2),
            (STREAM + b"id: 6\ndata: piece 6\n\n", 2),
            (STREAM[:44], 1),
        ],
    )
    def test_stream_with_gap_duplicate_or_truncation(self, body, violations):
        assert len(find_violations([make_result(Route.SCRIPT, body)])) == violations

    def test_overloaded_endpoint(self):
        assert find_violations(workers=[make_worker(overrun=True)]) == ["places"]

    def test_fencing_token_of_two_holders(self):
        worker = make_worker(fencing_tokens=[7, 7], holders=["i1", "i2"])
        assert find_violations(workers=[worker]) == ["fencing"]

    def test_response_truncated_by_planned_maintenance(self):
        truncated = make_result(ending=Ending.CUT, body=b"POST")
        term = Fault(FaultKind.TERM, 0.5, 1.0, 0)
        assert find_violations([truncated], faults=[term]) == ["graceful"]

    def test_response_truncated_by_kill_is_allowed(self):
        truncated = make_result(ending=Ending.CUT, body=b"POST")
        kill = Fault(FaultKind.KILL, 0.5, 1.0, 0)
        assert find_violations([truncated], faults=[kill]) == []

    def test_request_that_races_with_close_is_allowed(self):
        unanswered = make_result(ending=Ending.UNANSWERED, status=0, body=b"")
        assert find_violations([unanswered]) == []
        assert find_violations([unanswered], [make_worker()]) == ["graceful"]

    def test_request_to_drained_endpoint(self):
        worker = make_worker(records=[RunRecord("1", STARTED_AT + 5.0)])
        drain = Drain(worker.id, STARTED_AT + 1.0)
        assert find_violations(workers=[worker], drains=[drain]) == ["leaving"]
        silent = Fault(FaultKind.STORE_SILENT, 0.5, 1.0, 0)
        assert find_violations(workers=[worker], drains=[drain], faults=[silent]) == []


class TestPlan:
    def test_plans_cover_all_fault_kinds(self):
        kinds = {fault.kind for seed in range(60) for fault in make_plan(seed, 12.0)}
        assert kinds == set(FaultKind)

    def test_recovery_time_covers_response_timeout(self):
        assert RECOVERY_S >= 5.0

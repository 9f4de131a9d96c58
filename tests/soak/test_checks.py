"""Each check of the soak must notice what it is there for."""

import pytest

from bench.soak.callers import Answer, Ending, Route
from bench.soak.checks import AFTERMATH_S, Journal, Leaving, check
from bench.soak.plan import Fault, FaultKind, make_plan
from standins.forwarding.workers import RunRecord, Worker

STREAM = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 7))
BEGAN = 1000.0


def make_answer(route=Route.CHARGE, body=None, **changes):
    plain = b"POST /charge/1 body"
    shape = {
        "request_id": "1",
        "route": route,
        "daemon": 0,
        "path": f"/{route.value}/1",
        "adapter": "a1" if route.stream else "",
        "began": BEGAN + 1,
        "ended": BEGAN + 1.1,
        "ending": Ending.WHOLE,
        "status": 200,
        "body": body if body is not None else (STREAM if route.stream else plain),
    }
    return Answer(**(shape | changes))


def make_worker(runs=1, **changes):
    worker = Worker("s", **changes)
    worker.runs["1"] = runs
    return worker


def find(answers=(), workers=(), faults=(), leavings=()):
    journal = Journal(BEGAN, faults, answers, workers, leavings)
    return [violation.promise for violation in check(journal)]


class TestChecks:
    def test_sound_run_breaks_nothing(self):
        answers = [make_answer(), make_answer(Route.SCRIPT, request_id="2")]
        assert find(answers, [make_worker()]) == []

    def test_charge_that_ran_twice(self):
        assert find([make_answer()], [make_worker(), make_worker()]) == ["at most once"]

    def test_lookup_may_run_twice(self):
        answer = make_answer(Route.LOOKUP, b"GET /lookup/1 ")
        assert find([answer], [make_worker(2)]) == []

    def test_refusal_of_what_ran(self):
        refused = make_answer(status=503, body=b"")
        assert find([refused], [make_worker()]) == ["not run"]

    def test_answer_of_another_request(self):
        assert find([make_answer(body=b"POST /charge/2 body")]) == ["own answer"]

    def test_missing_route(self):
        assert find([make_answer(status=404, body=b"")]) == ["routes"]

    @pytest.mark.parametrize(
        ("body", "promises"),
        [
            (STREAM.replace(b"id: 3\ndata: piece 3\n\n", b""), 2),
            (STREAM + b"id: 6\ndata: piece 6\n\n", 2),
            (STREAM[:44], 1),
        ],
    )
    def test_stream_with_a_gap_a_repeat_or_no_end(self, body, promises):
        assert len(find([make_answer(Route.SCRIPT, body)])) == promises

    def test_overrun_endpoint(self):
        assert find(workers=[make_worker(overrun=True)]) == ["places"]

    def test_fencing_number_of_two_holders(self):
        worker = make_worker(fences=[7, 7], holders=["i1", "i2"])
        assert find(workers=[worker]) == ["fencing"]

    def test_answer_that_planned_work_cut(self):
        cut = make_answer(ending=Ending.CUT, body=b"POST")
        term = Fault(FaultKind.TERM, 0.5, 1.0, 0)
        assert find([cut], faults=[term]) == ["graceful"]

    def test_answer_that_a_kill_cut_is_excused(self):
        cut = make_answer(ending=Ending.CUT, body=b"POST")
        kill = Fault(FaultKind.KILL, 0.5, 1.0, 0)
        assert find([cut], faults=[kill]) == []

    def test_request_that_crossed_the_close_is_excused(self):
        crossed = make_answer(ending=Ending.UNANSWERED, status=0, body=b"")
        assert find([crossed]) == []
        assert find([crossed], [make_worker()]) == ["graceful"]

    def test_work_for_an_endpoint_that_left(self):
        worker = make_worker(records=[RunRecord("1", BEGAN + 5.0)])
        leaving = Leaving(worker.id, BEGAN + 1.0)
        assert find(workers=[worker], leavings=[leaving]) == ["leaving"]
        silent = Fault(FaultKind.STORE_SILENT, 0.5, 1.0, 0)
        assert find(workers=[worker], leavings=[leaving], faults=[silent]) == []


class TestPlan:
    def test_every_kind_comes(self):
        kinds = {fault.kind for seed in range(60) for fault in make_plan(seed, 12.0)}
        assert kinds == set(FaultKind)

    def test_aftermath_covers_a_callers_time(self):
        assert AFTERMATH_S >= 5.0

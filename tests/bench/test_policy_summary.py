"""Tests of how summaries count unanswered requests."""

import pytest

from bench.policy.outcome import Outcome, Result
from bench.policy.summary import summarize
from bench.policy.traces import DEPLOYMENTS, WARM_UP_S, Request
from fescuekeel.messages import AdapterRef

DEPLOYMENT = DEPLOYMENTS["nyirahabimana"]
URGENT = DEPLOYMENT.kinds[0]


def make_outcome(answered, stall_s, ended_s):
    at = WARM_UP_S + 1.0
    request = Request("r", at, AdapterRef("a", "1"), URGENT, 10, "dc0")
    end = at + ended_s
    kind = "answered" if answered else "too_late"
    return Outcome(request, end if answered else None, kind, stall_s, end)


class TestUnanswered:
    def test_early_rejection_does_not_count_as_short_stall(self):
        outcomes = [
            make_outcome(answered=True, stall_s=1.0, ended_s=2.0),
            make_outcome(answered=False, stall_s=0.0, ended_s=0.0),
            make_outcome(answered=False, stall_s=6.0, ended_s=6.0),
        ]
        summary = summarize(DEPLOYMENT, [Result(outcomes, steps=1)])
        assert summary.stalls.mean == pytest.approx(3.5)
        whole_s = (1.0 + 2 * URGENT.answer_s) / 3
        assert summary.penalized_stalls.mean == pytest.approx(whole_s)

    def test_rejection_time_is_a_share_of_the_answer_time(self):
        outcomes = [make_outcome(False, 6.0, 6.0), make_outcome(True, 0.0, 7.9)]
        summary = summarize(DEPLOYMENT, [Result(outcomes, steps=1)])
        assert summary.rejection_times.p50 == pytest.approx(6.0 / URGENT.answer_s)

"""Tests of which runs were in a crash of their endpoint."""

import pytest

from fescuekeel.components.forward.broken_run import BrokenRun
from fescuekeel.helpers.liveness import CrashEvidence, Liveness

NEVER = float("-inf")
REFUSED = CrashEvidence(Liveness.REFUSED, Liveness.REFUSED)
CLOSED = CrashEvidence(Liveness.CLOSED, Liveness.CLOSED, took_s=0.005)


def was_in_crash(
    evidence, answer_at=NEVER, crash_at=NEVER, lasted_s=0.004, shown_alive=False
):
    run = BrokenRun("e1", 10.0, lasted_s, shown_alive)
    return run.was_in_crash(evidence, answer_at, crash_at)


class TestRun:
    def test_a_connection_shows_that_an_endpoint_listened(self):
        assert was_in_crash(REFUSED)

    def test_an_endpoint_that_lives_has_not_crashed(self):
        alive = CrashEvidence(Liveness.ALIVE, Liveness.ALIVE)
        assert not was_in_crash(alive, 9.9, shown_alive=True)

    @pytest.mark.parametrize(
        ("answer_at", "crash_at", "expected"),
        [
            (NEVER, NEVER, False),
            (5.0, NEVER, False),
            (9.5, NEVER, True),
            (9.5, 9.6, False),
            (9.9, 9.6, True),
        ],
    )
    def test_endpoint_behind_a_proxy(self, answer_at, crash_at, expected):
        # Guards against blaming a request that was sent to an endpoint which
        # was down already, behind a proxy that accepts its connections.
        assert was_in_crash(CLOSED, answer_at, crash_at) is expected
        assert was_in_crash(CLOSED, answer_at, crash_at, shown_alive=True)
        assert was_in_crash(CLOSED, answer_at, crash_at, lasted_s=0.02)

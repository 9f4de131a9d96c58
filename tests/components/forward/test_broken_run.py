"""Tests of which runs were in a crash of their endpoint."""

import pytest

from fescuekeel.components.forward.broken_run import BrokenRun
from fescuekeel.helpers.liveness import CrashEvidence, Liveness

REFUSED = CrashEvidence(Liveness.REFUSED, Liveness.REFUSED, took_s=0.005)
CLOSED = CrashEvidence(Liveness.CLOSED, Liveness.CLOSED, took_s=0.005)


def was_in_crash(evidence, lasted_s=0.004, shown_alive=False):
    return BrokenRun("e1", 10.0, lasted_s, shown_alive).was_in_crash(evidence)


class TestRun:
    def test_a_connection_shows_that_an_endpoint_listened(self):
        assert was_in_crash(REFUSED)

    def test_an_endpoint_that_lives_has_not_crashed(self):
        alive = CrashEvidence(Liveness.ALIVE, Liveness.ALIVE)
        assert not was_in_crash(alive, lasted_s=1.0, shown_alive=True)

    @pytest.mark.parametrize(
        ("lasted_s", "expected"), [(0.002, False), (0.014, False), (0.02, True)]
    )
    def test_endpoint_behind_a_proxy(self, lasted_s, expected):
        # Guards against blaming a request that was sent to an endpoint which
        # was down already, behind a proxy that accepts its connections.
        assert was_in_crash(CLOSED, lasted_s) is expected
        assert was_in_crash(CLOSED, lasted_s, shown_alive=True)

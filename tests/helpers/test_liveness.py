"""Tests of the evidence that calls to an endpoint give."""

import asyncio

from fescuekeel.components.forward.broken_run import BrokenRun
from fescuekeel.helpers.liveness import Liveness, gather_evidence

SLOW_S = 0.08


def gather(*durations_s):
    """Return the evidence of calls that an endpoint closes after a while."""
    durations = iter(durations_s)

    async def call():
        await asyncio.sleep(next(durations))
        return Liveness.CLOSED

    return asyncio.run(gather_evidence(call))


class TestDuration:
    # Guards against a crash behind a proxy that does not count since a call of
    # the check was slow, as on a busy machine.
    def test_a_slow_call_does_not_hide_a_run(self):
        run = BrokenRun("e1", 10.0, lasted_s=0.05)
        assert run.was_in_crash(gather(0.001, SLOW_S))
        assert run.was_in_crash(gather(SLOW_S, 0.001))

    def test_a_fast_call_of_a_peer_counts_as_well(self):
        evidence = gather(SLOW_S, SLOW_S).add_peer(Liveness.CLOSED, took_s=0.002)
        assert BrokenRun("e1", 10.0, lasted_s=0.05).was_in_crash(evidence)

    def test_calls_that_are_all_slow_show_no_run(self):
        run = BrokenRun("e1", 10.0, lasted_s=0.05)
        assert not run.was_in_crash(gather(SLOW_S, SLOW_S))

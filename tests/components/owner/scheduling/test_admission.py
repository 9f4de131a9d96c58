"""Tests of the learned estimates of waits."""

from fescuekeel.components.owner.scheduling.admission import (
    MAX_STRETCH,
    WaitEstimates,
)


class TestWaitEstimates:
    def test_each_urgency_learns_alone_and_within_bounds(self):
        estimates = WaitEstimates()
        for number in range(500):
            estimates.expect(f"r{number}", 3, 0.5, 1.0)
            estimates.note_end(f"r{number}", 1000.0)
        assert estimates.expect("lazy", 3, 0.5, 1.0) <= 0.5 + MAX_STRETCH
        assert estimates.expect("lazy", 3, 0.5, 1.0) > 3.0
        assert estimates.expect("urgent", 0, 0.5, 1.0) == 1.5

    def test_nothing_is_kept_of_requests_that_are_gone(self):
        estimates = WaitEstimates()
        estimates.expect("r1", 0, 0.5, 1.0)
        estimates.forget("r1")
        estimates.note_end("r1", 50.0)
        assert estimates.expect("r2", 0, 0.5, 1.0) == 1.5

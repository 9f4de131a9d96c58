"""Tests of the corrected wait estimates."""

from fescuekeel.components.owner.scheduling.admission import (
    MAX_WAIT_FACTOR,
    WaitEstimates,
)


class TestWaitEstimates:
    def test_each_urgency_has_its_own_bounded_factor(self):
        estimates = WaitEstimates()
        for number in range(500):
            estimates.record_estimate(f"r{number}", 3, 0.5, 1.0)
            estimates.record_wait(f"r{number}", 1000.0)
        assert estimates.record_estimate("lazy", 3, 0.5, 1.0) <= 0.5 + MAX_WAIT_FACTOR
        assert estimates.record_estimate("lazy", 3, 0.5, 1.0) > 3.0
        assert estimates.record_estimate("urgent", 0, 0.5, 1.0) == 1.5

    def test_forgotten_request_does_not_change_the_factor(self):
        estimates = WaitEstimates()
        estimates.record_estimate("r1", 0, 0.5, 1.0)
        estimates.forget("r1")
        estimates.record_wait("r1", 50.0)
        assert estimates.record_estimate("r2", 0, 0.5, 1.0) == 1.5

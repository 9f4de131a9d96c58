"""Tests of the decision whether to take new connections."""

from fescuekeel.components.forward.connection_admission import ConnectionAdmission
from fescuekeel.components.forward.const import (
    CLOSED_LATELY_S,
    LATE_FOR_S,
    MAX_LOOP_LAG_S,
    RESUME_LOOP_LAG_S,
)

LONG_S = MAX_LOOP_LAG_S + 0.01
SHORT_S = RESUME_LOOP_LAG_S - 0.01


def make_closed(now):
    admission = ConnectionAdmission()
    admission.record_lag(LONG_S, now - LATE_FOR_S)
    assert admission.record_lag(LONG_S, now)
    return admission


class TestConnectionAdmission:
    def test_one_long_iteration_closes_no_connections(self):
        """Guards against closing connections while a configuration is read."""
        admission = ConnectionAdmission()
        assert not admission.record_lag(LONG_S, 10.0)
        assert not admission.record_lag(SHORT_S, 10.0 + LATE_FOR_S)
        assert not admission.record_lag(LONG_S, 10.1 + LATE_FOR_S)

    def test_long_iterations_close_them_until_one_is_short(self):
        admission = make_closed(10.0)
        between = (RESUME_LOOP_LAG_S + MAX_LOOP_LAG_S) / 2
        assert admission.record_lag(between, 10.1)
        assert not admission.record_lag(SHORT_S, 10.2)
        assert not admission.record_lag(between, 10.3)

    def test_one_suffices_shortly_afterwards(self):
        admission = make_closed(10.0)
        assert not admission.record_lag(SHORT_S, 10.1)
        assert admission.record_lag(LONG_S, 10.2)
        assert not admission.record_lag(SHORT_S, 10.3)
        assert not admission.record_lag(LONG_S, 10.3 + CLOSED_LATELY_S)

    def test_an_idle_loop_is_not_measured(self):
        admission = make_closed(10.0)
        assert admission.is_late
        admission.record_lag(SHORT_S, 10.1)
        assert not admission.is_late

"""Tests of how crashes of one endpoint are distinguished."""

from fescuekeel.components.quarantine.const import MAX_FINGERPRINTS
from fescuekeel.components.quarantine.reports import OwnReports


def add(reports, began_at, now, fingerprint="f1"):
    report = reports.add("e1", fingerprint, began_at, now)
    return None if report is None else report.crash


class TestNumbers:
    def test_runs_that_broke_together_were_in_one_crash(self):
        reports = OwnReports()
        assert add(reports, 0.0, 5.0) == add(reports, 4.9, 5.01, "f2") == "e1"

    def test_a_run_after_a_crash_was_in_the_next_one(self):
        reports = OwnReports()
        assert add(reports, 0.0, 5.0) == "e1"
        assert add(reports, 6.0, 7.0) == "e1+2"
        assert add(reports, 8.0, 9.0) == "e1+3"

    def test_a_run_after_the_crash_that_a_peer_saw(self):
        # Guards against counting two crashes that two instances saw as one.
        reports = OwnReports()
        reports.record_known("e1", 5.0)
        assert add(reports, 6.0, 7.0) == "e1+2"

    def test_a_run_before_the_news_of_a_peer(self):
        reports = OwnReports()
        reports.record_known("e1", 5.0)
        assert add(reports, 4.0, 5.1) == "e1"

    def test_older_news_changes_nothing(self):
        reports = OwnReports()
        reports.record_known("e1+2", 5.0)
        reports.record_known("e1", 6.0)
        assert add(reports, 5.5, 7.0) == "e1+3"


class TestReport:
    def test_number_of_requests_is_bounded(self):
        reports = OwnReports()
        for number in range(MAX_FINGERPRINTS):
            assert add(reports, 0.0, 1.0, f"f{number}") == "e1"
        assert add(reports, 0.0, 1.0, "one more") is None

"""Tests of what endpoints name in their reports when an instance starts."""

from fescuekeel.components.origins.const import MAX_READ_ENDPOINTS, MAX_RUNS_READ
from fescuekeel.components.origins.ledger import AMBIGUOUS, StreamOrigin
from fescuekeel.components.origins.running import choose_endpoints, find_origins
from fescuekeel.helpers.dialect import EndpointReport
from fescuekeel.helpers.published import EndpointRecord


def make_record(id, software):
    return EndpointRecord(id, "s", "a:1", "dc1", 8, False, software=software)


def make_report(*ids, born_ms=0):
    return EndpointReport(
        {}, frozenset(), False, len(ids), 0, 0, 0, born_ms=born_ms, running_ids=ids
    )


class TestFindOrigins:
    def test_named_attempts_have_the_version_of_their_endpoint(self):
        reports = [
            (make_record("e1", "v1"), make_report("r1", "r2")),
            (make_record("e2", "v2"), make_report("r3")),
        ]
        origins = find_origins(reports)
        assert origins["r2"] == StreamOrigin("s", "v1")
        assert origins["r3"] == StreamOrigin("s", "v2")

    # Guards against a guess where an attempt went on at another version
    # before its first event, and the first endpoint has not noticed.
    def test_an_attempt_at_two_versions_is_ambiguous(self):
        reports = [
            (make_record("e1", "v1"), make_report("r1")),
            (make_record("e2", "v2"), make_report("r1")),
        ]
        assert find_origins(reports) == {"r1": AMBIGUOUS}

    # Guards against the version of an entry that is older than the report.
    def test_a_report_of_another_start_tells_nothing(self):
        record = make_record("e1@5", "v1")
        assert find_origins([(record, make_report("r1", born_ms=6))]) == {}
        assert find_origins([(record, make_report("r1", born_ms=5))])

    # Guards against a report that fills the memory.
    def test_runs_of_one_endpoint_are_bounded(self):
        ids = [f"r{number}" for number in range(MAX_RUNS_READ + 10)]
        origins = find_origins([(make_record("e1", "v1"), make_report(*ids))])
        assert len(origins) == MAX_RUNS_READ


class TestChooseEndpoints:
    # Guards against a start that costs more in a larger fleet.
    def test_is_bounded_and_differs_between_instances(self):
        records = [make_record(f"e{number}", "v1") for number in range(200)]
        chosen = [
            {record.id for record in choose_endpoints(f"i{number}", records)}
            for number in range(60)
        ]
        assert all(len(each) == MAX_READ_ENDPOINTS for each in chosen)
        assert len(set.union(*chosen)) > 190

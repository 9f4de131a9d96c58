"""Tests of the stand-in workers of the forwarding interface."""

import time

from standins.forwarding.workers import Worker


def make_worker(**changes):
    return Worker("s", "m1", **changes)


class TestOrders:
    def test_order_with_a_stale_precondition_is_rejected(self):
        worker = make_worker()
        assert worker.admit_order(1, "i1", 0) == 0
        worker.begin_load("a1")
        assert worker.admit_order(1, "i1", 0) == 409
        assert worker.admit_order(1, "i1", 1) == 0
        assert worker.admit_order(1, "i1", None) == 0

    def test_older_fencing_token_is_rejected(self):
        worker = make_worker()
        assert worker.admit_order(2, "i2", None) == 0
        assert worker.admit_order(1, "i1", None) == 412

    def test_loads_and_unloads_increment_the_sequence(self):
        worker = make_worker(versions_by_adapter={"a1": 1})
        worker.begin_load("a2")
        worker.unload("a1")
        worker.unload("a1")
        assert worker.sequence == 2

    def test_load_beyond_the_limit_sets_overrun(self):
        worker = make_worker(max_loaded_adapters=1, versions_by_adapter={"a1": 1})
        worker.begin_load("a2")
        assert worker.overrun


class TestReports:
    def test_report_omits_changes_younger_than_its_lag(self):
        worker = make_worker(report_lag_s=0.05)
        assert worker.report()["sequence"] == 0
        worker.begin_load("a1")
        assert worker.report()["sequence"] == 0
        time.sleep(0.06)
        report = worker.report()
        assert report["sequence"] == 1
        assert report["pending"] == ["m1/a1@1"]

    def test_restart_shows_at_once(self):
        worker = make_worker(report_lag_s=60.0)
        worker.begin_load("a1")
        worker.restart()
        report = worker.report()
        assert (report["sequence"], report["born"]) == (0, worker.born)

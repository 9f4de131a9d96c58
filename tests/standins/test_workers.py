"""Tests of the stand-in engines of the forwarding interface."""

import time

from standins.forwarding.workers import Worker


def make_worker(**changes):
    return Worker("s", "m1", **changes)


class TestOrders:
    def test_an_order_after_another_count_is_refused(self):
        worker = make_worker()
        assert worker.take(1, "i1", 0) == 0
        worker.begin_load("a1")
        assert worker.take(1, "i1", 0) == 409
        assert worker.take(1, "i1", 1) == 0
        assert worker.take(1, "i1", None) == 0

    def test_an_older_fencing_number_is_refused(self):
        worker = make_worker()
        assert worker.take(2, "i2", None) == 0
        assert worker.take(1, "i1", None) == 412

    def test_loads_and_unloads_count(self):
        worker = make_worker(versions_by_adapter={"a1": 1})
        worker.begin_load("a2")
        worker.unload("a1")
        worker.unload("a1")
        assert worker.sequence == 2

    def test_a_load_without_a_place_is_an_overrun(self):
        worker = make_worker(places=1, versions_by_adapter={"a1": 1})
        worker.begin_load("a2")
        assert worker.overrun


class TestReports:
    def test_a_report_does_not_show_what_is_younger_than_its_lag(self):
        worker = make_worker(report_lag_s=0.05)
        assert worker.report()["sequence"] == 0
        worker.begin_load("a1")
        assert worker.report()["sequence"] == 0
        time.sleep(0.06)
        report = worker.report()
        assert report["sequence"] == 1
        assert report["pending"] == ["m1/a1@1"]

    def test_a_restart_shows_at_once(self):
        worker = make_worker(report_lag_s=60.0)
        worker.begin_load("a1")
        worker.restart()
        report = worker.report()
        assert (report["sequence"], report["born"]) == (0, worker.born)

"""Tests of the log lines of requests that are cut."""

import asyncio
from types import SimpleNamespace

import pytest
from tornado.httputil import HTTPHeaders

from fescuekeel.components.forward.open_requests import CutReason, OpenRequests
from fescuekeel.core import Instance
from fescuekeel.helpers.logging import add_destination, remove_destination
from tests.common import make_settings


@pytest.fixture
def lines():
    logged = []
    add_destination(logged.append)
    yield logged
    remove_destination(logged.append)


class Dialect:
    """Read the id of a request only."""

    def read_request(self, headers):
        return SimpleNamespace(request_id=headers["Fescuekeel-Request-Id"])


class World:
    """Open requests, and the work of one that was read."""

    def __init__(self):
        self.instance = Instance(make_settings())
        self.requests = OpenRequests(self.instance, Dialect())

    def open(self, work):
        task = asyncio.ensure_future(work)
        headers = HTTPHeaders({"Fescuekeel-Request-Id": "r1"})
        self.requests.add(task, headers)
        return task


def get_cuts(lines):
    """Return the reason and the outcome of each request that was cut."""
    return [
        (line["request_id"], line["reason"], line["outcome"])
        for line in lines
        if line["message_type"] == "request_cut"
    ]


class TestRequestThatWasNotAdmitted:
    def test_has_a_line_if_its_task_is_cancelled_before_it_begins(self, lines):
        # Guards against a request without a line that came in the last moment.
        async def work():
            world = World()
            task = world.open(asyncio.sleep(10.0))
            task.cancel()
            await asyncio.wait([task])
            await asyncio.sleep(0)

        asyncio.run(work())
        assert get_cuts(lines) == [("r1", "shutdown", "before_run")]

    def test_has_one_line_if_a_stop_cuts_it(self, lines):
        # Guards against cut requests that are counted twice.
        async def work():
            world = World()
            task = world.open(asyncio.sleep(10.0))
            await asyncio.sleep(0)
            world.requests.record_all_cut(CutReason.SHUTDOWN)
            task.cancel()
            await asyncio.wait([task])
            await asyncio.sleep(0)
            assert world.requests.cut == 1
            counters = world.instance.metrics.counters_by_name
            assert counters["cut.before_run"] == 1
            assert not world.requests.by_task

        asyncio.run(work())
        assert get_cuts(lines) == [("r1", "shutdown", "before_run")]

    def test_has_a_line_with_its_id_if_its_admission_fails(self, lines):
        # Guards against a fault whose line does not name the request.
        async def fail():
            raise KeyError("model")

        async def work():
            task = World().open(fail())
            await asyncio.wait([task])
            await asyncio.sleep(0)

        asyncio.run(work())
        assert get_cuts(lines) == [("r1", "fault", "before_run")]
        assert "KeyError" in lines[-1]["error"]

    def test_has_no_line_if_it_was_refused(self, lines):
        # Guards against lines of cut requests for those that were answered.
        async def work():
            task = World().open(asyncio.sleep(0))
            await asyncio.wait([task])
            await asyncio.sleep(0)

        asyncio.run(work())
        assert get_cuts(lines) == []

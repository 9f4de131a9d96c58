"""Tests of the check whether an endpoint has crashed."""

import asyncio
from dataclasses import dataclass

from fescuekeel.components.forward.crash_check import CrashChecker
from fescuekeel.components.relay import PathState
from fescuekeel.core import Instance
from fescuekeel.helpers.dialect import HttpCall, ResponseMetadata
from fescuekeel.helpers.published import Catalog, EndpointRecord
from standins.server import ConnectionFaults, Server, StandInHandler
from tests.common import make_settings

ENDPOINT = "e1@1"


class FakeDialect:
    """A dialect in which 421 comes from another incarnation."""

    def make_report_call(self, endpoint):
        return HttpCall("GET", "/report")

    def read_response(self, status, headers):
        return ResponseMetadata(status == 421, False, "", misdirected=status == 421)


class Endpoint:
    """A stand-in that answers its report with a status."""

    def __init__(self, status):
        self.status = status
        self.connection_faults = ConnectionFaults()


class ReportHandler(StandInHandler):
    async def get(self):
        await self.respond(self.standin.status, {})


def make_catalog(*endpoints):
    records = {id: EndpointRecord(id, "s", "", "a", 1, False) for id in endpoints}
    return Catalog(1, None, records, {})


class FakeRelay:
    """Paths that are all direct."""

    def get_state(self, endpoint):
        return PathState.DIRECT


@dataclass
class Scenario:
    """An endpoint, and the catalogs before its answers broke."""

    status: int = 200
    down: bool = False
    stopped: bool = False
    removed_s: float | None = None

    async def check(self):
        standin = Endpoint(self.status)
        server = Server(standin, [("/report", ReportHandler)])
        standin.connection_faults.down = self.down
        clock = [100.0]
        instance = Instance(make_settings(), clock=lambda: clock[0])
        record = None if self.removed_s is not None else object()
        checker = CrashChecker(instance, FakeDialect(), lambda id: record, FakeRelay())
        checker.update_catalog(make_catalog(ENDPOINT), clock[0])
        if self.removed_s is not None:
            checker.update_catalog(make_catalog(), clock[0])
            clock[0] += self.removed_s
        if self.stopped:
            await server.stop()
        try:
            first = checker.start_check(ENDPOINT, server.address)
            assert checker.start_check(ENDPOINT, server.address) is first
            evidence = await first
            return evidence is not None and evidence.shows_crash
        finally:
            if not self.stopped:
                await server.stop()

    @property
    def crashed(self):
        return asyncio.run(self.check())


class TestCheck:
    def test_an_endpoint_that_answers_has_not_crashed(self):
        assert not Scenario().crashed
        assert not Scenario(status=503).crashed

    def test_a_refused_connection_shows_a_crash(self):
        assert Scenario(stopped=True).crashed

    def test_connections_closed_without_an_answer_show_a_crash(self):
        assert Scenario(down=True).crashed

    def test_another_incarnation_shows_a_crash(self):
        assert Scenario(status=421).crashed

    def test_an_announced_stop_is_no_crash(self):
        # Guards against blaming requests for the planned end of an endpoint.
        assert not Scenario(stopped=True, removed_s=2.0).crashed

    def test_an_endpoint_that_is_removed_as_it_crashes(self):
        assert Scenario(stopped=True, removed_s=0.1).crashed

"""Tests of the check whether an endpoint has crashed."""

import asyncio
from dataclasses import dataclass, field

from fescuekeel.components.forward.crash_check import CrashChecker
from fescuekeel.components.relay import PathState, RelayFailedError
from fescuekeel.core import Instance
from fescuekeel.helpers.correlation import Correlation
from fescuekeel.helpers.dialect import HttpCall, ResponseMetadata
from fescuekeel.helpers.http_connection import connect
from fescuekeel.helpers.published import Catalog, EndpointRecord, Position
from fescuekeel.messages import MemberView
from standins.server import ConnectionFaults, Server, StandInHandler
from tests.common import make_settings

ENDPOINT = "e1@1"


class FakeDialect:
    """A dialect in which 421 comes from another incarnation."""

    def make_correlation(self, request_id):
        return Correlation("request-id", request_id)

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
    return Catalog(Position(0, 1), None, records, {})


@dataclass
class FakeRelay:
    """Direct paths, and what a peer finds at the endpoint.

    Without ``address`` no peer connects; ``is_down`` says that one reaches
    other endpoints, and ``reaches_another`` that this instance does.
    """

    address: str = ""
    is_down: bool = False
    reaches_others: bool = True
    state: PathState = PathState.DIRECT

    def get_state(self, endpoint):
        return self.state

    async def connect_relayed(self, endpoint):
        if not self.address:
            raise RelayFailedError("no peer", self.is_down)
        return await connect(self.address, 1.0)

    async def reaches_another(self, endpoint):
        return self.reaches_others


@dataclass
class Scenario:
    """An endpoint, and the catalogs before its answers broke."""

    status: int = 200
    down: bool = False
    silent: bool = False
    stopped: bool = False
    removed_s: float | None = None
    relay: FakeRelay = field(default_factory=FakeRelay)
    has_peers: bool = False

    async def check(self):
        standin = Endpoint(self.status)
        server = Server(standin, [("/report", ReportHandler)])
        standin.connection_faults.down = self.down
        standin.connection_faults.mute = 9 if self.silent else 0
        clock = [100.0]
        instance = Instance(make_settings(), clock=lambda: clock[0])
        record = None if self.removed_s is not None else object()
        checker = CrashChecker(
            instance,
            FakeDialect(),
            lambda id: record,
            self.relay,
            lambda id, response: None,
        )
        if self.has_peers:
            members = {id: None for id in ("i1", "i2")}
            instance.bus.publish_state(MemberView(members))
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


class TestPeers:
    # Guards against taking a cut link for a crash of the endpoint behind it.
    def test_an_endpoint_that_a_peer_reaches_has_not_crashed(self):
        async def work():
            server = Server(Endpoint(200), [("/report", ReportHandler)])
            relay = FakeRelay(server.address)
            try:
                return await Scenario(stopped=True, relay=relay, has_peers=True).check()
            finally:
                await server.stop()

        assert not asyncio.run(work())

    def test_an_endpoint_that_no_peer_reaches_either_has_crashed(self):
        relay = FakeRelay(is_down=True)
        assert Scenario(stopped=True, relay=relay, has_peers=True).crashed

    # Guards against crashes that count for nothing while peers are away.
    def test_without_an_answer_of_peers_its_own_call_counts(self):
        assert Scenario(stopped=True, has_peers=True).crashed

    def test_an_instance_that_is_cut_off_itself_has_no_evidence(self):
        relay = FakeRelay(reaches_others=False)
        assert not Scenario(stopped=True, relay=relay, has_peers=True).crashed

    # Guards against crashes that count for nothing behind a cut link.
    def test_an_endpoint_that_a_relay_does_not_reach_any_more_has_crashed(self):
        relay = FakeRelay(is_down=True, state=PathState.RELAYED)
        assert Scenario(relay=relay, has_peers=True).crashed

    def test_a_relay_that_fails_is_no_crash(self):
        relay = FakeRelay(reaches_others=False, state=PathState.RELAYED)
        assert not Scenario(relay=relay, has_peers=True).crashed


class TestSilentLink:
    """The own link to the endpoint is silent, and peers have links as well."""

    def check_with_peer(self, **changes):
        async def work():
            endpoint = Endpoint(200)
            vars(endpoint.connection_faults).update(changes)
            server = Server(endpoint, [("/report", ReportHandler)])
            relay = FakeRelay(server.address)
            try:
                return await Scenario(silent=True, relay=relay, has_peers=True).check()
            finally:
                await server.stop()

        return asyncio.run(work())

    # Guards against a crash that does not count since the link to the endpoint
    # falls silent at the same time.
    def test_an_endpoint_that_closes_a_peers_connections_has_crashed(self):
        assert self.check_with_peer(down=True)

    def test_an_endpoint_that_answers_a_peer_has_not_crashed(self):
        assert not self.check_with_peer()

    def test_an_endpoint_that_is_silent_to_a_peer_too_has_not_crashed(self):
        assert not self.check_with_peer(mute=9)

    # Guards against blaming requests for a cut between an endpoint and all.
    def test_an_endpoint_that_no_peer_reaches_has_not_crashed(self):
        relay = FakeRelay(is_down=True)
        assert not Scenario(silent=True, relay=relay, has_peers=True).crashed

    def test_without_peers_nothing_is_known(self):
        assert not Scenario(silent=True).crashed

"""Tests of requests at endpoints that send nothing."""

import asyncio
from dataclasses import dataclass

import pytest

from fescuekeel.components.endpoints import EndpointLoad
from fescuekeel.components.endpoints.const import FAILOVER_AFTER_S
from fescuekeel.components.forward.reachability import ReachabilityMonitor
from fescuekeel.components.relay import PathState
from fescuekeel.core import Instance
from fescuekeel.helpers.logging import add_destination, remove_destination
from tests.common import make_settings

SILENT_S = FAILOVER_AFTER_S + 0.25


@dataclass(eq=False)
class Request:
    """A request that waits for an endpoint."""

    may_move: bool
    current_endpoint: str = "e1"
    begun: int = 0
    silent_s: float = 0.0

    def begin_failover(self, by_another_path):
        self.begun += 1
        return self.may_move


class Relay:
    def get_state(self, endpoint):
        return PathState.DIRECT


@pytest.fixture
def lines():
    logged = []
    add_destination(logged.append)
    yield logged
    remove_destination(logged.append)


class TestSilentEndpoint:
    def test_requests_there_look_for_another(self, lines):
        load = EndpointLoad()
        load.health.record_sent(10.0)
        instance = Instance(make_settings(), clock=lambda: 10.0 + SILENT_S)
        monitor = ReachabilityMonitor(instance, {"e1": load}, lambda id: None, Relay())
        requests = [Request(True), Request(False), Request(True)]
        elsewhere = Request(True, current_endpoint="e2")

        async def check():
            monitor.check_silent([*requests, elsewhere])

        asyncio.run(check())
        assert [request.begun for request in requests] == [1, 1, 1]
        assert elsewhere.begun == 0
        (begun,) = [line for line in lines if line["message_type"] == "failover_begun"]
        assert begun["requests"] == 2

"""Tests of leaving endpoints that send nothing."""

from dataclasses import dataclass, field
from types import SimpleNamespace

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

    id: str
    may_move: bool
    current_endpoint: str = "e1"
    arrived: float = 10.0
    state: SimpleNamespace = field(
        default_factory=lambda: SimpleNamespace(answer_started=True, sends=1)
    )

    @property
    def metadata(self):
        return SimpleNamespace(request_id=self.id)

    def abort_for_failover(self, by_another_path):
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


class TestFailover:
    def test_each_aborted_request_has_a_line(self, lines):
        # Guards against streams that are cut after a failover no line names.
        load = EndpointLoad()
        load.health.record_sent(10.0)
        instance = Instance(make_settings(), clock=lambda: 10.0 + SILENT_S)
        monitor = ReachabilityMonitor(instance, {"e1": load}, lambda id: None, Relay())
        requests = [Request("r1", True), Request("r2", False), Request("r3", True)]
        monitor.check_silent(requests)
        aborted = [line for line in lines if line["message_type"] == "request_failover"]
        assert [line["request_id"] for line in aborted] == ["r1", "r3"]
        for line in aborted:
            assert line["endpoint"] == "e1"
            assert line["silent_ms"] == round(SILENT_S * 1000)
            assert line["answer_started"]
            assert not line["by_another_path"]
        (left,) = [
            line for line in lines if line["message_type"] == "silent_endpoint_left"
        ]
        assert left["requests"] == 2

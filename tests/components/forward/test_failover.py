"""Tests of the move of a request from a silent endpoint to another one."""

import asyncio
from types import SimpleNamespace

import pytest

from fescuekeel.components.allowance import PermitOutcome
from fescuekeel.components.endpoints import EndpointLoad
from fescuekeel.components.forward import failover as failover_module
from fescuekeel.components.forward.attempt import Attempt
from fescuekeel.components.forward.choice import Choice, ChoiceReason
from fescuekeel.components.forward.failover import Failover
from fescuekeel.core import Instance
from fescuekeel.errors import ErrorKind, Failure
from fescuekeel.helpers.logging import add_destination, remove_destination
from tests.common import make_settings

SENT_AT = 10.0
NOW = 12.0


class Connection:
    def __init__(self, relayed_by=""):
        self.relayed_by = relayed_by
        self.awaits_data = True
        self.closed = False

    def close(self):
        self.closed = True


class Exchange:
    """An attempt that connects at once, unless ``end`` says why not."""

    end = None

    def __init__(self, request, attempt, choice):
        self.request, self.attempt, self.choice = request, attempt, choice
        self.is_charged = False
        self.is_abandoned = False
        request.exchanges.append(self)

    @property
    def is_relayed(self):
        return bool(self.attempt.connection.relayed_by)

    async def connect(self):
        self.attempt.connection = Connection(self.request.relayed_by)
        return self.end

    def abandon(self):
        self.is_abandoned = True


class Request:
    """A request at ``e1``, which owes answers; ``found`` is the selection."""

    def __init__(self, found, has_budget=True, relayed_by=""):
        self.found = found
        self.has_budget = has_budget
        self.relayed_by = relayed_by
        self.selected = asyncio.Event()
        self.selected.set()
        self.exchanges = []
        self.avoided = None
        self.loads_by_id = {"e1": EndpointLoad(), "e2": EndpointLoad()}
        self.loads_by_id["e1"].health.record_sent(SENT_AT)
        self.attempt = Attempt("e1", SENT_AT, 0, 0, connection=Connection())
        self.forwarder = self
        self.instance = Instance(make_settings(), clock=lambda: NOW)
        self.metadata = SimpleNamespace(request_id="r1")
        self.state = SimpleNamespace(answer_started=True, sends=1)

    def get_load(self, endpoint):
        return self.loads_by_id[endpoint]

    async def select_endpoint(self, request, avoided):
        self.avoided = avoided
        await self.selected.wait()
        return self.found

    def make_attempt(self, choice):
        return Attempt(choice.endpoint, NOW, 0, 0)

    def is_current(self, attempt):
        return attempt is self.attempt

    def spend_retry(self, request):
        return self.has_budget


@pytest.fixture(autouse=True)
def exchange(monkeypatch):
    monkeypatch.setattr(failover_module, "Exchange", Exchange)


@pytest.fixture
def lines():
    logged = []
    add_destination(logged.append)
    yield logged
    remove_destination(logged.append)


def make_choice(endpoint="e2"):
    return Choice(endpoint, ChoiceReason.HOLDS, 0.0)


def fail_over(request, by_another_path=False, meanwhile=lambda failover: None):
    """Play a failover to its end; ``meanwhile`` happens during the search."""

    async def work():
        failover = Failover(request)
        request.selected.clear()
        assert failover.begin(request.attempt, by_another_path)
        await asyncio.sleep(0)
        meanwhile(failover)
        request.selected.set()
        for _ in range(5):
            await asyncio.sleep(0)
        return failover

    return asyncio.run(work())


class TestStay:
    # Guards against ending an attempt before another one can replace it.
    @pytest.mark.parametrize(
        ("found", "has_budget"),
        [
            (Failure(ErrorKind.LOAD_FAILED, "no place"), True),
            (Failure(ErrorKind.STREAM_VERSION_GONE, "v1"), True),
            (make_choice(), False),
            (make_choice("e1"), True),
        ],
    )
    def test_attempt_stays_open(self, found, has_budget):
        request = Request(found, has_budget)
        failover = fail_over(request)
        assert not request.attempt.connection.closed
        assert not failover.is_prepared
        assert all(exchange.is_abandoned for exchange in request.exchanges)

    def test_attempt_stays_open_without_a_connection(self, monkeypatch):
        monkeypatch.setattr(Exchange, "end", PermitOutcome.UNUSED)
        request = Request(make_choice())
        assert not fail_over(request).is_prepared
        assert not request.attempt.connection.closed

    def test_attempt_stays_open_if_the_other_is_silent(self):
        request = Request(make_choice())
        request.loads_by_id["e2"].health.record_sent(SENT_AT)
        assert not fail_over(request).is_prepared
        assert not request.attempt.connection.closed

    def test_attempt_stays_open_if_the_endpoint_goes_on(self):
        request = Request(make_choice())
        health = request.loads_by_id["e1"].health
        fail_over(request, meanwhile=lambda _: health.record_received(NOW))
        assert not request.attempt.connection.closed
        assert request.exchanges[0].is_abandoned

    def test_attempt_stays_open_while_there_is_data_to_read(self):
        request = Request(make_choice())
        request.attempt.connection.awaits_data = False
        assert not fail_over(request).is_prepared
        assert not request.attempt.connection.closed


class TestSwitch:
    def test_attempt_ends_once_another_is_ready(self):
        request = Request(make_choice())
        failover = fail_over(request)
        assert request.avoided == "e1"
        assert request.attempt.connection.closed
        prepared = failover.take()
        assert prepared.is_charged
        assert prepared.attempt.endpoint == "e2"
        assert not failover.is_prepared

    @pytest.mark.parametrize(("relayed_by", "switches"), [("i2", True), ("", False)])
    def test_same_endpoint_only_by_another_path(self, relayed_by, switches):
        request = Request(make_choice("e1"), relayed_by=relayed_by)
        failover = fail_over(request, by_another_path=True)
        assert request.avoided == ""
        assert failover.is_prepared is switches
        assert request.attempt.connection.closed is switches

    def test_prepared_attempt_is_returned_if_the_request_ends(self):
        request = Request(make_choice())
        failover = fail_over(request)
        failover.cancel()
        assert request.exchanges[0].is_abandoned
        assert not failover.is_prepared


class TestLines:
    # Guards against streams that are cut after a failover no line names.
    @pytest.mark.parametrize(
        ("found", "target", "failure", "outcome"),
        [
            (make_choice(), "e2", "", "switched"),
            (Failure(ErrorKind.LOAD_FAILED, ""), "", "load_failed", "no_endpoint"),
        ],
    )
    def test_each_request_has_one(self, lines, found, target, failure, outcome):
        fail_over(Request(found))
        (line,) = [line for line in lines if line["message_type"] == "failover_ended"]
        assert line["request_id"] == "r1"
        assert line["endpoint"] == "e1"
        assert (line["target"], line["failure"]) == (target, failure)
        assert line["silent_ms"] == round((NOW - SENT_AT) * 1000)
        assert line["answer_started"]
        assert not line["by_another_path"]
        assert line["outcome"] == outcome

    def test_cancelled_search_has_one(self, lines):
        request = Request(make_choice())
        fail_over(request, meanwhile=lambda failover: failover.end_search())
        (line,) = [line for line in lines if line["message_type"] == "failover_ended"]
        assert line["outcome"] == "goes_on"
        assert not request.exchanges


class TestCancelledSearch:
    # Guards against a request that never looks for another endpoint again,
    # since a search was cancelled before it began to run.
    def test_another_one_may_follow(self):
        async def work():
            request = Request(make_choice())
            failover = Failover(request)
            assert failover.begin(request.attempt, False)
            failover.end_search()
            await asyncio.sleep(0.01)
            assert failover.begin(request.attempt, False)
            await asyncio.sleep(0.01)
            assert failover.is_prepared

        asyncio.run(work())

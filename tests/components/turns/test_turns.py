"""Tests of load turns."""

import asyncio

from returns.result import Failure as Err, Success

from fescuekeel.components.turns import DOMAIN, Turns
from fescuekeel.components.turns.const import AGED_EVERY, ASK_HOLD_S
from fescuekeel.components.turns.decision import TurnTable, choose_leader
from fescuekeel.core import Instance
from fescuekeel.errors import ErrorKind, Failure
from fescuekeel.messages import (
    AdapterRef,
    InstanceState,
    Member,
    MemberView,
    PeerMessage,
    TurnAnswer,
    TurnAsk,
    TurnDone,
)
from tests.common import make_settings

A, B, C = (AdapterRef(name, "1") for name in "abc")


def make_ask(adapter, value=1.0, number=1):
    return PeerMessage("i1", number, TurnAsk("e1", adapter, value, 1))


def granted(replies):
    return [reply.answer.adapter for reply in replies if reply.answer.granted]


class TestTable:
    def test_one_turn_at_a_time_most_valuable_first(self):
        table = TurnTable()
        assert granted(table.ask(make_ask(A), 0.0)) == [A]
        assert granted(table.ask(make_ask(B, 1.0), 0.1)) == []
        assert granted(table.ask(make_ask(C, 2.0), 0.2)) == []
        assert granted(table.done(TurnDone("e1", A, 500), 0.5)) == [C]

    def test_the_value_can_change(self):
        table = TurnTable()
        table.ask(make_ask(A), 0.0)
        table.ask(make_ask(B, 1.0), 0.1)
        table.ask(make_ask(C, 2.0), 0.1)
        table.ask(make_ask(B, 3.0, number=0), 0.2)
        assert granted(table.done(TurnDone("e1", A, 500), 0.5)) == [B]

    def test_a_deferred_ask_keeps_its_age(self):
        table = TurnTable()
        table.ask(make_ask(A), 0.0)
        table.ask(make_ask(B), 0.1)
        (reply,) = table.tick(0.1 + ASK_HOLD_S)
        assert (reply.answer.adapter, reply.answer.granted) == (B, False)
        table.ask(make_ask(C), 0.8)
        table.ask(make_ask(B), 0.9)
        assert granted(table.done(TurnDone("e1", A, 500), 1.0)) == [B]

    def test_a_grant_that_is_not_returned_expires(self):
        # Guards against an owner that fails while it holds the turn, which
        # would stop all loads.
        table = TurnTable(load_s=0.5)
        table.ask(make_ask(A), 0.0)
        table.ask(make_ask(B), 1.9)
        assert granted(table.tick(2.1)) == [B]
        assert table.timeouts == 1

    def test_a_lost_grant_is_repeated(self):
        table = TurnTable()
        table.ask(make_ask(A), 0.0)
        assert granted(table.ask(make_ask(A), 0.1)) == [A]

    def test_an_old_ask_is_not_starved(self):
        # Guards against starvation of an endpoint whose asks have a low value
        # while others ask with a high value all the time.
        table = TurnTable(load_s=0.1)
        table.ask(make_ask(A, 9.0), 0.0)
        now = 0.0
        for _ in range(40 + AGED_EVERY):
            now += 0.1
            table.ask(make_ask(C, 1.0), now)
            table.ask(make_ask(A, 9.0), now)
            done = TurnDone("e1", table.granted_key.adapter, 100)
            if C in granted(table.done(done, now)):
                return
        raise AssertionError("the old ask was never granted")


class TestLeader:
    def test_suspect_and_unresponsive_members_are_not_chosen(self):
        members = {f"i{n}": Member(f"i{n}", "", "dc1", 1) for n in range(3)}
        first = choose_leader(members)
        second = choose_leader(members, unresponsive={first})
        assert second != first
        members[first] = Member(first, "", "dc1", 1, InstanceState.SUSPECT)
        assert choose_leader(members) == second


class FakeLink:
    """Deliver asks to the leader on the same instance, or to none."""

    def __init__(self, instance):
        self.instance = instance
        self.unresponsive = False
        self.requests = {}

    async def stop(self):
        pass

    def send(self, instance_id, body):
        return self.instance.bus.publish_peer(PeerMessage("i1", 0, body))

    async def ask(self, instance_id, body, timeout_s):
        if self.unresponsive:
            return Err(Failure(ErrorKind.PEER_UNREACHABLE))
        number = len(self.requests) + 1
        self.requests[number] = asyncio.get_running_loop().create_future()
        self.instance.bus.publish_peer(PeerMessage("i1", number, body))
        return Success(await self.requests[number])

    def answer(self, request, body):
        assert isinstance(body, TurnAnswer)
        self.requests[request.number].set_result(body)


async def make_turns():
    instance = Instance(make_settings())
    link = FakeLink(instance)
    turns = Turns(instance)
    instance.components_by_domain.update({"peers": link, DOMAIN: turns})
    view = MemberView({"i1": Member("i1", "", "dc1", 1)})
    instance.bus.publish_state(view)
    await turns.start()
    return instance, link, turns


class TestTurns:
    def test_a_returned_turn_is_granted_to_the_next_ask(self):
        async def run():
            instance, _, turns = await make_turns()
            assert await turns.request("e1", A, 1.0, 1)
            waiting = asyncio.ensure_future(turns.request("e2", B, 1.0, 1))
            await asyncio.sleep(0)
            assert not await turns.request("e2", B, 2.0, 2)
            turns.done("e1", A, 0.5)
            assert await waiting
            await instance.stop()

        asyncio.run(run())

    def test_a_withdrawn_ask_ends(self):
        async def run():
            instance, _, turns = await make_turns()
            assert await turns.request("e1", A, 1.0, 1)
            waiting = asyncio.ensure_future(turns.request("e2", B, 1.0, 1))
            await asyncio.sleep(0)
            turns.withdraw("e2", B)
            turns.done("e1", A, 0.5)
            assert not await waiting
            await instance.stop()

        asyncio.run(run())

    def test_an_unresponsive_leader_stops_no_load(self):
        # Guards against loads that wait for a leader that hangs.
        async def run():
            instance, link, turns = await make_turns()
            link.unresponsive = True
            assert await turns.request("e1", A, 1.0, 1)
            counters = instance.metrics.counters_by_name
            assert counters["turns.leader_silent"] == 1
            await instance.stop()

        asyncio.run(run())

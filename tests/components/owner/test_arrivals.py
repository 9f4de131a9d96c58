"""Tests of requests that wait to hear where a load takes place."""

import asyncio
from dataclasses import replace
from typing import Any

from fescuekeel.components.owner import arrivals
from fescuekeel.errors import ErrorKind
from fescuekeel.messages import (
    CopyAnswer,
    CopyAsk,
    LiveEntry,
    LiveRole,
    Member,
    MemberView,
    PeerConnectionLost,
    PeerMessage,
    SubmitAnswer,
)
from tests.common import eventually
from tests.components.owner.common import CUPS, ENDPOINT, Bed, Link, Node, run_story

OTHER = "e2"
HELD = CopyAnswer(OTHER, owned=True, held=True)
WORSE = CopyAnswer(OTHER, owned=True, held=False, score=9.0)


class OtherOwner:
    """Play the owner of the adapter's other endpoint."""

    def __init__(self, bed: Bed) -> None:
        self.bed = bed
        self.asked: list[PeerMessage] = []
        self.says: CopyAnswer | None = HELD

    def receive(self, message: PeerMessage) -> None:
        if not isinstance(message.body, CopyAsk):
            return
        self.asked.append(message)
        if self.says is not None:
            self.answer(self.says)

    def answer(self, body: CopyAnswer) -> None:
        Link(self.bed, "i2").answer(self.asked[-1], body)


async def start(bed: Bed) -> tuple[Node, OtherOwner]:
    """Let one node own an endpoint beside another one that is played."""
    node, other = await bed.add("i1"), OtherOwner(bed)
    bed.nodes_by_id["i2"] = other  # type: ignore[assignment]
    bed.show(node, "i1")
    await eventually(lambda: node.state == "owned")
    view = node.instance.bus.latest(MemberView)
    assert view is not None
    first = view.endpoints_by_id[ENDPOINT]
    second = LiveEntry(OTHER, LiveRole.ENDPOINT, "", "dc2", 1, pool=first.pool)
    members = {**view.members_by_id, "i2": Member("i2", "", "dc2", 1)}
    endpoints = {ENDPOINT: first, OTHER: second}
    node.instance.bus.publish_state(MemberView(members, endpoints))
    return node, other


def run(story: Any) -> None:
    async def whole(bed: Bed) -> None:
        node, other = await start(bed)
        try:
            await story(bed, node, other)
        finally:
            del bed.nodes_by_id["i2"]

    run_story(whole)


def spawn(node: Node, id: str, **changes: Any) -> asyncio.Task[SubmitAnswer]:
    return asyncio.ensure_future(node.submit("i1", id, **changes))


class TestMoves:
    def test_a_request_goes_where_the_copy_is(self) -> None:
        async def story(bed: Bed, node: Node, other: OtherOwner) -> None:
            answer = await node.submit("i1", "r1")
            assert answer == SubmitAnswer(False, ErrorKind.MOVED, endpoint=OTHER)
            assert other.asked[0].body == CopyAsk(OTHER, CUPS)
            assert not node.endpoint.scheduler.queued_count
            assert not bed.engine.orders
            assert node.endpoint.arrivals.is_empty

        run(story)

    def test_it_stays_when_more_would_be_lost_there(self) -> None:
        async def story(bed: Bed, node: Node, other: OtherOwner) -> None:
            other.says = WORSE
            assert (await node.submit("i1", "r1", repeatable=False)).accepted
            await eventually(lambda: "r1" in node.ends_by_id)
            assert (await node.submit("i1", "r2")).accepted
            await eventually(lambda: "r2" in node.ends_by_id)
            assert [each.request_id for each in bed.engine.runs] == ["r1", "r2"]
            # What is loaded needs no question.
            assert len(other.asked) == 1

        run(story)

    def test_what_was_moved_before_stays(self) -> None:
        async def story(bed: Bed, node: Node, other: OtherOwner) -> None:
            assert (await node.submit("i1", "r1", moved=True)).accepted
            assert not other.asked

        run(story)

    def test_one_question_serves_all_that_wait(self) -> None:
        async def story(bed: Bed, node: Node, other: OtherOwner) -> None:
            other.says = None
            tasks = [spawn(node, f"r{number}") for number in range(3)]
            await eventually(lambda: len(other.asked) == 1)
            other.answer(HELD)
            kinds = [(await task).kind for task in tasks]
            assert kinds == [ErrorKind.MOVED] * 3
            assert len(other.asked) == 1

        run(story)


class TestWithoutAnswer:
    """The other owner is dead, slow or has just given its endpoint up."""

    def test_silence_and_no_owner_let_it_stay(self) -> None:
        async def story(bed: Bed, node: Node, other: OtherOwner) -> None:
            other.says = None
            assert (await node.submit("i1", "r1")).accepted
            counters = node.instance.metrics.counters_by_name
            assert counters["owner.copy_unanswered"] == 1
            await eventually(lambda: "r1" in node.ends_by_id)
            other.says = replace(HELD, owned=False)
            coins = replace(CUPS, name="coins")
            assert (await node.submit("i1", "r2", adapter=coins)).accepted

        run(story)

    def test_what_its_entry_gave_up_is_not_taken_in(self) -> None:
        """A caller goes away, or its entry dies, while its request waits."""

        async def story(bed: Bed, node: Node, other: OtherOwner) -> None:
            other.says = None
            cancelled = spawn(node, "r1")
            await eventually(lambda: len(other.asked) == 1)
            node.cancel("i1", "r1", attempt=7)
            node.cancel("i1", "r1")
            kept = spawn(node, "r2")
            await eventually(lambda: node.endpoint.mailbox.empty())
            other.answer(WORSE)
            assert (await kept).accepted
            await eventually(lambda: "r2" in node.ends_by_id)
            assert [each.request_id for each in bed.engine.runs] == ["r2"]
            cancelled.cancel()

        run(story)

    def test_what_waits_of_a_lost_entry_is_refused(self) -> None:
        async def story(bed: Bed, node: Node, other: OtherOwner) -> None:
            other.says = None
            task = spawn(node, "r1")
            await eventually(lambda: len(other.asked) == 1)
            node.instance.bus.publish(PeerConnectionLost("i1"))
            assert (await task).kind == ErrorKind.NOT_OWNER
            other.answer(WORSE)
            await eventually(lambda: node.endpoint.arrivals.is_empty)
            assert not bed.engine.runs

        run(story)


class TestAnswers:
    def test_an_owner_tells_its_situation(self) -> None:
        async def story(bed: Bed, node: Node, other: OtherOwner) -> None:
            link = Link(bed, "i2")
            result = await link.ask("i1", CopyAsk(ENDPOINT, CUPS), 1.0)
            assert result.unwrap() == CopyAnswer(ENDPOINT, True, False, -1.0, 0)
            result = await link.ask("i1", CopyAsk("e9", CUPS), 1.0)
            assert result.unwrap() == arrivals.make_answer(CopyAsk("e9", CUPS), None)

        run(story)

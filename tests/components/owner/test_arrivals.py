"""Tests of requests that wait for the choice of a load's endpoint."""

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
from tests.components.owner.common import (
    CUPS,
    ENDPOINT,
    Cluster,
    FakeLink,
    Node,
    run_scenario,
)

OTHER = "e2"
HELD = CopyAnswer(OTHER, owned=True, held=True)
WORSE = CopyAnswer(OTHER, owned=True, held=False, score=9.0)


class FakeOtherOwner:
    """Fake owner of the adapter's other candidate endpoint."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.asked: list[PeerMessage] = []
        self.reply: CopyAnswer | None = HELD

    def receive(self, message: PeerMessage) -> None:
        if not isinstance(message.body, CopyAsk):
            return
        self.asked.append(message)
        if self.reply is not None:
            self.answer(self.reply)

    def answer(self, body: CopyAnswer) -> None:
        FakeLink(self.cluster, "i2").answer(self.asked[-1], body)


async def start(cluster: Cluster) -> tuple[Node, FakeOtherOwner]:
    """Start a node that owns one endpoint, and a fake owner of another."""
    node, other = await cluster.add("i1"), FakeOtherOwner(cluster)
    cluster.nodes_by_id["i2"] = other  # type: ignore[assignment]
    cluster.publish_view(node, "i1")
    await eventually(lambda: node.state == "owned")
    view = node.instance.bus.latest(MemberView)
    assert view is not None
    first = view.endpoints_by_id[ENDPOINT]
    second = LiveEntry(OTHER, LiveRole.ENDPOINT, "", "dc2", 1, pool=first.pool)
    members = {**view.members_by_id, "i2": Member("i2", "", "dc2", 1)}
    endpoints = {ENDPOINT: first, OTHER: second}
    node.instance.bus.publish_state(MemberView(members, endpoints))
    return node, other


def run(scenario: Any) -> None:
    async def with_other_owner(cluster: Cluster) -> None:
        node, other = await start(cluster)
        try:
            await scenario(cluster, node, other)
        finally:
            del cluster.nodes_by_id["i2"]

    run_scenario(with_other_owner)


def spawn(node: Node, id: str, **changes: Any) -> asyncio.Task[SubmitAnswer]:
    return asyncio.ensure_future(node.submit("i1", id, **changes))


class TestMoves:
    def test_request_is_redirected_to_the_endpoint_with_the_adapter(self) -> None:
        async def scenario(cluster: Cluster, node: Node, other: FakeOtherOwner) -> None:
            answer = await node.submit("i1", "r1")
            assert answer == SubmitAnswer(False, ErrorKind.MOVED, endpoint=OTHER)
            assert other.asked[0].body == CopyAsk(OTHER, CUPS)
            assert not node.endpoint.scheduler.queued_count
            assert not cluster.engine.orders
            assert node.endpoint.arrivals.is_empty

        run(scenario)

    def test_request_stays_if_the_other_endpoint_would_evict_a_more_popular_one(
        self,
    ) -> None:
        async def scenario(cluster: Cluster, node: Node, other: FakeOtherOwner) -> None:
            other.reply = WORSE
            assert (await node.submit("i1", "r1", repeatable=False)).accepted
            await eventually(lambda: "r1" in node.ends_by_id)
            assert (await node.submit("i1", "r2")).accepted
            await eventually(lambda: "r2" in node.ends_by_id)
            assert [each.request_id for each in cluster.engine.runs] == ["r1", "r2"]
            # A request for a loaded adapter asks nobody.
            assert len(other.asked) == 1

        run(scenario)

    def test_request_is_redirected_only_once(self) -> None:
        async def scenario(cluster: Cluster, node: Node, other: FakeOtherOwner) -> None:
            assert (await node.submit("i1", "r1", moved=True)).accepted
            assert not other.asked

        run(scenario)

    def test_one_question_covers_all_deferred_requests(self) -> None:
        async def scenario(cluster: Cluster, node: Node, other: FakeOtherOwner) -> None:
            other.reply = None
            tasks = [spawn(node, f"r{number}") for number in range(3)]
            await eventually(lambda: len(other.asked) == 1)
            other.answer(HELD)
            kinds = [(await task).kind for task in tasks]
            assert kinds == [ErrorKind.MOVED] * 3
            assert len(other.asked) == 1

        run(scenario)


class TestWithoutAnswer:
    """The other owner does not answer or no longer owns its endpoint."""

    def test_request_stays_without_an_answer_or_an_owner(self) -> None:
        async def scenario(cluster: Cluster, node: Node, other: FakeOtherOwner) -> None:
            other.reply = None
            assert (await node.submit("i1", "r1")).accepted
            counters = node.instance.metrics.counters_by_name
            assert counters["owner.copy_unanswered"] == 1
            await eventually(lambda: "r1" in node.ends_by_id)
            other.reply = replace(HELD, owned=False)
            coins = replace(CUPS, name="coins")
            assert (await node.submit("i1", "r2", adapter=coins)).accepted

        run(scenario)

    def test_cancelled_deferred_request_is_not_accepted(self) -> None:
        """A request is cancelled while it is deferred."""

        async def scenario(cluster: Cluster, node: Node, other: FakeOtherOwner) -> None:
            other.reply = None
            cancelled = spawn(node, "r1")
            await eventually(lambda: len(other.asked) == 1)
            node.cancel("i1", "r1", attempt=7)
            node.cancel("i1", "r1")
            kept = spawn(node, "r2")
            await eventually(lambda: node.endpoint.mailbox.empty())
            other.answer(WORSE)
            assert (await kept).accepted
            await eventually(lambda: "r2" in node.ends_by_id)
            assert [each.request_id for each in cluster.engine.runs] == ["r2"]
            cancelled.cancel()

        run(scenario)

    def test_deferred_request_of_a_lost_entry_is_refused(self) -> None:
        async def scenario(cluster: Cluster, node: Node, other: FakeOtherOwner) -> None:
            other.reply = None
            task = spawn(node, "r1")
            await eventually(lambda: len(other.asked) == 1)
            node.instance.bus.publish(PeerConnectionLost("i1"))
            assert (await task).kind == ErrorKind.NOT_OWNER
            other.answer(WORSE)
            await eventually(lambda: node.endpoint.arrivals.is_empty)
            assert not cluster.engine.runs

        run(scenario)


class TestAnswers:
    def test_owner_answers_with_its_load_candidate(self) -> None:
        async def scenario(cluster: Cluster, node: Node, other: FakeOtherOwner) -> None:
            link = FakeLink(cluster, "i2")
            result = await link.ask("i1", CopyAsk(ENDPOINT, CUPS), 1.0)
            assert result.unwrap() == CopyAnswer(ENDPOINT, True, False, -1.0, 0)
            result = await link.ask("i1", CopyAsk("e9", CUPS), 1.0)
            assert result.unwrap() == arrivals.make_copy_answer(
                CopyAsk("e9", CUPS), None
            )

        run(scenario)

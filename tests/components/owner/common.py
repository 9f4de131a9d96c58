"""Test cluster for owners: instances in one event loop, a stand-in engine."""

import asyncio
import itertools
import json
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import Any

from returns.result import Failure as Err, Result, Success

import fescuekeel.components.engine
import fescuekeel.components.plain
from fescuekeel.components.owner.component import Owner
from fescuekeel.components.tree.model import Pool, PoolKind, TreeInForce
from fescuekeel.core import Instance
from fescuekeel.errors import ErrorKind, Failure
from fescuekeel.helpers.peer_link import PEERS_DOMAIN
from fescuekeel.messages import (
    AdapterRef,
    CancelWork,
    LiveEntry,
    LiveRole,
    Member,
    MemberView,
    PeerMessage,
    StartAnswer,
    StartAsk,
    Submit,
    SubmitAnswer,
    WorkChunk,
    WorkEnd,
    WorkStarted,
)
from standins.engine import Engine
from standins.engine_http import start_engine
from standins.engine_state import EngineSettings
from standins.server import Server
from tests.common import add_quarantine, make_settings

__all__ = ["CUPS", "DRIVER_PACKAGES", "ENDPOINT", "Cluster", "Node", "run_scenario"]

DRIVER_PACKAGES = (fescuekeel.components.engine, fescuekeel.components.plain)
CUPS = AdapterRef("cups", "3")
ENDPOINT = "e1"
POOL = "script"


class ImmediateTurns:
    """Grant every load turn immediately."""

    async def request(
        self, endpoint: str, adapter: AdapterRef, value: float, waiting: int
    ) -> bool:
        return True

    def withdraw(self, endpoint: str, adapter: AdapterRef) -> None:
        return

    def done(self, endpoint: str, adapter: AdapterRef, took_s: float) -> None:
        return


@dataclass
class FakeIntent:
    """A tree with one pool and no policies."""

    pools_by_name: dict[str, Pool]
    revision: int = 1

    def authenticate(self, token: str) -> str | None:
        return None

    def resolve(self, *names: str) -> Result[Any, Failure]:
        return Err(Failure(ErrorKind.UNKNOWN_SERVICE))


class Clock:
    """A clock that can skip time, as after a paused process."""

    def __init__(self) -> None:
        self.skipped_s = 0.0

    def __call__(self) -> float:
        return asyncio.get_running_loop().time() + self.skipped_s


class FakeLink:
    """Deliver messages between the nodes of one cluster."""

    def __init__(self, cluster: "Cluster", id: str) -> None:
        self.cluster = cluster
        self.id = id

    def send(self, instance_id: str, body: Any) -> bool:
        node = self.cluster.nodes_by_id.get(instance_id)
        if node is None or self.cluster.is_partitioned(self.id, instance_id):
            return False
        message = PeerMessage(self.id, 0, body)
        asyncio.get_running_loop().call_soon(node.receive, message)
        return True

    def send_all(self, instance_ids: Iterable[str], body: Any) -> None:
        for instance_id in instance_ids:
            self.send(instance_id, body)

    async def ask(
        self, instance_id: str, body: Any, timeout_s: float
    ) -> Result[Any, Failure]:
        node = self.cluster.nodes_by_id.get(instance_id)
        if node is None or self.cluster.is_partitioned(self.id, instance_id):
            return Err(Failure(ErrorKind.PEER_UNREACHABLE))
        number = next(self.cluster.ask_numbers)
        answer: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self.cluster.answers_by_ask[number] = answer
        node.receive(PeerMessage(self.id, number, body))
        try:
            return Success(await asyncio.wait_for(answer, timeout_s))
        except TimeoutError:
            return Err(Failure(ErrorKind.PEER_UNREACHABLE))

    def answer(self, question: PeerMessage, body: Any) -> None:
        future = self.cluster.answers_by_ask.pop(question.number, None)
        if future is not None and not future.done():
            future.set_result(body)


@dataclass
class Node:
    """One instance: a real owner component and a fake entry."""

    cluster: "Cluster"
    instance: Instance
    clock: Clock
    owner: Owner
    chunks: list[WorkChunk] = field(default_factory=list)
    ends_by_id: dict[str, WorkEnd] = field(default_factory=dict)
    started: list[WorkStarted] = field(default_factory=list)
    start_asks: list[StartAsk] = field(default_factory=list)
    questions: list[PeerMessage] = field(default_factory=list)
    grants: bool | None = True

    @property
    def id(self) -> str:
        return self.instance.id

    @property
    def endpoint(self) -> Any:
        return self.owner.owners_by_endpoint.get(ENDPOINT)

    @property
    def now(self) -> float:
        return self.instance.now()

    @property
    def state(self) -> str:
        return self.endpoint.ownership.state.value if self.endpoint else "none"

    def receive(self, message: PeerMessage) -> None:
        match message.body:
            case WorkChunk() as chunk:
                self.chunks.append(chunk)
            case WorkEnd() as end:
                self.ends_by_id[end.request_id] = end
            case WorkStarted() as started:
                self.started.append(started)
            case StartAsk() as ask:
                self.start_asks.append(ask)
                self.questions.append(message)
                if self.grants is not None:
                    self.answer_start(message, self.grants)
            case _:
                self.instance.bus.publish_peer(message)

    def answer_start(self, question: PeerMessage, granted: bool) -> None:
        FakeLink(self.cluster, self.id).answer(question, StartAnswer(granted))

    async def submit(self, to: str, request_id: str, **changes: Any) -> SubmitAnswer:
        submit = Submit(
            request_id=request_id,
            attempt=1,
            endpoint=ENDPOINT,
            shop="shop",
            service="patter",
            adapter=CUPS,
            urgency=0,
            remaining_ms=20_000,
            repeatable=True,
            stream=True,
            path="/v1/completions",
            body=json.dumps({"prompt": "x"}).encode(),
            max_tokens=10,
        )
        submit = replace(submit, **changes)
        result = await FakeLink(self.cluster, self.id).ask(to, submit, 2.0)
        return result.unwrap()

    def cancel(self, to: str, request_id: str, attempt: int = 1) -> None:
        FakeLink(self.cluster, self.id).send(to, CancelWork(request_id, attempt))

    def positions(self, request_id: str, attempt: int = 1) -> list[int]:
        found: list[int] = []
        for chunk in self.chunks:
            if (chunk.request_id, chunk.attempt) == (request_id, attempt):
                found += range(chunk.position, chunk.position + chunk.tokens)
        return found


@dataclass
class Cluster:
    """Several instances that share one engine."""

    engine: Engine
    server: Server
    fenced: bool
    nodes_by_id: dict[str, Node] = field(default_factory=dict)
    answers_by_ask: dict[int, asyncio.Future[Any]] = field(default_factory=dict)
    partitions: set[frozenset[str]] = field(default_factory=set)
    ask_numbers: Any = field(default_factory=lambda: itertools.count(1))

    def is_partitioned(self, first: str, second: str) -> bool:
        return frozenset({first, second}) in self.partitions

    async def add(self, id: str) -> Node:
        clock = Clock()
        instance = Instance(make_settings(id), clock=clock)
        instance.components_by_domain[PEERS_DOMAIN] = FakeLink(self, id)  # type: ignore[assignment]
        add_quarantine(instance)
        instance.components_by_domain["turns"] = ImmediateTurns()  # type: ignore[assignment]
        pool = Pool(POOL, PoolKind.ENGINE, self.fenced, 2, 4, 0.002, 0.05)
        instance.bus.publish_state(TreeInForce(FakeIntent({POOL: pool})))
        node = Node(self, instance, clock, Owner(instance))
        self.nodes_by_id[id] = node
        await node.owner.start()
        return node

    def publish_view(
        self,
        node: Node,
        *member_ids: str,
        endpoint: bool = True,
        address: str = "",
        others: tuple[str, ...] = (),
    ) -> None:
        """Publish a view with these members to a node.

        It reaches the endpoint at ``address``, by default the engine's own.
        ``others`` are the addresses of further endpoints, of an unknown pool.
        """
        entry = LiveEntry(
            ENDPOINT,
            LiveRole.ENDPOINT,
            address or self.server.address,
            "dc1",
            1,
            pool=POOL,
        )
        members = {id: Member(id, "", "dc1", 1) for id in member_ids}
        endpoints = {ENDPOINT: entry} if endpoint else {}
        for number, other in enumerate(others):
            id = f"other-{number}"
            endpoints[id] = LiveEntry(id, LiveRole.ENDPOINT, other, "dc1", 1)
        node.instance.bus.publish_state(MemberView(members, endpoints))

    async def stop(self) -> None:
        for node in self.nodes_by_id.values():
            for owner in node.owner.owners_by_endpoint.values():
                owner.end()
            tasks = list(node.instance._tasks)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        self.engine.stop()
        await self.server.stop()


def run_scenario(
    scenario: Callable[[Cluster], Awaitable[None]],
    fenced: bool = True,
    settings: EngineSettings | None = None,
) -> None:
    """Run a scenario on a new cluster."""

    async def main() -> None:
        chosen = settings or EngineSettings(step_ms=2, slots=2, load_s=0.01)
        chosen.fenced = fenced
        engine, server = await start_engine(chosen)
        cluster = Cluster(engine, server, fenced)
        try:
            async with asyncio.timeout(40):
                await scenario(cluster)
        finally:
            await cluster.stop()

    asyncio.run(main())

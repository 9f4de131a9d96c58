"""Tests of what an owner takes for a crash of its endpoint."""

import asyncio
from collections.abc import Awaitable, Callable

from fescuekeel.components.quarantine import DOMAIN as QUARANTINE_DOMAIN
from standins.engine_state import EngineSettings
from standins.proxy import Cut, Proxy
from tests.common import eventually
from tests.components.owner.common import Cluster, Node, run_scenario

SLOW_STEP_MS = 50.0
SETTLE_S = 0.1


def is_suspected(node: Node) -> bool:
    """Return whether a crash has been recorded at a node."""
    return not node.instance.components_by_domain[QUARANTINE_DOMAIN].is_empty  # type: ignore[attr-defined]


class Links:
    """One owner and one peer, each with a link of its own to the engine.

    ``other`` is the link of both to another endpoint.
    """

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.links = [Proxy(cluster.server.address) for _ in range(2)]
        self.other = Proxy(cluster.server.address)

    async def start(self) -> None:
        """Start both instances; the first one owns the endpoint."""
        await self.other.start()
        self.nodes = [await self.cluster.add(id) for id in ("i1", "i2")]
        for node, link in zip(self.nodes, self.links, strict=True):
            await node.instance.components_by_domain[QUARANTINE_DOMAIN].start()
            await link.start()
            members = ("i1",) if node is self.nodes[0] else ("i1", "i2")
            self.publish(node, link, *members)
        await eventually(lambda: self.nodes[0].state == "owned")
        self.publish(self.nodes[0], self.links[0], "i1", "i2")

    def publish(self, node: Node, link: Proxy, *members: str) -> None:
        """Publish a view in which a node uses a link."""
        others = (self.other.address,)
        self.cluster.publish_view(node, *members, address=link.address, others=others)

    async def break_while_running(self, break_links: Callable[[], None]) -> Node:
        """Break links while a request runs; return the checked owner."""
        owner, entry = self.nodes
        answer = await entry.submit(owner.id, "r1", stream=False, max_tokens=200)
        assert answer.accepted
        await eventually(lambda: self.cluster.engine.running)
        break_links()
        counters = owner.instance.metrics.counters_by_name
        await eventually(
            lambda: (
                counters["crash_check.crashed"] + counters["crash_check.not_crashed"]
            )
        )
        # The crash is recorded right after it has been counted.
        await asyncio.sleep(SETTLE_S)
        return owner

    async def stop(self) -> None:
        """Stop the proxies."""
        for link in (*self.links, self.other):
            await link.stop()


def run_links(scenario: Callable[[Links], Awaitable[None]]) -> None:
    """Run a scenario with an owner, a peer and their links."""

    async def run(cluster: Cluster) -> None:
        links = Links(cluster)
        await links.start()
        try:
            await scenario(links)
        finally:
            await links.stop()

    run_scenario(run, settings=EngineSettings(step_ms=SLOW_STEP_MS, slots=2))


class TestCutLink:
    # Guards against requests that are blamed since their owner was cut off.
    def test_is_no_crash_while_a_peer_reaches_the_endpoint(self) -> None:
        async def scenario(links: Links) -> None:
            owner = await links.break_while_running(
                lambda: links.links[0].cut(Cut.RESET)
            )
            assert not is_suspected(owner)

        run_links(scenario)

    def test_is_no_crash_if_the_peer_is_cut_off_as_well(self) -> None:
        async def scenario(links: Links) -> None:
            def cut_all() -> None:
                for link in (*links.links, links.other):
                    link.cut(Cut.RESET)

            owner = await links.break_while_running(cut_all)
            assert not is_suspected(owner)

        run_links(scenario)


class TestCrash:
    def test_counts_if_the_peer_reaches_only_another_endpoint(self) -> None:
        async def scenario(links: Links) -> None:
            def stop_engine() -> None:
                for link in links.links:
                    link.cut(Cut.RESET)

            owner = await links.break_while_running(stop_engine)
            assert is_suspected(owner)

        run_links(scenario)

    def test_counts_if_no_peer_answers_and_another_endpoint_is_reached(self) -> None:
        async def scenario(links: Links) -> None:
            def stop_engine() -> None:
                links.cluster.partitions.add(frozenset({"i1", "i2"}))
                links.links[0].cut(Cut.RESET)

            owner = await links.break_while_running(stop_engine)
            assert is_suspected(owner)

        run_links(scenario)

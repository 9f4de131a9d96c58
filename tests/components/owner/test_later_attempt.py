"""Tests of runs whose request has ended here in another attempt."""

import asyncio
from unittest import mock

import pytest

from fescuekeel.components.owner import ownership
from standins.engine_state import EngineSettings
from tests.common import eventually
from tests.components.owner.common import CUPS, Cluster, Node, run_scenario
from tests.components.owner.test_endpoint import (
    COINS,
    LONG,
    NO_WAIT_S,
    ROPES,
    start_owned,
)


def fill_engine(cluster: Cluster) -> None:
    """Hold two adapters, one of which serves, so that a load evicts CUPS."""
    cluster.engine.loaded |= {str(CUPS): None, str(COINS): None}
    cluster.engine.submit("old", str(COINS), "x", LONG, 0)


def is_serving(cluster: Cluster, model: str) -> bool:
    return any(run.model == model and not run.outcome for run in cluster.engine.runs)


async def check_no_eviction(cluster: Cluster, node: Node) -> None:
    """Request a load, which has to wait for the adapters that serve."""
    await node.submit("i1", "r2", adapter=ROPES)
    await asyncio.sleep(1.0)
    assert not cluster.engine.evictions_while_serving
    assert str(CUPS) in cluster.engine.loaded


def run(scenario, fenced: bool = True, settings: EngineSettings | None = None) -> None:
    with mock.patch.object(ownership, "REPORT_LAG_S", NO_WAIT_S):
        run_scenario(scenario, fenced, settings)


class TestLaterAttempt:
    @pytest.mark.parametrize("later_id", ["r9", "r1"])
    def test_run_of_an_unknown_owner_is_not_evicted(self, later_id: str) -> None:
        """Guards against evicting a run whose request has ended here before.

        The endpoint checks no fencing tokens, so that two instances with
        different views may both dispatch there.
        """

        async def scenario(cluster: Cluster) -> None:
            fill_engine(cluster)
            node = await start_owned(cluster)
            await node.submit("i1", "r1", adapter=CUPS)
            await eventually(lambda: "r1" in node.ends_by_id)
            await asyncio.sleep(0.1)
            cluster.engine.submit(later_id, str(CUPS), "x", LONG, 0)
            await asyncio.sleep(0.3)
            await check_no_eviction(cluster, node)

        with mock.patch.object(ownership, "OWNER_LEASE_S", 0.5):
            run(scenario, fenced=False)

    @pytest.mark.parametrize("first_runs", [True, False])
    def test_run_of_the_owner_in_between_is_not_evicted(self, first_runs: bool) -> None:
        """Guards against evicting attempt 2 as the owner of attempt 1.

        Attempt 1 ends at an owner, another one dispatches attempt 2 and
        finishes it after the first has taken the endpoint over again.
        """

        async def scenario(cluster: Cluster) -> None:
            fill_engine(cluster)
            node = await start_owned(cluster, "i1", "i2")
            if first_runs:
                await node.submit("i1", "r1", adapter=CUPS)
            else:
                node.grants = False
                await node.submit("i1", "r1", adapter=CUPS, repeatable=False)
            await eventually(lambda: not node.endpoint.requests.runs_by_id)
            other = await cluster.add("i2")
            cluster.publish_view(node, "i2")
            cluster.publish_view(other, "i2")
            await eventually(lambda: other.state == "owned")
            await other.submit("i2", "r1", attempt=2, adapter=CUPS, max_tokens=LONG)
            await eventually(lambda: is_serving(cluster, str(CUPS)))
            cluster.publish_view(other, "i1")
            cluster.publish_view(node, "i1", "i2")
            await eventually(lambda: node.state == "owned")
            await asyncio.sleep(2 * NO_WAIT_S)
            await check_no_eviction(cluster, node)

        run(scenario)

    def test_earlier_run_of_another_owner_is_not_evicted(self) -> None:
        """Guards against evicting attempt 1, which outlives attempt 2."""

        async def scenario(cluster: Cluster) -> None:
            fill_engine(cluster)
            cluster.engine.submit("r1", str(CUPS), "x", LONG, 0)
            node = await start_owned(cluster)
            await node.submit("i1", "r1", attempt=2, adapter=CUPS)
            await eventually(lambda: "r1" in node.ends_by_id)
            await asyncio.sleep(0.1)
            await check_no_eviction(cluster, node)

        run(scenario, settings=EngineSettings(step_ms=2, slots=2, load_s=0.01))

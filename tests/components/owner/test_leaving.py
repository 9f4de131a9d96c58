"""Tests that endpoints that are leaving get no new work."""

from fescuekeel.helpers.driver import Report
from tests.common import eventually
from tests.components.owner.common import Cluster, run_scenario


class TestLeavingEndpoint:
    def test_endpoint_without_recent_reports_gets_no_work(self) -> None:
        """Reports that say that the endpoint is leaving may be delayed.

        Guards against dispatching to it until the next report is missed.
        """

        async def report_nothing(timeout_s: float) -> Report | None:
            return None

        async def scenario(cluster: Cluster) -> None:
            node = await cluster.add("i1")
            cluster.publish_view(node, "i1")
            await eventually(lambda: node.state == "owned")
            owner = node.endpoint
            assert owner is not None
            assert owner.may_order()
            owner.driver.report = report_nothing  # type: ignore[method-assign]
            await eventually(lambda: not owner.may_order())
            assert node.state == "owned"

        run_scenario(scenario)

    def test_endpoint_that_reports_that_it_is_leaving_gets_no_work(self) -> None:
        """After a pause, a report may be newer than the owner's view.

        Guards against dispatching queued requests by the view alone.
        """

        async def report_leaving(timeout_s: float) -> Report | None:
            return Report("1", 0, 1, frozenset(), (), leaving=True)

        async def scenario(cluster: Cluster) -> None:
            node = await cluster.add("i1")
            cluster.publish_view(node, "i1")
            await eventually(lambda: node.state == "owned")
            owner = node.endpoint
            assert owner is not None
            assert owner.may_order()
            owner.driver.report = report_leaving  # type: ignore[method-assign]
            await eventually(lambda: not owner.may_order())
            assert node.state == "owned"

        run_scenario(scenario)

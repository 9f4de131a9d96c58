"""Tests of work for endpoints that leave."""

from fescuekeel.helpers.driver import Report
from tests.common import eventually
from tests.components.owner.common import Bed, run_story


class TestSilentEndpoint:
    def test_endpoint_whose_reports_are_stuck_gets_no_work(self) -> None:
        """An endpoint that leaves is given requests after its bound.

        It says in its reports that it is leaving, but these are stuck on
        their way. Its owner goes on handing work over until it notices the
        silence, which it did only at the next missing report.
        """

        async def report_nothing(timeout_s: float) -> Report | None:
            return None

        async def story(bed: Bed) -> None:
            node = await bed.add("i1")
            bed.show(node, "i1")
            await eventually(lambda: node.state == "owned")
            owner = node.endpoint
            assert owner is not None
            assert owner.may_order()
            owner.driver.report = report_nothing  # type: ignore[method-assign]
            await eventually(lambda: not owner.may_order())
            assert node.state == "owned"

        run_story(story)

    def test_endpoint_that_says_that_it_leaves_gets_no_work(self) -> None:
        """An endpoint is given a request 3.5 s after it began to leave.

        Its owner was paused meanwhile. It wakes up, asks for a report, owns
        the endpoint again and hands over what it had queued, although the
        report says that the endpoint leaves: only the view was looked at.
        """

        async def report_leaving(timeout_s: float) -> Report | None:
            return Report("1", 0, 1, frozenset(), (), leaving=True)

        async def story(bed: Bed) -> None:
            node = await bed.add("i1")
            bed.show(node, "i1")
            await eventually(lambda: node.state == "owned")
            owner = node.endpoint
            assert owner is not None
            assert owner.may_order()
            owner.driver.report = report_leaving  # type: ignore[method-assign]
            await eventually(lambda: not owner.may_order())
            assert node.state == "owned"

        run_story(story)

"""Tests of load and eviction orders to an endpoint."""

import asyncio
from dataclasses import dataclass, field

import pytest

from fescuekeel.components.owner import model
from fescuekeel.components.owner.orders import Orders
from fescuekeel.components.owner.ownership import Ownership, OwnershipState
from fescuekeel.core import Instance
from fescuekeel.helpers.driver import Guard, OrderOutcome, Report, RunningCall
from fescuekeel.messages import AdapterRef

CUPS = AdapterRef("cups", "3")


@dataclass
class FakeDriver:
    """An endpoint that executes an order if its guard allows it."""

    report_given: Report | None
    evicted: list[AdapterRef] = field(default_factory=list)

    async def report(self, timeout_s: float) -> Report | None:
        return self.report_given

    async def evict(
        self, adapter: AdapterRef, fence: int, timeout_s: float, guard: Guard
    ) -> OrderOutcome:
        if not guard():
            return OrderOutcome(False, detail="the lease has passed")
        self.evicted.append(adapter)
        return OrderOutcome(True, fence=fence)


def make_report(*running: str) -> Report:
    calls = tuple(RunningCall(request_id, CUPS) for request_id in running)
    return Report("boot", 0, 4, frozenset({CUPS}), calls)


def evict(
    instance: Instance,
    report: Report | None,
    *,
    serving: bool = False,
    settled: bool = True,
) -> list[AdapterRef]:
    """Order an eviction; only request ``mine`` is known to have ended."""

    async def main() -> None:
        ownership = Ownership("i1", OwnershipState.OWNED)
        ownership._renewed_at = instance.now()
        ownership._evict_after = 0.0 if settled else instance.now() + 60.0
        done = asyncio.Event()
        posted: list[object] = []

        def post(message: object) -> None:
            posted.append(message)
            done.set()

        orders = Orders(
            instance,
            "e1",
            driver,  # type: ignore[arg-type]
            None,  # type: ignore[arg-type]
            ownership,
            post,
            lambda adapter: serving,
            lambda request_id: request_id == "mine",
        )
        orders.evict(CUPS)
        await done.wait()
        (message,) = posted
        assert isinstance(message, model.EvictDone)
        assert message.outcome.ok == bool(driver.evicted)

    driver = FakeDriver(report)
    asyncio.run(main())
    return driver.evicted


class TestEvict:
    def test_idle_adapter_is_evicted(self, instance: Instance) -> None:
        assert evict(instance, make_report()) == [CUPS]

    def test_lagging_report_of_ended_work_does_not_block(
        self, instance: Instance
    ) -> None:
        assert evict(instance, make_report("mine")) == [CUPS]

    def test_adapter_that_serves_another_owner_is_not_evicted(
        self, instance: Instance
    ) -> None:
        """Two instances own an endpoint that ignores fencing tokens.

        Guards against evicting an adapter that serves the other owner's
        request, which only the latest report shows.
        """
        assert evict(instance, make_report("mine", "theirs")) == []

    @pytest.mark.parametrize(
        "changes",
        [
            {"report": None},
            {"report": make_report(), "serving": True},
            {"report": make_report(), "settled": False},
        ],
    )
    def test_uncertain_state_blocks_the_eviction(
        self, instance: Instance, changes: dict[str, object]
    ) -> None:
        assert evict(instance, **changes) == []  # type: ignore[arg-type]

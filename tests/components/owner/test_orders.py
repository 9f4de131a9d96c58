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
from standins.engine_state import EngineSettings
from tests.common import eventually
from tests.components.owner.common import Cluster, run_scenario

CUPS = AdapterRef("cups", "3")


@dataclass
class FakeDriver:
    """An endpoint that executes an order if its guard allows it."""

    report_given: Report | None = None
    evicted: list[AdapterRef] = field(default_factory=list)
    load_outcomes: list[OrderOutcome] = field(default_factory=list)
    load_timeouts_s: list[float] = field(default_factory=list)

    async def report(self, timeout_s: float) -> Report | None:
        return self.report_given

    async def load(
        self, adapter: AdapterRef, fence: int, timeout_s: float, guard: Guard
    ) -> OrderOutcome:
        self.load_timeouts_s.append(timeout_s)
        return self.load_outcomes.pop(0)

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


def load(instance: Instance, *outcomes: OrderOutcome) -> tuple[model.LoadDone, int]:
    """Order a load; return its end and how often it was ordered."""

    async def main() -> model.LoadDone:
        ownership = Ownership("i1", OwnershipState.OWNED)
        done = asyncio.get_running_loop().create_future()
        orders = Orders(
            instance,
            "e1",
            driver,  # type: ignore[arg-type]
            None,  # type: ignore[arg-type]
            ownership,
            done.set_result,
            lambda adapter: False,
            lambda request_id: False,
        )
        orders.load(CUPS, load_s=0.1)
        message = await done
        assert isinstance(message, model.LoadDone)
        return message

    driver = FakeDriver(load_outcomes=list(outcomes))
    return asyncio.run(main()), len(driver.load_timeouts_s)


class TestLoad:
    def test_one_without_a_reply_is_ordered_again(self, instance: Instance) -> None:
        unanswered = OrderOutcome(False, unconfirmed=True)
        done, orders = load(instance, unanswered, OrderOutcome(True, took_s=0.1))
        assert done.outcome.ok
        assert orders == 2

    def test_one_that_is_refused_is_not_ordered_again(self, instance: Instance) -> None:
        done, orders = load(instance, OrderOutcome(False, detail="no_slot"))
        assert not done.outcome.ok
        assert orders == 1

    # Guards against requests that wait for ten seconds behind a load whose
    # connection has fallen silent.
    def test_a_silent_connection_delays_a_load_by_about_a_second(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            node = await cluster.add("i1")
            cluster.publish_view(node, "i1")
            await eventually(lambda: node.state == "owned")
            assert (await node.submit("i1", "r1", max_tokens=5)).accepted
            await eventually(lambda: cluster.engine.orders)
            cluster.engine.connection_faults.control({"silence_open": True})
            silent_since = node.now
            await eventually(lambda: "r1" in node.ends_by_id)
            assert node.now - silent_since < 4.0
            assert node.ends_by_id["r1"].kind == ""

        run_scenario(scenario, settings=EngineSettings(step_ms=2, slots=2, load_s=0.3))

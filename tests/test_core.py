"""Tests of the core."""

import asyncio

import pytest
from msgspec import structs

from fescuekeel.core import (
    Actor,
    Bus,
    Instance,
    Manifest,
    Metrics,
    Registry,
    order_domains,
    read_manifests,
)
from fescuekeel.helpers.logging import add_destination, remove_destination
from tests.common import make_settings


class TestBus:
    def test_messages_reach_subscribers_of_their_type_only(self):
        bus = Bus()
        received = []
        bus.subscribe(str, received.append)
        bus.publish(1)
        bus.publish("x")
        assert received == ["x"]

    def test_the_latest_state_can_be_read(self):
        bus = Bus()
        bus.publish_state("first")
        bus.publish_state("second")
        assert bus.latest(str) == "second"
        assert bus.latest(int) is None


class TestRegistry:
    def test_a_domain_cannot_be_registered_twice(self):
        registry = Registry()
        registry.register("a", lambda instance: None)
        with pytest.raises(ValueError, match="already registered"):
            registry.register("a", lambda instance: None)

    def test_circular_dependencies_are_an_error(self):
        manifests_by_domain = {
            "a": Manifest("a", ("b",), ()),
            "b": Manifest("b", ("a",), ()),
        }
        with pytest.raises(ValueError, match="depends on itself"):
            order_domains(manifests_by_domain)


class TestStartOrder:
    def test_operators_port_outlives_the_owner(self):
        """The status of a draining instance must stay available.

        Components stop in the reverse of their start order.
        """
        order = order_domains(read_manifests())
        assert order.index("operators") < order.index("owner")
        assert order.index("owner") < order.index("gateway")


class TestMetrics:
    def test_durations_are_recorded_in_microseconds(self):
        metrics = Metrics()
        metrics.observe("wait", 0.25)
        histogram = metrics.histograms_by_name["wait"]
        assert abs(histogram.get_value_at_percentile(50) - 250_000) < 5_000


class TestActor:
    def test_an_error_in_one_message_does_not_stop_the_actor(self, instance):
        handled = []

        class Echo(Actor):
            async def handle(self, message):
                if message == "bad":
                    raise RuntimeError("bad message")
                handled.append(message)

        async def run():
            actor = Echo(instance, "echo")
            await actor.start()
            actor.post("bad")
            actor.post("good")
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            await actor.stop()

        asyncio.run(run())
        assert handled == ["good"]
        assert instance.metrics.counters_by_name["actor_error.echo"] == 1


class TestStop:
    @pytest.mark.parametrize("stop_s, timeouts", [(0.05, 0), (60.0, 1)])
    def test_shutdown_s_limits_how_long_a_component_may_stop(
        self, instance, monkeypatch, stop_s, timeouts
    ):
        """A component that hangs must not keep the others from stopping."""
        stopped = []

        class Slow:
            async def stop(self):
                await asyncio.sleep(stop_s)
                stopped.append("slow")

        class Quick:
            async def stop(self):
                stopped.append("quick")

        monkeypatch.setattr("fescuekeel.core.STOP_MARGIN_S", 0.0)
        instance_settings = structs.replace(instance.settings.instance, shutdown_s=0.5)
        instance.settings = structs.replace(
            instance.settings, instance=instance_settings
        )
        instance.components_by_domain = {"quick": Quick(), "slow": Slow()}
        asyncio.run(instance.stop())
        assert stopped == (["quick"] if timeouts else ["slow", "quick"])
        assert instance.metrics.counters_by_name["stop_timeout"] == timeouts

    def test_component_that_fails_does_not_keep_others_from_stopping(self, instance):
        # Guards against requests cut without a word after a failed stop.
        lines, stopped = [], []

        class Failing:
            async def stop(self):
                raise OSError("no route")

        class Quick:
            async def stop(self):
                stopped.append("quick")

        instance.components_by_domain = {"quick": Quick(), "failing": Failing()}
        add_destination(lines.append)
        try:
            asyncio.run(instance.stop())
        finally:
            remove_destination(lines.append)
        assert stopped == ["quick"]
        outcomes = {
            line["domain"]: line["outcome"]
            for line in lines
            if line["message_type"] == "component_stopped"
        }
        assert outcomes == {"failing": "failed", "quick": "stopped"}
        assert instance.metrics.counters_by_name["stop_error"] == 1


class TestPeriodicWork:
    # Guards against periodic work that ends for good by one exception, while
    # the process counts as ready.
    def test_begins_again_after_a_failure(self):
        async def work():
            instance = Instance(make_settings())
            runs = []

            async def fail_first():
                runs.append(None)
                if len(runs) < 3:
                    raise RuntimeError("fault")

            async with asyncio.timeout(2.0):
                await instance.keep_running(fail_first, "test")
            assert len(runs) == 3
            assert instance.metrics.counters_by_name["task_error"] == 2

        asyncio.run(work())

    def test_that_fails_again_and_again_makes_the_instance_failing(self):
        async def work():
            instance = Instance(make_settings())

            async def fail():
                raise RuntimeError("fault")

            task = instance.keep_running(fail, "test")
            await asyncio.sleep(0.05)
            assert not instance.is_failing
            await asyncio.sleep(0.6)
            assert instance.is_failing
            task.cancel()

        asyncio.run(work())

    # Guards against one odd endpoint that takes all instances from callers,
    # one holder after the other.
    def test_for_one_endpoint_leaves_the_instance_ready(self):
        async def work():
            instance = Instance(make_settings())

            async def fail():
                raise RuntimeError("fault")

            task = instance.keep_running(fail, "test", is_local=True)
            await asyncio.sleep(0.6)
            assert instance.metrics.counters_by_name["task_error"] >= 3
            assert not instance.is_failing
            task.cancel()

        asyncio.run(work())

    # Guards against work that ends without a log line, since something that it
    # awaited was cancelled by another task.
    def test_begins_again_if_something_it_awaits_is_cancelled(self):
        async def work():
            instance = Instance(make_settings())
            runs = []

            async def await_cancelled():
                runs.append(None)
                if len(runs) < 3:
                    other = asyncio.ensure_future(asyncio.sleep(60))
                    asyncio.get_running_loop().call_soon(other.cancel)
                    await other

            async with asyncio.timeout(2.0):
                await instance.keep_running(await_cancelled, "test")
            assert len(runs) == 3

        asyncio.run(work())

    def test_ends_once_it_is_cancelled(self):
        async def work():
            instance = Instance(make_settings())
            task = instance.keep_running(lambda: asyncio.sleep(60), "test")
            await asyncio.sleep(0)
            task.cancel()
            async with asyncio.timeout(1.0):
                await asyncio.gather(task, return_exceptions=True)
            assert task.cancelled()

        asyncio.run(work())


class TestFailingHandler:
    # Guards against a component that misses a message, since another one
    # failed to handle it.
    def test_keeps_no_message_from_others(self):
        bus = Bus()
        seen = []

        def fail(message):
            raise RuntimeError("fault")

        bus.subscribe(str, fail)
        bus.subscribe(str, seen.append)
        bus.publish("message")
        assert seen == ["message"]
        assert bus.handler_errors == 1

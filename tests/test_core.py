"""Tests of the kernel."""

import asyncio

import pytest
from msgspec import structs

from fescuekeel.core import (
    Actor,
    Bus,
    Manifest,
    Metrics,
    Registry,
    order_domains,
    read_manifests,
)


class TestBus:
    def test_messages_reach_subscribers_of_their_type_only(self):
        bus = Bus()
        seen = []
        bus.subscribe(str, seen.append)
        bus.publish(1)
        bus.publish("x")
        assert seen == ["x"]

    def test_the_latest_state_can_be_read(self):
        bus = Bus()
        bus.publish_state("first")
        bus.publish_state("second")
        assert bus.latest(str) == "second"
        assert bus.latest(int) is None


class TestRegistry:
    def test_a_domain_is_registered_once(self):
        registry = Registry()
        registry.register("a", lambda instance: None)
        with pytest.raises(ValueError, match="twice"):
            registry.register("a", lambda instance: None)

    def test_a_circle_of_dependencies_is_an_error(self):
        circle = {"a": Manifest("a", ("b",), ()), "b": Manifest("b", ("a",), ())}
        with pytest.raises(ValueError, match="depends on itself"):
            order_domains(circle)


class TestOrder:
    def test_operators_can_watch_an_instance_drain(self):
        """An operator drains an instance and its status is gone at once.

        Components stop in the reverse order of their start. Had the
        operators' port started after the owner, it would close first, and
        nobody could see what still runs.
        """
        order = order_domains(read_manifests())
        assert order.index("operators") < order.index("owner")
        assert order.index("owner") < order.index("gateway")


class TestMetrics:
    def test_durations_are_kept_in_microseconds(self):
        metrics = Metrics()
        metrics.observe("wait", 0.25)
        histogram = metrics.histograms_by_name["wait"]
        assert abs(histogram.get_value_at_percentile(50) - 250_000) < 5_000


class TestActor:
    def test_an_error_in_one_message_does_not_stop_the_next(self, instance):
        seen = []

        class Echo(Actor):
            async def handle(self, message):
                if message == "bad":
                    raise RuntimeError("bad message")
                seen.append(message)

        async def run():
            actor = Echo(instance, "echo")
            await actor.start()
            actor.post("bad")
            actor.post("good")
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            await actor.stop()

        asyncio.run(run())
        assert seen == ["good"]
        assert instance.metrics.counters_by_name["actor_error.echo"] == 1


class TestStop:
    @pytest.mark.parametrize("takes_s, cut", [(0.05, 0), (60.0, 1)])
    def test_a_component_gets_the_time_of_the_settings(
        self, instance, monkeypatch, takes_s, cut
    ):
        """A long answer is cut after a minute although an hour is allowed.

        The bound of a component's stop must follow shutdown_s; past it, a
        component that hangs must not keep the others from stopping.
        """
        stopped = []

        class Slow:
            async def stop(self):
                await asyncio.sleep(takes_s)
                stopped.append("slow")

        class Quick:
            async def stop(self):
                stopped.append("quick")

        monkeypatch.setattr("fescuekeel.core.STOP_MARGIN_S", 0.0)
        own = structs.replace(instance.settings.instance, shutdown_s=0.5)
        instance.settings = structs.replace(instance.settings, instance=own)
        instance.components_by_domain = {"quick": Quick(), "slow": Slow()}
        asyncio.run(instance.stop())
        assert stopped == (["quick"] if cut else ["slow", "quick"])
        assert instance.metrics.counters_by_name["stop_timeout"] == cut

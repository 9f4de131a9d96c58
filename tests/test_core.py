"""Tests of the kernel."""

import asyncio

import pytest

from fescuekeel.core import Actor, Bus, Manifest, Metrics, Registry, order_domains


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

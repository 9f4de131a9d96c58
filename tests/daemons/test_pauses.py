"""Tests of instances that pause, die or shut down under load."""

import asyncio
import signal
import time

from standins.load import Verdict
from tests.common import eventually
from tests.daemons.common import SHUTDOWN_S, open_world

ONE_CENTRE = {"dc1": ("i1", "i2", "i3")}
# The gateway and the owner each wait for their work; the rest is for closing
# the connections to peers.
STOP_BOUND_S = 2 * SHUTDOWN_S + 5.0
MIN_STREAMS = 2
QUEUED_REQUESTS = 20
ORDER_DELIVERY_S = 0.1
# Excludes the unfenced pool, whose takeover waits for a lease to expire.
FENCED_AND_PLAIN = ("patter", "quote", "stock", "charge")


def list_epochs(world, endpoint):
    """Return, for each order, how many gains have no higher fence."""
    gains = sorted(
        int(line.fields["fence"])
        for daemon in world.daemons_by_id.values()
        for line in daemon.read_log("owner_gained")
        if line.fields["endpoint"] == endpoint
    )
    orders = world.platform.engines_by_id[endpoint].orders
    return [sum(gain <= order["fence"] for gain in gains) for order in orders]


def list_stale_orders(world, endpoint):
    """Return the orders that arrived after a newer owner took over."""
    to_wall_s = time.time() - time.monotonic()
    gains = [
        (line.at, int(line.fields["fence"]))
        for daemon in world.daemons_by_id.values()
        for line in daemon.read_log("owner_gained")
        if line.fields["endpoint"] == endpoint
    ]
    return [
        order
        for order in world.platform.engines_by_id[endpoint].orders
        for at, fence in gains
        if order["at"] + to_wall_s > at + ORDER_DELIVERY_S and order["fence"] < fence
    ]


class TestPausedOwner:
    def test_resumed_owner_sends_no_stale_order(self, tmp_path):
        """Guards against orders of a paused owner whose lease has expired.

        Other instances take over its endpoints. Once resumed, it must send no
        order until it has taken over again.
        """

        async def run():
            async with open_world(tmp_path, ONE_CENTRE) as world:
                paused = world.find_owner("fenced-0")
                others = world.list_others(paused)
                for endpoint in world.platform.endpoints_by_id:
                    await eventually(lambda e=endpoint: world.find_owner(e))
                owned = world.list_owned(paused)
                load = world.send_load(others)
                await load.wait_for_answers(20)
                paused.signal(signal.SIGSTOP)
                for endpoint in owned:
                    await eventually(lambda e=endpoint: world.find_owner(e, others))
                await load.wait_for_answers(40)
                paused.signal(signal.SIGCONT)
                await load.wait_for_answers(20)
                for endpoint in owned:
                    await eventually(lambda e=endpoint: world.find_owner(e))
                await load.wait_for_answers(40)
                results = await load.stop()
                world.check(results)
                for endpoint in world.platform.engines_by_id:
                    epochs = list_epochs(world, endpoint)
                    assert epochs == sorted(epochs)
                # Fenced engines refuse stale orders themselves; unfenced ones
                # must never receive any.
                for endpoint in ("unfenced-0", "unfenced-1"):
                    assert list_stale_orders(world, endpoint) == []

        asyncio.run(run())


class TestKilledOwner:
    def test_streams_resume_and_nothing_runs_twice(self, tmp_path):
        """Guards against cut streams and duplicate runs when an owner dies.

        The entry instance resumes each stream through the next owner. Other
        requests in flight may end as "outcome unknown".
        """

        async def run():
            async with open_world(tmp_path, ONE_CENTRE) as world:
                killed = world.find_owner("fenced-0")
                others = world.list_others(killed)
                for plain in world.platform.plains_by_id.values():
                    plain.control({"delay_s": 0.5})
                load = world.send_load(others, tokens=120)
                engine = world.platform.engines_by_id["fenced-0"]

                def list_streams():
                    """Return the markers of the streams in progress."""
                    markers = [
                        item.prompt.split()[0] for item in engine.running if item.tokens
                    ]
                    return [
                        each for each in markers if load.sent_by_marker[each].stream
                    ]

                await eventually(lambda: len(list_streams()) >= MIN_STREAMS)
                streams = list_streams()
                killed.signal(signal.SIGKILL)
                await load.wait_for_answers(60)
                results = await load.stop()
                world.check(results)
                verdicts = {
                    item.verdict for item in results if item.request.marker in streams
                }
                assert verdicts == {Verdict.ANSWERED}

        asyncio.run(run())


async def until_routed(world, daemon, requests):
    """Wait until an instance has routed a number of callers' requests."""
    async with asyncio.timeout(STOP_BOUND_S):
        while await world.count(daemon, "routed") < requests:  # noqa: ASYNC110
            await asyncio.sleep(0)


class TestGracefulShutdown:
    def test_it_cuts_nothing_and_ends_in_time(self, tmp_path):
        """Guards against failed requests when an instance gets SIGTERM.

        It hands its endpoints over, lets its callers' streams end and exits
        in time.
        """

        async def run():
            async with open_world(tmp_path, ONE_CENTRE) as world:
                leaving = world.find_owner("fenced-0")
                load = world.send_load(world.list_others(leaving), tokens=60)
                await load.wait_for_answers(20)
                own = world.send_load([leaving], tokens=250, services=FENCED_AND_PLAIN)
                await own.wait_for_answers(10)
                own.pause()
                # Requests that arrive after the signal may be refused.
                await until_routed(world, leaving, len(own.sent_by_marker))
                assert own.list_unfinished()
                leaving.signal(signal.SIGTERM)
                async with asyncio.timeout(STOP_BOUND_S):
                    assert await leaving.process.wait() == 0
                await load.wait_for_answers(40)
                results = await load.stop() + await own.stop()
                world.check(results)
                refused = [
                    item for item in results if item.verdict is not Verdict.ANSWERED
                ]
                assert refused == []
                assert leaving.read_log("stop_timeout") == []

        asyncio.run(run())

    def test_connection_not_yet_accepted_gets_a_response(self, tmp_path):
        """Guards against resets of connections in the accept queue on SIGTERM.

        Closing the listening socket would reset them. Each request must get
        its response, or a refusal that says it did not run.
        """

        async def run():
            async with open_world(tmp_path, ONE_CENTRE) as world:
                leaving = world.daemons_by_id["i1"]
                leaving.signal(signal.SIGSTOP)
                own = world.send_load([leaving], per_s=200.0)
                await eventually(lambda: own.caller.sent >= QUEUED_REQUESTS)
                own.pause()
                await asyncio.sleep(0.1)
                leaving.signal(signal.SIGTERM)
                leaving.signal(signal.SIGCONT)
                results = await own.stop()
                world.check(results)
                kinds = {item.kind for item in results}
                assert kinds <= {"", "draining"}

        asyncio.run(run())

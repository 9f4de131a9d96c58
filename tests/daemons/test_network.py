"""Tests of silent connections, network partitions and stale live lists."""

import asyncio
import time

from fescuekeel.const import LEAVING_BOUND_S
from standins.load import Verdict
from tests.common import eventually
from tests.daemons.common import open_world

ONE_CENTRE = {"dc1": ("i1", "i2", "i3")}
# They include the owner of the endpoint that leaves.
LAGGING_IDS = ("i1", "i2")
TWO_CENTRES = {"dc1": ("i1", "i2"), "dc2": ("i3", "i4")}


def list_unanswered(results):
    return [
        (item.request.service, item.kind)
        for item in results
        if item.verdict is not Verdict.ANSWERED
    ]


def list_owned(world, daemons):
    return {each for daemon in daemons for each in world.list_owned(daemon)}


class TestSilentConnection:
    def test_between_instances(self, tmp_path):
        """Guards against stalled streams when connections between peers hang.

        New connections work, so the owner keeps its endpoints, and requests
        in flight continue over a new connection.
        """

        async def run():
            async with open_world(tmp_path, ONE_CENTRE) as world:
                owner = world.find_owner("fenced-0")
                entry = world.list_others(owner)[0]
                load = world.send_load(tokens=60)
                await load.wait_for_answers(40)
                ends = {owner.id, entry.id}
                assert world.network.freeze(lambda *link: set(link) == ends) > 0
                await load.wait_for_answers(120)
                results = await load.stop()
                world.check(results)
                # It is unknown whether one of these in flight has run.
                permitted = [
                    ("quote", "outcome_unknown"),
                    ("charge", "outcome_unknown"),
                ]
                assert [
                    each for each in list_unanswered(results) if each not in permitted
                ] == []
                silent = [
                    await world.count(daemon, "peers.lost.silent")
                    for daemon in (owner, entry)
                ]
                assert sum(silent) > 0
                assert world.find_owner("fenced-0") is owner

        asyncio.run(run())

    def test_to_an_engine(self, tmp_path):
        """Guards against stalled streams when connections to engines hang.

        The owners resume the streams over new connections, from the position
        that they have reached.
        """

        async def run():
            async with open_world(tmp_path, ONE_CENTRE) as world:
                daemons = list(world.daemons_by_id.values())
                load = world.send_load(
                    daemons, tokens=100, services=("patter", "report")
                )
                await load.wait_for_answers(20)
                engines = list(world.platform.engines_by_id.values())
                for engine in engines:
                    engine.connection_faults.control({"silence_open": True})
                assert sum(
                    len(item.connection_faults.unresponsive_streams) for item in engines
                )
                await load.wait_for_answers(40)
                results = await load.stop()
                world.check(results)
                assert list_unanswered(results) == []
                silent = [
                    await world.count(daemon, "engine.silent_stream")
                    for daemon in daemons
                ]
                assert sum(silent) > 0

        asyncio.run(run())


class TestCutDataCentre:
    def test_both_sides_serve_on_and_heal(self, tmp_path):
        """Guards against lost or duplicate requests in a network partition.

        Each data centre serves with its own endpoints. After the partition
        heals, the data held back arrives late.
        """

        async def prepare(world):
            await world.add_live_list(TWO_CENTRES["dc1"], far_centre="dc2")
            await world.add_live_list(TWO_CENTRES["dc2"], far_centre="dc1")

        async def run():
            async with open_world(tmp_path, TWO_CENTRES, prepare) as world:
                centres = {id: dc for dc, ids in TWO_CENTRES.items() for id in ids}
                sides = [
                    [world.daemons_by_id[id] for id in ids]
                    for ids in TWO_CENTRES.values()
                ]
                loads = [world.send_load(side, per_s=20.0) for side in sides]
                for load in loads:
                    await load.wait_for_answers(20)

                def is_cut(source, target):
                    ends = centres.get(source), centres.get(target, target)
                    return ends in (("dc1", "dc2"), ("dc2", "dc1"))

                world.network.cut(is_cut)
                for side in sides:
                    for daemon in side:
                        await wait_for_view(world, daemon, side)
                assert not list_owned(world, sides[0]) & list_owned(world, sides[1])
                for load in loads:
                    await load.wait_for_answers(30)
                world.network.heal()
                for daemon in world.daemons_by_id.values():
                    await wait_for_view(world, daemon, world.daemons_by_id.values())
                for load in loads:
                    await load.wait_for_answers(30)
                results = [item for load in loads for item in await load.stop()]
                world.check(results)

        async def wait_for_view(world, daemon, members):
            wanted = {member.id for member in members}
            seen = None
            for _ in range(150):
                seen = await world.list_members(daemon)
                if seen == wanted:
                    return
                await asyncio.sleep(0.1)
            raise AssertionError(f"{daemon.id} sees {seen}, not {wanted}")

        asyncio.run(run())


class TestOwnerWithoutEndpoints:
    # Guards against an owner that reaches its peers but not its endpoints,
    # keeps them, and fails what others could serve.
    def test_another_instance_owns_its_endpoints(self, tmp_path):
        async def prepare(world):
            await world.add_live_list(["i1"], far_centre="dc1")

        async def run():
            async with open_world(tmp_path, ONE_CENTRE, prepare) as world:
                daemons = list(world.daemons_by_id.values())
                endpoints = set(world.platform.endpoints_by_id)
                world.network.cut(
                    lambda source, target: source == "i1" and target == "dc1"
                )
                cut, *others = daemons
                await eventually(
                    lambda: (
                        not world.list_owned(cut)
                        and list_owned(world, others) == endpoints
                    )
                )
                load = world.send_load(per_s=20.0)
                await load.wait_for_answers(60)
                results = await load.stop()
                assert list_unanswered(results) == []
                world.network.heal()
                await eventually(lambda: world.list_owned(cut))
                world.check(results)

        asyncio.run(run())


class TestLeavingEndpoint:
    def test_no_new_work_while_the_live_list_lags(self, tmp_path):
        """Guards against new requests to an engine that is about to stop.

        Only one instance reads a live list that shows the engine as leaving;
        the others must learn it from that instance.
        """

        async def prepare(world):
            await world.add_live_list(LAGGING_IDS)

        async def run():
            async with open_world(tmp_path, ONE_CENTRE, prepare) as world:
                assert world.find_owner("fenced-0").id in LAGGING_IDS
                load = world.send_load()
                engine = world.platform.engines_by_id["fenced-0"]
                await load.wait_for_answers(40)
                await eventually(
                    lambda: any(not item.finished_at for item in engine.runs)
                )
                world.platform.live.control({"leave": ["fenced-0"]})
                left = time.monotonic()
                await asyncio.sleep(LEAVING_BOUND_S + 1.0)
                await load.wait_for_answers(20)
                results = await load.stop()
                world.check(results)
                accepted = [item.accepted_at - left for item in engine.runs]
                assert max(accepted) <= LEAVING_BOUND_S
                unfinished = [item for item in engine.runs if not item.finished_at]
                assert unfinished == []
                await eventually(lambda: not engine.running)

        asyncio.run(run())

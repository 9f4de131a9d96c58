"""Tests of connections that go silent, cuts and lists that lag."""

import asyncio
import time

from fescuekeel.const import LEAVING_BOUND_S
from standins.load import Verdict
from tests.common import eventually
from tests.daemons.common import open_world

ONE_CENTRE = {"dc1": ("i1", "i2", "i3")}
# They include the owner of the endpoint that leaves.
LAGGING = ("i1", "i2")
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
        """Scripts stand still half way, and every new one works.

        Something between two instances loses track of their connections: no
        byte passes any more and neither end is told. New connections work, so
        the owner lives, and what was under way goes on over a new one.
        """

        async def run():
            async with open_world(tmp_path, ONE_CENTRE) as world:
                owner = world.find_owner("fenced-0")
                entry = world.list_others(owner)[0]
                load = world.send_load(tokens=60)
                await load.until_more(40)
                ends = {owner.id, entry.id}
                assert world.network.freeze(lambda *link: set(link) == ends) > 0
                await load.until_more(120)
                results = await load.stop()
                world.check(results)
                # Of a charge under way nobody can tell whether it ran.
                doubtful = [("quote", "outcome_unknown"), ("charge", "outcome_unknown")]
                assert [
                    each for each in list_unanswered(results) if each not in doubtful
                ] == []
                silent = [
                    await world.count(daemon, "peers.lost.silent")
                    for daemon in (owner, entry)
                ]
                assert sum(silent) > 0
                assert world.find_owner("fenced-0") is owner

        asyncio.run(run())

    def test_to_an_engine(self, tmp_path):
        """A script stands still although its engine goes on writing it.

        The connections to the engines are lost track of. Their owners read
        the streams on over new ones, from the position they have reached.
        """

        async def run():
            async with open_world(tmp_path, ONE_CENTRE) as world:
                daemons = list(world.daemons_by_id.values())
                load = world.send_load(
                    daemons, tokens=100, services=("patter", "report")
                )
                await load.until_more(20)
                engines = list(world.platform.engines_by_id.values())
                for engine in engines:
                    engine.connection_faults.control({"silence_open": True})
                assert sum(
                    len(item.connection_faults.unresponsive_streams) for item in engines
                )
                await load.until_more(40)
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
        """Callers of both data centres are served while these are cut apart.

        No byte passes between the two, neither to instances nor to endpoints.
        Each side answers with its own endpoints. When the cut heals, what was
        held back arrives late, and nothing runs a second time.
        """

        async def prepare(world):
            await world.add_list(TWO_CENTRES["dc1"], far_centre="dc2")
            await world.add_list(TWO_CENTRES["dc2"], far_centre="dc1")

        async def run():
            async with open_world(tmp_path, TWO_CENTRES, prepare) as world:
                centres = {id: dc for dc, ids in TWO_CENTRES.items() for id in ids}
                sides = [
                    [world.daemons_by_id[id] for id in ids]
                    for ids in TWO_CENTRES.values()
                ]
                loads = [world.send_load(side, per_s=20.0) for side in sides]
                for load in loads:
                    await load.until_more(20)

                def is_cut(source, target):
                    ends = centres.get(source), centres.get(target, target)
                    return ends in (("dc1", "dc2"), ("dc2", "dc1"))

                world.network.cut(is_cut)
                for side in sides:
                    for daemon in side:
                        await wait_for_view(world, daemon, side)
                assert not list_owned(world, sides[0]) & list_owned(world, sides[1])
                for load in loads:
                    await load.until_more(30)
                world.network.heal()
                for daemon in world.daemons_by_id.values():
                    await wait_for_view(world, daemon, world.daemons_by_id.values())
                for load in loads:
                    await load.until_more(30)
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


class TestLeavingEndpoint:
    def test_it_gets_no_new_work_while_the_list_lags(self, tmp_path):
        """A script dies with an engine that was known to be leaving.

        The list that one instance reads shows the engine as leaving, the one
        of the others lags by far more than three seconds. The others learn of
        it from the first.
        """

        async def prepare(world):
            await world.add_list(LAGGING)

        async def run():
            async with open_world(tmp_path, ONE_CENTRE, prepare) as world:
                assert world.find_owner("fenced-0").id in LAGGING
                load = world.send_load()
                engine = world.platform.engines_by_id["fenced-0"]
                await load.until_more(40)
                assert any(not item.finished_at for item in engine.runs)
                world.platform.live.control({"leave": ["fenced-0"]})
                left = time.monotonic()
                await asyncio.sleep(LEAVING_BOUND_S + 1.0)
                await load.until_more(20)
                results = await load.stop()
                world.check(results)
                accepted = [item.accepted_at - left for item in engine.runs]
                assert max(accepted) <= LEAVING_BOUND_S
                unfinished = [item for item in engine.runs if not item.finished_at]
                assert unfinished == []
                await eventually(lambda: not engine.running)

        asyncio.run(run())

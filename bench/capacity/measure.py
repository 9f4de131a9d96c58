"""Run all measurements and collect their results."""

import asyncio
import json
import sys
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory

import psutil

from bench.capacity import decisions
from bench.capacity.const import MB
from bench.capacity.timing import Line, fit_line
from bench.capacity.tree import TreeCost
from bench.capacity.wires import WireCost, measure_wires
from bench.path.load import LoadResult, LoadSpec
from bench.path.world import Usage, World, cancel_on_sigterm, open_world
from fescuekeel.components.tree.model import Pool, PoolKind
from standins.fleet import Daemon, Fleet
from standins.platform import Platform

__all__ = ["FleetCost", "Measurements", "PathCost", "measure"]

COMPONENTS = "livelist,peers,membership,tree,keys,turns,engine,plain,owner,gateway"
TREE_SIZES = (10_000, 20_000, 40_000, 86_000)
TURN_SIZES = (10, 100, 400, 780)
MANY_ADAPTERS = 5_000
FEW_ADAPTERS = 50
FIRST_ENDPOINTS = 8
MORE_ENDPOINTS = 56
FIRST_DAEMONS = 4
MORE_DAEMONS = 12
SETTLE_S = 5.0
IDLE_S = 8.0
LOAD_S = 5.0
LOAD_PROCESSES = 2
REQUEST_CALLERS = 20
REQUESTS_PER_S = 100
STREAM_CALLERS = 60
STREAM_TOKENS = 64
FIRST_POOL = Pool("first", PoolKind.ENGINE)
MORE_POOL = Pool("more", PoolKind.ENGINE)
SMALL_TREE = b"[pool first]\nkind = engine\n[pool more]\nkind = engine\n"


@dataclass(frozen=True, slots=True)
class FleetCost:
    """IdleUsage daemons: a share of a core and MB, and how both grow."""

    core: float
    mb: float
    core_per_endpoint: float
    mb_per_endpoint: float
    core_per_member: float
    mb_per_member: float


@dataclass(frozen=True, slots=True)
class PathCost:
    """Processor seconds per request and token, KB per open stream."""

    entry_request_s: float
    owner_request_s: float
    entry_token_s: float
    owner_token_s: float
    entry_stream_kb: float
    owner_stream_kb: float


@dataclass(frozen=True, slots=True)
class Memory:
    """Memory of the entry and the owner in MB."""

    entry_mb: float
    owner_mb: float


@dataclass(frozen=True, slots=True)
class Measurements:
    """Everything that the table is worked out from."""

    memory_mb_by_step: dict[str, float]
    trees: list[TreeCost]
    members: decisions.MemberCost
    live: decisions.LiveListCost
    route_s: float
    route_again_s: float
    view_s: float
    claim_bytes: float
    claim_s: float
    turn_s: Line
    fleet: FleetCost
    path: PathCost
    wires: WireCost

    @property
    def tree_mb(self) -> Line:
        """Return the memory of a tree by its adapters."""
        return fit_line(TREE_SIZES, [cost.held_mb for cost in self.trees])


async def run_module(module: str, argument: str) -> str:
    """Run a module in a separate process and return its output."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", module, argument, stdout=asyncio.subprocess.PIPE
    )
    output, _ = await process.communicate()
    return output.decode()


@dataclass(frozen=True, slots=True)
class IdleUsage:
    """Mean processor time and memory of idle daemons."""

    core: float
    mb: float


async def measure_idle_usage(daemons: list[Daemon]) -> IdleUsage:
    """Measure idle daemons after a settling time."""
    await asyncio.sleep(SETTLE_S)
    processes = [psutil.Process(daemon.process.pid) for daemon in daemons]
    before = sum(sum(item.cpu_times()[:2]) for item in processes)
    await asyncio.sleep(IDLE_S)
    used = sum(sum(item.cpu_times()[:2]) for item in processes) - before
    mb = sum(item.memory_info().rss for item in processes) / MB
    return IdleUsage(used / IDLE_S / len(processes), mb / len(processes))


async def measure_fleet() -> FleetCost:
    """Measure idle daemons, then add endpoints, then members."""
    cancel_on_sigterm()
    with TemporaryDirectory(prefix="bench-capacity-") as name:
        fleet = Fleet(Path(name))
        platform = await Platform.start(("c0", "c1"))
        platform.publish(1, {"main": SMALL_TREE})
        try:
            await platform.add_pool(FIRST_POOL, FIRST_ENDPOINTS)
            await start_daemons(fleet, platform, ["c0", "c1"], FIRST_DAEMONS)
            first = list(fleet.daemons)
            small = await measure_idle_usage(first)
            await platform.add_pool(MORE_POOL, MORE_ENDPOINTS)
            large = await measure_idle_usage(first)
            await start_daemons(fleet, platform, ["d0", "d1"], MORE_DAEMONS)
            wide = await measure_idle_usage(first)
        finally:
            await fleet.stop()
            await platform.stop()
    endpoints = MORE_ENDPOINTS / FIRST_DAEMONS
    return FleetCost(
        small.core,
        small.mb,
        (large.core - small.core) / endpoints,
        (large.mb - small.mb) / endpoints,
        (wide.core - large.core) / MORE_DAEMONS,
        (wide.mb - large.mb) / MORE_DAEMONS,
    )


async def start_daemons(
    fleet: Fleet, platform: Platform, data_centres: list[str], count: int
) -> None:
    """Start daemons, spread over the data centres."""
    name = data_centres[0]
    fleet.ports_by_deployment[name] = {
        "data_centres": data_centres,
        "config_url": platform.config_server.url,
        "live_url": platform.live_server.url,
    }
    await fleet.start_daemons(name, count // len(data_centres))


async def measure_path() -> PathCost:
    """Measure the cost of requests and tokens at entry and owner."""
    async with open_world() as world:
        quiet = read_memory(world)
        before = world.read_usage()
        spec = LoadSpec(
            address=world.entry.callers,
            callers=REQUEST_CALLERS,
            seconds=LOAD_S,
            max_tokens=1,
            stream=False,
            rate_per_s=REQUESTS_PER_S,
        )
        results = await world.run_load(spec, LOAD_PROCESSES)
        whole = world.read_usage().minus(before)
        requests = sum(result.answered for result in results)
        before = world.read_usage()
        spec = spec.model_copy(
            update={
                "callers": STREAM_CALLERS,
                "max_tokens": STREAM_TOKENS,
                "stream": True,
                "rate_per_s": 0.0,
            }
        )
        load = asyncio.create_task(world.run_load(spec, LOAD_PROCESSES))
        await asyncio.sleep(LOAD_S * 0.8)
        busy = read_memory(world)
        results = await load
        streamed = world.read_usage().minus(before)
    return make_path_cost(whole, requests, streamed, results, quiet, busy)


def make_path_cost(
    whole: Usage,
    requests: int,
    streamed: Usage,
    results: list[LoadResult],
    quiet: Memory,
    busy: Memory,
) -> PathCost:
    """Subtract the cost of requests to get the cost of tokens."""
    entry_s, owner_s = whole.entry_s / requests, whole.owner_s / requests
    answered = sum(result.answered for result in results)
    tokens = sum(result.tokens for result in results)
    return PathCost(
        entry_request_s=entry_s,
        owner_request_s=owner_s,
        entry_token_s=(streamed.entry_s - answered * entry_s) / tokens,
        owner_token_s=(streamed.owner_s - answered * owner_s) / tokens,
        entry_stream_kb=(busy.entry_mb - quiet.entry_mb) * 1024 / STREAM_CALLERS,
        owner_stream_kb=(busy.owner_mb - quiet.owner_mb) * 1024 / STREAM_CALLERS,
    )


def read_memory(world: World) -> Memory:
    """Return the memory of entry and owner."""
    ids = world.entry.process.pid, world.owner.process.pid
    entry, owner = (psutil.Process(id).memory_info().rss / MB for id in ids)
    return Memory(entry, owner)


async def measure() -> Measurements:
    """Run all measurements sequentially."""
    memory = json.loads(await run_module("bench.capacity.memory", COMPONENTS))
    trees = [
        TreeCost.model_validate_json(await run_module("bench.capacity.tree", str(size)))
        for size in TREE_SIZES
    ]
    claim_bytes, claim_s = decisions.measure_claims()
    turns = [decisions.measure_turns(size) for size in TURN_SIZES]
    return Measurements(
        memory_mb_by_step=memory,
        trees=trees,
        members=decisions.measure_members(),
        live=decisions.measure_live_list(),
        route_s=decisions.measure_routing(MANY_ADAPTERS),
        route_again_s=decisions.measure_routing(FEW_ADAPTERS),
        view_s=decisions.measure_view(),
        claim_bytes=claim_bytes,
        claim_s=claim_s,
        turn_s=fit_line(TURN_SIZES, turns),
        fleet=await measure_fleet(),
        path=await measure_path(),
        wires=await measure_wires(),
    )

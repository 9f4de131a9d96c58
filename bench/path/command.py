"""Measure, print a table, and report whether the goals are met."""

import asyncio
import statistics
from collections.abc import Callable, Iterable

import fire

from bench.path.client import Response
from bench.path.const import (
    GOAL_ADDED_P99_MS,
    GOAL_REQUESTS_PER_S,
    GOAL_TOKENS_PER_S,
    LOAD_PROCESSES,
    LOAD_S,
    PAIRS_S,
)
from bench.path.load import LoadResult, LoadSpec
from bench.path.pairs import Pairs, run_pairs
from bench.path.world import Usage, World, open_world

__all__ = ["main"]

IDLE_S = 3.0
SATURATING_CALLERS = 144
TOKEN_CALLERS = 90
REQUEST_CALLERS = 60
STREAM_TOKENS = 64
REQUEST_TOKENS = 2


def percentile(values: Iterable[float], share: float) -> float:
    """Return a percentile of values.

    >>> percentile([3, 1, 2], 0.5)
    2
    """
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def print_line(text: str) -> None:
    """Print one line and flush it."""
    print(text, flush=True)


def print_pairs(
    name: str, pairs: Pairs, read: Callable[[Response], list[float]]
) -> float:
    """Print one row of the table; return the added p99 in milliseconds."""
    direct = [value * 1000 for response in pairs.direct for value in read(response)]
    through = [value * 1000 for response in pairs.through for value in read(response)]
    direct_p50, direct_p99 = percentile(direct, 0.5), percentile(direct, 0.99)
    through_p50, through_p99 = percentile(through, 0.5), percentile(through, 0.99)
    added_p99 = through_p99 - direct_p99
    print_line(
        f"{name:24} direct {direct_p50:8.2f} {direct_p99:8.2f}"
        f"   through {through_p50:8.2f} {through_p99:8.2f}"
        f"   added {through_p50 - direct_p50:6.2f} {added_p99:6.2f}"
    )
    return added_p99


def print_added(name: str, pairs: Pairs) -> float:
    """Print the latency added within each pair; return its p99."""
    added = [
        (through.total_s - direct.total_s) * 1000
        for direct, through in zip(pairs.direct, pairs.through, strict=True)
    ]
    p99 = percentile(added, 0.99)
    print_line(
        f"{name:24} {len(added)} pairs, added in each: p50 {percentile(added, 0.5):.2f}"
        f" p99 {p99:.2f} mean {statistics.fmean(added):.2f}"
    )
    return p99


async def measure_idle(world: World) -> None:
    """Print the processor time of the two instances while idle."""
    before = world.read_usage()
    await asyncio.sleep(IDLE_S)
    usage = world.read_usage().minus(before)
    entry, owner = usage.entry_s / IDLE_S, usage.owner_s / IDLE_S
    print_line(f"idle, core: entry {entry:.3f} owner {owner:.3f}")


async def measure_pairs(world: World, seconds: float, when: str) -> float:
    """Measure whole and streamed responses; return the worst added p99."""
    whole = await run_pairs(world, seconds, stream=False)
    streamed = await run_pairs(world, seconds, stream=True)
    worst = [
        print_pairs(f"{when} whole total", whole, lambda response: [response.total_s]),
        print_pairs(
            f"{when} stream total", streamed, lambda response: [response.total_s]
        ),
        print_pairs(
            f"{when} stream first", streamed, lambda response: [response.first_token_s]
        ),
        print_pairs(f"{when} stream gap", streamed, lambda response: response.gaps_s),
    ]
    print_added(f"{when} whole", whole)
    print_added(f"{when} stream", streamed)
    return max(worst)


def print_load(
    name: str, results: list[LoadResult], usage: Usage
) -> tuple[float, float]:
    """Print the throughput; return requests and tokens per second."""
    took_s = max(result.took_s for result in results)
    answered = sum(result.answered for result in results)
    tokens = sum(result.tokens for result in results)
    totals = [value * 1000 for result in results for value in result.totals_s]
    gaps = [value * 1000 for result in results for value in result.gaps_s] or [0.0]
    busiest = max(result.processor_s / result.took_s for result in results)
    print_line(
        f"{name:24} {answered / took_s:8.1f} requests/s {tokens / took_s:9.0f} tokens/s"
        f"  total p50 {percentile(totals, 0.5):.1f} p99 {percentile(totals, 0.99):.1f}"
        f"  gap p99 {percentile(gaps, 0.99):.1f}"
        f"  failed {sum(result.failed for result in results)}"
        f" skipped {sum(result.skipped for result in results)}"
    )
    print_line(
        f"{'':24} core: entry {usage.entry_s / took_s:.2f} owner"
        f" {usage.owner_s / took_s:.2f} (system {usage.system_s / took_s:.2f} of both)"
        f" busiest generator {busiest:.2f};"
        f" per request {1e3 * usage.entry_s / answered:.3f}"
        f" + {1e3 * usage.owner_s / answered:.3f} ms, per token"
        f" {1e6 * usage.entry_s / tokens:.1f} + {1e6 * usage.owner_s / tokens:.1f} us"
    )
    return answered / took_s, tokens / took_s


async def measure_load(
    world: World, name: str, seconds: float, **fields: float | bool | int
) -> tuple[float, float]:
    """Run one load and print its results."""
    spec = LoadSpec.model_validate(
        {"address": world.entry.callers, "seconds": seconds, **fields}
    )
    before = world.read_usage()
    results = await world.run_load(spec, LOAD_PROCESSES)
    return print_load(name, results, world.read_usage().minus(before))


async def run(pairs_s: float, load_s: float, under_load: bool) -> int:
    """Measure everything; return the exit code."""
    async with open_world() as world:
        print_line("times in ms, p50 then p99")
        await measure_idle(world)
        added = await measure_pairs(world, pairs_s, "quiet")
        requests, _ = await measure_load(
            world,
            "whole, 200/s offered",
            load_s,
            callers=REQUEST_CALLERS,
            max_tokens=REQUEST_TOKENS,
            stream=False,
            rate_per_s=GOAL_REQUESTS_PER_S,
        )
        max_requests, _ = await measure_load(
            world,
            "whole, saturated",
            load_s,
            callers=REQUEST_CALLERS,
            max_tokens=REQUEST_TOKENS,
            stream=False,
        )
        _, tokens = await measure_load(
            world,
            "streams, 90 at once",
            load_s,
            callers=TOKEN_CALLERS,
            max_tokens=STREAM_TOKENS,
            stream=True,
        )
        _, max_tokens_per_s = await measure_load(
            world,
            "streams, saturated",
            load_s,
            callers=SATURATING_CALLERS,
            max_tokens=STREAM_TOKENS,
            stream=True,
        )
        if under_load:
            await measure_under_load(world, pairs_s)
    goals_met = {
        "added_p99": added < GOAL_ADDED_P99_MS,
        "requests": requests >= 0.98 * GOAL_REQUESTS_PER_S,
        "tokens": max(tokens, max_tokens_per_s) >= GOAL_TOKENS_PER_S,
    }
    verdicts = " ".join(
        f"{name}={'met' if ok else 'NOT_MET'}" for name, ok in goals_met.items()
    )
    print_line(
        f"path added_p99_ms={added:.2f} requests_per_s={requests:.0f}"
        f" most_requests_per_s={max_requests:.0f}"
        f" most_tokens_per_s={max(tokens, max_tokens_per_s):.0f} {verdicts}"
    )
    return (
        0
        if goals_met["added_p99"] and (goals_met["requests"] or goals_met["tokens"])
        else 1
    )


async def measure_under_load(world: World, seconds: float) -> None:
    """Measure pairs beside a load of streams."""
    load = asyncio.create_task(
        measure_load(
            world,
            "beside the pairs",
            2 * seconds + 2.0,
            callers=TOKEN_CALLERS // 2,
            max_tokens=STREAM_TOKENS,
            stream=True,
        )
    )
    await asyncio.sleep(1.0)
    await measure_pairs(world, seconds, "loaded")
    await load


def start(
    pairs_s: float = PAIRS_S, load_s: float = LOAD_S, under_load: bool = True
) -> int:
    """Measure pairs for PAIRS_S per kind and loads for LOAD_S seconds."""
    return asyncio.run(run(pairs_s, load_s, under_load))


def main(arguments: list[str]) -> int:
    """Parse the command line and run the measurement."""
    code = fire.Fire(start, command=arguments, name="path", serialize=lambda _: None)
    return int(code)

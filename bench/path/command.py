"""The command: measure, print a table, and say whether the goals are met."""

import asyncio
import statistics
from collections.abc import Callable, Iterable

import fire

from bench.path.client import Answer
from bench.path.const import (
    GOAL_ADDED_P99_MS,
    GOAL_REQUESTS_PER_S,
    GOAL_TOKENS_PER_S,
    LOAD_PROCESSES,
    LOAD_S,
    PAIRS_S,
)
from bench.path.load import LoadOrder, LoadResult
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


def say(text: str) -> None:
    """Print one line at once."""
    print(text, flush=True)


def show_pairs(name: str, pairs: Pairs, read: Callable[[Answer], list[float]]) -> float:
    """Print one row of the table; return the p99 added in milliseconds."""
    direct = [value * 1000 for answer in pairs.direct for value in read(answer)]
    through = [value * 1000 for answer in pairs.through for value in read(answer)]
    direct_p50, direct_p99 = percentile(direct, 0.5), percentile(direct, 0.99)
    through_p50, through_p99 = percentile(through, 0.5), percentile(through, 0.99)
    added_p99 = through_p99 - direct_p99
    say(
        f"{name:24} direct {direct_p50:8.2f} {direct_p99:8.2f}"
        f"   through {through_p50:8.2f} {through_p99:8.2f}"
        f"   added {through_p50 - direct_p50:6.2f} {added_p99:6.2f}"
    )
    return added_p99


def show_added(name: str, pairs: Pairs) -> float:
    """Print what each pair's second way added; return its p99."""
    added = [
        (through.total_s - direct.total_s) * 1000
        for direct, through in zip(pairs.direct, pairs.through, strict=True)
    ]
    p99 = percentile(added, 0.99)
    say(
        f"{name:24} {len(added)} pairs, added in each: p50 {percentile(added, 0.5):.2f}"
        f" p99 {p99:.2f} mean {statistics.fmean(added):.2f}"
    )
    return p99


async def measure_idle(world: World) -> None:
    """Show what the two instances cost while nothing is asked of them."""
    before = world.read_usage()
    await asyncio.sleep(IDLE_S)
    used = world.read_usage().minus(before)
    entry, owner = used.entry_s / IDLE_S, used.owner_s / IDLE_S
    say(f"idle, core: entry {entry:.3f} owner {owner:.3f}")


async def measure_pairs(world: World, seconds: float, when: str) -> float:
    """Measure whole and streamed requests; return the worst added p99."""
    whole = await run_pairs(world, seconds, stream=False)
    streamed = await run_pairs(world, seconds, stream=True)
    worst = [
        show_pairs(f"{when} whole total", whole, lambda answer: [answer.total_s]),
        show_pairs(f"{when} stream total", streamed, lambda answer: [answer.total_s]),
        show_pairs(f"{when} stream first", streamed, lambda answer: [answer.first_s]),
        show_pairs(f"{when} stream gap", streamed, lambda answer: answer.gaps_s),
    ]
    show_added(f"{when} whole", whole)
    show_added(f"{when} stream", streamed)
    return max(worst)


def show_load(name: str, results: list[LoadResult], used: Usage) -> tuple[float, float]:
    """Print one row of throughput; return requests and tokens a second."""
    took_s = max(result.took_s for result in results)
    answered = sum(result.answered for result in results)
    tokens = sum(result.tokens for result in results)
    totals = [value * 1000 for result in results for value in result.totals_s]
    gaps = [value * 1000 for result in results for value in result.gaps_s] or [0.0]
    busiest = max(result.processor_s / result.took_s for result in results)
    say(
        f"{name:24} {answered / took_s:8.1f} requests/s {tokens / took_s:9.0f} tokens/s"
        f"  total p50 {percentile(totals, 0.5):.1f} p99 {percentile(totals, 0.99):.1f}"
        f"  gap p99 {percentile(gaps, 0.99):.1f}"
        f"  failed {sum(result.failed for result in results)}"
        f" skipped {sum(result.skipped for result in results)}"
    )
    say(
        f"{'':24} core: entry {used.entry_s / took_s:.2f} owner"
        f" {used.owner_s / took_s:.2f} (system {used.system_s / took_s:.2f} of both)"
        f" busiest generator {busiest:.2f};"
        f" per request {1e3 * used.entry_s / answered:.3f}"
        f" + {1e3 * used.owner_s / answered:.3f} ms, per token"
        f" {1e6 * used.entry_s / tokens:.1f} + {1e6 * used.owner_s / tokens:.1f} us"
    )
    return answered / took_s, tokens / took_s


async def measure_load(
    world: World, name: str, seconds: float, **fields: float | bool | int
) -> tuple[float, float]:
    """Run one load and show it."""
    order = LoadOrder.model_validate(
        {"address": world.entry.callers, "seconds": seconds, **fields}
    )
    before = world.read_usage()
    results = await world.run_load(order, LOAD_PROCESSES)
    return show_load(name, results, world.read_usage().minus(before))


async def run(pairs_s: float, load_s: float, under_load: bool) -> int:
    """Measure everything; return the exit code."""
    async with open_world() as world:
        say("times in ms, p50 then p99")
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
        most, _ = await measure_load(
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
        _, most_tokens = await measure_load(
            world,
            "streams, saturated",
            load_s,
            callers=SATURATING_CALLERS,
            max_tokens=STREAM_TOKENS,
            stream=True,
        )
        if under_load:
            await measure_under_load(world, pairs_s)
    met = {
        "added_p99": added < GOAL_ADDED_P99_MS,
        "requests": requests >= 0.98 * GOAL_REQUESTS_PER_S,
        "tokens": max(tokens, most_tokens) >= GOAL_TOKENS_PER_S,
    }
    words = " ".join(f"{name}={'met' if ok else 'NOT_MET'}" for name, ok in met.items())
    say(
        f"path added_p99_ms={added:.2f} requests_per_s={requests:.0f}"
        f" most_requests_per_s={most:.0f}"
        f" most_tokens_per_s={max(tokens, most_tokens):.0f} {words}"
    )
    return 0 if met["added_p99"] and (met["requests"] or met["tokens"]) else 1


async def measure_under_load(world: World, seconds: float) -> None:
    """Measure pairs while half the goal's tokens are relayed."""
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
    """Measure pairs for PAIRS_S of each kind and loads of LOAD_S seconds."""
    return asyncio.run(run(pairs_s, load_s, under_load))


def main(arguments: list[str]) -> int:
    """Read the command line."""
    code = fire.Fire(start, command=arguments, name="path", serialize=lambda _: None)
    return int(code)

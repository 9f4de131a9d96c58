"""Pairs of the same request, straight to an engine and through the system."""

import asyncio
import random
import time
from dataclasses import dataclass, field

from bench.path.client import Answer, Caller, make_body
from bench.path.const import (
    ADAPTERS,
    ENDPOINT,
    MODEL,
    MODEL_AT_ENGINE,
    PAIR_LANES,
    PAIR_TOKENS,
)
from bench.path.load import OK
from bench.path.world import World
from fescuekeel.util.rendezvous import choose

__all__ = ["Pairs", "run_pairs"]

PAUSE_S = 0.01
SETTLE_PAIRS = 5


@dataclass(slots=True)
class Pairs:
    """Both sides' answers, each pair at the same index."""

    direct: list[Answer] = field(default_factory=list)
    through: list[Answer] = field(default_factory=list)


async def run_pairs(world: World, seconds: float, stream: bool) -> Pairs:
    """Send pairs for a time, the two ways taking turns at going first."""
    pairs = Pairs()
    end = time.monotonic() + seconds
    lanes = (run_lane(world, lane, end, stream, pairs) for lane in range(PAIR_LANES))
    await asyncio.gather(*lanes)
    return pairs


async def run_lane(
    world: World, lane: int, end: float, stream: bool, pairs: Pairs
) -> None:
    """Send one pair after the other."""
    engine = lane % len(world.engine_addresses)
    adapters = list_adapters(engine, len(world.engine_addresses))
    direct = Caller(world.engine_addresses[engine])
    through = Caller(world.entry.callers)
    await direct.open()
    await through.open()
    number = 0
    while time.monotonic() < end:
        answers = {}
        ways = [direct, through] if number % 2 else [through, direct]
        for caller in ways:
            model = MODEL if caller is through else MODEL_AT_ENGINE
            body = make_body(
                model.format(number=adapters[number % len(adapters)]),
                f"pair {lane} {number}",
                PAIR_TOKENS,
                stream,
            )
            answers[caller] = await ask(caller, body)
            # The engine comes to rest: no step under way is waited for.
            await asyncio.sleep(random.uniform(PAUSE_S, 2 * PAUSE_S))
        if number >= SETTLE_PAIRS:
            pairs.direct.append(answers[direct])
            pairs.through.append(answers[through])
        number += 1
    direct.close()
    through.close()


def list_adapters(engine: int, engines: int) -> list[int]:
    """Return the adapters whose home an engine is.

    Both ways of a pair then find the same engine with the same work on it.
    """
    ids = [ENDPOINT.format(number=number) for number in range(engines)]
    return [
        number
        for number in range(ADAPTERS)
        if choose(MODEL_AT_ENGINE.format(number=number), ids) == ids[engine]
    ]


async def ask(caller: Caller, body: bytes) -> Answer:
    """Send one request that must be answered."""
    answer = await caller.ask(body)
    if answer.status != OK:
        raise RuntimeError(f"status {answer.status}: {answer.body!r}")
    return answer

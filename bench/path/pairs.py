"""Pairs of the same request: directly to an engine and through the system."""

import asyncio
import random
import time
from dataclasses import dataclass, field

from bench.path.client import Caller, Response, make_body
from bench.path.const import (
    ADAPTERS,
    ENDPOINT,
    MODEL,
    MODEL_AT_ENGINE,
    PAIR_TOKENS,
    PAIR_WORKERS,
)
from bench.path.load import OK
from bench.path.world import World
from fescuekeel.util.rendezvous import choose

__all__ = ["Pairs", "run_pairs"]

PAUSE_S = 0.01
WARM_UP_PAIRS = 5


@dataclass(slots=True)
class Pairs:
    """Responses of both callers, each pair at the same index."""

    direct: list[Response] = field(default_factory=list)
    through: list[Response] = field(default_factory=list)


async def run_pairs(world: World, seconds: float, stream: bool) -> Pairs:
    """Send pairs for some seconds, alternating which caller goes first."""
    pairs = Pairs()
    end = time.monotonic() + seconds
    workers = (
        run_pair_worker(world, worker, end, stream, pairs)
        for worker in range(PAIR_WORKERS)
    )
    await asyncio.gather(*workers)
    return pairs


async def run_pair_worker(
    world: World, worker: int, end: float, stream: bool, pairs: Pairs
) -> None:
    """Send pairs sequentially."""
    engine = worker % len(world.engine_addresses)
    adapters = list_adapters(engine, len(world.engine_addresses))
    direct = Caller(world.engine_addresses[engine])
    through = Caller(world.entry.callers)
    await direct.open()
    await through.open()
    number = 0
    while time.monotonic() < end:
        responses = {}
        callers = [direct, through] if number % 2 else [through, direct]
        for caller in callers:
            model = MODEL if caller is through else MODEL_AT_ENGINE
            body = make_body(
                model.format(number=adapters[number % len(adapters)]),
                f"pair {worker} {number}",
                PAIR_TOKENS,
                stream,
            )
            responses[caller] = await request_completion(caller, body)
            # Lets the engine become idle, so that no request waits for a step.
            await asyncio.sleep(random.uniform(PAUSE_S, 2 * PAUSE_S))
        if number >= WARM_UP_PAIRS:
            pairs.direct.append(responses[direct])
            pairs.through.append(responses[through])
        number += 1
    direct.close()
    through.close()


def list_adapters(engine: int, engines: int) -> list[int]:
    """Return the adapters whose home is the given engine.

    Both requests of a pair then run on the same engine.
    """
    ids = [ENDPOINT.format(number=number) for number in range(engines)]
    return [
        number
        for number in range(ADAPTERS)
        if choose(MODEL_AT_ENGINE.format(number=number), ids) == ids[engine]
    ]


async def request_completion(caller: Caller, body: bytes) -> Response:
    """Send a request; raise unless its status is 200."""
    response = await caller.complete(body)
    if response.status != OK:
        raise RuntimeError(f"status {response.status}: {response.body!r}")
    return response

"""A store that turns a whole data centre away, and what is in force there."""

import asyncio
import secrets
import time
from collections.abc import Callable, Sequence
from random import Random

from bench.soak.daemon_process import DaemonProcess
from bench.soak.violation import Violation
from fescuekeel.helpers.http_connection import (
    IncompleteResponseError,
    NotConnectedError,
    connect,
    fetch,
)
from standins.forwarding.caller import MAX_ANSWER_BYTES, make_headers
from standins.forwarding.links import InstanceLinks

__all__ = ["check_turned_away", "turn_away"]

# Within this time a change must be in force everywhere.
BOUND_S = 2.0
CHANGES = 3
SETTLE_S = 4.0
REFUSED = 503
SUCCESS = 200
ASK_PAUSE_S = 0.05
TIME_LEFT_S = 2.0


async def turn_away(
    daemons: Sequence[DaemonProcess],
    links: Sequence[InstanceLinks],
    rejects: bool,
    seconds: float,
) -> None:
    """Let the store reject some daemons, or be silent to them, for a time."""
    for daemon, own_links in zip(daemons, links, strict=True):
        if rejects:
            own_links.store.refuse = REFUSED
        else:
            daemon.store.partition()
    await asyncio.sleep(seconds)
    for daemon, own_links in zip(daemons, links, strict=True):
        own_links.store.refuse = 0
        daemon.store.heal()


async def check_turned_away(
    daemons: Sequence[DaemonProcess],
    links: Sequence[InstanceLinks],
    publish_next: Callable[[], int],
    seed: int,
) -> list[Violation]:
    """Turn one data centre away, and check when changes are in force there.

    ``publish_next`` publishes a configuration and returns its version.
    """
    random = Random(f"{seed} turned away")
    rejects = random.random() < 0.5
    count = len(daemons) // 2
    first = random.choice((0, count))
    chosen = slice(first, first + count)
    seconds = SETTLE_S + CHANGES * (BOUND_S + 1.0)
    fault = asyncio.ensure_future(
        turn_away(daemons[chosen], links[chosen], rejects, seconds)
    )
    await asyncio.sleep(random.uniform(0.0, SETTLE_S))
    addresses = [daemon.spec.addresses.callers for daemon in daemons]
    delays: list[float] = []
    for _ in range(CHANGES):
        version = publish_next()
        calls = [measure_delay_s(address, version) for address in addresses]
        delays += await asyncio.gather(*calls)
        await asyncio.sleep(random.uniform(0.0, 1.0))
    await fault
    how = "rejected" if rejects else "silent"
    print(f"turned away={how} longest_s={max(delays):.2f}")
    if max(delays) <= BOUND_S:
        return []
    detail = f"{how}: a change was in force after {max(delays):.2f} s"
    return [Violation("turned away", detail)]


async def measure_delay_s(address: str, version: int) -> float:
    """Return how long a version takes to be in force, at most the bound."""
    published_at = time.monotonic()
    asked_at = published_at
    while asked_at - published_at <= BOUND_S:
        if await is_in_force(address, version):
            return asked_at - published_at
        await asyncio.sleep(ASK_PAUSE_S)
        asked_at = time.monotonic()
    return asked_at - published_at


async def is_in_force(address: str, version: int) -> bool:
    """Return whether a daemon serves the route that a version has added."""
    headers = make_headers(secrets.token_hex(8), TIME_LEFT_S, "", b"")
    path = f"/v{version}/x"
    try:
        connection = await connect(address, 1.0)
        response = await fetch(
            connection, "GET", path, headers, b"", TIME_LEFT_S, MAX_ANSWER_BYTES
        )
    except (NotConnectedError, IncompleteResponseError) as error:
        print(f"{address}{path}: {error!r}")
        return False
    connection.close()
    return response.status == SUCCESS

"""Callers that open a connection for each request, most to one daemon."""

import asyncio
import itertools
import secrets
import time
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from random import Random

from fescuekeel.helpers.http_connection import (
    IncompleteResponseError,
    NotConnectedError,
    connect,
    fetch,
)
from standins.forwarding.caller import MAX_ANSWER_BYTES, make_headers

__all__ = ["SkewedCallers", "SkewedResult"]

TIME_LEFT_S = 3.0
CONNECT_TIMEOUT_S = 1.0
RESPONSE_TIMEOUT_S = 6.0
MAX_TRIES = 4
SKEWED_SHARE = 0.9
ADAPTERS = 3
BODY = b"body"


@dataclass(frozen=True, slots=True)
class SkewedResult:
    """The first answer that a request got; ``status`` is 0 without one."""

    started_at: float
    took_s: float
    status: int
    tries: int


@dataclass(slots=True)
class SkewedCallers:
    """Send requests at a rate; ``skewed_to`` is the daemon that gets most.

    ``routes`` are those of a plain service and of streams, in turn.
    A connection that is refused, or closed without an answer, is tried again
    at another daemon.
    """

    addresses: Sequence[str]
    random: Random = field(default_factory=Random)
    skewed_to: int | None = None
    routes: tuple[str, str] = ("charge", "script")
    results: list[SkewedResult] = field(default_factory=list)
    _numbers: Iterator[int] = field(default_factory=itertools.count)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def run(self, rate_per_s: float, seconds: float) -> None:
        """Start requests for some seconds."""
        next_at = time.monotonic()
        until = next_at + seconds
        while next_at < until:
            await asyncio.sleep(max(0.0, next_at - time.monotonic()))
            task = asyncio.ensure_future(self._call())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            next_at += self.random.expovariate(rate_per_s)

    async def finish(self) -> None:
        """Wait for the requests in progress."""
        await asyncio.gather(*self._tasks)

    def list_since(self, start: float, end: float) -> list[SkewedResult]:
        """Return the results of the requests that began in an interval."""
        return [each for each in self.results if start <= each.started_at < end]

    def _choose(self) -> int:
        if self.skewed_to is not None and self.random.random() < SKEWED_SHARE:
            return self.skewed_to
        return self.random.randrange(len(self.addresses))

    async def _call(self) -> None:
        started_at = time.monotonic()
        number = next(self._numbers)
        chosen = self._choose()
        status = tries = 0
        while not status and tries < MAX_TRIES:
            tries += 1
            status = await self._try_once(number, self.addresses[chosen])
            chosen = (chosen + self.random.randrange(1, len(self.addresses))) % len(
                self.addresses
            )
        took_s = time.monotonic() - started_at
        self.results.append(SkewedResult(started_at, took_s, status, tries))

    async def _try_once(self, number: int, address: str) -> int:
        """Return the status of the answer, 0 if there is none."""
        is_stream = number % 2 == 1
        adapter = f"a{number % ADAPTERS + 1}" if is_stream else ""
        path = f"/{self.routes[is_stream]}/{number}"
        headers = make_headers(secrets.token_hex(8), TIME_LEFT_S, adapter, BODY)
        try:
            connection = await connect(address, CONNECT_TIMEOUT_S)
        except NotConnectedError:
            return 0
        try:
            answer = await fetch(
                connection,
                "POST",
                path,
                headers,
                BODY,
                RESPONSE_TIMEOUT_S,
                MAX_ANSWER_BYTES,
            )
        except (IncompleteResponseError, NotConnectedError):
            return 0
        finally:
            connection.close()
        return answer.status

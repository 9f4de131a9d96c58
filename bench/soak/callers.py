"""Callers with connections of their own, and what they got."""

import asyncio
import itertools
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from random import Random

from fescuekeel.helpers.http_connection import (
    Connection,
    IncompleteResponseError,
    NotConnectedError,
    connect,
)
from standins.forwarding.caller import make_headers

__all__ = ["Answer", "Caller", "Ending", "Route"]

TIME_LEFT_S = 3.0
# An answer that has not come so long after the time that a caller has is
# none: what is passed on late is worth nothing, yet must end.
GIVE_UP_S = TIME_LEFT_S + 2.0
CONNECT_TIMEOUT_S = 1.0
PAUSE_S = 0.03
REFUSED_PAUSE_S = 0.1
ADAPTERS = 10
BODY = b"body"
NUMBERS = itertools.count(1)


class Route(StrEnum):
    """Name the routes that callers use."""

    LOOKUP = "lookup"
    CHARGE = "charge"
    SCRIPT = "script"
    EXPLAIN = "explain"

    @property
    def repeatable(self) -> bool:
        """Tell whether a request may run more than once."""
        return self in (Route.LOOKUP, Route.EXPLAIN)

    @property
    def stream(self) -> bool:
        """Tell whether the answer is a stream."""
        return self in (Route.SCRIPT, Route.EXPLAIN)


class Ending(StrEnum):
    """Name how a request ended for its caller."""

    WHOLE = "whole"
    CUT = "cut"
    UNANSWERED = "unanswered"
    SILENT = "silent"


@dataclass(frozen=True, slots=True)
class Answer:
    """What a caller got; times are monotonic seconds.

    ``status`` is 0 where no head came, and ``body`` what came of the answer.
    """

    request_id: str
    route: Route
    daemon: int
    path: str
    adapter: str
    began: float
    ended: float
    ending: Ending
    status: int = 0
    body: bytes = b""
    key: str = ""


class Caller:
    """Send requests one after the other, on one connection while it lasts."""

    def __init__(
        self, addresses: list[str], seed: int, choose_key: Callable[[], str]
    ) -> None:
        self.answers: list[Answer] = []
        self._addresses = addresses
        self._random = Random(seed)
        self._choose_key = choose_key
        self._connection: Connection | None = None
        self._daemon = 0

    async def run(self, until: float) -> None:
        """Send requests until a monotonic time."""
        while time.monotonic() < until:
            try:
                connection = await self._get_connection()
            except NotConnectedError:
                await asyncio.sleep(REFUSED_PAUSE_S)
                continue
            answer = await self._ask(connection)
            if answer is not None:
                self.answers.append(answer)
            await asyncio.sleep(PAUSE_S)
        if self._connection is not None:
            self._connection.close()

    async def _get_connection(self) -> Connection:
        if self._connection is None or not self._connection.usable:
            self._daemon = self._random.randrange(len(self._addresses))
            address = self._addresses[self._daemon]
            self._connection = await connect(address, CONNECT_TIMEOUT_S)
        return self._connection

    async def _ask(self, connection: Connection) -> Answer | None:
        route = self._random.choice(list(Route))
        number = next(NUMBERS)
        request_id, path = f"{number:016x}", f"/{route.value}/{number}"
        adapter = f"a{self._random.randint(1, ADAPTERS)}" if route.stream else ""
        method = "GET" if route is Route.LOOKUP else "POST"
        body = BODY if method == "POST" else None
        key = self._choose_key()
        headers = make_headers(request_id, TIME_LEFT_S, adapter, body, key)
        began = time.monotonic()
        try:
            connection.send(method, path, headers, body or b"")
        except NotConnectedError:
            return None
        status, came, ending = await self._read(connection)
        return Answer(
            request_id,
            route,
            self._daemon,
            path,
            adapter,
            began,
            time.monotonic(),
            ending,
            status,
            came,
            key,
        )

    async def _read(self, connection: Connection) -> tuple[int, bytes, Ending]:
        status, body = 0, bytearray()
        closes = False
        try:
            async with asyncio.timeout(GIVE_UP_S):
                head = await connection.read_head()
                status = head.status
                closes = head.get("connection").lower() == "close"
                while (chunk := await connection.read_chunk()) is not None:
                    body += chunk.data
        except TimeoutError:
            connection.close()
            return status, bytes(body), Ending.SILENT
        except IncompleteResponseError:
            connection.close()
            ending = Ending.CUT if status else Ending.UNANSWERED
            return status, bytes(body), ending
        connection.finish()
        if closes:
            connection.close()
        return status, bytes(body), Ending.WHOLE

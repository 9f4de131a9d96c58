"""Callers, each with its own connection, and the results of their requests."""

import asyncio
import itertools
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from random import Random

from fescuekeel.helpers.dialect import Header
from fescuekeel.helpers.http_connection import (
    Connection,
    IncompleteResponseError,
    NotConnectedError,
    connect,
)
from standins.forwarding.caller import make_headers
from standins.forwarding.raw_caller import call_raw

__all__ = ["CallResult", "Caller", "Ending", "Route"]

TIME_LEFT_S = 3.0
# A response that has not ended two seconds after the deadline is recorded as
# silent.
RESPONSE_TIMEOUT_S = TIME_LEFT_S + 2.0
CONNECT_TIMEOUT_S = 1.0
REQUEST_INTERVAL_S = 0.03
RECONNECT_DELAY_S = 0.1
ADAPTERS = 10
BODY = b"body"
REQUEST_NUMBERS = itertools.count(1)


class Route(StrEnum):
    """Routes that callers use."""

    LOOKUP = "lookup"
    CHARGE = "charge"
    SCRIPT = "script"
    EXPLAIN = "explain"

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self in (Route.LOOKUP, Route.EXPLAIN)

    @property
    def stream(self) -> bool:
        """Return whether the response is a stream."""
        return self in (Route.SCRIPT, Route.EXPLAIN)


class Ending(StrEnum):
    """How a request ended for its caller."""

    WHOLE = "whole"
    CUT = "cut"
    UNANSWERED = "unanswered"
    SILENT = "silent"


@dataclass(frozen=True, slots=True)
class CallResult:
    """Result of one request; times are monotonic seconds.

    ``status`` is 0 if no response headers arrived; ``body`` may be partial.
    """

    request_id: str
    route: Route
    daemon: int
    path: str
    adapter: str
    started_at: float
    ended_at: float
    ending: Ending
    status: int = 0
    body: bytes = b""
    key: str = ""


class Caller:
    """Send requests sequentially, reconnecting when the connection closes.

    With ``uses_http_1_0`` each request has a connection of its own, and its
    answer is judged from raw bytes.
    """

    def __init__(
        self,
        addresses: list[str],
        seed: int,
        choose_key: Callable[[], str],
        uses_http_1_0: bool = False,
    ) -> None:
        self.results: list[CallResult] = []
        self._addresses = addresses
        self._random = Random(seed)
        self._choose_key = choose_key
        self._uses_http_1_0 = uses_http_1_0
        self._connection: Connection | None = None
        self._daemon = 0

    async def run(self, until: float) -> None:
        """Send requests until the given monotonic time."""
        while time.monotonic() < until:
            try:
                connection = await self._get_connection()
            except NotConnectedError:
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            result = await self._send_request(connection)
            if result is not None:
                self.results.append(result)
            await asyncio.sleep(REQUEST_INTERVAL_S)
        if self._connection is not None:
            self._connection.close()

    async def _get_connection(self) -> Connection:
        if self._connection is None or not self._connection.usable:
            self._daemon = self._random.randrange(len(self._addresses))
            address = self._addresses[self._daemon]
            self._connection = await connect(address, CONNECT_TIMEOUT_S)
        return self._connection

    async def _send_request(self, connection: Connection) -> CallResult | None:
        route = self._random.choice(list(Route))
        number = next(REQUEST_NUMBERS)
        request_id, path = f"{number:016x}", f"/{route.value}/{number}"
        adapter = f"a{self._random.randint(1, ADAPTERS)}" if route.stream else ""
        method = "GET" if route is Route.LOOKUP else "POST"
        body = BODY if method == "POST" else None
        key = self._choose_key()
        headers = make_headers(request_id, TIME_LEFT_S, adapter, body, key)
        started_at = time.monotonic()
        if self._uses_http_1_0:
            status, received, ending = await self._call_once(
                method, path, headers, body or b""
            )
        else:
            try:
                connection.send(method, path, headers, body or b"")
            except NotConnectedError:
                return None
            status, received, ending = await self._read_response(connection)
        return CallResult(
            request_id,
            route,
            self._daemon,
            path,
            adapter,
            started_at,
            time.monotonic(),
            ending,
            status,
            received,
            key,
        )

    async def _call_once(
        self, method: str, path: str, headers: list[Header], body: bytes
    ) -> tuple[int, bytes, Ending]:
        address = self._addresses[self._daemon]
        try:
            answer = await call_raw(
                address, method, path, headers, body, "1.0", RESPONSE_TIMEOUT_S
            )
        except TimeoutError:
            return 0, b"", Ending.SILENT
        except OSError:
            return 0, b"", Ending.UNANSWERED
        ending = Ending.WHOLE if answer.complete else Ending.CUT
        if not answer.status:
            ending = Ending.UNANSWERED
        return answer.status, answer.body, ending

    async def _read_response(self, connection: Connection) -> tuple[int, bytes, Ending]:
        status, body = 0, bytearray()
        closes = False
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
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

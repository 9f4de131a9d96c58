"""A caller that resumes a stream at other instances."""

import asyncio
import re
import time
from collections.abc import Sequence
from dataclasses import dataclass, field

from fescuekeel.helpers.dialect import Header
from fescuekeel.helpers.http_connection import (
    IncompleteResponseError,
    NotConnectedError,
    connect,
)
from standins.forwarding.caller import make_headers

__all__ = ["ResumedStream", "StreamRequest", "run_stream"]

EVENT = re.compile(rb"id: (\d+)\s+(?:software: (\S+)\s+)?data: piece (\d+)\s\s")
CONNECT_TIMEOUT_S = 1.0
DEFAULT_RETRY_S = 0.2
SUCCESS = 200
REFUSED = 503


@dataclass(frozen=True, slots=True)
class StreamRequest:
    """What to ask for, and how to go on.

    Of the first attempt the caller reads ``leaves_after`` events and leaves;
    with ``None`` it stays until the stream ends or breaks. Before the second
    attempt it waits for ``goes_on`` to be set, if there is one.
    """

    id: str
    path: str
    headers: Sequence[Header] = ()
    adapter: str = ""
    leaves_after: int | None = None
    goes_on: asyncio.Event | None = None
    time_left_s: float = 8.0


@dataclass(slots=True)
class ResumedStream:
    """The events of one stream over all its attempts.

    ``numbers`` and ``versions`` have an entry for each event, ``statuses`` one
    for each attempt (zero without an answer). Times are monotonic seconds.
    """

    started_at: float = field(default_factory=time.monotonic)
    ended_at: float = 0.0

    numbers: list[int] = field(default_factory=list)
    versions: list[str] = field(default_factory=list)
    statuses: list[int] = field(default_factory=list)
    attempts: list[str] = field(default_factory=list)
    whole: bool = False

    @property
    def resumed(self) -> bool:
        """Return whether the caller asked again after an event."""
        return bool(self.numbers) and len(self.attempts) > 1

    @property
    def has_two_versions(self) -> bool:
        """Return whether events of two software versions arrived."""
        return len(set(self.versions)) > 1


async def run_stream(
    request: StreamRequest,
    addresses: Sequence[str],
    stream: ResumedStream | None = None,
) -> ResumedStream:
    """Ask for a stream at the addresses in turn until it is whole.

    An attempt after the first event names the attempt that brought it. Events
    are recorded in ``stream`` as they arrive, if the caller passes one.
    """
    stream = ResumedStream() if stream is None else stream
    first_id = ""
    deadline = time.monotonic() + request.time_left_s
    number = 0
    while not stream.whole and time.monotonic() < deadline:
        address = addresses[number % len(addresses)]
        id = f"{request.id}{number:02x}"
        had_events = bool(stream.numbers)
        headers = [
            *make_headers(id, deadline - time.monotonic(), "", b"body"),
            *request.headers,
        ]
        if had_events:
            headers.append(("Last-Event-Id", str(stream.numbers[-1])))
            headers.append(("Resumes", first_id))
        leaves_after = None if number else request.leaves_after
        retry_s = await _run_attempt(
            stream, address, request.path, headers, leaves_after, deadline
        )
        stream.attempts.append(id)
        if stream.numbers and not had_events:
            first_id = id
        number += 1
        if request.goes_on is not None:
            await request.goes_on.wait()
        await asyncio.sleep(retry_s)
    stream.ended_at = time.monotonic()
    return stream


async def _run_attempt(
    stream: ResumedStream,
    address: str,
    path: str,
    headers: Sequence[Header],
    leaves_after: int | None,
    deadline: float,
) -> float:
    """Run one attempt; return how long to wait before the next one."""
    stream.statuses.append(0)
    try:
        connection = await connect(address, CONNECT_TIMEOUT_S)
    except NotConnectedError:
        return 0.0
    received = bytearray()
    try:
        async with asyncio.timeout_at(_to_loop_time(deadline)):
            connection.send("POST", path, headers, b"body")
            head = await connection.read_head()
            stream.statuses[-1] = head.status
            if head.status != SUCCESS:
                return float(head.get("retry-after") or DEFAULT_RETRY_S)
            while (chunk := await connection.read_chunk()) is not None:
                received += chunk.data
                _take_events(stream, received)
                if leaves_after is not None and len(stream.numbers) >= leaves_after:
                    return 0.0
            stream.whole = True
    except (IncompleteResponseError, NotConnectedError, TimeoutError):
        return 0.0
    finally:
        connection.close()
    return 0.0


def _to_loop_time(deadline: float) -> float:
    loop = asyncio.get_running_loop()
    return loop.time() + max(0.0, deadline - time.monotonic())


def _take_events(stream: ResumedStream, received: bytearray) -> None:
    end = 0
    for match in EVENT.finditer(bytes(received)):
        stream.numbers.append(int(match[1]))
        stream.versions.append((match[2] or b"").decode())
        end = match.end()
    del received[:end]

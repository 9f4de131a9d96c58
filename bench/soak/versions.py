"""Endpoints of several software versions, and callers that resume streams."""

import asyncio
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

from bench.soak.plan import Fault
from bench.soak.violation import Violation
from standins.forwarding.caller import BASE_MODEL_HEADERS
from standins.forwarding.platform import StandInPlatform, make_route
from standins.forwarding.resuming_caller import (
    ResumedStream,
    StreamRequest,
    run_stream,
)
from standins.forwarding.workers import Worker

__all__ = [
    "VERSIONED",
    "ResumingCaller",
    "VersionedService",
    "check_streams_go_on",
    "check_versioned_streams",
    "make_versioned_route",
    "make_versioned_service",
]

VERSIONED = "versioned"
SOFTWARE = ("v1", "v1.1", "v2")
ENDPOINTS = 4
EVENTS = 12
EVENT_S = 0.03
REPLACE_S = 0.6
# Over all instances, in touch or not.
MAX_OF_TWO_VERSIONS = 2
# Of the streams that are resumed while two endpoints of their version
# serve.
MIN_SHARE = 0.9
MIN_STREAMS = 12
PAUSE_S = 0.1
MAX_LEFT_AFTER = 8


def make_versioned_route() -> dict[str, Any]:
    """Return the route of the service, whose streams may be resumed."""
    return make_route(
        VERSIONED, "stream", VERSIONED, public=True, resumable=True, max_attempts=2
    )


def make_versioned_service(engines: dict[str, Any]) -> dict[str, Any]:
    """Return the service, which is like that of the other engines."""
    return engines | {"name": VERSIONED}


@dataclass(slots=True)
class VersionedService:
    """The endpoints of the service, and how many served each version when."""

    add_worker: Callable[[str, str], Awaitable[Worker]]
    platform: StandInPlatform
    counts: list[tuple[float, Counter[str]]] = field(default_factory=list)

    async def start(self, zones: Sequence[str]) -> None:
        """Start endpoints of the first two versions."""
        for number in range(ENDPOINTS):
            await self._add(zones[number % 2], SOFTWARE[number // 2])
        self._record()

    async def _add(self, zone: str, software: str) -> Worker:
        worker = await self.add_worker(VERSIONED, zone)
        worker.software, worker.names_software = software, True
        worker.events, worker.event_s = EVENTS, EVENT_S
        self.platform.publish_state(worker, "ready")
        return worker

    def list_serving(self) -> list[Worker]:
        """Return the endpoints that are published."""
        return [
            worker
            for worker in self.platform.list_workers(VERSIONED)
            if self.platform.is_published(worker)
        ]

    def _record(self) -> None:
        serving = Counter(worker.software for worker in self.list_serving())
        self.counts.append((time.monotonic(), serving))

    def set_linger(self, seconds: float) -> None:
        """Let endpoints notice lost connections after a time."""
        for worker in self.platform.list_workers(VERSIONED):
            worker.linger_s = seconds

    def served_by_two(self, software: str, start: float, end: float) -> bool:
        """Return whether two endpoints of a version served all the time."""
        before = [counts for at, counts in self.counts if at <= start][-1:]
        within = [counts for at, counts in self.counts if start < at <= end]
        return all(counts[software] >= 2 for counts in before + within)

    async def release(self, fault: Fault, zones: Sequence[str]) -> None:
        """Replace one endpoint, half or all of them by those of a version."""
        random = Random(f"{fault.starts_at} release")
        software = random.choice(SOFTWARE)
        for number in range(random.choice((1, ENDPOINTS // 2, ENDPOINTS))):
            others = [item for item in self.list_serving() if item.software != software]
            if not others:
                return
            await self._replace(others[0], software, zones[number % 2])

    async def _replace(self, worker: Worker, software: str, zone: str) -> None:
        await self._add(zone, software)
        self._record()
        await asyncio.sleep(REPLACE_S)
        if self.platform.is_published(worker):
            self.platform.publish_state(worker, "draining")
            self.platform.remove(worker)
        self._record()

    async def serve_two_versions(self, zones: Sequence[str]) -> None:
        """Let two endpoints of each of two versions serve."""
        before = self.list_serving()
        for number, worker in enumerate(before):
            zone, software = zones[number % 2], SOFTWARE[number // 2 % 2]
            await self._replace(worker, software, zone)

    async def change_in_place(self, fault: Fault) -> None:
        """Restart an endpoint under its id with another version.

        Its entry shows the version before until the end of the fault.
        """
        random = Random(f"{fault.starts_at} restart")
        worker = random.choice(self.list_serving())
        worker.restart()
        worker.software = random.choice(
            [item for item in SOFTWARE if item != worker.software]
        )
        self._record()
        await asyncio.sleep(fault.duration_s)
        if self.platform.is_published(worker):
            self.platform.publish_state(worker, "ready")


class ResumingCaller:
    """Ask for streams, leave some of them, and go on at other instances."""

    def __init__(self, addresses: Sequence[str], seed: int) -> None:
        self.streams: list[ResumedStream] = []
        self._addresses = addresses
        self._random = Random(f"{seed} resuming")
        self._seed = seed

    async def run(self, until: float) -> None:
        """Ask until the given monotonic time."""
        number = 0
        while time.monotonic() < until:
            addresses = self._random.sample(self._addresses, len(self._addresses))
            number += 1
            leaves_after = self._random.choice(
                (None, self._random.randint(1, MAX_LEFT_AFTER))
            )
            request = StreamRequest(
                f"5{self._seed % 2**24:06x}{number:07x}",
                f"/{VERSIONED}/{number}",
                BASE_MODEL_HEADERS,
                leaves_after=leaves_after,
                time_left_s=4.0,
            )
            self.streams.append(await run_stream(request, addresses))
            await asyncio.sleep(PAUSE_S)


async def check_streams_go_on(
    service: VersionedService, addresses: Sequence[str], seed: int
) -> list[Violation]:
    """Check that streams are resumed once all faults are over."""
    await service.serve_two_versions(("a", "b"))
    await asyncio.sleep(REPLACE_S)
    random = Random(f"{seed} going on")
    requests = [
        StreamRequest(
            f"6{seed % 2**24:06x}{number:07x}",
            f"/{VERSIONED}/{number}",
            BASE_MODEL_HEADERS,
            leaves_after=random.randint(1, MAX_LEFT_AFTER),
            time_left_s=4.0,
        )
        for number in range(2 * MIN_STREAMS)
    ]
    streams = await asyncio.gather(
        *(
            run_stream(request, random.sample(addresses, len(addresses)))
            for request in requests
        )
    )
    return list(check_versioned_streams(streams, service, lambda start, end: False))


def check_versioned_streams(
    streams: Iterable[ResumedStream],
    service: VersionedService,
    was_disturbed: Callable[[float, float], bool],
) -> Iterable[Violation]:
    """Check that streams are of one version, in order, and that they go on."""
    streams = list(streams)
    of_two = [stream for stream in streams if stream.has_two_versions]
    if len(of_two) > MAX_OF_TWO_VERSIONS:
        yield Violation(
            "stream versions", f"{len(of_two)} of {len(streams)}: {of_two[:3]}"
        )
    for stream in streams:
        if stream.numbers != list(range(1, len(stream.numbers) + 1)):
            yield Violation("stream order", f"{stream}")
        if stream.whole and len(stream.numbers) != EVENTS:
            yield Violation("whole stream", f"{stream}")
    counted = [
        stream
        for stream in streams
        if stream.resumed
        and not was_disturbed(stream.started_at, stream.ended_at)
        and service.served_by_two(
            stream.versions[0], stream.started_at, stream.ended_at
        )
    ]
    whole = sum(stream.whole for stream in counted)
    print(
        f"streams={len(streams)} of_two_versions={len(of_two)}"
        f" taken_up={sum(stream.resumed for stream in streams)}"
        f" undisturbed={len(counted)} whole={whole}"
    )
    if len(counted) >= MIN_STREAMS and whole < MIN_SHARE * len(counted):
        yield Violation("streams go on", f"{whole} of {len(counted)}")

"""Parts of prompts that crash each engine, beside sound requests."""

import asyncio
import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from itertools import count
from random import Random

from bench.soak.culprits import KNOWN_WITHIN_S, MAX_LATE_CRASHES, Culprit, Culprits
from bench.soak.plan import Fault
from bench.soak.violation import Violation
from standins.forwarding.workers import Worker

__all__ = ["CrashingParts", "check_parts"]

ROUTE = "culprit-stream"
QUARANTINED_STATUS = 400
# Daemons must know a part some time after this crash.
CRASHES_KNOWN = 5
INTERVAL_S = 0.25
SOUND_SHARE = 0.7
COMMON_PARTS = ("system:300", "tools:100")


@dataclass(slots=True)
class CrashingParts:
    """All crashing parts of a run, and the statuses of sound requests.

    ``parts`` is shared by all workers.
    """

    culprits: Culprits
    parts: set[str] = field(default_factory=set)
    sound: list[int] = field(default_factory=list)
    _numbers: Iterator[int] = field(default_factory=count)

    async def send_until(self, fault: Fault, until: Callable[[], float]) -> None:
        """Send requests with a new part, and sound ones, until a time."""
        random = Random(f"{fault.starts_at} part")
        part = f"bad{len(self.parts)}"
        self.parts.add(part)
        depth = random.randint(0, len(COMMON_PARTS))
        bad = (*COMMON_PARTS[:depth], part)
        while time.monotonic() < until():
            address = random.choice(self.culprits.addresses)
            if random.random() < SOUND_SHARE:
                self.sound.append(await self._send(COMMON_PARTS, address))
            else:
                await self._send(bad, address)
            await asyncio.sleep(INTERVAL_S)

    async def _send(self, parts: tuple[str, ...], address: str) -> int:
        number = next(self._numbers)
        header = ",".join((*parts, f"own{number}:9"))
        request = Culprit(f"/{ROUTE}/p{number}", b"%d" % number, "a1", header)
        return await self.culprits.send(request, address)


def check_parts(
    parts: CrashingParts,
    workers: Iterable[Worker],
    lost_at: float,
    was_disturbed: Callable[[float, float], bool],
) -> Iterable[Violation]:
    """Check how often endpoints crashed, and that no sound one is refused."""
    crashes = [crash for worker in workers for crash in worker.crashes]
    for part in sorted(parts.parts):
        times = sorted(
            crash.crashed_at
            for crash in crashes
            if crash.part == part and crash.crashed_at > lost_at
        )
        if len(times) < CRASHES_KNOWN:
            continue
        known_at = times[CRASHES_KNOWN - 1] + KNOWN_WITHIN_S
        late = [
            at
            for at in times
            if at > known_at and not was_disturbed(at - KNOWN_WITHIN_S, at)
        ]
        if len(late) > MAX_LATE_CRASHES:
            detail = f"{part} crashed {len(late)} endpoints too late"
            yield Violation("quarantined part", detail)
    refused = parts.sound.count(QUARANTINED_STATUS)
    if refused:
        detail = f"{refused} of {len(parts.sound)} sound requests"
        yield Violation("sound refused", detail)

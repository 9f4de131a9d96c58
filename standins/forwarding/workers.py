"""Stand-ins for the platform's workers: engines and plain services."""

import asyncio
import itertools
import math
import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from standins.forwarding.answers import AnswerBreak, AnswerFraming
from standins.forwarding.copies import AnswerCopies
from standins.forwarding.room import WorkerRoom
from standins.server import ConnectionFaults

__all__ = [
    "CrashRecord",
    "RunRecord",
    "Worker",
]

LOAD_S = 0.1
# Beyond this many concurrent loads, load time grows in proportion.
LOADS_AT_FULL_SPEED = 2
IDS = itertools.count(1)
# What a worker publishes that runs any number of requests at a time.
PUBLISHED_SLOTS = 8


@dataclass(frozen=True, slots=True)
class RunRecord:
    """A run as of its start; ``started_at`` is in monotonic seconds.

    ``account`` is the client account in the request. ``key`` is the caller's
    API key, which instances must not forward.
    """

    request_id: str
    started_at: float
    adapter: str = ""
    version: int = 0
    account: str = ""
    key: str = ""


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """A crash and the request that caused it, in monotonic seconds."""

    request_id: str
    path: str
    body: bytes
    crashed_at: float
    part: str = ""


@dataclass(eq=False)
class Worker:
    """A worker: a plain service, or an engine if it has a model.

    ``arrivals`` has the time and the id of each request that reached it,
    rejected ones too. A ``failing_share`` of all runs respond with 500.
    A ``misdirecting_share`` is rejected with 421. Of the next requests,
    ``fail`` run and respond with 500, ``shed`` are rejected without running,
    ``cut`` drop the connection after some events and ``stall`` become
    unresponsive after some events. ``overrun`` is set by a load beyond
    ``max_loaded_adapters``, or more than take ``max_adapters_mb`` together;
    ``unloaded_in_use`` lists adapters that were evicted while serving.
    ``fencing_tokens`` and ``holders`` are the tokens and senders of the
    accepted orders, in order of arrival. Reports are ``report_lag_s`` old, and
    plain runs take ``run_s``. ``crash`` stops the worker's server and starts
    it again later, and returns false if it is down already; ``None`` ignores
    bodies and parts of prompts that crash it. ``crash_parts`` are such parts,
    which do so ``crash_delay_s`` after a run with one began, and with
    ``crash_after_event`` once it has sent its first event.
    While ``limit_per_s`` is set, answers name it as the worker's rate limit;
    ``limit_named_at`` is when the first one did.
    While it ``leaves`` it says so in all its answers. While ``retry_after`` is
    set it rejects all requests with this ``Retry-After``; ``rejected`` has the
    time, the id and the ``Retry-After`` of each of them. ``left_at`` is when
    it began to leave.
    ``room`` bounds the requests that run and wait.
    Answers are framed by ``framing`` (by default as HTTP servers do), and the
    lines of events end with ``line_end``. The next runs break their answers
    off as ``breaks`` say. ``software`` is the version of the worker's
    software; with ``names_software`` each event names it. Reports name the
    requests of ``running_ids``, those whose connection was lost for another
    ``linger_s``, as after a loss of power of the caller. ``copies`` says which
    answers are sent once more. Rejections have the id of the request unless
    ``repeats_rejected_ids`` is false. ``calls_with_ids`` counts reports and
    orders that have one, which a plain service would run. Unless it ``signs``,
    its answers have no stamp.
    """

    service: str
    model: str = ""
    max_loaded_adapters: int = 4
    max_adapters_mb: float = math.inf
    adapter_mb: float = 0.0
    events: int = 6
    event_s: float = 0.005
    run_s: float = 0.0
    report_lag_s: float = 0.0
    connection_faults: ConnectionFaults = field(default_factory=ConnectionFaults)
    id: str = field(default_factory=lambda: f"w-{next(IDS)}")
    born: int = field(default_factory=lambda: time.time_ns() // 1_000_000)
    runs: Counter[str] = field(default_factory=Counter)
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    records: list[RunRecord] = field(default_factory=list)
    served_by_weights: Counter[str] = field(default_factory=Counter)
    versions_by_adapter: dict[str, int] = field(default_factory=dict)
    pending: set[str] = field(default_factory=set)
    latest_version_by_adapter: dict[str, int] = field(default_factory=dict)
    running: int = 0
    aborted_streams: int = 0
    sequence: int = 0
    fencing_tokens: list[int] = field(default_factory=list)
    holders: list[str] = field(default_factory=list)
    overrun: bool = False
    running_by_adapter: Counter[str] = field(default_factory=Counter)
    unloaded_in_use: list[str] = field(default_factory=list)
    fail: int = 0
    failing_share: float = 0.0
    misdirecting_share: float = 0.0
    shed: int = 0
    cut: int = 0
    stall: int = 0
    limit_per_s: float | None = None
    limit_named_at: float | None = None
    leaves: bool = False
    left_at: float = 0.0
    retry_after: str | None = None
    rejected: list[tuple[float, str, str]] = field(default_factory=list)
    crash: Callable[[], bool] | None = None
    crashes: list[CrashRecord] = field(default_factory=list)
    crash_parts: set[str] = field(default_factory=set)
    crash_delay_s: float = 0.07
    crash_after_event: bool = False
    room: WorkerRoom = field(default_factory=WorkerRoom)
    framing: AnswerFraming | None = None
    line_end: bytes = b"\n"
    breaks: deque[AnswerBreak] = field(default_factory=deque)
    copies: AnswerCopies = field(default_factory=AnswerCopies)
    calls_with_ids: int = 0
    repeats_rejected_ids: bool = True
    signs: bool = True
    software: str = "v1"
    names_software: bool = False
    linger_s: float = 0.0
    running_ids: Counter[str] = field(default_factory=Counter)
    _silent_until: float = 0.0
    _past_states: deque[tuple[float, dict[str, Any]]] = field(default_factory=deque)

    def leave(self) -> None:
        """Say in all answers from now on that the worker leaves."""
        self.leaves, self.left_at = True, time.monotonic()

    def control(self, commands: dict[str, Any]) -> None:
        """Apply ``fail``, ``shed`` and ``cut``."""
        for name in ("fail", "shed", "cut"):
            setattr(self, name, int(commands.get(name, getattr(self, name))))

    def pause(self, seconds: float) -> None:
        """Be silent for a while: accept everything, answer nothing."""
        self._silent_until = time.monotonic() + seconds

    async def wait_while_silent(self) -> None:
        """Wait until a pause is over."""
        await asyncio.sleep(max(0.0, self._silent_until - time.monotonic()))

    def begin_run(self, request_id: str) -> None:
        """Name a request in reports from now on."""
        self.running_ids[request_id] += 1

    def end_run(self, request_id: str, is_lost: bool) -> None:
        """Name a request no longer; one whose connection was lost later."""
        if is_lost and self.linger_s:
            loop = asyncio.get_running_loop()
            loop.call_later(self.linger_s, self.end_run, request_id, False)
            return
        self.running_ids -= Counter([request_id])

    def withdraw_faults(self) -> int:
        """Withdraw the faults that no request has met; return how many."""
        left = self.fail + self.shed + self.cut + len(self.breaks)
        self.fail = self.shed = self.cut = 0
        self.breaks.clear()
        return left

    def journal(self) -> dict[str, Any]:
        """Return run counts by request and by weights."""
        return {"runs": dict(self.runs), "served": dict(self.served_by_weights)}

    def restart(self) -> None:
        """Restart with the same id and empty state; all connections end."""
        self.connection_faults.close_open()
        self.leaves = False
        self.running_ids.clear()
        self.born = max(self.born + 1, time.time_ns() // 1_000_000)
        self.versions_by_adapter.clear()
        self.pending.clear()
        self.fencing_tokens.clear()
        self.holders.clear()
        self.sequence = 0
        self._past_states.clear()

    def consume_fault(self, name: str) -> bool:
        """Return whether a fault applies, and count it down."""
        left = getattr(self, name)
        if left:
            setattr(self, name, left - 1)
        return bool(left)

    def list_models(self) -> list[dict[str, Any]]:
        """Return the loaded models in the format of reports and entries."""
        if not self.model:
            return []
        adapters = [f"{name}@{v}" for name, v in self.versions_by_adapter.items()]
        return [{"name": self.model, "version": 1, "adapters": adapters}]

    def describe(self, address: str, zone: str, state: str = "ready") -> dict[str, Any]:
        """Return this worker's entry in the store."""
        return {
            "service": self.service,
            "address": address,
            "zone": zone,
            "version": self.software,
            "slots": min(self.room.slots, PUBLISHED_SLOTS),
            "state": state,
            "cold_remaining_ms": 0,
            "models": self.list_models(),
            "sequence": self.sequence,
            "born": self.born,
        }

    def admit_order(self, fence: int, holder: str, precondition: int | None) -> int:
        """Return an order's rejection status, or record it and return 0."""
        if fence < max(self.fencing_tokens, default=0):
            return 412
        if precondition is not None and precondition != self.sequence:
            return 409
        self.fencing_tokens.append(fence)
        self.holders.append(holder)
        return 0

    def unload(self, adapter: str) -> None:
        """Evict an adapter immediately."""
        if self.running_by_adapter[adapter]:
            self.unloaded_in_use.append(adapter)
        if self.versions_by_adapter.pop(adapter, None) is not None:
            self.sequence += 1
        self.record_state()

    def begin_load(self, adapter: str) -> None:
        """Reserve a place for an adapter and mark it as loading."""
        self.sequence += 1
        self.pending.add(adapter)
        count = len(self.versions_by_adapter.keys() | self.pending)
        self.overrun = self.overrun or count > self.max_loaded_adapters
        self.overrun = self.overrun or count * self.adapter_mb > self.max_adapters_mb
        self.record_state()

    async def finish_load(self, adapter: str, version: int) -> None:
        """Load an adapter after a delay, unless the worker restarts."""
        born = self.born
        await asyncio.sleep(LOAD_S * max(1, len(self.pending) / LOADS_AT_FULL_SPEED))
        if self.born != born:
            return
        self.pending.discard(adapter)
        self.versions_by_adapter[adapter] = version
        self.record_state()

    def record_state(self) -> None:
        """Record the current state for delayed reports."""
        state = {
            "models": self.list_models(),
            "pending": [f"{self.model}/{name}@1" for name in self.pending],
            "sequence": self.sequence,
            "born": self.born,
        }
        self._past_states.append((time.monotonic(), state))

    def report(self) -> dict[str, Any]:
        """Return the state as of ``report_lag_s`` ago."""
        if not self._past_states:
            self.record_state()
        visible_until = time.monotonic() - self.report_lag_s
        while len(self._past_states) > 1 and self._past_states[1][0] <= visible_until:
            self._past_states.popleft()
        return self._past_states[0][1]

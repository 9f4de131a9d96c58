"""State of a stand-in engine: settings, requests and prefix cache."""

import asyncio
from collections import OrderedDict
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

__all__ = ["CacheLog", "EngineRequest", "EngineSettings", "Outcome"]

PREFIX_CHARACTERS = 32


class Outcome(StrEnum):
    """How a request ended on the engine."""

    UNFINISHED = ""
    FINISHED = "finished"
    CANCELLED = "cancelled"
    EVICTED = "evicted"
    RESTARTED = "restarted"


@dataclass(slots=True)
class EngineSettings:
    """Settings of an engine, changed by ``POST /control``.

    The next ``fail_loads`` loads fail partway. The next ``silent_streams``
    streams become unresponsive after ``silent_after`` tokens. Every
    ``gap_every``-th cache event is omitted, none if zero. A run of
    ``crash_prompt`` crashes the engine.
    """

    slots: int = 8
    max_running: int = 16
    max_waiting: int = 64
    step_ms: float = 8.0
    fenced: bool = True
    load_s: float = 0.0
    report_lag_s: float = 0.0
    keep_s: float = 60.0
    prefill_steps: int = 0
    cached_prefixes: int = 64
    cache_lag_s: float = 0.0
    gap_every: int = 0
    fail_loads: int = 0
    silent_streams: int = 0
    silent_after: int = 0
    crash_prompt: str = ""


@dataclass(eq=False, slots=True)
class EngineRequest:
    """A run of a request; times are monotonic seconds, zero if not reached."""

    request_id: str
    model: str
    prompt: str
    max_tokens: int
    priority: int
    number: int
    accepted_at: float
    prefill_steps_left: int = 0
    started_at: float = 0.0
    finished_at: float = 0.0
    outcome: Outcome = Outcome.UNFINISHED
    tokens: list[str] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def wake(self) -> None:
        """Wake all waiters."""
        self.changed.set()
        self.changed = asyncio.Event()

    def end(self, outcome: Outcome, now: float) -> None:
        """End the run with an outcome."""
        self.outcome = outcome
        self.finished_at = now
        self.wake()

    def as_journal_entry(self) -> dict[str, Any]:
        """Return the journal entry; ``tokens`` counts the generated tokens."""
        return {
            "request_id": self.request_id,
            "model": self.model,
            "prompt": self.prompt,
            "priority": self.priority,
            "accepted": self.accepted_at,
            "started": self.started_at,
            "finished": self.finished_at,
            "tokens": len(self.tokens),
            "outcome": self.outcome.value,
        }


class CacheLog:
    """Prefix cache with LRU eviction and a log of its events."""

    def __init__(self, settings: EngineSettings) -> None:
        self.settings = settings
        self.prefixes: OrderedDict[str, None] = OrderedDict()
        self.events: list[tuple[float, dict[str, Any]]] = []

    def contains(self, prompt: str) -> bool:
        """Return whether a prompt's prefix is cached."""
        return prompt[:PREFIX_CHARACTERS] in self.prefixes

    def store(self, prompt: str, now: float) -> None:
        """Cache a prompt's prefix, evicting the least recently used."""
        prefix = prompt[:PREFIX_CHARACTERS]
        if prefix in self.prefixes:
            self.prefixes.move_to_end(prefix)
            return
        self.prefixes[prefix] = None
        self._record_event("stored", prefix, now)
        if len(self.prefixes) <= self.settings.cached_prefixes:
            return
        dropped, _ = self.prefixes.popitem(last=False)
        self._record_event("removed", dropped, now)

    def list_events_since(self, number: int, now: float) -> dict[str, Any]:
        """Return events from a number on that are older than the cache lag."""
        visible = [
            event
            for recorded_at, event in self.events
            if recorded_at + self.settings.cache_lag_s <= now
        ]
        next_number = visible[-1]["number"] + 1 if visible else number
        gap = self.settings.gap_every
        events = [
            event
            for event in visible
            if event["number"] >= number
            and not (gap and event["number"] % gap == gap - 1)
        ]
        return {"events": events, "next": max(next_number, number)}

    def _record_event(self, kind: str, prefix: str, now: float) -> None:
        event = {"number": len(self.events), "kind": kind, "prefix": prefix}
        self.events.append((now, event))

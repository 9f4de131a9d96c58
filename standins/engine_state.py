"""What a stand-in engine holds: requests, its settings, its cache."""

import asyncio
from collections import OrderedDict
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

__all__ = ["CacheLog", "EngineRequest", "EngineSettings", "Outcome"]

PREFIX_CHARACTERS = 32


class Outcome(StrEnum):
    """Name how a request ended on the engine."""

    UNFINISHED = ""
    FINISHED = "finished"
    CANCELLED = "cancelled"
    EVICTED = "evicted"
    RESTARTED = "restarted"


@dataclass(slots=True)
class EngineSettings:
    """How an engine behaves; changed by ``POST /control``.

    ``fail_loads`` is how many of the next loads fail partway.
    ``silent_after`` lets the next ``silent_streams`` streams go silent after
    that many tokens. ``gap_every`` leaves out each so many-th cache event.
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


@dataclass(eq=False, slots=True)
class EngineRequest:
    """One run of a request; times are monotonic seconds, zero for not yet."""

    request_id: str
    model: str
    prompt: str
    max_tokens: int
    priority: int
    number: int
    accepted: float
    prefill_left: int = 0
    started: float = 0.0
    finished: float = 0.0
    outcome: Outcome = Outcome.UNFINISHED
    tokens: list[str] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def wake(self) -> None:
        """Let everyone who waits look again."""
        self.changed.set()
        self.changed = asyncio.Event()

    def end(self, outcome: Outcome, now: float) -> None:
        """End the run."""
        self.outcome = outcome
        self.finished = now
        self.wake()

    def as_journal(self) -> dict[str, Any]:
        """Return the journal's line; ``tokens`` counts what was generated."""
        return {
            "request_id": self.request_id,
            "model": self.model,
            "prompt": self.prompt,
            "priority": self.priority,
            "accepted": self.accepted,
            "started": self.started,
            "finished": self.finished,
            "tokens": len(self.tokens),
            "outcome": self.outcome.value,
        }


class CacheLog:
    """Keep the prefixes in memory and the events about them."""

    def __init__(self, settings: EngineSettings) -> None:
        self.settings = settings
        self.prefixes: OrderedDict[str, None] = OrderedDict()
        self.events: list[tuple[float, dict[str, Any]]] = []

    def holds(self, prompt: str) -> bool:
        """Tell whether a prompt's prefix is in memory."""
        return prompt[:PREFIX_CHARACTERS] in self.prefixes

    def store(self, prompt: str, now: float) -> None:
        """Keep a prompt's prefix, dropping the one least recently used."""
        prefix = prompt[:PREFIX_CHARACTERS]
        if prefix in self.prefixes:
            self.prefixes.move_to_end(prefix)
            return
        self.prefixes[prefix] = None
        self._note("stored", prefix, now)
        if len(self.prefixes) <= self.settings.cached_prefixes:
            return
        dropped, _ = self.prefixes.popitem(last=False)
        self._note("removed", dropped, now)

    def since(self, number: int, now: float) -> dict[str, Any]:
        """Return the events from a number on that are old enough to show."""
        shown = [
            event
            for noted, event in self.events
            if noted + self.settings.cache_lag_s <= now
        ]
        following = shown[-1]["number"] + 1 if shown else number
        gap = self.settings.gap_every
        events = [
            event
            for event in shown
            if event["number"] >= number
            and not (gap and event["number"] % gap == gap - 1)
        ]
        return {"events": events, "next": max(following, number)}

    def _note(self, kind: str, prefix: str, now: float) -> None:
        event = {"number": len(self.events), "kind": kind, "prefix": prefix}
        self.events.append((now, event))

"""Fake clock, engine and weight store."""

import heapq
import itertools
import math
from collections.abc import Callable
from dataclasses import dataclass, field

from bench.policy.traces import SLOTS
from fescuekeel.messages import AdapterRef

__all__ = ["FakeClock", "FakeEngine", "FakeStore"]

Call = Callable[[], None]


class FakeClock:
    """A virtual clock that runs scheduled calls in order of time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._calls: list[tuple[float, int, Call]] = []
        self._numbers = itertools.count()

    def call_at(self, at: float, call: Call) -> None:
        """Schedule a call; calls for the same time keep their order."""
        heapq.heappush(self._calls, (at, next(self._numbers), call))

    def call_later(self, delay_s: float, call: Call) -> None:
        """Schedule a call some seconds from now."""
        self.call_at(self.now + delay_s, call)

    def run(self, until: float) -> None:
        """Advance until this time."""
        while self._calls and self._calls[0][0] <= until:
            self.now, _, call = heapq.heappop(self._calls)
            call()
        self.now = until


@dataclass(slots=True)
class FakeEngine:
    """An engine whose steps all take the same time.

    Raises ``AssertionError`` on invalid orders, such as a request for an
    adapter that is not loaded or the eviction of one in use.
    """

    id: str
    clock: FakeClock
    step_s: float
    max_running: int
    loaded: set[AdapterRef] = field(default_factory=set)
    running_by_id: dict[str, AdapterRef] = field(default_factory=dict)
    boot: int = 0
    steps: int = 0
    tokens: int = 0
    _busy_until: int = 0

    def start(self, id: str, adapter: AdapterRef, tokens: int) -> float:
        """Add a request to the batch; return its end time."""
        if adapter not in self.loaded:
            raise AssertionError(f"{self.id}: {adapter} is not loaded")
        if len(self.running_by_id) >= self.max_running:
            raise AssertionError(f"{self.id}: full")
        self.running_by_id[id] = adapter
        first = math.ceil(self.clock.now / self.step_s)
        end = first + tokens
        self.steps += max(0, end - max(first, self._busy_until))
        self.tokens += tokens
        self._busy_until = max(self._busy_until, end)
        return end * self.step_s

    def load(self, adapter: AdapterRef) -> None:
        """Add a fetched adapter."""
        if len(self.loaded) >= SLOTS:
            raise AssertionError(f"{self.id}: no slot")
        self.loaded.add(adapter)

    def evict(self, adapter: AdapterRef) -> None:
        """Evict an adapter."""
        if adapter in self.running_by_id.values():
            raise AssertionError(f"{self.id}: {adapter} serves")
        self.loaded.discard(adapter)

    def restart(self) -> list[str]:
        """Restart without adapters; return the lost requests."""
        lost = list(self.running_by_id)
        self.boot += 1
        self.loaded.clear()
        self.running_by_id.clear()
        return lost


class FakeStore:
    """A weight store whose load rate is shared by concurrent fetches."""

    def __init__(self, clock: FakeClock, loads_per_s: float) -> None:
        self._clock = clock
        self._loads_per_s = loads_per_s
        self._fetches: dict[int, tuple[float, Call]] = {}
        self._numbers = itertools.count()
        self._since = 0.0
        self._round = 0
        self.loads = 0

    def fetch(self, done: Call) -> None:
        """Fetch the weights of an adapter; call ``done`` at the end."""
        self._advance()
        self.loads += 1
        self._fetches[next(self._numbers)] = (1.0, done)
        self._schedule()

    def _advance(self) -> None:
        passed_s = self._clock.now - self._since
        self._since = self._clock.now
        if not self._fetches:
            return
        share = passed_s * self._loads_per_s / len(self._fetches)
        self._fetches = {
            number: (left - share, done)
            for number, (left, done) in self._fetches.items()
        }

    def _schedule(self) -> None:
        self._round += 1
        if not self._fetches:
            return
        round_ = self._round
        left = min(left for left, _ in self._fetches.values())
        wait_s = max(0.0, left) * len(self._fetches) / self._loads_per_s
        self._clock.call_later(wait_s, lambda: self._end_first(round_))

    def _end_first(self, round_: int) -> None:
        if round_ != self._round:
            return
        self._advance()
        number = min(self._fetches, key=lambda item: self._fetches[item][0])
        _, done = self._fetches.pop(number)
        self._schedule()
        done()

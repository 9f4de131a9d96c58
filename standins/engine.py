"""Stand-in for a model engine: slots, steps and running requests."""

import asyncio
import time
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import fields
from itertools import count
from typing import Any

from standins.engine_state import CacheLog, EngineRequest, EngineSettings, Outcome
from standins.server import ConnectionFaults
from standins.tokens import token_text

__all__ = ["Engine", "RejectedError"]

Fetcher = Callable[[str], Awaitable[bool]]
BOOT_NUMBERS = count(1)
# How long a run of the crash prompt takes, and how long the engine is down.
CRASH_DELAY_S = 0.02
CRASH_DOWN_S = 1.0
SETTING_NAMES = frozenset(item.name for item in fields(EngineSettings))


class RejectedError(Exception):
    """A rejected call, with the HTTP status and body of the response."""

    def __init__(self, status: int, error: str, **details: object) -> None:
        super().__init__(error)
        self.status = status
        self.body: dict[str, Any] = {"error": error, **details}


class Engine:
    """Run requests in continuous batches, one token per request and step."""

    def __init__(self, settings: EngineSettings, fetch: Fetcher | None = None) -> None:
        self.settings = settings
        self.connection_faults = ConnectionFaults()
        self.fetch = fetch
        self.runs: list[EngineRequest] = []
        self.evictions_while_serving: list[dict[str, Any]] = []
        self.orders: list[dict[str, Any]] = []
        self.stale_refusals = 0
        self.crash_times: list[float] = []
        self.steps = 0
        self.filled = 0
        self._numbers = count()
        self._task: asyncio.Task[None] | None = None
        self._work = asyncio.Event()
        self._reset_state()

    def _reset_state(self) -> None:
        self.boot_id = f"boot-{next(BOOT_NUMBERS)}-{time.time_ns()}"
        self.fence = 0
        self.loaded: dict[str, None] = {}
        self.loads_by_model: dict[str, asyncio.Task[bool]] = {}
        self.running: list[EngineRequest] = []
        self.waiting: list[EngineRequest] = []
        self.retained_by_id: dict[str, EngineRequest] = {}
        self._ended: deque[EngineRequest] = deque()
        self.cache = CacheLog(self.settings)
        self._report: tuple[float, dict[str, Any]] | None = None

    def start(self) -> None:
        """Start the step loop."""
        self._task = asyncio.ensure_future(self._run_steps())

    def stop(self) -> None:
        """Stop the step loop."""
        if self._task is not None:
            self._task.cancel()

    def restart(self) -> None:
        """Restart cold, losing adapters, requests and the fencing token."""
        now = time.monotonic()
        for request in [*self.running, *self.waiting]:
            request.end(Outcome.RESTARTED, now)
        for load in self.loads_by_model.values():
            load.cancel()
        self._reset_state()

    def crash(self) -> None:
        """Lose all connections and state, and come back after a while."""
        self.crash_times.append(time.monotonic())
        self.connection_faults.control({"down": True})
        self.restart()
        loop = asyncio.get_running_loop()
        loop.call_later(CRASH_DOWN_S, self.connection_faults.control, {"down": False})

    def control(self, commands: dict[str, Any]) -> None:
        """Apply ``restart``, ``loaded`` and any field of the settings."""
        for name in SETTING_NAMES & commands.keys():
            setattr(self.settings, name, commands[name])
        if commands.get("restart"):
            self.restart()
        for model in commands.get("loaded", ()):
            self.loaded[model] = None

    def journal(self) -> dict[str, Any]:
        """Return all runs, orders and evictions while serving."""
        return {
            "runs": [request.as_journal_entry() for request in self.runs],
            "orders": list(self.orders),
            "evictions_while_serving": list(self.evictions_while_serving),
            "stale_refusals": self.stale_refusals,
            "steps": self.steps,
            "filled": self.filled,
            "max_running": self.settings.max_running,
        }

    def check_fence(self, fence: int | None) -> None:
        """Reject a stale fencing token, if this engine checks them."""
        if fence is None or not self.settings.fenced:
            return
        if fence < self.fence:
            self.stale_refusals += 1
            raise RejectedError(409, "stale_fence", fence=self.fence)
        self.fence = fence

    def record_order(self, kind: str, body: dict[str, Any]) -> None:
        """Record an accepted order in the journal."""
        model, fence = body.get("model", ""), body.get("fence")
        at = time.monotonic()
        self.orders.append({"kind": kind, "model": model, "fence": fence, "at": at})

    def submit(
        self, request_id: str, model: str, prompt: str, max_tokens: int, priority: int
    ) -> EngineRequest:
        """Queue a request until a step has a free place."""
        if model not in self.loaded:
            raise RejectedError(404, "not_loaded")
        room = self.settings.max_running + self.settings.max_waiting
        if len(self.running) + len(self.waiting) >= room:
            raise RejectedError(503, "full")
        request = EngineRequest(
            request_id=request_id,
            model=model,
            prompt=prompt,
            max_tokens=max_tokens,
            priority=priority,
            number=next(self._numbers),
            accepted_at=time.monotonic(),
        )
        self.runs.append(request)
        self.waiting.append(request)
        self.retained_by_id[request_id] = request
        self._work.set()
        return request

    def cancel(self, request_id: str) -> bool:
        """Cancel an unfinished request; return whether there was one."""
        request = self.retained_by_id.get(request_id)
        if request is None or request.outcome:
            return False
        self._end(request, Outcome.CANCELLED)
        return True

    def find(self, request_id: str) -> EngineRequest:
        """Return a request that is unfinished or ended within ``keep_s``."""
        request = self.retained_by_id.get(request_id)
        if request is None:
            raise RejectedError(404, "unknown_request")
        return request

    async def load(self, model: str) -> int:
        """Load an adapter; return the duration in milliseconds."""
        if model in self.loaded:
            return 0
        started = time.monotonic()
        task = self.loads_by_model.get(model)
        if task is None:
            if len(self.loaded) + len(self.loads_by_model) >= self.settings.slots:
                raise RejectedError(507, "no_slot")
            task = asyncio.ensure_future(self._load(model))
            self.loads_by_model[model] = task
        try:
            loaded = await asyncio.shield(task)
        except asyncio.CancelledError:
            if not task.cancelled():
                raise
            loaded = False
        if not loaded:
            raise RejectedError(502, "load_failed")
        return int((time.monotonic() - started) * 1000)

    async def _load(self, model: str) -> bool:
        loads_by_model = self.loads_by_model
        fails = self.settings.fail_loads > 0
        self.settings.fail_loads -= 1 if fails else 0
        try:
            await asyncio.sleep(self.settings.load_s)
            fetched = self.fetch is None or await self.fetch(model)
        finally:
            loads_by_model.pop(model, None)
        if fails or not fetched:
            return False
        self.loaded[model] = None
        return True

    def unload(self, model: str) -> None:
        """Evict an adapter immediately, failing the requests that use it."""
        serving = [
            item for item in [*self.running, *self.waiting] if item.model == model
        ]
        if serving:
            now = time.monotonic()
            violation = {
                "model": model,
                "request_ids": [item.request_id for item in serving],
                "ages_s": [round(now - item.accepted_at, 3) for item in serving],
                "runs": [
                    sum(run.request_id == item.request_id for run in self.runs)
                    for item in serving
                ],
                "at": now,
            }
            self.evictions_while_serving.append(violation)
        for request in serving:
            self._end(request, Outcome.EVICTED)
        self.loaded.pop(model, None)

    def report(self) -> dict[str, Any]:
        """Return the load report, up to ``report_lag_s`` old."""
        now = time.monotonic()
        if self._report and now - self._report[0] < self.settings.report_lag_s:
            return self._report[1]
        report = self._make_report()
        self._report = (now, report)
        return report

    def _make_report(self) -> dict[str, Any]:
        unfinished = [*self.running, *self.waiting]
        capacity = self.steps * self.settings.max_running
        return {
            "boot_id": self.boot_id,
            "fence": self.fence,
            "slots": self.settings.slots,
            "max_running": self.settings.max_running,
            "loaded": list(self.loaded),
            "running": [
                {"request_id": item.request_id, "model": item.model}
                for item in unfinished
            ],
            "waiting": len(self.waiting),
            "steps": self.steps,
            "step_ms": self.settings.step_ms,
            "batch_fill": self.filled / capacity if capacity else 0.0,
        }

    def _end(self, request: EngineRequest, outcome: Outcome) -> None:
        request.end(outcome, time.monotonic())
        if request in self.running:
            self.running.remove(request)
        if request in self.waiting:
            self.waiting.remove(request)
        self._ended.append(request)

    async def _run_steps(self) -> None:
        due = time.monotonic()
        while True:
            if not self.running and not self.waiting:
                self._work.clear()
                await self._work.wait()
            step_s = self.settings.step_ms / 1000
            due = max(due + step_s, time.monotonic())
            self._admit()
            await asyncio.sleep(due - time.monotonic())
            self._step()
            self._discard_expired()

    def _admit(self) -> None:
        self.waiting.sort(key=lambda item: (item.priority, item.number))
        now = time.monotonic()
        while self.waiting and len(self.running) < self.settings.max_running:
            request = self.waiting.pop(0)
            request.started_at = now
            if not self.cache.contains(request.prompt):
                request.prefill_steps_left = self.settings.prefill_steps
            self.cache.store(request.prompt, now)
            self.running.append(request)
            if request.prompt and request.prompt == self.settings.crash_prompt:
                loop = asyncio.get_running_loop()
                loop.call_later(CRASH_DELAY_S, self.crash)

    def _step(self) -> None:
        if not self.running:
            return
        self.steps += 1
        self.filled += len(self.running)
        for request in list(self.running):
            self._advance(request)

    def _advance(self, request: EngineRequest) -> None:
        if request.prefill_steps_left > 0:
            request.prefill_steps_left -= 1
            return
        position = len(request.tokens)
        if position < request.max_tokens:
            text = token_text(request.model, request.prompt, position)
            request.tokens.append(text)
        if len(request.tokens) >= request.max_tokens:
            self._end(request, Outcome.FINISHED)
            return
        request.wake()

    def _discard_expired(self) -> None:
        expired_before = time.monotonic() - self.settings.keep_s
        while self._ended and self._ended[0].finished_at < expired_before:
            request = self._ended.popleft()
            if self.retained_by_id.get(request.request_id) is request:
                del self.retained_by_id[request.request_id]

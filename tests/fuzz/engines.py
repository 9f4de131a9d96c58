"""Fake endpoints on the virtual clock, and the driver that calls them."""

import asyncio
from dataclasses import dataclass

from fescuekeel.errors import ErrorKind, Failure
from fescuekeel.helpers.driver import (
    CacheHints,
    OrderOutcome,
    Outcome,
    Report,
    RunningCall,
)
from fescuekeel.helpers.endpoint_http import LEASE_LOST
from tests.fuzz.oracle import END, make_token, make_whole_response

__all__ = ["Engine", "FakeDriver"]

STEP_S = 0.1
POLL_S = 0.1
SILENCE_S = 2.0


@dataclass(eq=False)
class EngineRun:
    """One run of a request on an endpoint.

    ``delivery_s`` is how long the request took to arrive.
    """

    request_id: str
    adapter: object
    tokens: int
    started_at: float
    delivery_s: float
    ended_at: float | None = None
    abort_reason: str = ""


class Engine:
    """Fake engine, or fake plain service if its pool has no slots."""

    def __init__(self, world, id, data_centre, pool, load_s=0.3):
        self.world = world
        self.id = id
        self.data_centre = data_centre
        self.pool = pool
        self.load_s = load_s
        self.incarnation = 1
        self.leaving_since = None
        self.load_failures_left = 0
        self.refusals_left = 0
        self.report_lag_s = 0.0
        self.silent_until = 0.0
        self.boot_count = 0
        self.runs = []
        self.restart()

    def restart(self):
        """Abort all runs and start without loaded adapters."""
        for run in self.runs:
            self._abort(run, "restarted")
        self.boot_count += 1
        self.fence = 0
        self.loaded = set()
        self.loading = {}
        self.runs = []
        self.runs_by_id = {}
        self.reports = []

    @property
    def running(self):
        """Return the unfinished runs, after ending those that are due."""
        now = self.world.now
        for run in self.runs:
            if run.ended_at is None and now >= run.started_at + run.tokens * STEP_S:
                run.ended_at = now
        return [run for run in self.runs if run.ended_at is None]

    def _abort(self, run, reason):
        if run.ended_at is None:
            run.ended_at, run.abort_reason = self.world.now, reason

    def _is_stale(self, fence):
        if not self.pool.fenced or not fence:
            return False
        if fence < self.fence:
            return True
        self.fence = fence
        return False

    def submit(self, call, written_at):
        """Accept a request, or return the refusal."""
        if self._is_stale(call.fence):
            return Outcome.refused("stale", stale_fence=self.fence)
        if call.adapter and call.adapter not in self.loaded:
            return Outcome.refused("not_loaded", loaded=False)
        if self.refusals_left or len(self.running) >= 2 * self.pool.max_running:
            self.refusals_left = max(0, self.refusals_left - 1)
            return Outcome.refused("full")
        self.world.oracle.record_run(self, call, written_at)
        now, tokens = self.world.now, max(1, call.max_tokens)
        run = EngineRun(call.request_id, call.adapter, tokens, now, now - written_at)
        self.runs.append(run)
        self.runs_by_id[call.request_id] = run
        return None

    def cancel(self, request_id):
        run = self.runs_by_id.get(request_id)
        if run is not None:
            self._abort(run, "cancelled")

    def begin_load(self, adapter, fence, reply):
        """Load an adapter, and reply after ``load_s``."""
        if self._is_stale(fence):
            reply(OrderOutcome(False, stale_fence=self.fence))
        elif adapter in self.loaded:
            reply(OrderOutcome(True))
        elif len(self.loaded | self.loading.keys()) >= self.pool.slots:
            reply(OrderOutcome(False, detail="no_slot"))
        else:
            self.loading.setdefault(adapter, []).append(reply)
            if len(self.loading[adapter]) == 1:
                boot = self.boot_count
                self.world.call_later(
                    self.load_s, lambda: self._end_load(adapter, boot)
                )

    def _end_load(self, adapter, boot):
        if boot != self.boot_count:
            return
        replies = self.loading.pop(adapter)
        ok = self.load_failures_left == 0
        self.load_failures_left -= 0 if ok else 1
        if ok:
            self.loaded.add(adapter)
        for reply in replies:
            reply(OrderOutcome(ok, self.load_s))

    def evict(self, adapter, fence, written_at, owner):
        """Evict at once, and abort the runs that use the adapter."""
        if self._is_stale(fence):
            return OrderOutcome(False, stale_fence=self.fence)
        affected = [run for run in self.running if run.adapter == adapter]
        if affected:
            self.world.oracle.record_eviction_in_use(self, affected, written_at, owner)
        for run in affected:
            self._abort(run, "evicted")
        self.loaded.discard(adapter)
        return OrderOutcome(True)

    def report(self):
        """Return a report that may be up to ``report_lag_s`` old."""
        now = self.world.now
        running = tuple(
            RunningCall(run.request_id, run.adapter) for run in self.running
        )
        fresh = Report(
            str(self.boot_count),
            self.fence,
            self.pool.max_running,
            frozenset(self.loaded),
            running,
            leaving=self.leaving_since is not None,
        )
        if self.reports and now - self.reports[-1][0] < self.report_lag_s:
            return self.reports[-1][1]
        self.reports = [(now, fresh)]
        return fresh


class FakeDriver:
    """Fake driver of one endpoint.

    The guard is checked right before an order is sent. An order that was sent
    arrives even if its process stops, possibly late.
    """

    def __init__(self, world, node, engine):
        self.world = world
        self.node = node
        self.engine = engine
        self.incarnation = engine.incarnation

    @property
    def _unreachable(self):
        # An endpoint that has returned has a new address.
        moved = self.incarnation != self.engine.incarnation
        return self.node.dead or moved or self.world.is_cut(self.node, self.engine)

    def _record_order(self):
        self.world.oracle.record_order(self.engine, self.node)
        return self.world.now

    async def _exchange(self, callback, timeout_s):
        """Send a message; return the reply, or ``None`` after the timeout."""
        future = self.node.loop.create_future()

        def reply(result):
            self.world.to_node(
                self.node, 0.001, lambda: set_result_once(future, result)
            )

        def arrive():
            moved = self.incarnation != self.engine.incarnation
            if not moved and not self.world.is_cut(self.node, self.engine):
                callback(reply)

        self.world.call_later(self.world.order_delay(self.node, self.engine), arrive)
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            return None

    async def dispatch(self, call, on_chunk):
        if self._unreachable:
            await asyncio.sleep(0.5)
            return Outcome.refused("cannot connect")
        if call.guard is not None and not call.guard():
            return Outcome.refused(LEASE_LOST)
        written_at = self._record_order()
        result = await self._exchange(
            lambda reply: reply((self.engine.submit(call, written_at),)), SILENCE_S
        )
        if result is None:
            return await self._follow(call, 0, on_chunk, reply_lost=True)
        if result[0] is not None:
            return result[0]
        return await self._follow(call, 0, on_chunk)

    async def resume(self, call, position, on_chunk):
        if not call.stream:
            return Outcome.unknown("nothing is kept")
        return await self._follow(call, position, on_chunk)

    async def _follow(self, call, position, on_chunk, reply_lost=False):
        """Read a run's response; a stream survives a lost connection."""
        until = self.world.now + call.remaining_s
        silent_s = 0.0
        while self.world.now < until:
            await asyncio.sleep(POLL_S)
            if self.world.now < self.engine.silent_until:
                continue
            if self._unreachable or (reply_lost and not call.stream):
                silent_s += POLL_S
                if not call.stream and silent_s > SILENCE_S:
                    break
                continue
            silent_s = 0.0
            run = self.engine.runs_by_id.get(call.request_id)
            if run is None:
                break
            running = run in self.engine.running
            if call.stream:
                position = self._read(call, run, position, on_chunk)
            if running:
                continue
            if run.abort_reason:
                break
            if call.stream:
                on_chunk(position, END, 0)
            else:
                on_chunk(0, make_whole_response(call.request_id, run.adapter), 1)
            return Outcome()
        if call.stream and position:
            return Outcome(Failure(ErrorKind.ANSWER_CUT), 502)
        return Outcome.unknown("cut")

    def _read(self, call, run, position, on_chunk):
        until = self.world.now if run.ended_at is None else run.ended_at
        produced = min(run.tokens, int((until - run.started_at) / STEP_S + 1e-6))
        if produced > position:
            tokens = range(position, produced)
            data = [make_token(call.request_id, run.adapter, at) for at in tokens]
            on_chunk(position, b"".join(data), len(tokens))
        return max(position, produced)

    async def cancel(self, request_id):
        if not self._unreachable:
            self.world.call_later(0.001, lambda: self.engine.cancel(request_id))

    async def load(self, adapter, fence, timeout_s, guard):
        return await self._order(
            guard,
            timeout_s,
            lambda reply, _: self.engine.begin_load(adapter, fence, reply),
        )

    async def evict(self, adapter, fence, timeout_s, guard):
        return await self._order(
            guard,
            timeout_s,
            lambda reply, written_at: reply(
                self.engine.evict(adapter, fence, written_at, self.node.id)
            ),
        )

    async def _order(self, guard, timeout_s, callback):
        if self._unreachable:
            await asyncio.sleep(0.5)
            return OrderOutcome(False, detail="cannot connect")
        if not guard():
            return OrderOutcome(False, detail=LEASE_LOST)
        written_at = self._record_order()
        outcome = await self._exchange(
            lambda reply: callback(reply, written_at), timeout_s
        )
        return outcome or OrderOutcome(False, unconfirmed=True)

    async def report(self, timeout_s):
        if self._unreachable:
            await asyncio.sleep(timeout_s)
            return None
        return await self._exchange(
            lambda reply: reply(self.engine.report()), timeout_s
        )

    async def read_cache_hints(self, since, timeout_s):
        return CacheHints((), since)

    def close(self):
        pass


def set_result_once(future, result):
    """Set a future's result unless it is done, as after a timeout."""
    if not future.done():
        future.set_result(result)

"""The owner of one endpoint: it drives the scheduler and gives the orders."""

import asyncio
import time
from dataclasses import dataclass
from typing import Any

from returns.pipeline import is_successful

from fescuekeel.components.owner import model, ownership as own
from fescuekeel.components.owner.const import (
    EVICT_TIMEOUT_S,
    HANDOVER_TIMEOUT_S,
    LOAD_PATIENCE,
    MIN_LOAD_TIMEOUT_S,
    PEERS_PATIENCE_S,
    REPORT_LAG_S,
    RETRY_AFTER_S,
    UNREACHABLE_S,
)
from fescuekeel.components.owner.estimates import Estimates
from fescuekeel.components.owner.foreign import ForeignWork
from fescuekeel.components.owner.run import Run, Waits, make_end
from fescuekeel.components.owner.scheduling import model as sched
from fescuekeel.components.owner.scheduling.decision import EndpointScheduler
from fescuekeel.components.tree.model import PoolKind
from fescuekeel.core import Actor, Instance
from fescuekeel.errors import ErrorKind, Failure, Ran
from fescuekeel.helpers.driver import Driver, OrderOutcome, Outcome, Report
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.peer_link import get_peer_link
from fescuekeel.messages import (
    AdapterRef,
    EndpointLeaving,
    HandoverOffer,
    OwnedEndpoint,
    RunningAnswer,
    RunningAsk,
    RunningWork,
    SubmitAnswer,
)

__all__ = ["EndpointOwner"]

MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class Started:
    """A run, the task that carries it, and when it began."""

    run: Run
    task: asyncio.Task[None]
    at: float


class EndpointOwner(Actor):
    """Own one endpoint, or finish what runs there after a handover."""

    def __init__(
        self,
        instance: Instance,
        placed: model.Placed,
        driver: Driver,
        turns: model.LoadTurns,
        estimates: Estimates,
    ) -> None:
        super().__init__(instance, f"owner.{placed.entry.id}")
        self.endpoint = placed.entry.id
        self.placed = placed
        self.driver = driver
        self.turns = turns
        self.estimates = estimates
        self.link = get_peer_link(instance)
        self.ownership = own.Ownership(instance.id)
        self.scheduler = EndpointScheduler()
        self.foreign = ForeignWork()
        self.draining = False
        self.boot_id = ""
        self.heard = instance.now()
        self.queued_by_id: dict[str, model.Item] = {}
        self.runs_by_id: dict[str, Started] = {}
        self.waiting_by_id: dict[str, model.SubmitCame] = {}
        self.ended_by_id: dict[str, float] = {}
        self._configured: sched.Configured | None = None
        self._leaving_told = False

    def launch(self) -> None:
        """Start the task."""
        self._task = self.instance.spawn(self._run(), self.name)

    def end(self) -> None:
        """End the task and close the connections."""
        if self._task is not None:
            self._task.cancel()
        self.driver.close()

    # What others ask.

    @property
    def is_idle(self) -> bool:
        """Tell whether nothing is left to do for this endpoint."""
        absent = self.ownership.state is own.OwnState.ABSENT
        return absent and not self.runs_by_id and not self.queued_by_id

    def list_running(self) -> tuple[RunningWork, ...]:
        """Return what may be running, for the next owner."""
        now = self.instance.now()
        return tuple(
            RunningWork(
                request_id,
                started.run.item.submit.adapter,
                max(0, int((started.run.item.deadline - now) * MS_PER_S)),
            )
            for request_id, started in self.runs_by_id.items()
        )

    def describe(self) -> OwnedEndpoint:
        """Return what operators see."""
        return OwnedEndpoint(
            endpoint=self.endpoint,
            state=self.ownership.state.value,
            fence=self.ownership.fence,
            queued=len(self.queued_by_id),
            running=len(self.runs_by_id),
            loaded=tuple(sorted(self.scheduler.loaded)),
        )

    async def handle(self, message: Any) -> None:
        """Handle one message."""
        match message:
            case model.SubmitCame():
                self._submit(message)
            case model.CancelCame(request_id, attempt):
                self._cancel(request_id, attempt)
            case model.RunEnded(item, outcome):
                self._end_run(item, outcome)
            case model.Placed():
                self._place(message)
            case model.ReportCame(report, asked):
                self._take_report(report, asked)
            case model.PeerAnswered(instance, answer):
                self._take_peer(instance, answer)
            case model.OfferCame(offer):
                self.foreign.tell(offer.work, self.instance.now())
                self._own(own.Offered(offer.fence))
            case model.TurnCame(adapter):
                self._schedule(sched.TurnGranted(adapter))
            case model.LoadDone(adapter, outcome):
                self._end_load(adapter, outcome)
            case model.EvictDone(adapter, outcome):
                self._end_evict(adapter, outcome)
            case model.EntryLost(entry):
                self._lose_entry(entry)
            case model.Drained(successor):
                self.draining = True
                self._own(own.Unnamed(successor))
            case model.Ticked():
                self._own(own.Elapsed())
                self.foreign.pass_time(self.instance.now())
                self._schedule(sched.Tick())

    # Requests.

    def _submit(self, came: model.SubmitCame) -> None:
        submit = came.submit
        kind = self._find_refusal()
        if kind is not None:
            self._answer(came, SubmitAnswer(False, kind.value, "", self._retry_ms()))
            return
        if submit.resume:
            self._answer(came, SubmitAnswer(True))
            self._resume(came)
            return
        if submit.request_id in self.runs_by_id:
            # The entry gave the earlier attempt up and its cancellation is
            # under way. Both at once would be mixed up by the endpoint.
            self.waiting_by_id[submit.request_id] = came
            self._spawn_cancel(submit.request_id)
            return
        self._drop_queued(submit.request_id)
        self._enqueue(came)

    def _find_refusal(self) -> ErrorKind | None:
        if self.draining:
            return ErrorKind.DRAINING
        if self.ownership.state is own.OwnState.ABSENT:
            return ErrorKind.NOT_OWNER
        if self.instance.now() - self.heard > UNREACHABLE_S:
            return ErrorKind.ENDPOINT_REFUSED
        return None

    def _enqueue(self, came: model.SubmitCame) -> None:
        now = self.instance.now()
        item = self._make_item(came, now)
        self.queued_by_id[item.request_id] = item
        work = self.estimates.make_work(item)
        effects = self.scheduler.handle(sched.Arrived(work), now)
        refusals = [
            effect
            for effect in effects
            if isinstance(effect, sched.Refuse) and effect.request_id == item.request_id
        ]
        if not refusals:
            self._answer(came, SubmitAnswer(True))
        for refusal in refusals:
            del self.queued_by_id[item.request_id]
            retry_ms = round(refusal.retry_after_s * MS_PER_S)
            answer = SubmitAnswer(False, refusal.kind.value, "", retry_ms)
            self._answer(came, answer)
        self._apply([effect for effect in effects if effect not in refusals])

    def _make_item(self, came: model.SubmitCame, now: float) -> model.Item:
        deadline = now + came.submit.remaining_ms / MS_PER_S
        return model.Item(came.submit, came.question.sender, now, deadline)

    def _answer(self, came: model.SubmitCame, answer: SubmitAnswer) -> None:
        if not answer.accepted:
            self.instance.metrics.count(f"owner.refused.{answer.kind}")
        self.link.answer(came.question, answer)

    def _resume(self, came: model.SubmitCame) -> None:
        """Read a running stream from where its caller stands.

        The stream may be one that this owner reads already for an earlier
        attempt, whose pieces were lost on their way to the entry.
        """
        request_id = came.submit.request_id
        earlier = self.runs_by_id.pop(request_id, None)
        if earlier is not None:
            earlier.task.cancel()
        item = self._make_item(came, self.instance.now())
        if earlier is None:
            self.foreign.tell([self._describe(item)], self.instance.now())
        self._start_run(item, Waits())

    def _cancel(self, request_id: str, attempt: int) -> None:
        waiting = self.waiting_by_id.get(request_id)
        if waiting is not None and waiting.submit.attempt == attempt:
            del self.waiting_by_id[request_id]
        queued = self.queued_by_id.get(request_id)
        if queued is not None and queued.submit.attempt == attempt:
            self._drop_queued(request_id)
        started = self.runs_by_id.get(request_id)
        if started is not None and started.run.item.submit.attempt == attempt:
            self._spawn_cancel(request_id)

    def _drop_queued(self, request_id: str) -> None:
        if self.queued_by_id.pop(request_id, None) is not None:
            self._schedule(sched.Cancelled(request_id))

    def _spawn_cancel(self, request_id: str) -> None:
        self.instance.spawn(self.driver.cancel(request_id), f"{self.name}.cancel")

    def _refuse(self, item: model.Item, kind: ErrorKind, retry_s: float) -> None:
        self.instance.metrics.count(f"owner.refused.{kind}")
        failure = Failure(kind, ran=Ran.NO, retry_after_s=retry_s)
        self.link.send(item.entry, make_end(item, Outcome(failure, 503), Waits()))

    def _refuse_queued(self, kind: ErrorKind) -> None:
        """Give back what was never handed over."""
        for request_id, item in list(self.queued_by_id.items()):
            self._drop_queued(request_id)
            self._refuse(item, kind, RETRY_AFTER_S)
        for came in self.waiting_by_id.values():
            self._answer(came, SubmitAnswer(False, kind.value, "", self._retry_ms()))
        self.waiting_by_id.clear()

    def _retry_ms(self) -> int:
        return round(RETRY_AFTER_S * MS_PER_S)

    def _lose_entry(self, entry: str) -> None:
        """Drop what a lost entry has queued, as nobody waits for it.

        The refusal still goes out: should only the connection be lost, the
        entry hears that it did not run.
        """
        for request_id, item in list(self.queued_by_id.items()):
            if item.entry != entry:
                continue
            self._drop_queued(request_id)
            self._refuse(item, ErrorKind.NOT_OWNER, RETRY_AFTER_S)

    # Hand-over.

    def _start_run(self, item: model.Item, waits: Waits) -> None:
        run = Run(
            instance=self.instance,
            link=self.link,
            driver=self.driver,
            item=item,
            waits=waits,
            guard=self._may_order,
            get_fence=lambda: self.ownership.fence,
        )
        task = self.instance.spawn(self._carry(run), f"{self.name}.run")
        self.runs_by_id[item.request_id] = Started(run, task, self.instance.now())

    async def _carry(self, run: Run) -> None:
        outcome: Outcome | None = Outcome.unknown("internal error")
        try:
            outcome = await run.run()
        finally:
            self.post(model.RunEnded(run.item, outcome))

    def _may_order(self) -> bool:
        return self.ownership.may_order(self.instance.now())

    def _end_run(self, item: model.Item, outcome: Outcome | None) -> None:
        started = self.runs_by_id.get(item.request_id)
        if started is None or started.run.item is not item:
            return
        del self.runs_by_id[item.request_id]
        now = self.instance.now()
        if outcome is not None:
            self._learn(item, outcome, started.at, now)
        if outcome is not None and outcome.ran is Ran.UNKNOWN:
            # It may go on, so that its adapter stays until reports show that
            # it has ended. Nobody waits for it any more.
            self.foreign.tell([self._describe(item)], now)
            self._spawn_cancel(item.request_id)
        else:
            self.foreign.forget(item.request_id)
            self.ended_by_id[item.request_id] = now
        self._schedule(sched.Finished(item.request_id))
        waiting = self.waiting_by_id.pop(item.request_id, None)
        if waiting is not None:
            self._submit(waiting)

    def _learn(
        self, item: model.Item, outcome: Outcome, started_at: float, now: float
    ) -> None:
        if outcome.failure is None:
            self.estimates.note_answer(item, now - started_at)
            return
        self.instance.metrics.count(f"owner.ended.{outcome.failure.kind}")
        log_event(
            "work_failed",
            request_id=item.request_id,
            endpoint=self.endpoint,
            kind=outcome.failure.kind.value,
            ran=outcome.ran.value,
            detail=outcome.failure.detail,
        )
        if outcome.stale_fence:
            self._own(own.StaleFence(outcome.stale_fence))
        if not outcome.loaded:
            self.instance.metrics.count("owner.not_loaded")

    def _describe(self, item: model.Item) -> RunningWork:
        left_ms = int((item.deadline - self.instance.now()) * MS_PER_S)
        return RunningWork(item.request_id, item.submit.adapter, max(0, left_ms))

    # The scheduler and its effects.

    def _schedule(self, event: sched.Event) -> None:
        self._apply(self.scheduler.handle(event, self.instance.now()))

    def _apply(self, effects: list[sched.Effect]) -> None:
        for effect in effects:
            match effect:
                case sched.Dispatch(request_id, stall_s, queue_s):
                    item = self.queued_by_id.pop(request_id)
                    self._start_run(item, Waits(stall_s, queue_s))
                case sched.Refuse(request_id, kind, retry_s):
                    refused = self.queued_by_id.pop(request_id, None)
                    if refused is not None:
                        self._refuse(refused, kind, retry_s)
                case sched.AskTurn():
                    self.instance.spawn(self._ask_turn(effect), f"{self.name}.turn")
                case sched.ReturnTurn(adapter):
                    self.turns.withdraw(self.endpoint, adapter)
                case sched.Load(adapter):
                    self.instance.spawn(self._load(adapter), f"{self.name}.load")
                case sched.Evict(adapter):
                    self._evict(adapter)

    async def _ask_turn(self, ask: sched.AskTurn) -> None:
        granted = await self.turns.request(
            self.endpoint, ask.adapter, ask.value, ask.waiting
        )
        if granted:
            self.post(model.TurnCame(ask.adapter))

    async def _load(self, adapter: AdapterRef) -> None:
        timeout_s = max(MIN_LOAD_TIMEOUT_S, LOAD_PATIENCE * self.placed.pool.load_s)
        outcome = await self.driver.load(
            adapter, self.ownership.fence, timeout_s, self._may_order
        )
        self.post(model.LoadDone(adapter, outcome))

    def _end_load(self, adapter: AdapterRef, outcome: OrderOutcome) -> None:
        took_s = outcome.took_s if outcome.ok else 0.0
        self.turns.done(self.endpoint, adapter, took_s)
        self.instance.metrics.count(
            "owner.loads" if outcome.ok else "owner.load_failed"
        )
        if outcome.ok:
            self.instance.metrics.observe("load", outcome.took_s)
        else:
            log_event(
                "load_failed",
                endpoint=self.endpoint,
                adapter=adapter,
                detail=outcome.detail,
            )
        if outcome.stale_fence:
            self._own(own.StaleFence(outcome.stale_fence))
        self._schedule(sched.LoadEnded(adapter, outcome.ok, outcome.took_s))

    def _evict(self, adapter: AdapterRef) -> None:
        """Order an eviction, unless the adapter could be serving.

        Guards against cutting answers: before ``may_evict`` an earlier owner
        may have handed over work that no report shows yet, and a resumed
        stream is not known to the scheduler.
        """
        serving = any(
            started.run.item.submit.adapter == adapter
            for started in self.runs_by_id.values()
        )
        serving |= adapter in self.foreign.adapters_by_id.values()
        if serving or not self._may_evict():
            self.instance.metrics.count("owner.evict_held")
            self.post(model.EvictDone(adapter, OrderOutcome(False, detail="held")))
            return
        self.instance.spawn(self._order_evict(adapter), f"{self.name}.evict")

    def _may_evict(self) -> bool:
        return self.ownership.may_evict(self.instance.now())

    async def _order_evict(self, adapter: AdapterRef) -> None:
        outcome = await self.driver.evict(
            adapter, self.ownership.fence, EVICT_TIMEOUT_S, self._may_evict
        )
        self.post(model.EvictDone(adapter, outcome))

    def _end_evict(self, adapter: AdapterRef, outcome: OrderOutcome) -> None:
        self.instance.metrics.count(
            "owner.evictions" if outcome.ok else "owner.evict_failed"
        )
        if outcome.stale_fence:
            self._own(own.StaleFence(outcome.stale_fence))
        if outcome.unsure:
            # It may be obeyed late, when the adapter serves again: it counts
            # as gone, and a new number keeps the order from being obeyed.
            self._own(own.Unsure())
        gone = outcome.ok or outcome.unsure
        self._schedule(sched.EvictEnded(adapter, gone))

    # Ownership.

    def _place(self, placed: model.Placed) -> None:
        self.placed = placed
        if self.draining:
            return
        if placed.owner == self.instance.id:
            fenced = placed.pool.fenced or placed.pool.kind is PoolKind.PLAIN
            self._own(own.Named(placed.peers, fenced))
        else:
            self._own(own.Unnamed(placed.owner))
        self._configure()

    def _own(self, event: own.OwnershipEvent) -> None:
        now, wall_ms = self.instance.now(), time.time_ns() // 1_000_000
        for effect in self.ownership.handle(event, now, wall_ms):
            match effect:
                case own.AskPeers(peers):
                    self.heard = now
                    for peer in peers:
                        self.instance.spawn(self._ask_peer(peer), f"{self.name}.ask")
                case own.Gained(fence):
                    self.instance.metrics.count("owner.gained")
                    log_event("owner_gained", endpoint=self.endpoint, fence=fence)
                    self._configure()
                case own.Lost():
                    self.instance.metrics.count("owner.lost")
                    log_event("owner_lost", endpoint=self.endpoint)
                    self._configure()
                case own.Offer(successor, fence):
                    self.instance.spawn(
                        self._offer(successor, fence), f"{self.name}.offer"
                    )
        if self.ownership.state is own.OwnState.ABSENT:
            leaving = self.placed.owner is None
            kind = ErrorKind.NO_ENDPOINT if leaving else ErrorKind.NOT_OWNER
            self._refuse_queued(ErrorKind.DRAINING if self.draining else kind)

    def _configure(self) -> None:
        pool = self.placed.pool
        configured = sched.Configured(
            slots=pool.slots,
            max_running=pool.max_running,
            step_s=pool.step_s,
            load_s=pool.load_s,
            ready=self.ownership.state is own.OwnState.OWNED,
        )
        if configured != self._configured:
            self._configured = configured
            self._schedule(configured)

    async def _ask_peer(self, peer: str) -> None:
        result = await self.link.ask(peer, RunningAsk(self.endpoint), PEERS_PATIENCE_S)
        answer = result.unwrap() if is_successful(result) else None
        known = answer if isinstance(answer, RunningAnswer) else None
        self.post(model.PeerAnswered(peer, known))

    def _take_peer(self, instance: str, answer: RunningAnswer | None) -> None:
        if answer is not None:
            own_ids = self.runs_by_id.keys()
            work = [item for item in answer.work if item.request_id not in own_ids]
            self.foreign.tell(work, self.instance.now())
        self._own(own.PeerTold(instance, answer.fence if answer else 0))

    async def _offer(self, successor: str, fence: int) -> None:
        now = self.instance.now()
        work = [*self.list_running(), *self.foreign.list_work(now)]
        offer = HandoverOffer(self.endpoint, fence, tuple(work))
        result = await self.link.ask(successor, offer, HANDOVER_TIMEOUT_S)
        heard = "handover_heard" if is_successful(result) else "handover_unheard"
        self.instance.metrics.count(f"owner.{heard}")

    def _take_report(self, report: Report | None, asked: float) -> None:
        now = self.instance.now()
        if report is None:
            self.instance.metrics.count("owner.report_missing")
            if now - self.heard > UNREACHABLE_S:
                self._refuse_queued(ErrorKind.ENDPOINT_REFUSED)
            return
        self.heard = now
        restarted = self.boot_id not in ("", report.boot_id)
        self.boot_id = report.boot_id
        if restarted:
            self.instance.metrics.count("owner.endpoint_restarted")
            log_event("endpoint_restarted", endpoint=self.endpoint)
            self.foreign.clear()
        self._take_running(report, now)
        self._schedule(
            sched.Reported(report.loaded, self.foreign.adapters_by_id, restarted)
        )
        self._own(own.ReportSeen(report.fence, asked))
        if report.leaving and not self._leaving_told:
            self._leaving_told = True
            leaving = EndpointLeaving(self.endpoint, self.placed.entry.incarnation)
            self.instance.bus.publish(leaving)

    def _take_running(self, report: Report, now: float) -> None:
        self.ended_by_id = {
            request_id: at
            for request_id, at in self.ended_by_id.items()
            if now - at < REPORT_LAG_S
        }
        # A stream that was taken up from an earlier owner stays foreign, as
        # the scheduler does not count it among its own.
        dispatched = set(self.scheduler.running_ids)
        self.foreign.take_report(
            report.running, dispatched | self.ended_by_id.keys(), now
        )

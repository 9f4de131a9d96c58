"""The owner of one endpoint: it drives the scheduler and gives the orders."""

import time
from typing import Any

from returns.pipeline import is_successful

from fescuekeel.components.owner import model, ownership as own
from fescuekeel.components.owner.arrivals import Arrivals
from fescuekeel.components.owner.const import (
    HANDOVER_TIMEOUT_S,
    PEERS_PATIENCE_S,
    REPORT_TIMEOUT_S,
    UNREACHABLE_S,
)
from fescuekeel.components.owner.estimates import Estimates
from fescuekeel.components.owner.foreign import ForeignWork
from fescuekeel.components.owner.orders import Orders
from fescuekeel.components.owner.requests import Requests
from fescuekeel.components.owner.run import Waits
from fescuekeel.components.owner.scheduling import model as sched
from fescuekeel.components.owner.scheduling.decision import EndpointScheduler
from fescuekeel.components.tree.model import PoolKind
from fescuekeel.core import Actor, Instance
from fescuekeel.errors import ErrorKind
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
)

__all__ = ["EndpointOwner"]


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
        self.estimates = estimates
        self.link = get_peer_link(instance)
        self.ownership = own.Ownership(instance.id)
        self.scheduler = EndpointScheduler()
        self.foreign = ForeignWork()
        self.requests = Requests(self)
        self.arrivals = Arrivals(self)
        self.orders = Orders(
            instance,
            self.endpoint,
            driver,
            turns,
            self.ownership,
            self.post,
            self._is_serving,
            self.requests.is_recent,
        )
        self.draining = False
        self._boot_id = ""
        self._heard = instance.now()
        self._configured: sched.Configured | None = None
        self._leaving_told = False
        self._is_leaving = False

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
        if self.ownership.state is not own.OwnState.ABSENT:
            return False
        if self.ownership.lingers(self.instance.now()):
            return False
        empty = self.requests.is_empty and self.arrivals.is_empty
        return empty and self.mailbox.empty()

    def list_known(self) -> tuple[RunningWork, ...]:
        """Return what may be running, under this owner or earlier ones."""
        foreign = self.foreign.list_work(self.instance.now())
        return (*foreign, *self.requests.list_running())

    def describe(self) -> OwnedEndpoint:
        """Return what operators see."""
        return OwnedEndpoint(
            endpoint=self.endpoint,
            state=self.ownership.state.value,
            fence=self.ownership.fence,
            queued=len(self.requests.queued_by_id),
            running=len(self.requests.runs_by_id),
            loaded=tuple(sorted(self.scheduler.loaded)),
        )

    async def poll(self) -> None:
        """Ask the endpoint for its report."""
        asked = self.instance.now()
        report = await self.driver.report(REPORT_TIMEOUT_S)
        self.post(model.ReportCame(report, asked))

    async def handle(self, message: Any) -> None:
        """Handle one message."""
        match message:
            case model.SubmitCame():
                self.arrivals.submit(message)
            case model.CancelCame(request_id, attempt):
                self.arrivals.cancel(request_id, attempt)
                self.requests.cancel(request_id, attempt)
            case model.CopyTold():
                self.arrivals.take_answer(message)
            case model.RunEnded(item, outcome):
                self._end_run(item, outcome)
            case model.Placed():
                self._place(message)
            case model.ReportCame(report, asked):
                self._take_report(report, asked)
            case model.PeerAnswered():
                self._take_peer(message)
            case model.OfferCame(by, offer):
                self.foreign.tell(offer.work, self.instance.now())
                self._own(own.Offered(by, offer.fence))
            case model.TurnCame(adapter):
                self.schedule(sched.TurnGranted(adapter))
            case model.LoadDone(adapter, outcome):
                self.orders.note_load(message)
                self._note_order(outcome)
                self.schedule(sched.LoadEnded(adapter, outcome.ok, outcome.took_s))
            case model.ConfirmDone(outcome):
                self._note_order(outcome)
            case model.EvictDone(adapter, outcome):
                self.orders.note_evict(message)
                self._end_evict(adapter, outcome)
            case model.EntryLost(entry):
                # The refusals still go out: should only the connection be
                # lost, the entry hears that its work did not run.
                self.requests.refuse_queued(ErrorKind.NOT_OWNER, entry)
                self.arrivals.lose_entry(entry)
            case model.EntryReconnected(entry):
                self.requests.read_again(entry)
            case model.Drained(successor):
                self.draining = True
                self._own(own.Unnamed(successor))
            case model.Ticked():
                self._own(own.Elapsed())
                self.foreign.pass_time(self.instance.now())
                self.schedule(sched.Tick())

    # Requests.

    def find_refusal(self) -> ErrorKind | None:
        """Return why nothing is taken in at this moment, if so."""
        if self.draining:
            return ErrorKind.DRAINING
        if self.ownership.state is own.OwnState.ABSENT:
            return ErrorKind.NOT_OWNER
        if self.instance.now() - self._heard > UNREACHABLE_S:
            return ErrorKind.ENDPOINT_REFUSED
        return None

    def _end_run(self, item: model.Item, outcome: Outcome | None) -> None:
        if outcome is not None:
            self._check_fence(outcome.stale_fence)
            if not outcome.loaded:
                # It may have restarted: look at once, so that no more work is
                # sent in vain.
                self.instance.metrics.count("owner.not_loaded")
                self._spawn_poll()
        self.requests.end(item, outcome)

    # The scheduler and its effects.

    def schedule(self, event: sched.Event) -> None:
        """Let the scheduler take an event and apply what it decides."""
        self._apply(self.scheduler.handle(event, self.instance.now()))

    def arrive(self, work: sched.Work) -> sched.Refuse | None:
        """Let the scheduler take a request in, or return its refusal."""
        effects = self.scheduler.handle(sched.Arrived(work), self.instance.now())
        refusal = next(
            (
                effect
                for effect in effects
                if isinstance(effect, sched.Refuse)
                and effect.request_id == work.request_id
            ),
            None,
        )
        self._apply([effect for effect in effects if effect is not refusal])
        return refusal

    def _apply(self, effects: list[sched.Effect]) -> None:
        for effect in effects:
            match effect:
                case sched.Dispatch(request_id, stall_s, queue_s):
                    self.requests.dispatch(request_id, Waits(stall_s, queue_s))
                case sched.Refuse(request_id, kind, retry_s):
                    self.requests.refuse(request_id, kind, retry_s)
                case sched.AskTurn():
                    self.orders.ask_turn(effect)
                case sched.ReturnTurn(adapter):
                    self.orders.return_turn(adapter)
                case sched.Load(adapter):
                    self.orders.load(adapter, self.placed.pool.load_s)
                case sched.Evict(adapter):
                    self.orders.evict(adapter)

    def may_order(self) -> bool:
        """Tell whether work may be handed over at this very moment.

        Guards against new work for an endpoint that is leaving and whose
        reports, which say so, are stuck on the way: it shows as requests that
        are handed over until the silence is noticed. Reports count from the
        moment they were asked for, so that none can tell of later times. One
        that has just woken up may hold such a report before its view shows it.
        """
        if self._is_leaving:
            return False
        now = self.instance.now()
        return self.ownership.may_order(now) and now - self._heard <= UNREACHABLE_S

    def get_fence(self) -> int:
        """Return the fencing number for orders."""
        return self.ownership.fence

    def _is_serving(self, adapter: AdapterRef) -> bool:
        if self.requests.is_serving(adapter):
            return True
        return adapter in self.foreign.adapters_by_id.values()

    def _check_fence(self, stale_fence: int) -> None:
        if stale_fence:
            self.instance.metrics.count("owner.stale_fence")
            self._own(own.StaleFence(stale_fence))

    def _note_order(self, outcome: OrderOutcome) -> None:
        self._check_fence(outcome.stale_fence)
        if outcome.ok:
            self._own(own.OrderObeyed(outcome.fence))

    def _end_evict(self, adapter: AdapterRef, outcome: OrderOutcome) -> None:
        self._note_order(outcome)
        if outcome.unsure:
            # It may be obeyed late, when the adapter serves again: it counts
            # as gone, and a new number keeps the order from being obeyed.
            self._own(own.Unsure())
        self.schedule(sched.EvictEnded(adapter, outcome.ok or outcome.unsure))

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
            self._apply_ownership(effect)
        if self.ownership.state is own.OwnState.ABSENT:
            draining = self.draining
            kind = ErrorKind.DRAINING if draining else ErrorKind.NOT_OWNER
            self.requests.refuse_queued(kind)

    def _apply_ownership(self, effect: own.OwnershipEffect) -> None:
        match effect:
            case own.AskPeers(peers):
                self._heard = self.instance.now()
                self._spawn_poll()
                for peer in peers:
                    self.instance.spawn(self._ask_peer(peer), f"{self.name}.ask")
            case own.Gained(fence):
                self.instance.metrics.count("owner.gained")
                log_event("owner_gained", endpoint=self.endpoint, fence=fence)
                self._configure()
                self._raise_mark()
            case own.Lost():
                self.instance.metrics.count("owner.lost")
                log_event("owner_lost", endpoint=self.endpoint)
                self._configure()
            case own.Offer(successor, fence):
                self.instance.spawn(self._offer(successor, fence), f"{self.name}.offer")

    def _raise_mark(self) -> None:
        """Let a fenced endpoint see the new number at once.

        An order to load what is loaded changes nothing there, and from then
        on it refuses the orders of earlier owners.
        """
        loaded = self.scheduler.loaded
        if self.placed.pool.fenced and loaded:
            self.orders.confirm(min(loaded))

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
            self.schedule(configured)

    async def _ask_peer(self, peer: str) -> None:
        asked = self.instance.now()
        ask = RunningAsk(self.endpoint)
        result = await self.link.ask(peer, ask, PEERS_PATIENCE_S)
        answer = result.unwrap() if is_successful(result) else None
        known = answer if isinstance(answer, RunningAnswer) else None
        self.post(model.PeerAnswered(peer, asked, known))

    def _take_peer(self, told: model.PeerAnswered) -> None:
        answer = told.answer
        if answer is not None:
            own_ids = self.requests.runs_by_id.keys()
            work = [item for item in answer.work if item.request_id not in own_ids]
            self.foreign.tell(work, self.instance.now())
        fence = answer.fence if answer is not None else 0
        given = answer is not None and answer.given
        self._own(own.PeerTold(told.instance, told.asked, fence, given))

    async def _offer(self, successor: str, fence: int) -> None:
        offer = HandoverOffer(self.endpoint, fence, self.list_known())
        result = await self.link.ask(successor, offer, HANDOVER_TIMEOUT_S)
        heard = "handover_heard" if is_successful(result) else "handover_unheard"
        self.instance.metrics.count(f"owner.{heard}")

    # Reports.

    def _spawn_poll(self) -> None:
        self.instance.spawn(self.poll(), f"{self.name}.poll")

    def _take_report(self, report: Report | None, asked: float) -> None:
        now = self.instance.now()
        if report is None:
            self.instance.metrics.count("owner.report_missing")
            if now - self._heard > UNREACHABLE_S:
                self.requests.refuse_queued(ErrorKind.ENDPOINT_REFUSED)
            return
        self._heard = max(self._heard, asked)
        self._is_leaving = report.leaving
        restarted = self._boot_id not in ("", report.boot_id)
        self._boot_id = report.boot_id
        if restarted:
            self.instance.metrics.count("owner.endpoint_restarted")
            log_event("endpoint_restarted", endpoint=self.endpoint)
            self.foreign.clear()
        self._take_running(report, now)
        self.schedule(
            sched.Reported(report.loaded, self.foreign.adapters_by_id, restarted)
        )
        self._own(own.ReportSeen(report.fence, asked))
        if report.leaving and not self._leaving_told:
            self._leaving_told = True
            leaving = EndpointLeaving(self.endpoint, self.placed.entry.incarnation)
            self.instance.bus.publish(leaving)

    def _take_running(self, report: Report, now: float) -> None:
        # A stream that was taken up from an earlier owner stays foreign, as
        # the scheduler does not count it among its own.
        dispatched = set(self.scheduler.running_ids)
        own_ids = dispatched | {
            call.request_id
            for call in report.running
            if self.requests.is_recent(call.request_id)
        }
        self.foreign.take_report(report.running, own_ids, now)
        self.requests.forget_recent(now)

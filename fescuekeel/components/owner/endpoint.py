"""The owner of one endpoint, which runs its scheduler and gives it orders."""

import time
from typing import Any

from returns.pipeline import is_successful

from fescuekeel.components.owner import model, ownership as own
from fescuekeel.components.owner.arrivals import Arrivals
from fescuekeel.components.owner.const import (
    HANDOVER_TIMEOUT_S,
    LOST_CONTACT_S,
    PEERS_TIMEOUT_S,
    REPORT_TIMEOUT_S,
    UNRESPONSIVE_S,
)
from fescuekeel.components.owner.crashes import CrashReporter
from fescuekeel.components.owner.estimates import Estimates
from fescuekeel.components.owner.foreign import ForeignWork
from fescuekeel.components.owner.orders import Orders
from fescuekeel.components.owner.requests import Requests
from fescuekeel.components.owner.run import WaitTimes
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
    """Own one endpoint, or finish its running requests after a handover."""

    def __init__(
        self,
        instance: Instance,
        assignment: model.EndpointAssignment,
        driver: Driver,
        turns: model.LoadTurns,
        estimates: Estimates,
    ) -> None:
        super().__init__(instance, f"owner.{assignment.entry.id}")
        self.endpoint = assignment.entry.id
        self.assignment = assignment
        self.driver = driver
        self.estimates = estimates
        self.link = get_peer_link(instance)
        self.ownership = own.Ownership(instance.id)
        self.scheduler = EndpointScheduler()
        self.foreign = ForeignWork()
        self.crashes = CrashReporter(self)
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
            self.requests.is_surely_ended,
        )
        self.draining = False
        self.boot_id = ""
        self.is_leaving = False
        self.reported_at = instance.now()
        self._configured: sched.Configured | None = None
        self._leaving_announced = False

    def launch(self) -> None:
        """Start the task."""
        self._task = self.instance.keep_running(self._run, self.name, is_local=True)

    def end(self) -> None:
        """End the task and close the connections."""
        if self._task is not None:
            self._task.cancel()
        self.driver.close()

    # Called by the component.

    @property
    def address(self) -> str:
        """Return the endpoint's ``IP:PORT``."""
        return self.assignment.entry.address

    @property
    def has_lost_contact(self) -> bool:
        """Return whether the endpoint has sent no report for a while."""
        return self.instance.now() - self.reported_at > LOST_CONTACT_S

    @property
    def is_idle(self) -> bool:
        """Return whether this owner has nothing left to do."""
        if self.ownership.state is not own.OwnershipState.ABSENT:
            return False
        if self.ownership.may_confirm_handover(self.instance.now()):
            return False
        empty = self.requests.is_empty and self.arrivals.is_empty
        return empty and self.mailbox.empty()

    def list_running_work(self) -> tuple[RunningWork, ...]:
        """Return requests that may be running, of this or previous owners."""
        foreign = self.foreign.list_work(self.instance.now())
        return (*foreign, *self.requests.list_running())

    def describe(self) -> OwnedEndpoint:
        """Return the snapshot shown to operators."""
        return OwnedEndpoint(
            endpoint=self.endpoint,
            state=self.ownership.state.value,
            fence=self.ownership.fence,
            queued=len(self.requests.queued_by_id),
            running=len(self.requests.runs_by_id),
            loaded=tuple(sorted(self.scheduler.loaded)),
        )

    async def poll(self) -> None:
        """Poll the endpoint for its report."""
        asked_at = self.instance.now()
        report = await self.driver.report(REPORT_TIMEOUT_S)
        self.post(model.PollDone(report, asked_at))

    async def handle(self, message: Any) -> None:
        """Handle one message."""
        match message:
            case model.SubmitReceived():
                self.arrivals.submit(message)
            case model.CancelReceived(request_id, attempt):
                self.arrivals.cancel(request_id, attempt)
                self.requests.cancel(request_id, attempt)
            case model.CopyAnswered():
                self.arrivals.handle_copy_answer(message)
            case model.RunEnded(item, outcome):
                self._end_run(item, outcome)
            case model.EndpointAssignment():
                self._update_assignment(message)
            case model.PollDone(report, asked_at):
                self._handle_report(report, asked_at)
            case model.PeerAnswered():
                self._handle_peer_answer(message)
            case model.OfferReceived(by, offer):
                self.foreign.add(offer.work, self.instance.now())
                self._handle_ownership(own.HandoverOffered(by, offer.fence))
            case model.LoadTurnGranted(adapter):
                self.schedule(sched.TurnGranted(adapter))
            case model.LoadDone(adapter, outcome):
                self.orders.record_load(message)
                self._handle_order_outcome(outcome)
                self.schedule(sched.LoadEnded(adapter, outcome.ok, outcome.took_s))
            case model.FencePresented(outcome):
                self._handle_order_outcome(outcome)
            case model.EvictDone(adapter, outcome):
                self.orders.record_evict(message)
                self._end_evict(adapter, outcome)
            case model.EntryLost(entry):
                # Refusals are sent all the same: if only the connection was
                # lost, the entry learns that its work did not run.
                self.requests.refuse_queued(ErrorKind.NOT_OWNER, entry)
                self.arrivals.handle_entry_lost(entry)
            case model.EntryReconnected(entry):
                self.requests.resend_streams(entry)
            case model.DrainStarted(successor):
                self.draining = True
                self._handle_ownership(own.NotChosen(successor))
            case model.TimePassed():
                self._handle_ownership(own.Elapsed())
                self.foreign.expire(self.instance.now())
                self.schedule(sched.Tick())

    # Requests.

    def find_refusal(self) -> ErrorKind | None:
        """Return why new requests are refused now, or ``None``."""
        if self.draining:
            return ErrorKind.DRAINING
        if self.ownership.state is own.OwnershipState.ABSENT:
            return ErrorKind.NOT_OWNER
        if self.instance.now() - self.reported_at > UNRESPONSIVE_S:
            return ErrorKind.ENDPOINT_REFUSED
        return None

    def _end_run(self, item: model.AcceptedRequest, outcome: Outcome | None) -> None:
        if outcome is not None:
            self._check_fence(outcome.stale_fence)
            if not outcome.loaded:
                # The endpoint may have restarted: poll it at once, so that no
                # more requests are sent for adapters that it has lost.
                self.instance.metrics.count("owner.not_loaded")
                self._spawn_poll()
        self.requests.end_run(item, outcome)

    # Scheduling.

    def schedule(self, event: sched.Event) -> None:
        """Pass an event to the scheduler and apply the effects."""
        self._apply(self.scheduler.handle(event, self.instance.now()))

    def admit(self, work: sched.Work) -> sched.Refuse | None:
        """Pass a request to the scheduler; return its refusal, if any."""
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
                    self.requests.dispatch(request_id, WaitTimes(stall_s, queue_s))
                case sched.Refuse(request_id, kind, retry_s):
                    self.requests.refuse(request_id, kind, retry_s)
                case sched.AskTurn():
                    self.orders.request_turn(effect)
                case sched.ReturnTurn(adapter):
                    self.orders.return_turn(adapter)
                case sched.Load(adapter):
                    self.orders.load(adapter, self.assignment.pool.load_s)
                case sched.Evict(adapter):
                    self.orders.evict(adapter)

    def may_order(self) -> bool:
        """Return whether requests may be dispatched now.

        Prevents new work for an endpoint that is leaving while its reports,
        which say so, are delayed. The age of a report counts from when it was
        asked for, as it may show no later state. After a pause, a report may
        show that the endpoint is leaving before the view does.
        """
        if self.is_leaving:
            return False
        now = self.instance.now()
        return (
            self.ownership.may_order(now) and now - self.reported_at <= UNRESPONSIVE_S
        )

    @property
    def fenced(self) -> bool:
        """Return whether the endpoint refuses orders of previous owners."""
        return self.assignment.pool.fenced

    def get_fence(self) -> int:
        """Return the fencing token for orders."""
        return self.ownership.fence

    def _is_serving(self, adapter: AdapterRef) -> bool:
        if self.requests.is_serving(adapter):
            return True
        return adapter in self.foreign.adapters_by_id.values()

    def _check_fence(self, stale_fence: int) -> None:
        if stale_fence:
            self.instance.metrics.count("owner.stale_fence")
            self._handle_ownership(own.StaleFence(stale_fence))

    def _handle_order_outcome(self, outcome: OrderOutcome) -> None:
        self._check_fence(outcome.stale_fence)
        if outcome.ok:
            self._handle_ownership(own.OrderExecuted(outcome.fence))

    def _end_evict(self, adapter: AdapterRef, outcome: OrderOutcome) -> None:
        self._handle_order_outcome(outcome)
        if outcome.unconfirmed:
            # The order may still be executed, when the adapter serves again.
            # The adapter counts as evicted, and a new token fences the order.
            self._handle_ownership(own.OrderUnconfirmed())
        self.schedule(sched.EvictEnded(adapter, outcome.ok or outcome.unconfirmed))

    # Ownership.

    def _update_assignment(self, assignment: model.EndpointAssignment) -> None:
        self.assignment = assignment
        if self.draining:
            return
        if assignment.owner == self.instance.id:
            fenced = assignment.pool.fenced or assignment.pool.kind is PoolKind.PLAIN
            self._handle_ownership(own.ChosenAsOwner(assignment.peers, fenced))
        else:
            self._handle_ownership(own.NotChosen(assignment.owner))
        self._configure()

    def _handle_ownership(self, event: own.OwnershipEvent) -> None:
        now, wall_ms = self.instance.now(), time.time_ns() // 1_000_000
        for effect in self.ownership.handle(event, now, wall_ms):
            self._apply_ownership(effect)
        if self.ownership.state is own.OwnershipState.ABSENT:
            draining = self.draining
            kind = ErrorKind.DRAINING if draining else ErrorKind.NOT_OWNER
            self.requests.refuse_queued(kind)

    def _apply_ownership(self, effect: own.OwnershipEffect) -> None:
        match effect:
            case own.AskPeers(peers):
                self.reported_at = self.instance.now()
                self._spawn_poll()
                for peer in peers:
                    self.instance.spawn(self._ask_peer(peer), f"{self.name}.ask")
            case own.Gained(fence):
                self.instance.metrics.count("owner.gained")
                log_event("owner_gained", endpoint=self.endpoint, fence=fence)
                self._configure()
                self._present_fence()
            case own.Lost():
                self.requests.doubt_ended()
                self.instance.metrics.count("owner.lost")
                log_event("owner_lost", endpoint=self.endpoint)
                self._configure()
            case own.OfferHandover(successor, fence):
                self.instance.spawn(self._offer(successor, fence), f"{self.name}.offer")

    def _present_fence(self) -> None:
        """Present the new token to a fenced endpoint at once.

        Loading a loaded adapter has no effect, but from then on the endpoint
        refuses orders of previous owners.
        """
        loaded = self.scheduler.loaded
        if self.assignment.pool.fenced and loaded:
            self.orders.present_fence(min(loaded))

    def _configure(self) -> None:
        pool = self.assignment.pool
        configured = sched.Configured(
            slots=pool.slots,
            max_running=pool.max_running,
            step_s=pool.step_s,
            load_s=pool.load_s,
            ready=self.ownership.state is own.OwnershipState.OWNED,
        )
        if configured != self._configured:
            self._configured = configured
            self.schedule(configured)

    async def _ask_peer(self, peer: str) -> None:
        asked_at = self.instance.now()
        ask = RunningAsk(self.endpoint)
        result = await self.link.ask(peer, ask, PEERS_TIMEOUT_S)
        answer = result.unwrap() if is_successful(result) else None
        known = answer if isinstance(answer, RunningAnswer) else None
        self.post(model.PeerAnswered(peer, asked_at, known))

    def _handle_peer_answer(self, message: model.PeerAnswered) -> None:
        answer = message.answer
        if answer is not None:
            own_ids = self.requests.runs_by_id.keys()
            work = [item for item in answer.work if item.request_id not in own_ids]
            self.foreign.add(work, self.instance.now())
        fence = answer.fence if answer is not None else 0
        handed_over = answer is not None and answer.given
        self._handle_ownership(
            own.PeerReplied(message.instance, message.asked_at, fence, handed_over)
        )

    async def _offer(self, successor: str, fence: int) -> None:
        offer = HandoverOffer(self.endpoint, fence, self.list_running_work())
        result = await self.link.ask(successor, offer, HANDOVER_TIMEOUT_S)
        metric = "handover_heard" if is_successful(result) else "handover_unheard"
        self.instance.metrics.count(f"owner.{metric}")

    # Reports.

    def _spawn_poll(self) -> None:
        self.instance.spawn(self.poll(), f"{self.name}.poll")

    def _handle_report(self, report: Report | None, asked_at: float) -> None:
        now = self.instance.now()
        if report is None:
            self.instance.metrics.count("owner.report_missing")
            if now - self.reported_at > UNRESPONSIVE_S:
                self.requests.refuse_queued(ErrorKind.ENDPOINT_REFUSED)
            return
        self.reported_at = max(self.reported_at, asked_at)
        self.is_leaving = report.leaving
        restarted = self.boot_id not in ("", report.boot_id)
        self.boot_id = report.boot_id
        if restarted:
            self.instance.metrics.count("owner.endpoint_restarted")
            log_event("endpoint_restarted", endpoint=self.endpoint)
            self.foreign.clear()
            self.requests.doubt_ended()
        self._update_running(report, now)
        self.schedule(
            sched.Reported(report.loaded, self.foreign.adapters_by_id, restarted)
        )
        self._handle_ownership(own.ReportReceived(report.fence, asked_at))
        if report.leaving and not self._leaving_announced:
            self._leaving_announced = True
            leaving = EndpointLeaving(self.endpoint, self.assignment.entry.incarnation)
            self.instance.bus.publish(leaving)

    def _update_running(self, report: Report, now: float) -> None:
        # A stream resumed from a previous owner stays foreign, since the
        # scheduler did not dispatch it.
        own_ids = set(self.scheduler.running_ids)
        ended_ids = set()
        for call in report.running:
            if self.requests.is_surely_ended(call.request_id):
                own_ids.add(call.request_id)
            elif self.requests.has_ended(call.request_id):
                ended_ids.add(call.request_id)
        self.foreign.update_from_report(report.running, own_ids, now, ended_ids)
        self.requests.forget_ended(now)

"""The requests that an endpoint's owner has queued or dispatched."""

import asyncio
from collections import Counter
from dataclasses import dataclass, replace
from typing import Protocol

from fescuekeel.components.owner import model
from fescuekeel.components.owner.const import REPORT_LAG_S, RETRY_AFTER_S
from fescuekeel.components.owner.crashes import CrashReporter
from fescuekeel.components.owner.estimates import Estimates
from fescuekeel.components.owner.foreign import ForeignWork
from fescuekeel.components.owner.run import Run, WaitTimes, make_work_end
from fescuekeel.components.owner.scheduling import model as sched
from fescuekeel.core import Instance
from fescuekeel.errors import ErrorKind, Failure, Ran
from fescuekeel.helpers.driver import Driver, Outcome
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.peer_link import PeerLink
from fescuekeel.messages import AdapterRef, RunningWork, SubmitAnswer

__all__ = ["Host", "Requests"]

MS_PER_S = 1000


class Host(Protocol):
    """The parts of the endpoint's owner that ``Requests`` uses."""

    instance: Instance
    name: str
    endpoint: str
    driver: Driver
    link: PeerLink
    estimates: Estimates
    foreign: ForeignWork
    crashes: CrashReporter
    boot_id: str

    def post(self, message: object) -> None:
        """Post a message to the owner's mailbox."""

    def schedule(self, event: sched.Event) -> None:
        """Pass an event to the scheduler and apply the effects."""

    def admit(self, work: sched.Work) -> sched.Refuse | None:
        """Pass a request to the scheduler; return its refusal, if any."""

    @property
    def fenced(self) -> bool:
        """Return whether the endpoint refuses orders of previous owners."""

    def may_order(self) -> bool:
        """Return whether requests may be dispatched now."""

    def get_fence(self) -> int:
        """Return the fencing token for orders."""


@dataclass(frozen=True, slots=True)
class ActiveRun:
    """A run, its task, its start in monotonic seconds and the fence then."""

    run: Run
    task: asyncio.Task[None]
    started_at: float
    fence: int


@dataclass(frozen=True, slots=True)
class EndedRun:
    """A run that has ended here; ``at`` is in monotonic seconds.

    A lagging report may still list its request. If it is the ``only_run``, the
    report cannot mean another attempt, at this or another owner.
    """

    at: float
    only_run: bool


class Requests:
    """Accept, dispatch, cancel and refuse the requests of one endpoint."""

    def __init__(self, host: Host) -> None:
        self.host = host
        self.instance = host.instance
        self.queued_by_id: dict[str, model.AcceptedRequest] = {}
        self.runs_by_id: dict[str, ActiveRun] = {}
        self._deferred_by_id: dict[str, model.SubmitReceived] = {}
        self._ended_by_id: dict[str, EndedRun] = {}
        self._cancelling: Counter[str] = Counter()

    @property
    def is_empty(self) -> bool:
        """Return whether no request is queued or running."""
        return not self.queued_by_id and not self.runs_by_id

    def is_serving(self, adapter: AdapterRef) -> bool:
        """Return whether a request runs on an adapter."""
        return any(
            active.run.item.submit.adapter == adapter
            for active in self.runs_by_id.values()
        )

    def list_running(self) -> tuple[RunningWork, ...]:
        """Return the requests that may be running, for the next owner."""
        return tuple(
            self._describe_running(active.run.item)
            for active in self.runs_by_id.values()
        )

    def is_surely_ended(self, request_id: str) -> bool:
        """Return whether a report that lists a request is out of date."""
        ended = self._ended_by_id.get(request_id)
        return ended is not None and ended.only_run

    def has_ended(self, request_id: str) -> bool:
        """Return whether a report that lists a request may be out of date."""
        return request_id in self._ended_by_id

    def forget_ended(self, now: float) -> None:
        """Forget ended requests that reports no longer list."""
        self._ended_by_id = {
            request_id: ended
            for request_id, ended in self._ended_by_id.items()
            if now - ended.at < REPORT_LAG_S
        }

    def doubt_ended(self) -> None:
        """Take into account that other runs of ended requests may follow.

        Called when another owner may give orders, or the endpoint restarts.
        """
        self._ended_by_id = {
            request_id: replace(ended, only_run=False)
            for request_id, ended in self._ended_by_id.items()
        }

    def accept(self, received: model.SubmitReceived) -> None:
        """Queue a request, or resume a running stream."""
        submit = received.submit
        if submit.resume:
            self.answer(received, SubmitAnswer(True))
            self._resume(received)
            return
        if submit.request_id in self.runs_by_id:
            # The entry gave up the previous attempt. Cancel it first, as the
            # endpoint cannot tell two attempts of a request apart.
            self._deferred_by_id[submit.request_id] = received
            self._spawn_cancel(submit.request_id)
            return
        # A pending cancellation names only the request, so that it could stop
        # this attempt and report "cancelled" to a caller that still waits.
        if submit.request_id in self._cancelling:
            self._deferred_by_id[submit.request_id] = received
            return
        self._drop_queued(submit.request_id)
        item = self._make_item(received)
        self.queued_by_id[item.request_id] = item
        refusal = self.host.admit(self.host.estimates.make_work(item))
        if refusal is None:
            self.answer(received, SubmitAnswer(True))
            return
        self.queued_by_id.pop(item.request_id, None)
        self.refuse_submit(received, refusal.kind, refusal.retry_after_s)

    def refuse_submit(
        self,
        received: model.SubmitReceived,
        kind: ErrorKind,
        retry_s: float = RETRY_AFTER_S,
    ) -> None:
        """Refuse a request that was never queued."""
        self.instance.metrics.count(f"owner.refused.{kind}")
        retry_ms = round(retry_s * MS_PER_S)
        self.answer(received, SubmitAnswer(False, kind.value, "", retry_ms))

    def redirect_submit(self, received: model.SubmitReceived, endpoint: str) -> None:
        """Redirect a request that was never queued to another endpoint."""
        moved = ErrorKind.MOVED
        self.instance.metrics.count(f"owner.refused.{moved}")
        self.answer(received, SubmitAnswer(False, moved.value, endpoint=endpoint))

    def answer(self, received: model.SubmitReceived, answer: SubmitAnswer) -> None:
        """Answer the entry's submit message."""
        self.host.link.answer(received.question, answer)

    def cancel(self, request_id: str, attempt: int) -> None:
        """Cancel an attempt that is deferred, queued or running."""
        deferred = self._deferred_by_id.get(request_id)
        if deferred is not None and deferred.submit.attempt == attempt:
            del self._deferred_by_id[request_id]
        queued = self.queued_by_id.get(request_id)
        if queued is not None and queued.submit.attempt == attempt:
            self._drop_queued(request_id)
        active = self.runs_by_id.get(request_id)
        if active is not None and active.run.item.submit.attempt == attempt:
            self._spawn_cancel(request_id)

    def refuse(self, request_id: str, kind: ErrorKind, retry_s: float) -> None:
        """Refuse a queued request: its entry learns that it did not run."""
        item = self.queued_by_id.pop(request_id, None)
        if item is None:
            return
        self.instance.metrics.count(f"owner.refused.{kind}")
        failure = Failure(kind, ran=Ran.NO, retry_after_s=retry_s)
        end = make_work_end(
            item, Outcome(failure, failure.response.status), WaitTimes()
        )
        self.host.link.send(item.entry, end)

    def refuse_queued(self, kind: ErrorKind, entry: str = "") -> None:
        """Refuse the queued requests of one entry, or of all entries."""
        for request_id, item in list(self.queued_by_id.items()):
            if entry and item.entry != entry:
                continue
            self.refuse(request_id, kind, RETRY_AFTER_S)
            self.host.schedule(sched.Cancelled(request_id))
        if entry:
            return
        for received in self._deferred_by_id.values():
            self.refuse_submit(received, kind)
        self._deferred_by_id.clear()

    def resend_streams(self, entry: str) -> None:
        """Resend an entry's running streams from their beginning.

        Chunks may have been lost with the connection, and the entry drops all
        chunks after a gap. It skips those that it has already received. The
        request does not run again.
        """
        for request_id, active in list(self.runs_by_id.items()):
            item = active.run.item
            if item.entry != entry or not item.submit.stream:
                continue
            if not active.run.is_dispatched or not item.submit.adapter:
                continue
            active.task.cancel()
            submit = replace(item.submit, resume=True, resume_position=0)
            del self.runs_by_id[request_id]
            self.instance.metrics.count("owner.read_again")
            self._start(replace(item, submit=submit), active.run.waits)

    def dispatch(self, request_id: str, waits: WaitTimes) -> None:
        """Dispatch a queued request."""
        self._start(self.queued_by_id.pop(request_id), waits)

    def end_run(self, item: model.AcceptedRequest, outcome: Outcome | None) -> None:
        """Handle the end of a run."""
        active = self.runs_by_id.get(item.request_id)
        if active is None or active.run.item is not item:
            return
        del self.runs_by_id[item.request_id]
        now = self.instance.now()
        if outcome is not None:
            self._record_outcome(item, outcome, now - active.started_at)
        if outcome is not None and outcome.ran is Ran.UNKNOWN:
            # The request may still run, so its adapter is kept until reports
            # show that it has ended. No caller waits for it.
            self.host.foreign.add([self._describe_running(item)], now)
            self._spawn_cancel(item.request_id)
        else:
            self._record_end(active, outcome, now)
        self.host.schedule(sched.Finished(item.request_id))
        self._retry_deferred(item.request_id)

    def _record_end(
        self, active: ActiveRun, outcome: Outcome | None, now: float
    ) -> None:
        submit = active.run.item.submit
        if submit.resume:
            self.host.foreign.forget(submit.request_id)
        if outcome is None or outcome.ran is Ran.NO:
            # What a report lists under this id is not this attempt.
            return
        # An earlier attempt may outlive this one. A later one at another owner
        # makes a fenced endpoint refuse the orders of this owner.
        only_run = (
            submit.attempt == 1
            and not submit.resume
            and self.host.fenced
            and active.fence == self.host.get_fence()
        )
        self._ended_by_id[submit.request_id] = EndedRun(now, only_run)

    def _make_item(self, received: model.SubmitReceived) -> model.AcceptedRequest:
        now = self.instance.now()
        deadline = now + received.submit.remaining_ms / MS_PER_S
        return model.AcceptedRequest(
            received.submit, received.question.sender, now, deadline
        )

    def _resume(self, received: model.SubmitReceived) -> None:
        """Resume a running stream at the position that the entry asks for.

        This owner may already read the stream for an earlier attempt whose
        chunks were lost; that run is replaced.
        """
        item = self._make_item(received)
        earlier = self.runs_by_id.pop(item.request_id, None)
        if earlier is not None:
            earlier.task.cancel()
        else:
            self.host.foreign.add([self._describe_running(item)], item.arrived_at)
        self._start(item, WaitTimes())

    def _drop_queued(self, request_id: str) -> None:
        if self.queued_by_id.pop(request_id, None) is not None:
            self.host.schedule(sched.Cancelled(request_id))

    def _spawn_cancel(self, request_id: str) -> None:
        self._cancelling[request_id] += 1
        self.instance.spawn(self._cancel(request_id), f"{self.host.name}.cancel")

    async def _cancel(self, request_id: str) -> None:
        try:
            await self.host.driver.cancel(request_id)
        finally:
            self._cancelling[request_id] -= 1
            if not self._cancelling[request_id]:
                del self._cancelling[request_id]
            self._retry_deferred(request_id)

    def _retry_deferred(self, request_id: str) -> None:
        """Resubmit a deferred attempt if the previous one has ended."""
        if request_id in self.runs_by_id:
            return
        deferred = self._deferred_by_id.pop(request_id, None)
        if deferred is not None:
            self.host.post(deferred)

    def _start(self, item: model.AcceptedRequest, waits: WaitTimes) -> None:
        run = Run(
            instance=self.instance,
            link=self.host.link,
            driver=self.host.driver,
            item=item,
            waits=waits,
            guard=lambda: self._may_send(item),
            get_fence=self.host.get_fence,
        )
        task = self.instance.spawn(self._execute(run), f"{self.host.name}.run")
        self.runs_by_id[item.request_id] = ActiveRun(
            run, task, self.instance.now(), self.host.get_fence()
        )

    def _may_send(self, item: model.AcceptedRequest) -> bool:
        return self.host.may_order() and self.host.crashes.may_send(item.submit)

    async def _execute(self, run: Run) -> None:
        began_at, boot_id = self.instance.now(), self.host.boot_id
        try:
            outcome = await run.run()
        except Exception as error:
            # After an internal error the caller must still get an answer.
            outcome = Outcome(Failure(ErrorKind.INTERNAL, repr(error)), 500)
            self.instance.metrics.count("owner.run_error")
            self.host.link.send(
                run.item.entry, make_work_end(run.item, outcome, run.waits)
            )
        self.host.post(model.RunEnded(run.item, outcome))
        if outcome is not None:
            await self.host.crashes.record_end(run.item, outcome, began_at, boot_id)

    def _record_outcome(
        self, item: model.AcceptedRequest, outcome: Outcome, took_s: float
    ) -> None:
        failure = outcome.failure
        if failure is None:
            self.host.estimates.record_service_time(item, took_s)
            return
        self.instance.metrics.count(f"owner.ended.{failure.kind}")
        log_event(
            "work_failed",
            request_id=item.request_id,
            endpoint=self.host.endpoint,
            kind=failure.kind.value,
            ran=outcome.ran.value,
            detail=failure.detail,
            outcome="failed",
        )

    def _describe_running(self, item: model.AcceptedRequest) -> RunningWork:
        left_ms = int((item.deadline - self.instance.now()) * MS_PER_S)
        return RunningWork(item.request_id, item.submit.adapter, max(0, left_ms))

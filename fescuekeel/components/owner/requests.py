"""The requests that one endpoint's owner has queued and handed over."""

import asyncio
from collections import Counter
from dataclasses import dataclass, replace
from typing import Protocol

from fescuekeel.components.owner import model
from fescuekeel.components.owner.const import REPORT_LAG_S, RETRY_AFTER_S
from fescuekeel.components.owner.estimates import Estimates
from fescuekeel.components.owner.foreign import ForeignWork
from fescuekeel.components.owner.run import Run, Waits, make_end
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
    """What the requests need of the owner that holds them."""

    instance: Instance
    name: str
    endpoint: str
    driver: Driver
    link: PeerLink
    estimates: Estimates
    foreign: ForeignWork

    def post(self, message: object) -> None:
        """Put a message into the owner's mailbox."""

    def schedule(self, event: sched.Event) -> None:
        """Let the scheduler take an event and apply what it decides."""

    def arrive(self, work: sched.Work) -> sched.Refuse | None:
        """Let the scheduler take a request in, or return its refusal."""

    def may_order(self) -> bool:
        """Tell whether orders may be given at this very moment."""

    def get_fence(self) -> int:
        """Return the fencing number for orders."""


@dataclass(frozen=True, slots=True)
class Started:
    """A run, the task that carries it, and when it began."""

    run: Run
    task: asyncio.Task[None]
    at: float


class Requests:
    """Accept, hand over, cancel and refuse the requests of one endpoint."""

    def __init__(self, host: Host) -> None:
        self.host = host
        self.instance = host.instance
        self.queued_by_id: dict[str, model.Item] = {}
        self.runs_by_id: dict[str, Started] = {}
        self._waiting_by_id: dict[str, model.SubmitCame] = {}
        self._ended_by_id: dict[str, float] = {}
        self._cancelling: Counter[str] = Counter()

    @property
    def is_empty(self) -> bool:
        """Tell whether nothing is queued and nothing runs."""
        return not self.queued_by_id and not self.runs_by_id

    def is_serving(self, adapter: AdapterRef) -> bool:
        """Tell whether a request runs on an adapter."""
        return any(
            started.run.item.submit.adapter == adapter
            for started in self.runs_by_id.values()
        )

    def list_running(self) -> tuple[RunningWork, ...]:
        """Return what may be running, for the next owner."""
        return tuple(
            self._describe(started.run.item) for started in self.runs_by_id.values()
        )

    def is_recent(self, request_id: str) -> bool:
        """Tell whether it ended so short ago that a report may show it."""
        return request_id in self._ended_by_id

    def forget_recent(self, now: float) -> None:
        """Forget what reports can't show any more."""
        self._ended_by_id = {
            request_id: at
            for request_id, at in self._ended_by_id.items()
            if now - at < REPORT_LAG_S
        }

    def accept(self, came: model.SubmitCame) -> None:
        """Queue a request, or read on a stream that runs."""
        submit = came.submit
        if submit.resume:
            self.answer(came, SubmitAnswer(True))
            self._resume(came)
            return
        if submit.request_id in self.runs_by_id:
            # The entry gave the earlier attempt up and its cancellation is
            # under way. Both at once would be mixed up by the endpoint.
            self._waiting_by_id[submit.request_id] = came
            self._spawn_cancel(submit.request_id)
            return
        # Guards against a cancellation that is still on its way to the
        # endpoint, which knows requests by their id only: it would stop this
        # attempt, and the caller would hear "cancelled" without having left.
        if submit.request_id in self._cancelling:
            self._waiting_by_id[submit.request_id] = came
            return
        self._drop_queued(submit.request_id)
        item = self._make_item(came)
        self.queued_by_id[item.request_id] = item
        refusal = self.host.arrive(self.host.estimates.make_work(item))
        if refusal is None:
            self.answer(came, SubmitAnswer(True))
            return
        self.queued_by_id.pop(item.request_id, None)
        self.refuse_submit(came, refusal.kind, refusal.retry_after_s)

    def refuse_submit(
        self, came: model.SubmitCame, kind: ErrorKind, retry_s: float = RETRY_AFTER_S
    ) -> None:
        """Refuse a request that was never queued."""
        self.instance.metrics.count(f"owner.refused.{kind}")
        retry_ms = round(retry_s * MS_PER_S)
        self.answer(came, SubmitAnswer(False, kind.value, "", retry_ms))

    def refuse_moved(self, came: model.SubmitCame, endpoint: str) -> None:
        """Send a request that was never queued on to another endpoint."""
        moved = ErrorKind.MOVED
        self.instance.metrics.count(f"owner.refused.{moved}")
        self.answer(came, SubmitAnswer(False, moved.value, endpoint=endpoint))

    def answer(self, came: model.SubmitCame, answer: SubmitAnswer) -> None:
        """Answer an entry's question."""
        self.host.link.answer(came.question, answer)

    def cancel(self, request_id: str, attempt: int) -> None:
        """Stop an attempt wherever it is."""
        waiting = self._waiting_by_id.get(request_id)
        if waiting is not None and waiting.submit.attempt == attempt:
            del self._waiting_by_id[request_id]
        queued = self.queued_by_id.get(request_id)
        if queued is not None and queued.submit.attempt == attempt:
            self._drop_queued(request_id)
        started = self.runs_by_id.get(request_id)
        if started is not None and started.run.item.submit.attempt == attempt:
            self._spawn_cancel(request_id)

    def refuse(self, request_id: str, kind: ErrorKind, retry_s: float) -> None:
        """Tell the entry that a queued request will not run."""
        item = self.queued_by_id.pop(request_id, None)
        if item is None:
            return
        self.instance.metrics.count(f"owner.refused.{kind}")
        failure = Failure(kind, ran=Ran.NO, retry_after_s=retry_s)
        end = make_end(item, Outcome(failure, failure.response.status), Waits())
        self.host.link.send(item.entry, end)

    def refuse_queued(self, kind: ErrorKind, entry: str = "") -> None:
        """Give back what was never handed over, of one entry or of all."""
        for request_id, item in list(self.queued_by_id.items()):
            if entry and item.entry != entry:
                continue
            self.refuse(request_id, kind, RETRY_AFTER_S)
            self.host.schedule(sched.Cancelled(request_id))
        if entry:
            return
        for came in self._waiting_by_id.values():
            self.refuse_submit(came, kind)
        self._waiting_by_id.clear()

    def read_again(self, entry: str) -> None:
        """Send an entry's running streams once more from their beginning.

        Guards against pieces lost with the connection to an entry that lives:
        it would drop all later ones, as they leave a hole. It drops what it
        knows and joins where it stands. The request does not run again.
        """
        for request_id, started in list(self.runs_by_id.items()):
            item = started.run.item
            if item.entry != entry or not item.submit.stream:
                continue
            if not started.run.handed_over or not item.submit.adapter:
                continue
            started.task.cancel()
            submit = replace(item.submit, resume=True, resume_position=0)
            del self.runs_by_id[request_id]
            self.instance.metrics.count("owner.read_again")
            self._start(replace(item, submit=submit), started.run.waits)

    def dispatch(self, request_id: str, waits: Waits) -> None:
        """Hand a queued request over."""
        self._start(self.queued_by_id.pop(request_id), waits)

    def end(self, item: model.Item, outcome: Outcome | None) -> None:
        """Take note that a run has ended."""
        started = self.runs_by_id.get(item.request_id)
        if started is None or started.run.item is not item:
            return
        del self.runs_by_id[item.request_id]
        now = self.instance.now()
        if outcome is not None:
            self._learn(item, outcome, now - started.at)
        if outcome is not None and outcome.ran is Ran.UNKNOWN:
            # It may go on, so that its adapter stays until reports show that
            # it has ended. Nobody waits for it any more.
            self.host.foreign.tell([self._describe(item)], now)
            self._spawn_cancel(item.request_id)
        else:
            self.host.foreign.forget(item.request_id)
            self._ended_by_id[item.request_id] = now
        self.host.schedule(sched.Finished(item.request_id))
        self._release_waiting(item.request_id)

    def _make_item(self, came: model.SubmitCame) -> model.Item:
        now = self.instance.now()
        deadline = now + came.submit.remaining_ms / MS_PER_S
        return model.Item(came.submit, came.question.sender, now, deadline)

    def _resume(self, came: model.SubmitCame) -> None:
        """Read a running stream from where its caller stands.

        The stream may be one that this owner reads already for an earlier
        attempt, whose pieces were lost on their way to the entry.
        """
        item = self._make_item(came)
        earlier = self.runs_by_id.pop(item.request_id, None)
        if earlier is not None:
            earlier.task.cancel()
        else:
            self.host.foreign.tell([self._describe(item)], item.arrived)
        self._start(item, Waits())

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
            self._release_waiting(request_id)

    def _release_waiting(self, request_id: str) -> None:
        """Look at the next attempt again, as the earlier one may be over."""
        if request_id in self.runs_by_id:
            return
        waiting = self._waiting_by_id.pop(request_id, None)
        if waiting is not None:
            self.host.post(waiting)

    def _start(self, item: model.Item, waits: Waits) -> None:
        run = Run(
            instance=self.instance,
            link=self.host.link,
            driver=self.host.driver,
            item=item,
            waits=waits,
            guard=self.host.may_order,
            get_fence=self.host.get_fence,
        )
        task = self.instance.spawn(self._carry(run), f"{self.host.name}.run")
        self.runs_by_id[item.request_id] = Started(run, task, self.instance.now())

    async def _carry(self, run: Run) -> None:
        try:
            outcome = await run.run()
        except Exception as error:
            # A fault of ours must not leave the caller without any answer.
            outcome = Outcome(Failure(ErrorKind.INTERNAL, repr(error)), 500)
            self.instance.metrics.count("owner.run_error")
            self.host.link.send(run.item.entry, make_end(run.item, outcome, run.waits))
        self.host.post(model.RunEnded(run.item, outcome))

    def _learn(self, item: model.Item, outcome: Outcome, took_s: float) -> None:
        failure = outcome.failure
        if failure is None:
            self.host.estimates.note_answer(item, took_s)
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

    def _describe(self, item: model.Item) -> RunningWork:
        left_ms = int((item.deadline - self.instance.now()) * MS_PER_S)
        return RunningWork(item.request_id, item.submit.adapter, max(0, left_ms))

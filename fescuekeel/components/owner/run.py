"""Running one request: dispatch it and relay its answer to its entry."""

from collections.abc import Callable
from dataclasses import dataclass

from returns.pipeline import is_successful

from fescuekeel.components.owner.const import RUNNING_GRACE_S, START_TIMEOUT_S
from fescuekeel.components.owner.model import AcceptedRequest
from fescuekeel.components.owner.relay import ChunkRelay
from fescuekeel.core import Instance
from fescuekeel.errors import ErrorKind, Failure, Ran
from fescuekeel.helpers.driver import Call, Driver, Guard, Outcome
from fescuekeel.helpers.endpoint_http import LEASE_LOST
from fescuekeel.helpers.peer_link import PeerLink
from fescuekeel.messages import StartAnswer, StartAsk, WorkEnd, WorkStarted

__all__ = ["Run", "WaitTimes", "make_work_end"]

MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class WaitTimes:
    """How long a request waited for its load, and in total, in seconds."""

    stall_s: float = 0.0
    queue_s: float = 0.0

    @property
    def stall_ms(self) -> int:
        """Return the wait for the load in milliseconds."""
        return round(self.stall_s * MS_PER_S)

    @property
    def queue_ms(self) -> int:
        """Return the total wait in milliseconds."""
        return round(self.queue_s * MS_PER_S)


@dataclass(slots=True)
class Run:
    """Dispatch one request to the endpoint and relay its answer."""

    instance: Instance
    link: PeerLink
    driver: Driver
    item: AcceptedRequest
    waits: WaitTimes
    guard: Guard
    get_fence: Callable[[], int]
    is_dispatched: bool = False
    _was_denied: bool = False

    async def run(self) -> Outcome | None:
        """Return the outcome, or ``None`` if the entry denied the start."""
        if self.item.submit.resume:
            return await self._relay(resume=True)
        refusal = await self._announce_start()
        if refusal is not None:
            self._send_end(refusal)
            return refusal
        if self._was_denied:
            return None
        return await self._relay(resume=False)

    async def _announce_start(self) -> Outcome | None:
        """Notify the entry of the start, or ask its permission.

        Prevents a non-repeatable request from running twice: the entry may
        have retried elsewhere, and it grants the start to one attempt only.
        Without an answer the request is not dispatched, so that "not run" is
        correct even if the permission was granted but lost.
        """
        submit, waits = self.item.submit, self.waits
        if submit.repeatable:
            started = WorkStarted(
                submit.request_id, submit.attempt, waits.stall_ms, waits.queue_ms
            )
            self.link.send(self.item.entry, started)
            return None
        ask = StartAsk(
            submit.request_id, submit.attempt, waits.stall_ms, waits.queue_ms
        )
        result = await self.link.ask(self.item.entry, ask, START_TIMEOUT_S)
        if not is_successful(result):
            self.instance.metrics.count("owner.start_unanswered")
            return Outcome(Failure(ErrorKind.PEER_UNREACHABLE, ran=Ran.NO), 503)
        answer = result.unwrap()
        if isinstance(answer, StartAnswer) and answer.granted:
            return None
        self.instance.metrics.count("owner.start_denied")
        self._was_denied = True
        return None

    async def _relay(self, resume: bool) -> Outcome:
        item = self.item
        self.is_dispatched = True
        # An entry may continue a resumed stream at any token, so its chunks
        # are not merged.
        relay = ChunkRelay(
            self.link,
            item.entry,
            item.request_id,
            item.submit.attempt,
            coalesce=not resume,
        )
        call = self._make_call()
        if resume:
            position = item.submit.resume_position
            outcome = await self.driver.resume(call, position, relay.add)
        else:
            outcome = await self.driver.dispatch(call, relay.add)
        relay.flush()
        if outcome.failure is not None and outcome.failure.detail == LEASE_LOST:
            outcome = Outcome(Failure(ErrorKind.NOT_OWNER, LEASE_LOST), 503)
        self._send_end(outcome)
        return outcome

    def _make_call(self) -> Call:
        submit = self.item.submit
        left_s = self.item.deadline - self.instance.now()
        return Call(
            request_id=submit.request_id,
            adapter=submit.adapter,
            urgency=submit.urgency,
            remaining_s=max(0.0, left_s) + RUNNING_GRACE_S,
            stream=submit.stream,
            path=submit.path,
            body=submit.body,
            max_tokens=submit.max_tokens,
            fence=self.get_fence(),
            method=submit.method,
            content_type=submit.content_type,
            idempotency_key=submit.idempotency_key,
            guard=self.guard,
        )

    def _send_end(self, outcome: Outcome) -> None:
        self.link.send(self.item.entry, make_work_end(self.item, outcome, self.waits))


def make_work_end(item: AcceptedRequest, outcome: Outcome, waits: WaitTimes) -> WorkEnd:
    """Return the message that reports an attempt's outcome to its entry.

    >>> from fescuekeel.messages import AdapterRef, Submit
    >>> submit = Submit(
    ...     "r1", 2, "e1", "s1", "v1", AdapterRef(), 0, 1, True, False, "", b""
    ... )
    >>> item = AcceptedRequest(submit, "i1", arrived_at=0.0, deadline=1.0)
    >>> end = make_work_end(item, Outcome.refused("full"), WaitTimes())
    >>> end.attempt, end.kind, end.ran
    (2, 'endpoint_refused', 'no')
    """
    failure = outcome.failure
    return WorkEnd(
        request_id=item.request_id,
        attempt=item.submit.attempt,
        kind="" if failure is None else failure.kind.value,
        ran=outcome.ran.value,
        status=outcome.status,
        content_type=outcome.content_type,
        detail="" if failure is None else failure.detail,
        retry_after_ms=0 if failure is None else round(failure.retry_after_s * 1000),
        stall_ms=waits.stall_ms,
        queue_ms=waits.queue_ms,
    )

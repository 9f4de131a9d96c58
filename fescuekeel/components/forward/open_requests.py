"""Open requests of callers, and the log lines of those that are cut."""

import asyncio
from dataclasses import dataclass
from enum import StrEnum

from tornado.httputil import HTTPHeaders

from fescuekeel.components.forward.request import ForwardedRequest
from fescuekeel.core import Instance
from fescuekeel.helpers.dialect import Dialect
from fescuekeel.helpers.logging import log_event

__all__ = ["CutOutcome", "CutReason", "OpenRequest", "OpenRequests"]

# Callers choose these ids, of any length.
MAX_LOGGED_ID = 64


class CutReason(StrEnum):
    """Why a request is cut."""

    SHUTDOWN = "shutdown"
    FAULT = "fault"


class CutOutcome(StrEnum):
    """What a cut means for the caller of a request."""

    BEFORE_RUN = "before_run"
    DRAINING = "draining"
    OUTCOME_UNKNOWN = "outcome_unknown"
    ANSWER_CUT = "answer_cut"
    ANSWER_UNFLUSHED = "answer_unflushed"


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request that was read; ``request`` is set once it is admitted."""

    headers: HTTPHeaders
    arrived: float
    request: ForwardedRequest | None = None
    is_cut: bool = False

    @property
    def outcome(self) -> CutOutcome:
        """Return what the caller gets if the request is cut now."""
        request = self.request
        if request is None:
            return CutOutcome.BEFORE_RUN
        if request.outcome == "answered":
            return CutOutcome.ANSWER_UNFLUSHED
        if request.caller.started:
            return CutOutcome.ANSWER_CUT
        if request.state.sends:
            return CutOutcome.OUTCOME_UNKNOWN
        return CutOutcome.DRAINING


class OpenRequests:
    """All requests that were read and are not done, by their task.

    ``accepted`` counts all that were ever read, ``cut`` those that were cut.
    """

    def __init__(self, instance: Instance, dialect: Dialect) -> None:
        self.by_task: dict[asyncio.Task[None], OpenRequest] = {}
        self.accepted = 0
        self.cut = 0
        self._instance = instance
        self._dialect = dialect

    def add(self, task: asyncio.Task[None], headers: HTTPHeaders) -> None:
        """Follow a request that was read until its task is done."""
        self.accepted += 1
        self.by_task[task] = OpenRequest(headers, self._instance.now())
        task.add_done_callback(self._handle_done)

    def admit(self, task: asyncio.Task[None], request: ForwardedRequest) -> None:
        """Record that a request was admitted."""
        self.by_task[task].request = request

    def record_all_cut(self, reason: str) -> None:
        """Log each open request, right before all of them are cut."""
        for opened in list(self.by_task.values()):
            self._record_cut(opened, reason)

    def _handle_done(self, task: asyncio.Task[None]) -> None:
        opened = self.by_task.pop(task)
        # An admitted request logs its own end.
        if opened.request is not None or opened.is_cut:
            return
        if task.cancelled():
            self._record_cut(opened, CutReason.SHUTDOWN)
        elif task.exception() is not None:
            self._record_cut(opened, CutReason.FAULT, repr(task.exception()))

    def _record_cut(self, opened: OpenRequest, reason: str, error: str = "") -> None:
        opened.is_cut = True
        self.cut += 1
        request, outcome = opened.request, opened.outcome
        self._instance.metrics.count(f"cut.{outcome}")
        age_s = self._instance.now() - opened.arrived
        log_event(
            "request_cut",
            request_id=self._read_id(opened.headers),
            route=request.route.name if request else "",
            resumable=request.route.resumable if request else False,
            endpoint=request.current_endpoint if request else "",
            sends=request.state.sends if request else 0,
            chunks=request.times.count if request else 0,
            last_event=request.resume_after[:MAX_LOGGED_ID] if request else "",
            age_ms=round(age_s * 1000),
            since_signal_ms=round(self._instance.since_stop_requested_s * 1000),
            reason=reason,
            error=error,
            outcome=outcome.value,
        )

    def _read_id(self, headers: HTTPHeaders) -> str:
        try:
            return self._dialect.read_request(headers).request_id
        except ValueError:
            # Its refusal, with what is invalid, has a line of its own.
            return ""

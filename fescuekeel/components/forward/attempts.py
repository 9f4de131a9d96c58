"""Decide how a request continues after each attempt; pure.

Two guarantees are made here. A request that must not run twice is retried only
if the endpoint reports that it did not run, or if no byte of it was sent. And
the answer says "not run" only if no attempt can have run.
"""

from dataclasses import dataclass, field
from enum import StrEnum

from fescuekeel.components.forward.const import MAX_SENDS
from fescuekeel.errors import ErrorKind

__all__ = ["AttemptEnd", "NextStep", "RequestState", "Step", "decide"]


class AttemptEnd(StrEnum):
    """How an attempt ended without an answer to forward.

    ``UNSENT``: no byte was sent. ``NOT_RUN``: the endpoint reports that it did
    not run the request. ``MISDIRECTED``: it did not run it because it is
    another endpoint or has other weights. ``FAILED``: it ran the request and
    answered with an error. ``BROKEN``: the request was sent, and the answer
    is missing or incomplete. ``OVER_BUDGET``: no byte was sent, since retries
    of other requests have used the retry budget.
    """

    UNSENT = "unsent"
    OVER_BUDGET = "over_budget"
    NOT_RUN = "not_run"
    MISDIRECTED = "misdirected"
    FAILED = "failed"
    BROKEN = "broken"


class Step(StrEnum):
    """The next action for a request."""

    RETRY = "retry"
    RESUME = "resume"
    REFUSE = "refuse"
    FAIL = "fail"
    PASS_ON = "pass_on"
    ABORT = "abort"


@dataclass(frozen=True, slots=True)
class NextStep:
    """The next action, and whether it will use the retry budget.

    ``kind`` is the caller's error if this step or the budget ends the request.
    """

    step: Step
    kind: ErrorKind
    uses_budget: bool = False


@dataclass(slots=True)
class RequestState:
    """The state of one request over all its attempts.

    ``endpoints`` are those that it was sent to, ``connections`` the numbers of
    the connections that carried it, ``may_have_run`` is true if
    one of them can have run it, and ``answer_started`` if the answer's head
    was written to the caller. ``can_go_on`` is false if a stream cannot go on
    after the events that the caller has.
    """

    safe: bool
    resumable: bool
    max_attempts: int
    endpoints: set[str] = field(default_factory=set)
    connections: set[int] = field(default_factory=set)
    sends: int = 0
    may_have_run: bool = False
    answer_started: bool = False
    can_go_on: bool = True

    @property
    def repeatable(self) -> bool:
        """Return whether the request may run more than once."""
        return self.safe or self.resumable

    def may_send_again(self, to_same_endpoint: bool) -> bool:
        """Return whether the request may be sent once more."""
        if self.sends >= MAX_SENDS:
            return False
        return to_same_endpoint or len(self.endpoints) < self.max_attempts

    def record_sent(self, endpoint: str, connection: int = 0) -> None:
        """Record that the request is sent to an endpoint."""
        self.endpoints.add(endpoint)
        self.connections.add(connection)
        self.sends += 1

    def may_send_to(self, endpoint: str) -> bool:
        """Return whether the request may be sent to an endpoint.

        ``max_attempts`` limits the number of distinct endpoints; one that
        refused the request may get it again.
        """
        return endpoint in self.endpoints or len(self.endpoints) < self.max_attempts


def decide(state: RequestState, end: AttemptEnd) -> NextStep:
    """Return the next step after an attempt.

    >>> decide(RequestState(False, False, 1), AttemptEnd.BROKEN).step.value
    'fail'
    """
    if end in (AttemptEnd.FAILED, AttemptEnd.BROKEN):
        state.may_have_run = True
    if state.answer_started:
        return _decide_after_start(state, end)
    refused = NextStep(Step.REFUSE, ErrorKind.ENDPOINT_REFUSED)
    unknown = NextStep(Step.FAIL, ErrorKind.OUTCOME_UNKNOWN)
    final = unknown if state.may_have_run else refused
    if end is AttemptEnd.UNSENT:
        # Nothing was sent: limited by the deadline only.
        return NextStep(Step.RETRY, final.kind)
    if end is AttemptEnd.OVER_BUDGET:
        return final
    if state.sends >= MAX_SENDS:
        return final if end is not AttemptEnd.FAILED else _pass_on()
    if end in (AttemptEnd.NOT_RUN, AttemptEnd.MISDIRECTED):
        return NextStep(Step.RETRY, final.kind, uses_budget=True)
    if not state.repeatable:
        return final if end is AttemptEnd.BROKEN else _pass_on()
    if end is AttemptEnd.FAILED and len(state.endpoints) >= state.max_attempts:
        return _pass_on()
    return NextStep(Step.RETRY, final.kind, uses_budget=True)


def _pass_on() -> NextStep:
    return NextStep(Step.PASS_ON, ErrorKind.OUTCOME_UNKNOWN)


def _decide_after_start(state: RequestState, end: AttemptEnd) -> NextStep:
    if not state.resumable or not state.can_go_on or state.sends >= MAX_SENDS:
        return NextStep(Step.ABORT, ErrorKind.ANSWER_CUT)
    if end is AttemptEnd.OVER_BUDGET:
        return NextStep(Step.ABORT, ErrorKind.ANSWER_CUT)
    uses_budget = end is not AttemptEnd.UNSENT
    return NextStep(Step.RESUME, ErrorKind.ANSWER_CUT, uses_budget)

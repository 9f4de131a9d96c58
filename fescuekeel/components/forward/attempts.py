"""Decide what becomes of a request after each attempt; pure.

Two promises rest here. A request that may not run twice is sent again only
after the endpoint's own word that it did not run, or if no byte of it left.
And "not run" is told to a caller only while no attempt can have run.
"""

from dataclasses import dataclass, field
from enum import StrEnum

from fescuekeel.components.forward.const import MAX_SENDS
from fescuekeel.errors import ErrorKind

__all__ = ["AttemptEnd", "NextStep", "RequestState", "Step", "decide"]


class AttemptEnd(StrEnum):
    """Name how an attempt ended without an answer that could be passed on.

    ``UNSENT``: no byte left. ``NOT_RUN``: the endpoint's word that it did not
    run. ``MISDIRECTED``: another endpoint, or other weights, are there; it
    did not run. ``FAILED``: the endpoint ran it and answered with a failure.
    ``BROKEN``: it was sent, and no whole answer came.
    """

    UNSENT = "unsent"
    NOT_RUN = "not_run"
    MISDIRECTED = "misdirected"
    FAILED = "failed"
    BROKEN = "broken"


class Step(StrEnum):
    """Name what comes next."""

    AGAIN = "again"
    RESUME = "resume"
    REFUSE = "refuse"
    FAIL = "fail"
    PASS_ON = "pass_on"
    BREAK_OFF = "break_off"


@dataclass(frozen=True, slots=True)
class NextStep:
    """Say what comes next; ``spends`` takes from the retry budget first.

    ``kind`` is what the caller is told if this, or the budget, ends it.
    """

    step: Step
    kind: ErrorKind
    spends: bool = False


@dataclass(slots=True)
class RequestState:
    """What is known of one request at its entry.

    ``endpoints`` are those that it was sent to, ``may_have_run`` says whether
    one of them can have run it, ``delivered`` whether the caller has seen the
    head of an answer.
    """

    safe: bool
    resumable: bool
    max_attempts: int
    endpoints: set[str] = field(default_factory=set)
    sends: int = 0
    may_have_run: bool = False
    delivered: bool = False

    @property
    def repeatable(self) -> bool:
        """Tell whether it may run more than once."""
        return self.safe or self.resumable

    @property
    def may_go_elsewhere(self) -> bool:
        """Tell whether one more endpoint may be handed the request."""
        return len(self.endpoints) < self.max_attempts and self.sends < MAX_SENDS

    def note_sent(self, endpoint: str) -> None:
        """Note that bytes leave for an endpoint."""
        self.endpoints.add(endpoint)
        self.sends += 1

    def may_go_to(self, endpoint: str) -> bool:
        """Tell whether the request may be sent to an endpoint.

        The number of attempts bounds the endpoints; one that refused it may
        be asked again.
        """
        return endpoint in self.endpoints or len(self.endpoints) < self.max_attempts


def decide(state: RequestState, end: AttemptEnd) -> NextStep:
    """Return what comes after an attempt that ended so.

    >>> decide(RequestState(False, False, 1), AttemptEnd.BROKEN).step.value
    'fail'
    """
    if end in (AttemptEnd.FAILED, AttemptEnd.BROKEN):
        state.may_have_run = True
    if state.delivered:
        return _decide_midway(state, end)
    refused = NextStep(Step.REFUSE, ErrorKind.ENDPOINT_REFUSED)
    unknown = NextStep(Step.FAIL, ErrorKind.OUTCOME_UNKNOWN)
    final = unknown if state.may_have_run else refused
    if end is AttemptEnd.UNSENT:
        # Nothing was sent, so that nothing is counted: only time bounds it.
        return NextStep(Step.AGAIN, final.kind)
    if state.sends >= MAX_SENDS:
        return final if end is not AttemptEnd.FAILED else _pass_on()
    if end in (AttemptEnd.NOT_RUN, AttemptEnd.MISDIRECTED):
        return NextStep(Step.AGAIN, final.kind, spends=True)
    if not state.repeatable:
        return final if end is AttemptEnd.BROKEN else _pass_on()
    if end is AttemptEnd.FAILED and len(state.endpoints) >= state.max_attempts:
        return _pass_on()
    return NextStep(Step.AGAIN, final.kind, spends=True)


def _pass_on() -> NextStep:
    return NextStep(Step.PASS_ON, ErrorKind.OUTCOME_UNKNOWN)


def _decide_midway(state: RequestState, end: AttemptEnd) -> NextStep:
    if not state.resumable or state.sends >= MAX_SENDS:
        return NextStep(Step.BREAK_OFF, ErrorKind.ANSWER_CUT)
    spends = end is not AttemptEnd.UNSENT
    return NextStep(Step.RESUME, ErrorKind.ANSWER_CUT, spends)

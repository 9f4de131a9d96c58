"""Decide where a request is asked for next, and when to give up; pure."""

import random
from dataclasses import dataclass, field

from fescuekeel.components.forward.const import (
    CUT_OFF_RETRY_FROM_S,
    CUT_OFF_RETRY_TO_S,
    MAX_CROWDED,
    MAX_REFUSALS,
    RETRY_FROM_S,
    RETRY_TO_S,
)
from fescuekeel.errors import ErrorKind, Failure
from fescuekeel.helpers.board import NOT_HELD
from fescuekeel.messages import AdmitAnswer

__all__ = ["Search", "refuse_cut_off", "refuse_for_load"]


def refuse_cut_off() -> Failure:
    """Refuse what cannot be loaded behind a cut, and lead callers away."""
    retry_after_s = random.uniform(CUT_OFF_RETRY_FROM_S, CUT_OFF_RETRY_TO_S)
    return Failure(ErrorKind.LOAD_FAILED, "cut off", retry_after_s=retry_after_s)


def refuse_for_load(kind: ErrorKind, detail: str) -> Failure:
    """Refuse what the engines have no room for; callers come back spread."""
    retry_after_s = random.uniform(RETRY_FROM_S, RETRY_TO_S)
    return Failure(kind, detail, retry_after_s=retry_after_s)


@dataclass(slots=True)
class Search:
    """How far the search for a request's endpoint has come.

    ``crowded`` endpoints would have let it wait, and ``full`` ones had no room
    for it at all. ``failure`` is what its caller is told if it ends now.

    >>> search = Search(until=10.0)
    >>> search.note_crowded("e1")
    >>> search.avoided, search.patient
    ({'e1'}, False)
    """

    until: float
    crowded: set[str] = field(default_factory=set)
    full: set[str] = field(default_factory=set)
    refusals: int = 0
    failure: Failure = field(
        default_factory=lambda: refuse_for_load(ErrorKind.NO_ENDPOINT, "no endpoint")
    )

    @property
    def patient(self) -> bool:
        """Tell whether the request waits wherever it is asked for next.

        Once that many endpoints were crowded, others are no better: it takes
        its place in a queue.
        """
        return len(self.crowded) >= MAX_CROWDED

    @property
    def avoided(self) -> set[str]:
        """Return the endpoints that others are to be preferred to."""
        return self.full if self.patient else self.full | self.crowded

    def waits_at(self, endpoint: str) -> bool:
        """Tell whether the request waits at an endpoint if it has to."""
        return self.patient or endpoint in self.avoided

    def note_crowded(self, endpoint: str) -> None:
        """Note that a request would have to wait at an endpoint."""
        self.crowded.add(endpoint)

    def note_no_turn(self, endpoint: str, answer: AdmitAnswer, patient: bool) -> None:
        """Take a holder's word that a prompt may not be sent."""
        if answer.reason == NOT_HELD:
            self.failure = refuse_for_load(ErrorKind.LOAD_FAILED, answer.reason)
        elif not patient:
            self.note_crowded(endpoint)
        else:
            self.refuse(endpoint)
            detail = f"{answer.wait_ms / 1000:.1f} s wait"
            self.failure = refuse_for_load(ErrorKind.QUEUE_FULL, detail)

    def refuse(self, endpoint: str) -> None:
        """Note that an endpoint has refused the request."""
        self.full.add(endpoint)
        self.refusals += 1

    def is_over(self, now: float) -> bool:
        """Tell whether there is no time, or no endpoint worth asking, left."""
        return now >= self.until or self.refusals >= MAX_REFUSALS

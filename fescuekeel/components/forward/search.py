"""Track the search for a request's endpoint, and when it ends; pure."""

import random
from dataclasses import dataclass, field
from enum import StrEnum

from fescuekeel.components.endpoints import Block, BlockReason
from fescuekeel.components.forward.const import (
    MAX_CONGESTED,
    MAX_CUT_OFF_RETRY_S,
    MAX_LATE_ROUNDS,
    MAX_OVERLOAD_RETRY_S,
    MAX_PERMITS_ASKED,
    MAX_PERMITS_AWAITED,
    MAX_QUICK_ROUNDS,
    MAX_REFUSALS,
    MIN_CUT_OFF_RETRY_S,
    MIN_OVERLOAD_RETRY_S,
    MIN_ROUND_S,
)
from fescuekeel.errors import ErrorKind, Failure
from fescuekeel.helpers.placement_view import NOT_HELD
from fescuekeel.messages import AdmitAnswer

__all__ = ["RoundStep", "Search", "make_cut_off_failure", "make_overload_failure"]


def make_cut_off_failure() -> Failure:
    """Return the failure of a load on an instance that is cut off."""
    retry_after_s = random.uniform(MIN_CUT_OFF_RETRY_S, MAX_CUT_OFF_RETRY_S)
    return Failure(ErrorKind.LOAD_FAILED, "cut off", retry_after_s=retry_after_s)


def make_overload_failure(kind: ErrorKind, detail: str) -> Failure:
    """Return a failure with a random Retry-After, to spread the retries."""
    retry_after_s = random.uniform(MIN_OVERLOAD_RETRY_S, MAX_OVERLOAD_RETRY_S)
    return Failure(kind, detail, retry_after_s=retry_after_s)


class RoundStep(StrEnum):
    """What to do before a choice."""

    CHOOSE = "choose"
    PAUSE = "pause"
    END = "end"


@dataclass(slots=True)
class Search:
    """The progress of the search for a request's endpoint.

    At a ``congested`` endpoint the request would have to queue, and at a
    ``full`` one the queue has no room. Endpoints that are at their rate limits
    are so until a time. For those ``without_permit`` the request got none, and
    it waits for some of them. The ``avoided`` one is silent. ``failure`` is
    the caller's answer if the search ends now.

    >>> search = Search(until=10.0)
    >>> search.record_congested("e1")
    >>> search.find_block("e1", now=1.0).reason.value, search.patient
    ('congested', False)
    """

    until: float
    avoided: str = ""
    congested: set[str] = field(default_factory=set)
    full: set[str] = field(default_factory=set)
    limited_until_by_id: dict[str, float] = field(default_factory=dict)
    refusals: int = 0
    without_permit: set[str] = field(default_factory=set)
    permits_asked: int = 0
    permits_awaited: int = 0
    _rounds: int = 0
    _late_rounds: int = 0
    _began_at: float | None = None
    failure: Failure = field(
        default_factory=lambda: make_overload_failure(
            ErrorKind.NO_ENDPOINT, "no endpoint"
        )
    )

    @property
    def patient(self) -> bool:
        """Return whether the request may queue at any endpoint.

        After the limit of congested endpoints, others are assumed to be
        congested, too.
        """
        return len(self.congested) >= MAX_CONGESTED

    def find_block(self, endpoint: str, now: float) -> Block | None:
        """Return why the request rather goes to others, ``None`` if not."""
        limited_until = self.limited_until_by_id.get(endpoint, now)
        if limited_until > now:
            return Block(BlockReason.LIMITED, limited_until)
        if endpoint in self.without_permit:
            return Block(BlockReason.WITHOUT_PERMIT)
        if endpoint in self.full:
            return Block(BlockReason.FULL)
        if endpoint in self.congested and not self.patient:
            return Block(BlockReason.CONGESTED)
        return None

    def may_queue_at(self, endpoint: str, has_permit: bool = False) -> bool:
        """Return whether the request may queue at an endpoint.

        With a permit it may: the endpoint has capacity for it, although the
        holder may still count requests there that have just ended.
        """
        known = endpoint in self.full or endpoint in self.congested
        return has_permit or self.patient or known

    def list_limited(self, now: float) -> set[str]:
        """Return the endpoints that are at their rate limits."""
        return {id for id, until in self.limited_until_by_id.items() if until > now}

    def record_limited(self, endpoint: str, until: float) -> None:
        """Record that an endpoint's rate limit has no room until a time."""
        self.limited_until_by_id[endpoint] = until

    def may_wait_for_permit(self, endpoint: str) -> bool:
        """Return whether to wait for a permit rather than try elsewhere."""
        return (
            self.permits_asked >= MAX_PERMITS_ASKED or endpoint in self.without_permit
        )

    def record_without_permit(self, endpoint: str) -> bool:
        """Record that an endpoint has no permit; return whether to give up."""
        self.permits_asked += 1
        if endpoint in self.without_permit:
            self.permits_awaited += 1
        self.without_permit.add(endpoint)
        return self.permits_awaited >= MAX_PERMITS_AWAITED

    def find_limit_wait_s(self, now: float) -> float:
        """Return how long until some endpoint may be within its limit."""
        limited = self.list_limited(now)
        return min((self.limited_until_by_id[id] - now for id in limited), default=0.0)

    def record_congested(self, endpoint: str) -> None:
        """Record that the request would have to queue at an endpoint."""
        self.congested.add(endpoint)

    def record_not_admitted(
        self, endpoint: str, answer: AdmitAnswer, patient: bool
    ) -> None:
        """Record that a holder did not admit the prompt."""
        if answer.reason == NOT_HELD:
            self.failure = make_overload_failure(ErrorKind.LOAD_FAILED, answer.reason)
        elif not patient:
            self.record_congested(endpoint)
        else:
            self.record_full(endpoint)
            detail = f"{answer.wait_ms / 1000:.1f} s wait"
            self.failure = make_overload_failure(ErrorKind.QUEUE_FULL, detail)

    def record_full(self, endpoint: str) -> None:
        """Record that an endpoint's queue has no room for the request."""
        self.full.add(endpoint)
        self.refusals += 1

    def begin_round(self, now: float) -> RoundStep:
        """Record that a choice begins; return what to do before it.

        Choices that take no time block other endpoints each, unless something
        repeats that the search does not know of.

        >>> search = Search(until=10.0)
        >>> [search.begin_round(1.0) for _ in range(30)].count(RoundStep.PAUSE)
        10
        >>> [search.begin_round(11.0).value for _ in range(6)][-2:]
        ['choose', 'end']
        """
        if self._began_at is None:
            self._began_at = now
        self._rounds += 1
        if now >= self.until:
            self._late_rounds += 1
        if self._late_rounds > MAX_LATE_ROUNDS:
            return RoundStep.END
        allowed = MAX_QUICK_ROUNDS + (now - self._began_at) / MIN_ROUND_S
        return RoundStep.PAUSE if self._rounds > allowed else RoundStep.CHOOSE

    def is_exhausted(self, now: float) -> bool:
        """Return whether the time or the limit of refusals is used up."""
        return now >= self.until or self.refusals >= MAX_REFUSALS

"""Bound the requests in progress at endpoints over all instances; pure.

An endpoint that falls over when it rejects too many requests must not be sent
more than it has capacity for. Its home grants a permit for each request and
learns the limit: answers raise it, rejections lower it. Nothing is sent after
some rejections within a second, since more may be on their way already.
"""

import heapq
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from fescuekeel.components.allowance.const import (
    DECREASE_PERIOD_S,
    EXTRA_PERMITS_SHARE,
    HOLD_S,
    LOWERED_BY,
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    PERMIT_MARGIN_S,
    RAISED_BY,
    REJECTED_SHARE,
    REJECTION_WINDOW_S,
    RUNNING_TTL_S,
    START_SHARE,
)

__all__ = [
    "ConcurrencyLimit",
    "PermitDecision",
    "PermitOutcome",
    "PermitRequest",
]

NEVER = float("-inf")


class PermitOutcome(StrEnum):
    """How the request with a permit has ended.

    ``UNUSED``: it was not sent. ``REJECTED``: the endpoint had no capacity.
    """

    ANSWERED = "answered"
    REJECTED = "rejected"
    BROKEN = "broken"
    UNUSED = "unused"


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """A request of an instance for a permit.

    ``patience_s`` is how long it may wait, and ``lasts_s`` after how long it
    has ended at the latest. ``running`` are the instance's other requests at
    the endpoint for which this home has granted no permit.
    """

    instance: str
    number: int
    priority: int
    patience_s: float
    lasts_s: float
    running: int = 0

    @property
    def key(self) -> tuple[str, int]:
        """Return what identifies the permit."""
        return self.instance, self.number


@dataclass(frozen=True, slots=True)
class PermitDecision:
    """A permit that is granted, or refused with a time to ask again."""

    request: PermitRequest
    granted: bool
    wait_s: float = 0.0


@dataclass(order=True, slots=True)
class Waiting:
    """A request that waits; the most urgent and oldest one is the first."""

    priority: int
    order: int
    request: PermitRequest = field(compare=False)
    until: float = field(compare=False, default=0.0)


@dataclass(slots=True)
class ConcurrencyLimit:
    """The permits of one endpoint, at its home.

    >>> limit = ConcurrencyLimit(slots=1, max_rejections_per_s=4.0)
    >>> first = PermitRequest("i1", 1, 5, patience_s=0.0, lasts_s=2.0)
    >>> second = PermitRequest("i2", 1, 5, patience_s=1.0, lasts_s=2.0)
    >>> limit.ask(first, now=0.0)[0].granted, limit.ask(second, now=0.1)
    (True, [])
    >>> ended = limit.end(first.key, PermitOutcome.ANSWERED, now=0.2)
    >>> [(decision.request.instance, decision.granted) for decision in ended]
    [('i2', True)]
    """

    slots: int
    max_rejections_per_s: float
    is_new: bool = False
    value: float = 0.0
    updated_at: float = 0.0
    _expiries_by_key: dict[tuple[str, int], float] = field(default_factory=dict)
    _running_by_instance: dict[str, tuple[int, float]] = field(default_factory=dict)
    _waiting: list[Waiting] = field(default_factory=list)
    _orders: int = 0
    _rejected_at: deque[float] = field(default_factory=deque)
    _lowered_at: float = NEVER
    _lowered_to: float = 0.0
    _interval_s: float = MIN_RETRY_AFTER_S
    _freed_at: float = NEVER

    def __post_init__(self) -> None:
        # An endpoint that has just started is empty and warms up.
        share = START_SHARE if self.is_new else 1.0
        self.value = max(1.0, self.slots * share)

    @property
    def max_value(self) -> float:
        """Return the most permits: some beyond those that run may wait."""
        return self.slots + max(1.0, self.slots * EXTRA_PERMITS_SHARE)

    def count_in_use(self, now: float) -> int:
        """Return the requests that are or may be at the endpoint."""
        for key, expires_at in list(self._expiries_by_key.items()):
            if now >= expires_at:
                del self._expiries_by_key[key]
        running = sum(
            count
            for count, told_at in self._running_by_instance.values()
            if now - told_at <= RUNNING_TTL_S
        )
        return len(self._expiries_by_key) + running

    def ask(self, request: PermitRequest, now: float) -> list[PermitDecision]:
        """Grant, queue or refuse a request."""
        self.updated_at = now
        self._running_by_instance[request.instance] = (request.running, now)
        if not self._waiting and self._has_capacity(now):
            return [self._grant(request, now)]
        if request.patience_s <= 0:
            return [self._refuse(request)]
        self._orders += 1
        waiting = Waiting(
            request.priority, self._orders, request, now + request.patience_s
        )
        heapq.heappush(self._waiting, waiting)
        return self._shorten_queue() + self.step(now)

    def end(
        self, key: tuple[str, int], outcome: PermitOutcome, now: float
    ) -> list[PermitDecision]:
        """Free a permit, and learn from how its request ended.

        A request that has not got its permit yet waits no more.
        """
        self.updated_at = now
        self._drop_waiting(lambda request: request.key == key)
        had_permit = self._expiries_by_key.pop(key, None) is not None
        if outcome is PermitOutcome.REJECTED:
            self._lower(now)
        elif outcome is PermitOutcome.ANSWERED and had_permit:
            self._raise(now)
        return self.step(now)

    def step(self, now: float) -> list[PermitDecision]:
        """Grant permits to those that wait; refuse those that waited long."""
        decisions = []
        for waiting in list(self._waiting):
            if now >= waiting.until:
                self._waiting.remove(waiting)
                heapq.heapify(self._waiting)
                decisions.append(self._refuse(waiting.request))
        while self._waiting and self._has_capacity(now):
            decisions.append(self._grant(heapq.heappop(self._waiting).request, now))
        return decisions

    def get_next_check(self, now: float) -> float:
        """Return when ``step`` may have something to do, in seconds."""
        times = [waiting.until for waiting in self._waiting]
        if self._waiting and self._rejected_at:
            times.append(self._rejected_at[0] + REJECTION_WINDOW_S)
        if self._waiting and self._expiries_by_key:
            times.append(min(self._expiries_by_key.values()))
        return max(0.0, min(times) - now) if times else float("inf")

    def drop_instances(self, gone: Iterable[str], now: float) -> list[PermitDecision]:
        """Free the permits of instances that are gone."""
        lost = set(gone)
        for key in [key for key in self._expiries_by_key if key[0] in lost]:
            del self._expiries_by_key[key]
        for id in lost & self._running_by_instance.keys():
            del self._running_by_instance[id]
        self._drop_waiting(lambda request: request.instance in lost)
        return self.step(now)

    def _drop_waiting(self, is_gone: Callable[[PermitRequest], bool]) -> None:
        self._waiting = [item for item in self._waiting if not is_gone(item.request)]
        heapq.heapify(self._waiting)

    def _has_capacity(self, now: float) -> bool:
        if self._count_rejected(now) >= self._max_rejected:
            return False
        return self.count_in_use(now) < max(1, int(self.value))

    @property
    def _max_rejected(self) -> int:
        """Return after how many rejections nothing is sent for a while."""
        return max(1, int(self.max_rejections_per_s * REJECTED_SHARE))

    def _count_rejected(self, now: float) -> int:
        while self._rejected_at and self._rejected_at[0] <= now - REJECTION_WINDOW_S:
            self._rejected_at.popleft()
        return len(self._rejected_at)

    def _grant(self, request: PermitRequest, now: float) -> PermitDecision:
        expires_at = now + request.lasts_s + PERMIT_MARGIN_S
        self._expiries_by_key[request.key] = expires_at
        return PermitDecision(request, granted=True)

    def _refuse(self, request: PermitRequest) -> PermitDecision:
        wait_s = self._interval_s * (len(self._waiting) + 1)
        wait_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
        return PermitDecision(request, granted=False, wait_s=wait_s)

    def _shorten_queue(self) -> list[PermitDecision]:
        """Refuse the least urgent ones that would wait for too long."""
        decisions = []
        while len(self._waiting) > max(2, int(self.value)):
            last = max(self._waiting)
            self._waiting.remove(last)
            heapq.heapify(self._waiting)
            decisions.append(self._refuse(last.request))
        return decisions

    def _raise(self, now: float) -> None:
        # Slowly beyond what is known, as each step too far costs a rejection.
        never_lowered = self._lowered_at == NEVER
        known = self.max_value if never_lowered else self._lowered_to
        if self.value < known:
            self.value = min(known, self.value + RAISED_BY)
        elif now - self._lowered_at > HOLD_S:
            step = RAISED_BY / (10 * self.value)
            self.value = min(self.max_value, self.value + step)
        interval_s = min(1.0, max(0.0, now - self._freed_at))
        self._interval_s += 0.1 * (interval_s - self._interval_s)
        self._freed_at = now

    def _lower(self, now: float) -> None:
        """Lower the limit once for the rejections of the same moment.

        The endpoint was full then, so that no more fit than were there beside
        the rejected ones. Fewer may have been there than are counted here, as
        ends take a while to arrive, so it is lowered in any case.
        """
        self._rejected_at.append(now)
        if now - self._lowered_at < DECREASE_PERIOD_S:
            return
        self._lowered_at = now
        in_use = float(self.count_in_use(now))
        self.value = max(1.0, min(self.value - LOWERED_BY, in_use))
        self._lowered_to = self.value

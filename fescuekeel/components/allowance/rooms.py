"""Bound the requests in progress at endpoints over all instances; pure.

An endpoint that falls over when it rejects too many requests must not be
offered more than it has room for. Its home grants a place for each request and
learns the room: answers widen it, rejections narrow it. Nothing is sent after
some rejections within a second, since more may be on their way already.
"""

import heapq
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from fescuekeel.components.allowance.const import (
    DECREASE_PERIOD_S,
    EXTRA_PLACES_SHARE,
    HOLD_S,
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    NARROWED_BY,
    PLACE_MARGIN_S,
    REJECTED_SHARE,
    REJECTION_WINDOW_S,
    RUNNING_TTL_S,
    START_SHARE,
    WIDENED_BY,
)

__all__ = [
    "EndpointRoom",
    "PlaceDecision",
    "PlaceOutcome",
    "PlaceRequest",
]


class PlaceOutcome(StrEnum):
    """How the request with a place has ended.

    ``UNUSED``: it was not sent. ``REJECTED``: the endpoint had no room for it.
    """

    ANSWERED = "answered"
    REJECTED = "rejected"
    BROKEN = "broken"
    UNUSED = "unused"


@dataclass(frozen=True, slots=True)
class PlaceRequest:
    """A request of an instance for a place.

    ``patience_s`` is how long it may wait, and ``lasts_s`` after how long it
    has ended at the latest. ``running`` are the instance's other requests at
    the endpoint for which this home has granted no place.
    """

    instance: str
    number: int
    priority: int
    patience_s: float
    lasts_s: float
    running: int = 0

    @property
    def key(self) -> tuple[str, int]:
        """Return what identifies the place."""
        return self.instance, self.number


@dataclass(frozen=True, slots=True)
class PlaceDecision:
    """A place that is granted, or refused with a time to ask again."""

    request: PlaceRequest
    granted: bool
    wait_s: float = 0.0


@dataclass(order=True, slots=True)
class Waiting:
    """A request that waits; the most urgent and oldest one is the first."""

    priority: int
    order: int
    request: PlaceRequest = field(compare=False)
    until: float = field(compare=False, default=0.0)


@dataclass(slots=True)
class EndpointRoom:
    """The places of one endpoint, at its home.

    >>> room = EndpointRoom(slots=1, stands_per_s=4.0)
    >>> first = PlaceRequest("i1", 1, 5, patience_s=0.0, lasts_s=2.0)
    >>> second = PlaceRequest("i2", 1, 5, patience_s=1.0, lasts_s=2.0)
    >>> room.ask(first, now=0.0)[0].granted, room.ask(second, now=0.1)
    (True, [])
    >>> ended = room.end(first.key, PlaceOutcome.ANSWERED, now=0.2)
    >>> [(decision.request.instance, decision.granted) for decision in ended]
    [('i2', True)]
    """

    slots: int
    stands_per_s: float
    is_new: bool = False
    limit: float = 0.0
    updated_at: float = 0.0
    _expiries_by_key: dict[tuple[str, int], float] = field(default_factory=dict)
    _running_by_instance: dict[str, tuple[int, float]] = field(default_factory=dict)
    _waiting: list[Waiting] = field(default_factory=list)
    _orders: int = 0
    _rejected_at: deque[float] = field(default_factory=deque)
    _narrowed_at: float = float("-inf")
    _narrowed_to: float = 0.0
    _interval_s: float = MIN_RETRY_AFTER_S
    _freed_at: float = float("-inf")

    def __post_init__(self) -> None:
        # An endpoint that has just started is empty and warms up.
        share = START_SHARE if self.is_new else 1.0
        self.limit = max(1.0, self.slots * share)
        self._narrowed_to = float(self.slots)

    @property
    def max_limit(self) -> float:
        """Return the most places: some beyond those that run may wait."""
        return self.slots + max(1.0, self.slots * EXTRA_PLACES_SHARE)

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

    def ask(self, request: PlaceRequest, now: float) -> list[PlaceDecision]:
        """Grant, queue or refuse a request."""
        self.updated_at = now
        self._running_by_instance[request.instance] = (request.running, now)
        if not self._waiting and self._has_room(now):
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
        self, key: tuple[str, int], outcome: PlaceOutcome, now: float
    ) -> list[PlaceDecision]:
        """Free a place, and learn from how its request ended.

        A request that has not got its place yet waits no more.
        """
        self.updated_at = now
        self._drop_waiting(lambda request: request.key == key)
        had_place = self._expiries_by_key.pop(key, None) is not None
        if outcome is PlaceOutcome.REJECTED:
            self._narrow(now)
        elif outcome is PlaceOutcome.ANSWERED and had_place:
            self._widen(now)
        return self.step(now)

    def step(self, now: float) -> list[PlaceDecision]:
        """Grant places to those that wait; refuse those that waited enough."""
        decisions = []
        for waiting in list(self._waiting):
            if now >= waiting.until:
                self._waiting.remove(waiting)
                heapq.heapify(self._waiting)
                decisions.append(self._refuse(waiting.request))
        while self._waiting and self._has_room(now):
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

    def drop_instances(self, gone: Iterable[str], now: float) -> list[PlaceDecision]:
        """Free the places of instances that are gone."""
        lost = set(gone)
        for key in [key for key in self._expiries_by_key if key[0] in lost]:
            del self._expiries_by_key[key]
        for id in lost & self._running_by_instance.keys():
            del self._running_by_instance[id]
        self._drop_waiting(lambda request: request.instance in lost)
        return self.step(now)

    def _drop_waiting(self, is_gone: Callable[[PlaceRequest], bool]) -> None:
        self._waiting = [item for item in self._waiting if not is_gone(item.request)]
        heapq.heapify(self._waiting)

    def _has_room(self, now: float) -> bool:
        if self._count_rejected(now) >= self._max_rejected:
            return False
        return self.count_in_use(now) < max(1, int(self.limit))

    @property
    def _max_rejected(self) -> int:
        """Return after how many rejections nothing is sent for a while."""
        return max(1, int(self.stands_per_s * REJECTED_SHARE))

    def _count_rejected(self, now: float) -> int:
        while self._rejected_at and self._rejected_at[0] <= now - REJECTION_WINDOW_S:
            self._rejected_at.popleft()
        return len(self._rejected_at)

    def _grant(self, request: PlaceRequest, now: float) -> PlaceDecision:
        expires_at = now + request.lasts_s + PLACE_MARGIN_S
        self._expiries_by_key[request.key] = expires_at
        return PlaceDecision(request, granted=True)

    def _refuse(self, request: PlaceRequest) -> PlaceDecision:
        wait_s = self._interval_s * (len(self._waiting) + 1)
        wait_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
        return PlaceDecision(request, granted=False, wait_s=wait_s)

    def _shorten_queue(self) -> list[PlaceDecision]:
        """Refuse the least urgent ones that would wait for too long."""
        decisions = []
        while len(self._waiting) > max(2, int(self.limit)):
            last = max(self._waiting)
            self._waiting.remove(last)
            heapq.heapify(self._waiting)
            decisions.append(self._refuse(last.request))
        return decisions

    def _widen(self, now: float) -> None:
        # Slowly beyond what is known, as each step too far costs a rejection.
        if self.limit < self._narrowed_to:
            self.limit = min(self._narrowed_to, self.limit + WIDENED_BY)
        elif now - self._narrowed_at > HOLD_S:
            step = WIDENED_BY / (10 * self.limit)
            self.limit = min(self.max_limit, self.limit + step)
        interval_s = min(1.0, max(0.0, now - self._freed_at))
        self._interval_s += 0.1 * (interval_s - self._interval_s)
        self._freed_at = now

    def _narrow(self, now: float) -> None:
        """Lower the limit once for the rejections of the same moment.

        The endpoint was full then, so it has no room for more than were there.
        Fewer were there than are counted here, as ends take a while to arrive.
        """
        self._rejected_at.append(now)
        if now - self._narrowed_at < DECREASE_PERIOD_S:
            return
        self._narrowed_at = now
        in_use = self.count_in_use(now)
        self.limit = max(1.0, min(self.limit, float(in_use)) - NARROWED_BY)
        self._narrowed_to = self.limit

"""Take permits at endpoints from their homes, and grant them as a home."""

import asyncio
import itertools
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from fescuekeel.components.allowance.concurrency import (
    ConcurrencyLimit,
    PermitDecision,
    PermitOutcome,
    PermitRequest,
)
from fescuekeel.components.allowance.const import (
    ASK_TIMEOUT_S,
    CONCURRENCY_PREFIX,
    CONCURRENCY_TTL_S,
    HOME_BACKOFF_S,
    MAX_ACCOUNTS,
    MIN_RETRY_AFTER_S,
)
from fescuekeel.core import Instance
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.peer_link import get_peer_link
from fescuekeel.messages import PeerMessage, PermitAnswer, PermitAsk, PermitEnded

__all__ = ["Permit", "PermitNeed", "Permits"]

MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class PermitNeed:
    """What a request needs at an endpoint.

    ``running`` are this instance's requests there, and the other fields those
    of ``PermitAsk``.
    """

    endpoint: str
    priority: int
    patience_s: float
    lasts_s: float
    running: int
    slots: int
    max_rejections_per_s: float
    is_new: bool = False


@dataclass(frozen=True, slots=True)
class Permit:
    """A permit for one request; ``home`` is empty if none has granted it."""

    endpoint: str
    number: int
    home: str


class Permits:
    """Own the permits of this instance, and the limits whose home it is."""

    def __init__(
        self,
        instance: Instance,
        list_homes: Callable[[str], list[str]],
        record_silent: Callable[[str, str], None],
        count_instances: Callable[[], int],
    ) -> None:
        self._instance = instance
        self._list_homes = list_homes
        self._record_silent = record_silent
        self._count_instances = count_instances
        self._numbers = itertools.count(1)
        self._held_by_endpoint: Counter[tuple[str, str]] = Counter()
        self._limits_by_endpoint: dict[str, ConcurrencyLimit] = {}
        self._asks_by_key: dict[tuple[str, str, int], PeerMessage] = {}
        self._timers_by_endpoint: dict[str, asyncio.TimerHandle] = {}

    def start(self) -> None:
        """Subscribe to the requests of peers."""
        bus = self._instance.bus
        bus.subscribe_peer(PermitAsk, self._handle_ask)
        bus.subscribe_peer(PermitEnded, self._handle_ended)
        self._instance.metrics.add_gauge("endpoint_concurrency", self._read_limits)

    # Requests of this instance.

    async def take(self, need: PermitNeed) -> Permit | float:
        """Take a permit; without one, return how many seconds to wait."""
        for home in self._list_homes(f"{CONCURRENCY_PREFIX}{need.endpoint}"):
            number = next(self._numbers)
            answer = await self._ask(home, need, number)
            if answer is None:
                self._record_silent(need.endpoint, home)
                continue
            outcome = "granted" if answer.granted else "refused"
            self._instance.metrics.count(f"endpoint_concurrency.{outcome}")
            if not answer.granted:
                return max(MIN_RETRY_AFTER_S, answer.wait_ms / MS_PER_S)
            self._held_by_endpoint[need.endpoint, home] += 1
            return Permit(need.endpoint, number, home)
        return self._take_even_part(need)

    def _take_even_part(self, need: PermitNeed) -> Permit | float:
        """Use this instance's part of the slots while no home answers."""
        if need.running >= max(1, need.slots // self._count_instances()):
            return HOME_BACKOFF_S
        return Permit(need.endpoint, 0, "")

    async def _ask(
        self, home: str, need: PermitNeed, number: int
    ) -> PermitAnswer | None:
        running = need.running - self._held_by_endpoint[need.endpoint, home]
        ask = PermitAsk(
            need.endpoint,
            number,
            need.priority,
            int(need.patience_s * MS_PER_S),
            int(need.lasts_s * MS_PER_S),
            max(0, running),
            need.slots,
            need.max_rejections_per_s,
            need.is_new,
        )
        link = get_peer_link(self._instance)
        timeout_s = need.patience_s + ASK_TIMEOUT_S
        try:
            answer = (await link.ask(home, ask, timeout_s)).value_or(None)
        except asyncio.CancelledError:
            # The permit may be granted to a request that is gone.
            link.send(home, PermitEnded(need.endpoint, number, PermitOutcome.UNUSED))
            raise
        if isinstance(answer, PermitAnswer):
            return answer
        link.send(home, PermitEnded(need.endpoint, number, PermitOutcome.UNUSED))
        return None

    def end(self, permit: Permit, outcome: PermitOutcome) -> None:
        """Return a permit, and report to its home how the request ended."""
        if not permit.home:
            return
        held = self._held_by_endpoint
        key = (permit.endpoint, permit.home)
        held[key] -= 1
        if held[key] <= 0:
            del held[key]
        ended = PermitEnded(permit.endpoint, permit.number, outcome)
        get_peer_link(self._instance).send(permit.home, ended)

    def report_rejected(self, endpoint: str) -> None:
        """Tell the home of a request without a permit that was rejected."""
        home = next(iter(self._list_homes(f"{CONCURRENCY_PREFIX}{endpoint}")), None)
        if home is not None:
            ended = PermitEnded(endpoint, 0, PermitOutcome.REJECTED)
            get_peer_link(self._instance).send(home, ended)

    # This instance as the home of limits.

    def _handle_ask(self, message: PeerMessage) -> None:
        ask = message.body
        assert isinstance(ask, PermitAsk)
        now = self._instance.now()
        limit = self._get_limit(ask)
        request = PermitRequest(
            message.sender,
            ask.number,
            ask.priority,
            ask.patience_ms / MS_PER_S,
            ask.lasts_ms / MS_PER_S,
            ask.running,
        )
        self._asks_by_key[ask.endpoint, *request.key] = message
        self._apply(ask.endpoint, limit, limit.ask(request, now))

    def _get_limit(self, ask: PermitAsk) -> ConcurrencyLimit:
        limit = self._limits_by_endpoint.get(ask.endpoint)
        if limit is None:
            self._forget_old()
            if len(self._limits_by_endpoint) >= MAX_ACCOUNTS:
                self._forget_limit(next(iter(self._limits_by_endpoint)))
            limit = ConcurrencyLimit(
                max(1, ask.slots), ask.max_rejections_per_s, ask.is_new
            )
            self._limits_by_endpoint[ask.endpoint] = limit
        limit.max_rejections_per_s = ask.max_rejections_per_s
        return limit

    def _handle_ended(self, message: PeerMessage) -> None:
        ended = message.body
        assert isinstance(ended, PermitEnded)
        limit = self._limits_by_endpoint.get(ended.endpoint)
        if limit is None:
            return
        try:
            outcome = PermitOutcome(ended.outcome)
        except ValueError:
            self._instance.metrics.count("endpoint_concurrency.unknown_outcome")
            outcome = PermitOutcome.BROKEN
        before = int(limit.value)
        key = (message.sender, ended.number)
        self._asks_by_key.pop((ended.endpoint, *key), None)
        decisions = limit.end(key, outcome, self._instance.now())
        if outcome is PermitOutcome.REJECTED:
            self._log_rejected(ended.endpoint, limit, before)
        self._apply(ended.endpoint, limit, decisions)

    def _log_rejected(
        self, endpoint: str, limit: ConcurrencyLimit, before: int
    ) -> None:
        self._instance.metrics.count("endpoint_concurrency.rejected")
        log_event(
            "concurrency_limit_lowered",
            endpoint=endpoint,
            limit=int(limit.value),
            before=before,
            slots=limit.slots,
            in_use=limit.count_in_use(self._instance.now()),
            max_rejections_per_s=limit.max_rejections_per_s,
            outcome="lowered" if int(limit.value) < before else "kept",
        )

    def _apply(
        self,
        endpoint: str,
        limit: ConcurrencyLimit,
        decisions: Iterable[PermitDecision],
    ) -> None:
        link = get_peer_link(self._instance)
        for decision in decisions:
            key = (endpoint, *decision.request.key)
            message = self._asks_by_key.pop(key, None)
            if message is not None:
                wait_ms = int(decision.wait_s * MS_PER_S)
                link.answer(message, PermitAnswer(decision.granted, wait_ms))
        self._schedule(endpoint, limit)

    def _schedule(self, endpoint: str, limit: ConcurrencyLimit) -> None:
        timer = self._timers_by_endpoint.pop(endpoint, None)
        if timer is not None:
            timer.cancel()
        delay_s = limit.get_next_check(self._instance.now())
        if delay_s < CONCURRENCY_TTL_S:
            loop = asyncio.get_running_loop()
            self._timers_by_endpoint[endpoint] = loop.call_later(
                delay_s, self._step, endpoint
            )

    def _step(self, endpoint: str) -> None:
        self._timers_by_endpoint.pop(endpoint, None)
        limit = self._limits_by_endpoint.get(endpoint)
        if limit is not None:
            self._apply(endpoint, limit, limit.step(self._instance.now()))

    def drop_instances(self, gone: Iterable[str]) -> None:
        """Free the permits of instances that are gone."""
        now = self._instance.now()
        lost = set(gone)
        for key in [key for key in self._asks_by_key if key[1] in lost]:
            del self._asks_by_key[key]
        for endpoint, limit in list(self._limits_by_endpoint.items()):
            self._apply(endpoint, limit, limit.drop_instances(lost, now))

    def _forget_old(self) -> None:
        """Remove limits that have not been used recently."""
        now = self._instance.now()
        for endpoint, limit in list(self._limits_by_endpoint.items()):
            if now - limit.updated_at > CONCURRENCY_TTL_S:
                self._forget_limit(endpoint)

    def _forget_limit(self, endpoint: str) -> None:
        del self._limits_by_endpoint[endpoint]
        timer = self._timers_by_endpoint.pop(endpoint, None)
        if timer is not None:
            timer.cancel()

    def _read_limits(self) -> dict[str, float]:
        return {id: limit.value for id, limit in self._limits_by_endpoint.items()}

"""Load and eviction orders of an owner to its endpoint."""

from collections.abc import Callable
from dataclasses import dataclass

from fescuekeel.components.owner import model
from fescuekeel.components.owner.const import (
    EVICT_TIMEOUT_S,
    LOAD_REPEAT_FACTOR,
    LOAD_TIMEOUT_FACTOR,
    MIN_LOAD_TIMEOUT_S,
    MIN_REPEAT_S,
    REPORT_TIMEOUT_S,
)
from fescuekeel.components.owner.ownership import Ownership
from fescuekeel.components.owner.scheduling import model as sched
from fescuekeel.core import Instance
from fescuekeel.helpers.driver import Driver, OrderOutcome
from fescuekeel.helpers.logging import log_event
from fescuekeel.messages import AdapterRef

__all__ = ["Orders"]

HELD = "held"
MS_PER_S = 1000


@dataclass(slots=True)
class Orders:
    """Send orders to the endpoint and post their outcomes to the owner.

    ``is_serving`` returns whether a request of any owner is known to run on
    an adapter, ``is_ended`` whether a request has ended here although a
    report may still list it.
    """

    instance: Instance
    endpoint: str
    driver: Driver
    turns: model.LoadTurns
    ownership: Ownership
    post: Callable[[object], None]
    is_serving: Callable[[AdapterRef], bool]
    is_ended: Callable[[str], bool]

    def request_turn(self, ask: sched.AskTurn) -> None:
        """Request a load turn."""
        self.instance.spawn(self._request_turn(ask), f"owner.{self.endpoint}.turn")

    def return_turn(self, adapter: AdapterRef) -> None:
        """Withdraw a request for a turn, or return an unused turn."""
        self.turns.withdraw(self.endpoint, adapter)

    def load(self, adapter: AdapterRef, load_s: float) -> None:
        """Order a load that is expected to take ``load_s`` seconds."""
        timeout_s = max(MIN_LOAD_TIMEOUT_S, LOAD_TIMEOUT_FACTOR * load_s)
        repeat_s = max(MIN_REPEAT_S, LOAD_REPEAT_FACTOR * load_s)
        work = self._load(adapter, timeout_s, repeat_s)
        self.instance.spawn(work, f"owner.{self.endpoint}.load")

    def evict(self, adapter: AdapterRef) -> None:
        """Order an eviction unless the adapter may be serving."""
        self.instance.spawn(self._evict(adapter), f"owner.{self.endpoint}.evict")

    def present_fence(self, adapter: AdapterRef) -> None:
        """Order a load of a loaded adapter, to present the fencing token."""
        self.instance.spawn(
            self._present_fence(adapter), f"owner.{self.endpoint}.confirm"
        )

    def record_load(self, done: model.LoadDone) -> None:
        """Return the turn; count and log the outcome."""
        outcome = done.outcome
        took_s = outcome.took_s if outcome.ok else 0.0
        self.turns.done(self.endpoint, done.adapter, took_s)
        if outcome.ok:
            self.instance.metrics.count("owner.loads")
            self.instance.metrics.observe("load", outcome.took_s)
            return
        self.instance.metrics.count("owner.load_failed")
        log_event(
            "load_failed",
            endpoint=self.endpoint,
            adapter=done.adapter,
            detail=outcome.detail,
        )

    def record_evict(self, done: model.EvictDone) -> None:
        """Count the outcome of an eviction."""
        if done.outcome.ok:
            self.instance.metrics.count("owner.evictions")
            return
        held = done.outcome.detail == HELD
        self.instance.metrics.count(
            "owner.evict_held" if held else "owner.evict_failed"
        )

    async def _request_turn(self, ask: sched.AskTurn) -> None:
        granted = await self.turns.request(
            self.endpoint, ask.adapter, ask.value, ask.waiting
        )
        if granted:
            self.post(model.LoadTurnGranted(ask.adapter))

    async def _load(
        self, adapter: AdapterRef, timeout_s: float, repeat_s: float
    ) -> None:
        outcome = await self._order_load(adapter, timeout_s, repeat_s)
        self.post(model.LoadDone(adapter, outcome))

    async def _present_fence(self, adapter: AdapterRef) -> None:
        outcome = await self._order_load(adapter, EVICT_TIMEOUT_S, MIN_REPEAT_S)
        self.post(model.FencePresented(outcome))

    async def _order_load(
        self, adapter: AdapterRef, timeout_s: float, repeat_s: float
    ) -> OrderOutcome:
        """Order a load, and order it again while no reply comes.

        Guards against a connection that fell silent, whose requests would wait
        for the timeout. A repeated order joins the load that is in progress.
        """
        ordered_at = self.instance.now()
        until = ordered_at + timeout_s
        while True:
            left_s = until - self.instance.now()
            outcome = await self.driver.load(
                adapter, self.ownership.fence, min(repeat_s, left_s), self._may_order
            )
            now = self.instance.now()
            if not outcome.unconfirmed or now >= until:
                return outcome
            self.instance.metrics.count("owner.load_repeated")
            log_event(
                "load_repeated",
                endpoint=self.endpoint,
                adapter=adapter,
                waited_ms=round((now - ordered_at) * MS_PER_S),
                outcome="repeated",
            )
            repeat_s *= 2

    async def _evict(self, adapter: AdapterRef) -> None:
        outcome = await self._order_evict(adapter)
        self.post(model.EvictDone(adapter, outcome))

    async def _order_evict(self, adapter: AdapterRef) -> OrderOutcome:
        """Poll the endpoint again, then order the eviction.

        Prevents cutting answers of an owner that this instance does not know
        of: one named by a different view, or one that dispatched just before
        the takeover. The report shows all but the most recent requests.
        """
        if self.is_serving(adapter):
            return self._hold(adapter, "serving")
        if not self._may_evict():
            return self._hold(adapter, "unsettled")
        report = await self.driver.report(REPORT_TIMEOUT_S)
        if report is None:
            return self._hold(adapter, "no_report")
        for call in report.running:
            if call.adapter == adapter and not self.is_ended(call.request_id):
                return self._hold(adapter, "reported", call.request_id)
        fence = self.ownership.fence
        outcome = await self.driver.evict(
            adapter,
            fence,
            EVICT_TIMEOUT_S,
            lambda: self._may_evict() and not self.is_serving(adapter),
        )
        log_event(
            "evict_ordered",
            endpoint=self.endpoint,
            adapter=adapter,
            fence=fence,
            listed=len(report.running),
            outcome="evicted" if outcome.ok else outcome.detail or "unconfirmed",
        )
        return outcome

    def _hold(
        self, adapter: AdapterRef, reason: str, request_id: str = ""
    ) -> OrderOutcome:
        log_event(
            "evict_held",
            endpoint=self.endpoint,
            adapter=adapter,
            reason=reason,
            request_id=request_id,
            outcome=HELD,
        )
        return OrderOutcome(False, detail=HELD)

    def _may_order(self) -> bool:
        return self.ownership.may_order(self.instance.now())

    def _may_evict(self) -> bool:
        return self.ownership.may_evict(self.instance.now())

"""The task that orders one endpoint's weights while this instance may."""

import asyncio
from collections.abc import Callable

from fescuekeel.components.placement.claims import Claims, make_fence
from fescuekeel.components.placement.const import (
    IDLE_LOOK_S,
    LOOK_PERIOD_S,
    RETRY_LOOK_S,
    TICK_S,
)
from fescuekeel.components.placement.model import AskEnded, GiveOrder
from fescuekeel.components.placement.order_count import ReportAge
from fescuekeel.components.placement.orders import OrderLink
from fescuekeel.components.placement.places import EndpointPlaces
from fescuekeel.core import Instance
from fescuekeel.helpers.dialect import (
    Dialect,
    EndpointReport,
    OrderReply,
    WeightOrder,
)
from fescuekeel.helpers.incarnation import UNTOLD_BORN_MS
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.published import Catalog, EndpointRecord

__all__ = ["EndpointHolder"]


class EndpointHolder:
    """Carry out what ``EndpointPlaces`` decides for one endpoint."""

    def __init__(
        self,
        instance: Instance,
        dialect: Dialect,
        claims: Claims,
        record: EndpointRecord,
        places: EndpointPlaces,
        on_ask_ended: Callable[[AskEnded], None],
        on_changed: Callable[[], None],
        may_load_model: Callable[[EndpointRecord], bool],
    ) -> None:
        self.places = places
        self.record = record
        self._instance = instance
        self._claims = claims
        self._on_ask_ended = on_ask_ended
        self._on_changed = on_changed
        self._may_load_model = may_load_model
        self._link = OrderLink(instance, dialect, record.id, record.address)
        self.has_held = False
        self._reported_at = 0.0
        self._held = False
        self._fence_shown = False
        self._woken = asyncio.Event()
        self._task = instance.spawn(self._run(), "placement.holder")

    def wake(self) -> None:
        """Look again soon: something was asked."""
        self._woken.set()

    def wake_if_asked(self) -> None:
        """Look again if an ask waits for a place that may be free by now."""
        if self.places.asks_by_number:
            self.wake()

    def close(self) -> None:
        """End the task and drop the connection."""
        self._task.cancel()
        self._link.close()

    async def _run(self) -> None:
        next_look = 0.0
        while True:
            newly = self._follow_claim()
            if newly or self._instance.now() >= next_look:
                await self._look()
                next_look = float("inf")
            if self._held and self.places.order_count.confirmed:
                await self._show_fence()
            if self._held:
                await self._step()
            next_look = min(next_look, self._get_next_look())
            await self._sleep(min(next_look, self.places.get_next_check()))

    def _get_next_look(self) -> float:
        """Return when a report is due, soon if orders wait for one."""
        now = self._instance.now()
        if self._held and not self.places.order_count.confirmed:
            return max(now + RETRY_LOOK_S, self.places.backoff.until)
        return now + (LOOK_PERIOD_S if self.places.needs_report(now) else IDLE_LOOK_S)

    def _follow_claim(self) -> bool:
        """Take in whether the endpoint is held; true if it newly is."""
        held = self._claims.is_held(self.record.name)
        newly = held and not self._held
        if newly:
            self._fence_shown = not self._claims.fenced
        if newly and not self.has_held:
            self.places.usage.begin(self._instance.now())
        self._held = held
        self.has_held = self.has_held or held
        return newly

    async def _show_fence(self) -> None:
        """Show the endpoint the fencing number, by an order without effect.

        Guards against a holder before that goes on ordering behind a cut, so
        that no report is ever new enough for an order of this one.
        """
        if self._fence_shown:
            return
        effect = self.places.choose_order_without_effect()
        self._fence_shown = effect is None or await self._give(effect, None)

    async def _sleep(self, next_look: float) -> None:
        left_s = next_look - self._instance.now()
        self._woken.clear()
        try:
            async with asyncio.timeout(max(0.01, min(left_s, TICK_S))):
                await self._woken.wait()
        except TimeoutError:
            return

    async def _look(self) -> None:
        """Ask for a report."""
        asked = self._instance.now()
        report = await self._link.report()
        now = self._instance.now()
        self._claims.note_contact(self.record.name, report is not None, now)
        if report is None or not self._is_ours(report):
            return
        self._reported_at = asked
        self._log_orders_of_another(report)
        before = self.places.list_servable()
        self.places.note_report(report, asked, now)
        if self.places.list_servable() != before:
            self._on_changed()

    def _log_orders_of_another(self, report: EndpointReport) -> None:
        count = self.places.order_count
        if count.compare(report.orders_taken) is not ReportAge.NEWER:
            return
        self._instance.metrics.count("placement.orders_of_another")
        log_event(
            "orders_of_another",
            endpoint=self.record.id,
            known=count.taken,
            reported=report.orders_taken,
            held=self.has_held,
            taken=self.places.count_taken(),
            outcome="seen",
        )

    def _is_ours(self, report: EndpointReport) -> bool:
        """Tell whether a report is of the start that this task orders.

        Guards against orders that rest on what an earlier start held, and
        against beliefs taken from one: an endpoint that has started again
        under its name answers at the same address. Nothing is ordered until
        the catalog has shown which start is in force.
        """
        if report.born_ms in (UNTOLD_BORN_MS, self.record.born_ms):
            return True
        self.places.order_count.note_doubt()
        log_event(
            "stale_incarnation_dropped",
            endpoint=self.record.id,
            source="report",
            born_ms=report.born_ms,
            newest_born_ms=self.record.born_ms,
            revision=0,
        )
        return False

    async def _step(self) -> None:
        """Carry out what is due, and what that makes due."""
        catalog = self._instance.bus.latest(Catalog)
        versions = catalog.versions_by_weights if catalog else {}
        while True:
            before = self.places.list_servable()
            may_load = self.places.has_model or self._may_load_model(self.record)
            effects = self.places.step(versions, self._instance.now(), may_load)
            if self.places.list_servable().keys() != before.keys():
                self._on_changed()
            if not effects:
                return
            stopped = False
            for effect in effects:
                if isinstance(effect, AskEnded):
                    self._on_ask_ended(effect)
                elif stopped:
                    self.places.withdraw(effect)
                else:
                    after_orders = self.places.order_count.taken
                    stopped = not await self._give(effect, after_orders)
            if stopped:
                return

    async def _give(self, effect: GiveOrder, after_orders: int | None) -> bool:
        """Give an order; return whether more may follow at once.

        Guards against a holder that goes on ordering behind a cut, each order
        in place of the one that failed, and never comes to ask for a report,
        which would show that the endpoint is out of contact.
        """
        endpoint = self.record.id
        name = self.record.name
        own = self._claims.own_by_endpoint.get(name)
        if own is None or not own.held:
            self.places.note_reply(effect, OrderReply.UNAVAILABLE, self._instance.now())
            return False
        order = WeightOrder(
            effect.kind,
            endpoint,
            effect.weights,
            self._instance.id,
            make_fence(own.term, self._instance.id),
            effect.version,
            after_orders,
        )
        asked = self._instance.now()
        self._claims.note_order(name, asked)
        reply = await self._link.order(order, self._may_order)
        now = self._instance.now()
        answered = reply is not None and reply is not OrderReply.UNAVAILABLE
        self._claims.note_order(name, now)
        self._claims.note_contact(name, answered, now)
        self.places.note_reply(effect, reply, now)
        outcome = "unanswered" if reply is None else reply.value
        self._instance.metrics.count(f"placement.order.{effect.kind}.{outcome}")
        if effect.again and reply is OrderReply.ACCEPTED:
            return True
        log_event(
            "order_given",
            endpoint=endpoint,
            kind=effect.kind.value,
            weights=str(effect.weights),
            version=effect.version or 0,
            again=effect.again,
            term=own.term,
            fence=order.fence,
            after_orders=after_orders,
            report_age_ms=round((asked - self._reported_at) * 1000),
            taken=self.places.count_taken(),
            places=self.places.places,
            outcome=outcome,
        )
        if reply is OrderReply.FENCED:
            self._claims.note_fenced(name, now)
        return answered and reply is not OrderReply.BUSY

    def _may_order(self) -> bool:
        return self._claims.may_order(self.record.name, self._instance.now())

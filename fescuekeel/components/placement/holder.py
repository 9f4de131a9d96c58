"""The task that sends orders to one endpoint while its claim is held."""

import asyncio
from collections.abc import Callable

from fescuekeel.components.endpoints import EndpointStates
from fescuekeel.components.placement.claims import Claims, make_fencing_token
from fescuekeel.components.placement.const import (
    IDLE_REPORT_PERIOD_S,
    REPORT_PERIOD_S,
    REPORT_RETRY_S,
    TICK_S,
)
from fescuekeel.components.placement.model import LoadResult, SendOrder
from fescuekeel.components.placement.order_count import ReportAge
from fescuekeel.components.placement.orders import OrderLink
from fescuekeel.components.placement.scheduler import AdapterScheduler
from fescuekeel.components.relay import Relay
from fescuekeel.core import Instance
from fescuekeel.helpers.dialect import (
    Dialect,
    EndpointReport,
    OrderReply,
    WeightOrder,
)
from fescuekeel.helpers.incarnation import UNKNOWN_BORN_MS
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.published import (
    Catalog,
    EndpointRecord,
    EngineSpec,
    Weights,
)

__all__ = ["EndpointHolder"]


class EndpointHolder:
    """Carry out the decisions of ``AdapterScheduler`` for one endpoint."""

    def __init__(
        self,
        instance: Instance,
        dialect: Dialect,
        claims: Claims,
        record: EndpointRecord,
        scheduler: AdapterScheduler,
        relay: Relay,
        endpoints: EndpointStates,
        on_load_ended: Callable[[LoadResult], None],
        on_changed: Callable[[], None],
        may_load_model: Callable[[EndpointRecord], bool],
        get_engine: Callable[[EndpointRecord], EngineSpec | None],
    ) -> None:
        self.scheduler = scheduler
        self.record = record
        self._endpoints = endpoints
        self._instance = instance
        self._claims = claims
        self._on_load_ended = on_load_ended
        self._on_changed = on_changed
        self._may_load_model = may_load_model
        self._get_engine = get_engine
        self._engine: EngineSpec | None = None
        self._link = OrderLink(instance, dialect, relay, endpoints, record)
        self.has_held = False
        self._report_requested_at = 0.0
        self._held = False
        self._fencing_token_sent = False
        self._was_over_memory = False
        self._wake_event = asyncio.Event()
        name = f"placement.holder.{record.name}"
        self._task = instance.keep_running(self._run, name, is_local=True)

    def wake(self) -> None:
        """Run the next step soon, after a new request."""
        self._wake_event.set()

    def wake_if_waiting(self) -> None:
        """Run the next step soon if a request waits for an adapter slot."""
        if self.scheduler.requests_by_number:
            self.wake()

    def close(self) -> None:
        """Cancel the task and close the connection."""
        self._task.cancel()
        self._link.close()

    async def _run(self) -> None:
        """Carry out decisions until cancelled.

        A failure counts as lost contact: if the work goes on failing, the
        claim is given up as that to an endpoint that does not answer.
        """
        try:
            await self._carry_out_forever()
        except Exception:
            now = self._instance.now()
            self._claims.record_contact(self.record.name, answered=False, now=now)
            raise

    async def _carry_out_forever(self) -> None:
        next_report = 0.0
        while True:
            newly_held = self._update_held()
            if newly_held or self._instance.now() >= next_report:
                await self._fetch_report()
                next_report = float("inf")
            if self._held and not self.is_backed_off:
                if self.scheduler.order_count.confirmed:
                    await self._send_fencing_token()
                await self._step()
            next_report = min(next_report, self._get_next_report_time())
            await self._sleep(min(next_report, self.scheduler.get_next_check()))

    def _get_next_report_time(self) -> float:
        """Return when a report is due, soon if orders wait for one."""
        now = self._instance.now()
        if self._held and not self.scheduler.order_count.confirmed:
            return max(now + REPORT_RETRY_S, self.scheduler.backoff.until)
        return now + (
            REPORT_PERIOD_S
            if self.scheduler.needs_report(now)
            else IDLE_REPORT_PERIOD_S
        )

    def _update_held(self) -> bool:
        """Update whether the endpoint is held; return whether it newly is."""
        held = self._claims.is_held(self.record.name)
        newly_held = held and not self._held
        if newly_held:
            self._fencing_token_sent = not self._claims.fenced
        if newly_held and not self.has_held:
            self.scheduler.usage.record_claim_held(self._instance.now())
        self._held = held
        self.has_held = self.has_held or held
        return newly_held

    async def _send_fencing_token(self) -> None:
        """Announce the fencing token to the endpoint with a no-op order.

        Guards against a previous holder that keeps sending orders behind a
        partition, so that every order of this one is based on an outdated
        report.
        """
        if self._fencing_token_sent or self.scheduler.is_over_memory:
            return
        effect = self.scheduler.choose_noop_order()
        self._fencing_token_sent = effect is None or await self._send_order(
            effect, None
        )

    async def _sleep(self, until: float) -> None:
        left_s = until - self._instance.now()
        self._wake_event.clear()
        try:
            async with asyncio.timeout(max(0.01, min(left_s, TICK_S))):
                await self._wake_event.wait()
        except TimeoutError:
            return

    async def _fetch_report(self) -> None:
        """Request a report and apply it."""
        requested_at = self._instance.now()
        report = await self._link.fetch_report()
        # Healthy endpoints may pause for somewhat over a second.
        in_contact = report is not None or await self._link.is_reachable()
        now = self._instance.now()
        self._claims.record_contact(self.record.name, in_contact, now)
        if report is None or not self._is_current_incarnation(report):
            return
        self._report_requested_at = requested_at
        self._log_foreign_orders(report)
        before = self.scheduler.list_servable()
        missing = self.scheduler.record_report(report, requested_at, now)
        self._log_missing_loads(missing, report)
        if self.scheduler.list_servable() != before:
            self._on_changed()

    def _log_memory(self) -> None:
        """Log when orders end, or go on, by the memory of the endpoint."""
        is_over = self.scheduler.is_over_memory
        if is_over == self._was_over_memory:
            return
        self._was_over_memory = is_over
        self._instance.metrics.count("placement.over_memory", int(is_over))
        log_event(
            "endpoint_memory",
            endpoint=self.record.id,
            used_mb=round(self.scheduler.occupied_mb),
            memory_mb=round(self.scheduler.memory.capacity_mb or 0),
            taken=self.scheduler.count_occupied(),
            outcome="no_orders" if is_over else "orders",
        )

    def _log_foreign_orders(self, report: EndpointReport) -> None:
        count = self.scheduler.order_count
        if count.compare(report.orders_taken) is not ReportAge.NEWER:
            return
        self._instance.metrics.count("placement.orders_of_another")
        log_event(
            "orders_of_another",
            endpoint=self.record.id,
            known=count.value,
            reported=report.orders_taken,
            held=self.has_held,
            taken=self.scheduler.count_occupied(),
            outcome="seen",
        )

    def _log_missing_loads(
        self, missing: list[Weights], report: EndpointReport
    ) -> None:
        for weights in missing:
            self._instance.metrics.count("placement.load_missing")
            log_event(
                "load_missing",
                endpoint=self.record.id,
                weights=str(weights),
                reported=report.orders_taken,
                taken=self.scheduler.count_occupied(),
                places=self.scheduler.adapter_capacity,
                outcome="dropped",
            )

    def _is_current_incarnation(self, report: EndpointReport) -> bool:
        """Return whether a report is of the incarnation managed here.

        A restarted endpoint answers at the same address. Guards against orders
        based on what an earlier incarnation held, and against applying reports
        of another one. No order is sent until the catalog shows the current
        one.
        """
        if report.born_ms in (UNKNOWN_BORN_MS, self.record.born_ms):
            return True
        self.scheduler.order_count.mark_unknown()
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
        """Carry out what is due, and what becomes due thereby."""
        self._apply_configuration()
        self._log_memory()
        catalog = self._instance.bus.latest(Catalog)
        versions = catalog.versions_by_weights if catalog else {}
        while True:
            before = self.scheduler.list_servable()
            may_load = self.scheduler.has_model or self._may_load_model(self.record)
            effects = self.scheduler.step(versions, self._instance.now(), may_load)
            if self.scheduler.list_servable().keys() != before.keys():
                self._on_changed()
            if not effects:
                return
            stopped = False
            for effect in effects:
                if isinstance(effect, LoadResult):
                    self._on_load_ended(effect)
                elif stopped or not self._apply_configuration():
                    self.scheduler.withdraw(effect)
                else:
                    after_orders = self.scheduler.order_count.value
                    stopped = not await self._send_order(effect, after_orders)
            if stopped:
                return

    def _apply_configuration(self) -> bool:
        """Use the capacities in force now.

        Returns false if less fits than what is decided to be ordered.
        """
        engine = self._get_engine(self.record)
        if engine is not None and engine is not self._engine:
            self._engine = engine
            self.scheduler.apply_engine(engine)
        return not self.scheduler.is_over_memory

    async def _send_order(self, effect: SendOrder, after_orders: int | None) -> bool:
        """Send an order; return whether more may follow at once.

        Guards against a holder behind a partition that replaces each failed
        order by another and never requests the report that would show the
        endpoint to be out of contact.
        """
        endpoint = self.record.id
        name = self.record.name
        own = self._claims.own_claims_by_endpoint.get(name)
        if own is None or not own.held:
            self.scheduler.record_reply(
                effect, OrderReply.UNAVAILABLE, self._instance.now()
            )
            return False
        order = WeightOrder(
            effect.kind,
            endpoint,
            effect.weights,
            self._instance.id,
            make_fencing_token(own.term, self._instance.id),
            effect.version,
            after_orders,
        )
        sent_at = self._instance.now()
        self._claims.record_order(name, sent_at)
        reply = await self._link.send_order(order, self._may_order)
        now = self._instance.now()
        answered = reply is not None and reply is not OrderReply.UNAVAILABLE
        self._claims.record_order(name, now)
        self._claims.record_contact(name, answered, now)
        self.scheduler.record_reply(effect, reply, now)
        outcome = "unanswered" if reply is None else reply.value
        self._instance.metrics.count(f"placement.order.{effect.kind}.{outcome}")
        if effect.is_repeat and reply is OrderReply.ACCEPTED:
            return True
        log_event(
            "order_given",
            endpoint=endpoint,
            kind=effect.kind.value,
            weights=str(effect.weights),
            version=effect.version or 0,
            again=effect.is_repeat,
            term=own.term,
            fence=order.fence,
            after_orders=after_orders,
            report_age_ms=round((sent_at - self._report_requested_at) * 1000),
            taken=self.scheduler.count_occupied(),
            places=self.scheduler.adapter_capacity,
            used_mb=round(self.scheduler.occupied_mb),
            memory_mb=round(self.scheduler.memory.capacity_mb or 0),
            outcome=outcome,
        )
        if reply is OrderReply.FENCED:
            self._claims.record_fenced(name, now)
        return answered and reply is not OrderReply.BUSY

    @property
    def is_backed_off(self) -> bool:
        """Return whether the endpoint wants no orders for a time.

        Reports are still read: without them the claim would be given up.
        """
        return self._endpoints.find_block(self.record.id) is not None

    def _may_order(self) -> bool:
        catalog = self._instance.bus.latest(Catalog)
        if catalog is not None and self.record.id not in catalog.endpoints_by_id:
            return False
        return self._claims.may_order(self.record.name, self._instance.now())

"""Decide which adapters an endpoint holds.

Places are scarce: an endpoint has some twenty for thousands of adapters. A
place that an order has not yet freed, or may have taken, counts as taken: an
endpoint that is ordered to hold more than it can stops for good.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from fescuekeel.components.placement.backoff import OrderBackoff
from fescuekeel.components.placement.const import (
    CHECK_PERIOD_S,
    LOAD_S,
    MAX_ASKS,
    MAX_ASKS_BEFORE_SPREAD,
    MAX_PENDING,
    MIN_STAY_S,
    MODEL_LOAD_LOST_S,
    MODEL_RETRY_S,
    ORDER_LOST_S,
)
from fescuekeel.components.placement.holdings import Holdings
from fescuekeel.components.placement.load_clock import LoadClock
from fescuekeel.components.placement.model import (
    Ask,
    AskEnded,
    Effect,
    GiveOrder,
    Order,
)
from fescuekeel.components.placement.order_count import OrderCount, ReportAge
from fescuekeel.components.placement.usage import WeightUsage
from fescuekeel.helpers.dialect import EndpointReport, OrderKind, OrderReply
from fescuekeel.helpers.published import Weights

__all__ = ["EndpointPlaces"]


@dataclass(slots=True)
class EndpointPlaces:
    """Hold what one endpoint has, what is on its way, and who wants what.

    All of it is as it was after ``order_count.taken`` orders. Nothing is
    ordered until a report has shown that.
    """

    places: int
    model: str
    holdings: Holdings = field(default_factory=Holdings)
    orders_by_weights: dict[Weights, Order] = field(default_factory=dict)
    asks_by_number: dict[int, Ask] = field(default_factory=dict)
    usage: WeightUsage = field(default_factory=WeightUsage)
    backoff: OrderBackoff = field(default_factory=OrderBackoff)
    order_count: OrderCount = field(default_factory=OrderCount)
    running: int = 0
    _clock: LoadClock = field(default_factory=LoadClock)
    _foreign_pending: frozenset[Weights] = frozenset()
    _model_asked: float = float("-inf")

    @property
    def held(self) -> dict[Weights, int]:
        """Return what the endpoint holds, with versions."""
        return self.holdings.held

    @property
    def has_model(self) -> bool:
        """Tell whether the base model is there, without which nothing is."""
        return Weights(self.model) in self.held

    @property
    def load_s(self) -> float:
        """Return how long a load from the weight store takes, by the last."""
        return self._clock.cold_s

    def needs_report(self, now: float) -> bool:
        """Tell whether something is under way that only a report will show."""
        overdue = any(
            order.accepted
            and (order.kind is OrderKind.UNLOAD or now - order.given > 2 * LOAD_S)
            for order in self.orders_by_weights.values()
        )
        return overdue or bool(self._foreign_pending) or not self.has_model

    def count_waiting_tokens(self) -> int:
        """Return the tokens of the prompts that wait for loads here."""
        return sum(ask.tokens for ask in self.asks_by_number.values())

    def list_servable(self) -> dict[Weights, int]:
        """Return what requests can be sent to: held, and not to be dropped."""
        return {
            weights: version
            for weights, version in self.held.items()
            if weights not in self.orders_by_weights
        }

    def read_version(self, weights: Weights) -> int | None:
        """Return the version that requests can be sent to, if there is one."""
        if weights in self.orders_by_weights:
            return None
        return self.held.get(weights)

    def count_taken(self) -> int:
        """Return how many places are taken or may be."""
        adapters = {weights for weights in self.held if weights.adapter}
        coming = {
            weights
            for weights, order in self.orders_by_weights.items()
            if weights.adapter and order.kind is OrderKind.LOAD
        }
        return len(adapters | coming | self._foreign_pending)

    # Events.

    def has_room_to_ask(self, weights: Weights, spread: bool, now: float) -> bool:
        """Tell whether one more wish can be met in reasonable time."""
        if self.backoff.is_blocked(now):
            return False
        waited_for = {
            ask.weights for ask in self.asks_by_number.values() if not ask.spread
        }
        if weights in waited_for:
            return True
        return len(waited_for) < (MAX_ASKS_BEFORE_SPREAD if spread else MAX_ASKS)

    def can_load_now(self, weights: Weights, now: float) -> bool:
        """Tell whether a load could be ordered at once, or is under way."""
        if weights in self.held or weights in self.orders_by_weights:
            return True
        waiting = {ask.weights for ask in self.asks_by_number.values()}
        if weights in waiting:
            return True
        unserved = waiting - self.held.keys() - self.orders_by_weights.keys()
        if unserved or self._count_pending() >= self._clock.max_at_once:
            return False
        if self.count_taken() < self.places:
            return True
        return self._choose_victim(weights, False, now) is not None

    def ask(self, ask: Ask) -> None:
        """Take a wish."""
        self.asks_by_number[ask.number] = ask

    def note_report(self, report: EndpointReport, asked: float, now: float) -> None:
        """Take a report that was asked for at ``asked``.

        Guards against a report that is older than an order: what it shows
        lags by a fraction of a second.
        """
        self.running = report.running
        self.usage.note_report(report.running)
        current = self.order_count.compare(report.orders_taken) is ReportAge.CURRENT
        if not self.order_count.note_report(report.orders_taken, asked):
            return
        own = self.orders_by_weights
        self.holdings.take_report(report, current, own, now)
        self._foreign_pending = frozenset(report.pending - own.keys())
        for weights, order in list(own.items()):
            if self._is_done(weights, order, report):
                del own[weights]
            elif weights in report.pending:
                continue
            elif asked - order.given > self._get_patience_s(weights):
                del own[weights]

    def _is_done(self, weights: Weights, order: Order, report: EndpointReport) -> bool:
        held = weights in self.held
        if order.kind is OrderKind.UNLOAD:
            return not held
        if weights in report.pending or not held:
            return False
        return order.version is None or self.held[weights] >= order.version

    def _get_patience_s(self, weights: Weights) -> float:
        return ORDER_LOST_S if weights.adapter else MODEL_LOAD_LOST_S

    def note_reply(
        self, order: GiveOrder, reply: OrderReply | None, now: float
    ) -> None:
        """Take how an order was answered; ``None`` is no answer.

        An order without an answer may have been accepted, and keeps its place
        until reports show otherwise. So does one that was given again: its
        first giving still counts.
        """
        weights = order.weights
        under_way = self.orders_by_weights.get(weights)
        if under_way is None:
            return
        self.order_count.note_reply(order, reply, now)
        if reply is OrderReply.HOLDS_ALREADY:
            del self.orders_by_weights[weights]
            self._note_done(order, under_way.given, now)
        elif reply is None or reply is OrderReply.ACCEPTED or order.again:
            under_way.accepted = True
        else:
            del self.orders_by_weights[weights]
        self.backoff.note(reply, now)

    def withdraw(self, order: GiveOrder) -> None:
        """Take back an order that was decided on, and not given."""
        if not order.again:
            self.orders_by_weights.pop(order.weights, None)

    def _note_done(self, order: GiveOrder, given: float, now: float) -> None:
        weights = order.weights
        if order.kind is OrderKind.UNLOAD:
            self.holdings.note_dropped(weights, now)
            return
        warm = self.holdings.is_warm(weights)
        self.holdings.note_loaded(weights, order.version or 0, given, now)
        self._clock.note(now - given, warm or not order.again)

    # The decision.

    def step(
        self,
        versions_by_weights: dict[Weights, int],
        now: float,
        may_load_model: bool = True,
    ) -> list[Effect]:
        """Return what is due now.

        ``may_load_model`` says that it is this endpoint's turn to load its
        base model.
        """
        effects: list[Effect] = list(self._end_asks(now))
        if not self.order_count.confirmed:
            return effects
        if not self.has_model:
            return effects + (self._load_model(now) if may_load_model else [])
        if not self.backoff.may_order(now):
            return effects
        effects += self._check_orders(now)
        effects += self._renew(versions_by_weights, now)
        effects += self._serve_asks(now)
        return effects

    def choose_order_without_effect(self) -> GiveOrder | None:
        """Return an order that changes nothing, ``None`` if none is sure to.

        It names the base model, which takes no adapter's place, in a version
        that was told: without one, an order brings the newest version.
        """
        weights = Weights(self.model)
        version = self.held.get(weights)
        if not version or weights in self.orders_by_weights:
            return None
        return GiveOrder(OrderKind.LOAD, weights, version, again=True)

    def get_next_check(self) -> float:
        """Return when ``step`` is due again."""
        due = min(
            (order.next_check for order in self.orders_by_weights.values()),
            default=float("inf"),
        )
        return max(due, self.backoff.until)

    def _check_orders(self, now: float) -> list[Effect]:
        """Give the loads under way again, to learn whether they are done."""
        effects: list[Effect] = []
        for weights, order in self.orders_by_weights.items():
            if now < order.next_check:
                continue
            order.next_check = now + CHECK_PERIOD_S
            effects.append(GiveOrder(order.kind, weights, order.version, True))
        return effects

    def _end_asks(self, now: float) -> Iterable[AskEnded]:
        for ask in list(self.asks_by_number.values()):
            servable = ask.weights in self.held
            servable = servable and ask.weights not in self.orders_by_weights
            if servable and self.held[ask.weights] >= ask.version:
                del self.asks_by_number[ask.number]
                yield self._end_loaded(ask)
            elif now >= ask.until:
                del self.asks_by_number[ask.number]
                yield AskEnded(ask.number, loaded=False, detail="no place in time")

    def _end_loaded(self, ask: Ask) -> AskEnded:
        version = self.held[ask.weights]
        times = self.holdings.get_load_times(ask.weights)
        if times is None:
            return AskEnded(ask.number, loaded=True, version=version)
        return AskEnded(
            ask.number,
            loaded=True,
            version=version,
            place_s=max(0.0, times.ordered - ask.since),
            load_s=times.held - times.ordered,
        )

    def _load_model(self, now: float) -> list[Effect]:
        weights = Weights(self.model)
        under_way = weights in self.orders_by_weights
        if under_way or now - self._model_asked < MODEL_RETRY_S:
            return []
        self._model_asked = now
        return [self._order(OrderKind.LOAD, weights, None, now)]

    def _order(
        self, kind: OrderKind, weights: Weights, version: int | None, now: float
    ) -> GiveOrder:
        look_s = self._clock.get_first_look_s(warm=self.holdings.is_warm(weights))
        if kind is OrderKind.UNLOAD or not weights.adapter:
            look_s = float("inf")
        self.orders_by_weights[weights] = Order(kind, version, now, now + look_s)
        return GiveOrder(kind, weights, version)

    def _renew(
        self, versions_by_weights: dict[Weights, int], now: float
    ) -> list[Effect]:
        """Replace adapters of which a newer version was named.

        A replacement takes the place of the old version, so that it needs no
        other one.
        """
        effects: list[Effect] = []
        for weights, version in self.held.items():
            newest = versions_by_weights.get(weights, version)
            if newest > version and weights not in self.orders_by_weights:
                effects.append(self._order(OrderKind.LOAD, weights, newest, now))
        return effects

    def _serve_asks(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        pending = self._count_pending()
        served: set[Weights] = set()
        asks = self.asks_by_number.values()
        for ask in sorted(asks, key=lambda ask: self._rank_ask(ask, now)):
            weights = ask.weights
            if weights in self.orders_by_weights or weights in self._foreign_pending:
                continue
            if pending >= self._clock.max_at_once:
                break
            if weights in served:
                continue
            served.add(weights)
            if weights not in self.held and self.count_taken() >= self.places:
                effects += self._make_room(weights, ask.spread, now)
                continue
            version = ask.version or None
            effects.append(self._order(OrderKind.LOAD, weights, version, now))
            pending += 1
        return effects

    def _count_pending(self) -> int:
        loads = sum(
            order.kind is OrderKind.LOAD for order in self.orders_by_weights.values()
        )
        return loads + len(self._foreign_pending)

    def _rank_ask(self, ask: Ask, now: float) -> tuple[bool, bool, int, float]:
        """Rank the asks that can still be in time first, by urgency.

        One that is late already is worth a third to its caller whenever it
        comes, and must not make others late.
        """
        return ask.spread, now > ask.on_time_until, ask.priority, ask.since

    def _make_room(self, weights: Weights, spread: bool, now: float) -> list[Effect]:
        """Unload the least wanted adapter that nobody uses.

        It goes without a notice: whoever wants to send a prompt there asks
        for its turn first, and hears that the adapter is gone. Saves the
        quarter of a second of a notice, and places kept free to hide it, in
        front of most loads.
        """
        going = sum(
            order.kind is OrderKind.UNLOAD for order in self.orders_by_weights.values()
        )
        if going >= MAX_PENDING:
            return []
        victim = self._choose_victim(weights, spread, now)
        if victim is None:
            return []
        return [self._order(OrderKind.UNLOAD, victim, None, now)]

    def _choose_victim(
        self, weights: Weights, spread: bool, now: float
    ) -> Weights | None:
        wanted = {item.weights for item in self.asks_by_number.values()}
        idle = [
            held
            for held in self.held
            if held.adapter
            and held not in wanted
            and held not in self.orders_by_weights
            and not self.usage.is_in_use(held, now)
            and now - self._read_loaded(held, now) >= MIN_STAY_S
        ]
        victim = min(
            idle, key=lambda item: self.usage.read_demand(item, now), default=None
        )
        if victim is None or not spread:
            return victim
        # One more copy is not worth another adapter that is asked for as much.
        gain = self.usage.read_demand(weights, now)
        return victim if self.usage.read_demand(victim, now) < gain / 2 else None

    def _read_loaded(self, weights: Weights, now: float) -> float:
        times = self.holdings.get_load_times(weights)
        return times.held if times else now

"""Decide which adapters an endpoint holds.

An endpoint has slots, and memory, for a small fraction of the adapters. What
an order may have taken, or has not yet freed, counts as occupied: an endpoint
that is ordered to hold more than its capacity crashes.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from fescuekeel.components.placement.backoff import OrderBackoff
from fescuekeel.components.placement.const import (
    CHECK_PERIOD_S,
    LOAD_S,
    MAX_AWAITED_ADAPTERS,
    MAX_AWAITED_BEFORE_REPLICA,
    MAX_PENDING,
    MIN_RESIDENCY_S,
    MODEL_RETRY_S,
)
from fescuekeel.components.placement.holdings import Holdings
from fescuekeel.components.placement.load_estimator import LoadTimeEstimator
from fescuekeel.components.placement.model import (
    Effect,
    LoadRequest,
    LoadResult,
    Order,
    SendOrder,
)
from fescuekeel.components.placement.order_count import OrderCount
from fescuekeel.components.placement.order_progress import (
    OrderProgress,
    read_progress,
)
from fescuekeel.components.placement.usage import WeightUsage
from fescuekeel.helpers.dialect import EndpointReport, OrderKind, OrderReply
from fescuekeel.helpers.published import EngineSpec, Weights
from fescuekeel.helpers.weight_memory import WeightMemory

__all__ = ["AdapterScheduler"]


@dataclass(slots=True)
class AdapterScheduler:
    """Track one endpoint's weights, orders and load requests.

    The state is the one after ``order_count.value`` orders. No order is sent
    until a report has confirmed it. ``model`` is the base model that an
    endpoint without any is to load.
    """

    adapter_capacity: int
    model: str
    holdings: Holdings = field(default_factory=Holdings)
    orders_by_weights: dict[Weights, Order] = field(default_factory=dict)
    requests_by_number: dict[int, LoadRequest] = field(default_factory=dict)
    usage: WeightUsage = field(default_factory=WeightUsage)
    backoff: OrderBackoff = field(default_factory=OrderBackoff)
    order_count: OrderCount = field(default_factory=OrderCount)
    running: int = 0
    memory: WeightMemory = field(default_factory=WeightMemory)
    _estimator: LoadTimeEstimator = field(default_factory=LoadTimeEstimator)
    _foreign_pending: frozenset[Weights] = frozenset()
    _is_foreign_model_pending: bool = False
    _model_ordered_at: float = float("-inf")

    @property
    def held(self) -> dict[Weights, int]:
        """Return the weights that the endpoint holds, with versions."""
        return self.holdings.held

    @property
    def has_model(self) -> bool:
        """Return whether a base model, which adapters need, is loaded."""
        return self._find_held_model() is not None

    @property
    def is_over_memory(self) -> bool:
        """Return whether the endpoint holds more than its memory should.

        The configuration may have changed, or another holder ordered it.
        """
        return not self.memory.has_room_for(self._list_occupied())

    @property
    def occupied_mb(self) -> float:
        """Return the memory that is or may be occupied."""
        return self.memory.measure_mb(self._list_occupied())

    @property
    def load_s(self) -> float:
        """Return the estimated time of a load from the weight store."""
        return self._estimator.cold_load_s

    def needs_report(self, now: float) -> bool:
        """Return whether progress is pending that only a report shows."""
        overdue = any(
            order.accepted
            and (order.kind is OrderKind.UNLOAD or now - order.sent_at > 2 * LOAD_S)
            for order in self.orders_by_weights.values()
        )
        return overdue or bool(self._foreign_pending) or not self.has_model

    def count_waiting_tokens(self) -> int:
        """Return the tokens of the prompts that wait for loads here."""
        return sum(request.tokens for request in self.requests_by_number.values())

    def list_servable(self) -> dict[Weights, int]:
        """Return the weights that can serve requests: held, with no order."""
        return {
            weights: version
            for weights, version in self.held.items()
            if weights not in self.orders_by_weights
        }

    def get_servable_version(self, weights: Weights) -> int | None:
        """Return the version that can serve requests, if any."""
        if weights in self.orders_by_weights:
            return None
        return self.held.get(weights)

    def count_occupied(self) -> int:
        """Return how many adapter slots are or may be occupied."""
        return sum(bool(weights.adapter) for weights in self._list_occupied())

    def _list_occupied(self) -> set[Weights]:
        """Return the weights that occupy the endpoint, or may do so.

        An adapter that is replaced by a newer version counts once, and one
        that is being unloaded until a report shows that it is gone.
        """
        loading = {
            weights
            for weights, order in self.orders_by_weights.items()
            if order.kind is OrderKind.LOAD
        }
        occupied = self.held.keys() | loading | self._foreign_pending
        if self._is_foreign_model_pending:
            occupied |= self._list_largest_other_model()
        return occupied

    def _list_largest_other_model(self) -> set[Weights]:
        """Return the largest model that another holder may have ordered."""
        others = {Weights(name) for name in self.memory.models_by_name}
        others -= self.held.keys()
        if not others:
            return set()
        return {max(others, key=lambda weights: self.memory.measure_mb([weights]))}

    def _has_room(self, weights: Weights) -> bool:
        """Return whether weights can be loaded beside all that may be there.

        A newer version takes the place of the one that it replaces.
        """
        occupied = self._list_occupied()
        if weights in occupied:
            return True
        if weights.adapter and self.count_occupied() >= self.adapter_capacity:
            return False
        return self.memory.has_room_for(occupied | {weights})

    def _find_held_model(self) -> Weights | None:
        """Return a base model that the endpoint holds, if any."""
        if Weights(self.model) in self.held:
            return Weights(self.model)
        configured = map(Weights, self.memory.models_by_name)
        return next((model for model in configured if model in self.held), None)

    # Inputs.

    def apply_engine(self, engine: EngineSpec) -> None:
        """Use the capacities of the configuration in force."""
        self.adapter_capacity = engine.max_loaded_adapters
        self.memory = WeightMemory.of_engine(engine)
        if self.model not in engine.models_by_name and engine.models_by_name:
            self.model = next(iter(engine.models_by_name))

    def accepts_request(self, weights: Weights, is_replica: bool, now: float) -> bool:
        """Return whether one more load request can be met soon enough."""
        if self.backoff.is_blocked(now) or not self._may_hold_soon(weights):
            return False
        awaited = {
            request.weights
            for request in self.requests_by_number.values()
            if not request.is_replica
        }
        if weights in awaited:
            return True
        return len(awaited) < (
            MAX_AWAITED_BEFORE_REPLICA if is_replica else MAX_AWAITED_ADAPTERS
        )

    def _may_hold_soon(self, weights: Weights) -> bool:
        """Return whether weights fit beside the base model that is there."""
        if weights in self.held:
            return True
        model = self._find_held_model() or Weights(self.model)
        if weights.model != model.model and Weights(weights.model) not in self.held:
            return False
        return self.memory.can_ever_hold(weights) and not self.is_over_memory

    def can_load_now(self, weights: Weights, now: float) -> bool:
        """Return whether a load can be ordered at once, or is in progress."""
        if weights in self.held or weights in self.orders_by_weights:
            return True
        waiting = {request.weights for request in self.requests_by_number.values()}
        if weights in waiting:
            return True
        unserved = waiting - self.held.keys() - self.orders_by_weights.keys()
        if unserved or self._count_pending() >= self._estimator.max_concurrent:
            return False
        if not self._may_hold_soon(weights):
            return False
        return self._has_room(weights) or self._can_make_room(weights, now)

    def add_request(self, request: LoadRequest) -> None:
        """Add a load request."""
        self.requests_by_number[request.number] = request

    def record_report(
        self, report: EndpointReport, requested_at: float, now: float
    ) -> list[Weights]:
        """Apply a report that was requested at ``requested_at``.

        Return the weights of own loads that it shows to be missing. Guards
        against a report that is older than an order, since reports lag.
        """
        self.running = report.running
        self.usage.record_report(report.running)
        current = report.orders_taken == self.order_count.value
        if not self.order_count.record_report(report.orders_taken, requested_at):
            return []
        own = self.orders_by_weights
        self.holdings.apply_report(report, current, own, now)
        loading = {
            weights for weights, order in own.items() if order.kind is OrderKind.LOAD
        }
        self._foreign_pending = report.pending - loading
        orders_model = any(not weights.adapter for weights in loading)
        self._is_foreign_model_pending = report.busy and not orders_model
        progress_by_weights = {
            weights: read_progress(weights, order, report, self.held, requested_at)
            for weights, order in own.items()
        }
        for weights, progress in progress_by_weights.items():
            if progress is not OrderProgress.PENDING:
                del own[weights]
        return [
            weights
            for weights, progress in progress_by_weights.items()
            if progress is OrderProgress.MISSING
        ]

    def record_reply(
        self, order: SendOrder, reply: OrderReply | None, now: float
    ) -> None:
        """Apply the reply to an order; ``None`` if there was none.

        An order without a reply may have been accepted, and keeps its slot
        until reports show otherwise. So does a repeated order, as the first
        one counts.
        """
        weights = order.weights
        under_way = self.orders_by_weights.get(weights)
        if under_way is None:
            return
        under_way.after_orders = self.order_count.value
        self.order_count.record_reply(order, reply, now)
        if reply is OrderReply.HOLDS_ALREADY:
            del self.orders_by_weights[weights]
            self._record_done(order, under_way.sent_at, now)
        elif reply is None or reply is OrderReply.ACCEPTED or order.is_repeat:
            under_way.accepted = True
        else:
            del self.orders_by_weights[weights]
        self.backoff.record_reply(reply, now)

    def withdraw(self, order: SendOrder) -> None:
        """Drop an order that was decided on but not sent."""
        if not order.is_repeat:
            self.orders_by_weights.pop(order.weights, None)

    def _record_done(self, order: SendOrder, sent_at: float, now: float) -> None:
        weights = order.weights
        if order.kind is OrderKind.UNLOAD:
            self.holdings.record_unloaded(weights, now)
            return
        warm = self.holdings.is_warm(weights)
        self.holdings.record_loaded(weights, order.version or 0, sent_at, now)
        self._estimator.record_load(now - sent_at, warm or not order.is_repeat)

    # Decisions.

    def step(
        self,
        versions_by_weights: dict[Weights, int],
        now: float,
        may_load_model: bool = True,
    ) -> list[Effect]:
        """Return the orders and results that are due now.

        ``may_load_model`` says that this endpoint may load its base model now.
        """
        effects: list[Effect] = list(self._finish_requests(now))
        if not self.order_count.confirmed or self.is_over_memory:
            return effects
        if not self.has_model:
            return effects + (self._load_model(now) if may_load_model else [])
        if not self.backoff.may_order(now):
            return effects
        effects += self._check_orders(now)
        effects += self._order_newer_versions(versions_by_weights, now)
        effects += self._serve_requests(now)
        return effects

    def choose_noop_order(self) -> SendOrder | None:
        """Return an order without effect, ``None`` if none is known to be.

        It names a base model, which occupies no adapter slot, in a reported
        version: without a version, an order loads the newest one.
        """
        weights = self._find_held_model()
        version = self.held.get(weights) if weights is not None else None
        if weights is None or not version or weights in self.orders_by_weights:
            return None
        return SendOrder(OrderKind.LOAD, weights, version, is_repeat=True)

    def get_next_check(self) -> float:
        """Return when ``step`` is due again."""
        due = min(
            (order.next_check for order in self.orders_by_weights.values()),
            default=float("inf"),
        )
        return max(due, self.backoff.until)

    def _check_orders(self, now: float) -> list[Effect]:
        """Repeat the loads in progress, to learn whether they are done."""
        effects: list[Effect] = []
        for weights, order in self.orders_by_weights.items():
            if now < order.next_check:
                continue
            order.next_check = now + CHECK_PERIOD_S
            effects.append(SendOrder(order.kind, weights, order.version, True))
        return effects

    def _finish_requests(self, now: float) -> Iterable[LoadResult]:
        for request in list(self.requests_by_number.values()):
            servable = request.weights in self.held
            servable = servable and request.weights not in self.orders_by_weights
            if servable and self.held[request.weights] >= request.version:
                del self.requests_by_number[request.number]
                yield self._make_loaded_result(request)
            elif now >= request.until:
                del self.requests_by_number[request.number]
                yield LoadResult(
                    request.number, loaded=False, detail="no place in time"
                )

    def _make_loaded_result(self, request: LoadRequest) -> LoadResult:
        version = self.held[request.weights]
        times = self.holdings.get_load_times(request.weights)
        if times is None:
            return LoadResult(request.number, loaded=True, version=version)
        return LoadResult(
            request.number,
            loaded=True,
            version=version,
            slot_wait_s=max(0.0, times.ordered_at - request.since),
            load_s=times.held_at - times.ordered_at,
        )

    def _load_model(self, now: float) -> list[Effect]:
        weights = Weights(self.model)
        under_way = weights in self.orders_by_weights
        if under_way or now - self._model_ordered_at < MODEL_RETRY_S:
            return []
        if not self._has_room(weights):
            return []
        self._model_ordered_at = now
        return [self._order(OrderKind.LOAD, weights, None, now)]

    def _order(
        self, kind: OrderKind, weights: Weights, version: int | None, now: float
    ) -> SendOrder:
        first_check_s = self._estimator.get_first_check_s(
            warm=self.holdings.is_warm(weights)
        )
        if kind is OrderKind.UNLOAD or not weights.adapter:
            first_check_s = float("inf")
        self.orders_by_weights[weights] = Order(kind, version, now, now + first_check_s)
        return SendOrder(kind, weights, version)

    def _order_newer_versions(
        self, versions_by_weights: dict[Weights, int], now: float
    ) -> list[Effect]:
        """Replace adapters that have a newer version.

        The replacement uses the slot of the old version.
        """
        effects: list[Effect] = []
        for weights, version in self.held.items():
            newest = versions_by_weights.get(weights, version)
            if newest > version and weights not in self.orders_by_weights:
                effects.append(self._order(OrderKind.LOAD, weights, newest, now))
        return effects

    def _serve_requests(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        pending = self._count_pending()
        served: set[Weights] = set()
        requests = self.requests_by_number.values()
        for request in sorted(
            requests, key=lambda request: self._rank_request(request, now)
        ):
            weights = request.weights
            if weights in self.orders_by_weights or weights in self._foreign_pending:
                continue
            if pending >= self._estimator.max_concurrent:
                break
            if weights in served:
                continue
            served.add(weights)
            if Weights(weights.model) not in self.held:
                continue
            if not self._has_room(weights):
                effects += self._evict_idle(weights, request.is_replica, now)
                continue
            version = request.version or None
            effects.append(self._order(OrderKind.LOAD, weights, version, now))
            pending += 1
        return effects

    def _count_pending(self) -> int:
        loads = sum(
            order.kind is OrderKind.LOAD for order in self.orders_by_weights.values()
        )
        return loads + len(self._foreign_pending)

    def _rank_request(
        self, request: LoadRequest, now: float
    ) -> tuple[bool, bool, int, float]:
        """Rank requests that can still meet their target first, by priority.

        Late requests lose value whenever they are served, and must not delay
        the others.
        """
        return (
            request.is_replica,
            now > request.on_time_until,
            request.priority,
            request.since,
        )

    def _evict_idle(
        self, weights: Weights, is_replica: bool, now: float
    ) -> list[Effect]:
        """Unload the idle adapter with the lowest demand.

        More follow while what is unloaded has less memory than is needed.
        Peers need no prior notice: every prompt is admitted by the holder
        first, which refuses it if the adapter is gone.
        """
        effects: list[Effect] = []
        while len(self._list_unloading()) < MAX_PENDING:
            victim = self._choose_victim(weights, is_replica, now)
            if victim is None:
                break
            effects.append(self._order(OrderKind.UNLOAD, victim, None, now))
            remaining = self._list_occupied() - self._list_unloading()
            if self.memory.has_room_for(remaining | {weights}):
                break
        return effects

    def _list_unloading(self) -> set[Weights]:
        return {
            weights
            for weights, order in self.orders_by_weights.items()
            if order.kind is OrderKind.UNLOAD
        }

    def _can_make_room(self, weights: Weights, now: float) -> bool:
        """Return whether unloading idle adapters would be enough."""
        idle = self._list_idle(now)
        if not idle:
            return False
        return self.memory.has_room_for(
            self._list_occupied().difference(idle) | {weights}
        )

    def _choose_victim(
        self, weights: Weights, is_replica: bool, now: float
    ) -> Weights | None:
        victim = min(
            self._list_idle(now),
            key=lambda item: self.usage.read_demand(item, now),
            default=None,
        )
        if victim is None or not is_replica:
            return victim
        # A replica must not replace an adapter with similar demand.
        gain = self.usage.read_demand(weights, now)
        return victim if self.usage.read_demand(victim, now) < gain / 2 else None

    def _list_idle(self, now: float) -> list[Weights]:
        """Return the adapters that may be unloaded now."""
        requested = {item.weights for item in self.requests_by_number.values()}
        return [
            held
            for held in self.held
            if held.adapter
            and held not in requested
            and held not in self.orders_by_weights
            and not self.usage.is_in_use(held, now)
            and now - self._get_held_since(held, now) >= MIN_RESIDENCY_S
        ]

    def _get_held_since(self, weights: Weights, now: float) -> float:
        times = self.holdings.get_load_times(weights)
        return times.held_at if times else now

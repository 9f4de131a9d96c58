"""Scheduling decisions: dispatches, loads, evictions and refusals."""

import math
from dataclasses import dataclass, field

from fescuekeel.components.owner.scheduling import model
from fescuekeel.components.owner.scheduling.admission import (
    WaitEstimates,
    find_expected_late,
    get_late_check_at,
    get_max_wait_s,
)
from fescuekeel.components.owner.scheduling.batching import get_batch_delay_s
from fescuekeel.components.owner.scheduling.holdings import Holdings
from fescuekeel.components.owner.scheduling.load_plan import LoadPlan
from fescuekeel.components.owner.scheduling.popularity import Popularity, UseEstimate
from fescuekeel.components.owner.scheduling.queue import WorkPredicate, WorkQueue
from fescuekeel.components.owner.scheduling.victims import (
    choose_least_popular,
    list_evictable,
)
from fescuekeel.errors import ErrorKind
from fescuekeel.messages import AdapterRef

__all__ = ["EndpointScheduler"]

MAX_LOAD_ATTEMPTS = 3
LOAD_RETRY_S = 0.25
EVICT_RETRY_S = 0.5
NO_ADAPTER = AdapterRef()
MAX_RETRY_AFTER_S = 60.0
# How often the waits of queued requests are estimated again.
ESTIMATE_PERIOD_S = 1.0


@dataclass(slots=True)
class EndpointScheduler:
    """Decide for one endpoint what to dispatch, load, evict and refuse.

    The scheduler is deterministic and performs no I/O. ``now`` is monotonic
    time in seconds. With ``refuses_early`` false, late requests only expire.
    A serving adapter is never evicted; this needs no agreement with other
    instances, as only the endpoint's owner dispatches and evicts.

    >>> scheduler = EndpointScheduler()
    >>> scheduler.handle(model.Configured(2, 4, 0.008, 0.5), 0.0)
    []
    >>> ref = AdapterRef("cups", "1")
    >>> work = model.Work("r1", ref, "patter", 0, 0.0, 5.0)
    >>> (effect,) = scheduler.handle(model.Arrived(work), 0.0)
    >>> type(effect).__name__
    'AskTurn'
    >>> (effect,) = scheduler.handle(model.TurnGranted(ref), 0.1)
    >>> type(effect).__name__
    'Load'
    >>> scheduler.handle(model.LoadEnded(ref, True, 0.5), 0.6)
    [Dispatch(request_id='r1', stall_s=0.6, queue_s=0.6, held_s=0.0)]
    """

    popularity: UseEstimate = field(default_factory=Popularity)
    config: model.Configured | None = None
    queue: WorkQueue = field(default_factory=WorkQueue)
    plan: LoadPlan = field(default_factory=LoadPlan)
    holdings: Holdings = field(default_factory=Holdings)
    estimates: WaitEstimates = field(default_factory=WaitEstimates)
    refuses_early: bool = True
    _evicting: AdapterRef | None = None
    _draining: AdapterRef | None = None
    _late_check_at: float = math.inf
    _next_estimate_at: float = 0.0
    _effects: list[model.Effect] = field(default_factory=list)

    @property
    def queued_count(self) -> int:
        """Return the number of queued requests."""
        return len(self.queue)

    @property
    def running_ids(self) -> tuple[str, ...]:
        """Return the running requests that this owner dispatched."""
        return self.holdings.running_ids

    @property
    def running_count(self) -> int:
        """Return the number of running requests, of any owner."""
        return self.holdings.running_count

    @property
    def loaded(self) -> frozenset[AdapterRef]:
        """Return the adapters that are known to be loaded."""
        return frozenset(self.holdings)

    @property
    def loading(self) -> AdapterRef | None:
        """Return the adapter that is being loaded."""
        return self.plan.loading

    @property
    def requested(self) -> AdapterRef | None:
        """Return the adapter for which a load turn is requested."""
        return self.plan.requested

    def is_queued(self, request_id: str) -> bool:
        """Return whether a request is queued."""
        return request_id in self.queue

    def handle(self, event: model.Event, now: float) -> list[model.Effect]:
        """Handle one event and return the effects to apply."""
        self._effects = []
        match event:
            case model.Configured():
                self.config = event
                self.plan.set_load_time(event.load_s)
            case model.Arrived(work):
                self._admit(work, now)
            case model.Cancelled(request_id):
                self.queue.remove(request_id)
                self.estimates.forget(request_id)
            case model.Finished(request_id):
                self.holdings.finish(request_id)
            case model.TurnGranted(adapter):
                self._handle_turn(adapter, now)
            case model.LoadEnded():
                self._end_load(event, now)
            case model.EvictEnded():
                self._end_evict(event, now)
            case model.Reported():
                self._reconcile(event, now)
            case model.Tick():
                self._refuse_late(now)
                self._refuse_expected_late(now)
        self._advance(now)
        return self._effects

    def _advance(self, now: float) -> None:
        """Dispatch ready requests and request the next load."""
        if self.config is None or not self.config.ready:
            return
        self._dispatch(now)
        self._request_load(now)

    # Arrival and refusal.

    def _admit(self, work: model.Work, now: float) -> None:
        if work.request_id in self.queue or self.holdings.is_running(work.request_id):
            return
        if work.adapter:
            self.popularity.record(work.adapter, now)
        if self.config is not None and len(self.queue) >= self.config.max_queued:
            self._refuse(work, ErrorKind.QUEUE_FULL, self._estimate_drain_s())
            return
        self.queue.add(work)
        late_check_at = get_late_check_at(work, self.plan.load_s)
        self._late_check_at = min(self._late_check_at, late_check_at)
        if not self.refuses_early:
            return
        wait_s = self._estimate_wait_s(work, now)
        if wait_s <= get_max_wait_s(work, self.plan.load_s, now):
            return
        self.queue.remove(work.request_id)
        self._refuse(work, ErrorKind.TOO_LATE, wait_s)

    def _estimate_wait_s(self, work: model.Work, now: float) -> float:
        """Estimate the seconds until a queued request can be dispatched.

        During a takeover the endpoint's state is unknown, so the estimate is
        zero and only the deadline itself counts.
        """
        if self.config is None or not self.config.ready:
            return 0.0
        if not self.holdings.needs_load(work.adapter):
            return self._estimate_capacity_wait_s(work)
        if work.adapter == self.plan.loading:
            return 0.0
        backlogs = self.queue.list_backlogs(self.holdings.needs_load)
        ahead = self.plan.count_ahead(work.adapter, backlogs, now)
        ahead_s = self.plan.estimate_s(ahead, work.urgency)
        return self.estimates.record_estimate(
            work.request_id, work.urgency, self.plan.load_s, ahead_s
        )

    def _estimate_capacity_wait_s(self, work: model.Work) -> float:
        assert self.config is not None
        free = self.config.max_running - self.running_count
        ahead = self.queue.count_ready_ahead(work, self.holdings.needs_load)
        if ahead < free:
            return 0.0
        rounds = (ahead - free) // max(1, self.config.max_running)
        return float(rounds * work.service_s)

    def _estimate_drain_s(self) -> float:
        backlogs = self.queue.list_backlogs(self.holdings.needs_load)
        return max(1.0, self.plan.estimate_s(len(backlogs)))

    def _refuse(self, work: model.Work, kind: ErrorKind, retry_s: float) -> None:
        self.estimates.forget(work.request_id)
        retry_after_s = min(MAX_RETRY_AFTER_S, max(0.0, retry_s))
        self._effects.append(model.Refuse(work.request_id, kind, retry_after_s))

    def _refuse_late(self, now: float) -> None:
        """Refuse requests that can no longer end before their deadline.

        They are refused as soon as even an immediate load would be too late,
        so that they cost no load and their callers can react.
        """
        if now < self._late_check_at:
            return
        for work in self.queue.list_all():
            self._refuse_if_late(work, now)
        load_s, left = self.plan.load_s, self.queue.list_all()
        late_check_at = (get_late_check_at(work, load_s) for work in left)
        self._late_check_at = min(late_check_at, default=math.inf)

    def _refuse_expected_late(self, now: float) -> None:
        """Refuse requests early that are expected to miss their deadline."""
        ready = self.config is not None and self.config.ready
        if not self.refuses_early or not ready or now < self._next_estimate_at:
            return
        self._next_estimate_at = now + ESTIMATE_PERIOD_S
        late = find_expected_late(
            self.queue, self.plan, self.holdings, self.estimates, now
        )
        for work, wait_s in list(late):
            self._refuse_queued(work, wait_s, now)

    def _refuse_queued(self, work: model.Work, retry_s: float, now: float) -> None:
        self.queue.remove(work.request_id)
        self.estimates.record_wait(work.request_id, now - work.arrived)
        self._refuse(work, ErrorKind.TOO_LATE, retry_s)

    def _refuse_if_late(self, work: model.Work, now: float) -> bool:
        if now >= work.deadline:
            self.queue.remove(work.request_id)
            self._refuse(work, ErrorKind.EXPIRED, 0.0)
            return True
        least_s = work.service_s + self._get_min_load_s(work.adapter)
        if not self.refuses_early or now + least_s <= work.deadline:
            return False
        self._refuse_queued(work, self._estimate_drain_s(), now)
        return True

    def _get_min_load_s(self, adapter: AdapterRef) -> float:
        if not self.holdings.needs_load(adapter) or adapter == self.plan.loading:
            return 0.0
        return self.plan.load_s

    # Dispatch.

    def _list_ready(self) -> list[AdapterRef]:
        """Return the adapters that can serve now, and ``NO_ADAPTER``."""
        excluded = (self._evicting, self._draining)
        return [NO_ADAPTER, *(a for a in self.holdings if a not in excluded)]

    def _dispatch(self, now: float) -> None:
        assert self.config is not None
        while self.running_count < self.config.max_running:
            work = self.queue.pick(self._list_ready(), self._make_batch_filter(now))
            if work is None:
                return
            if self._refuse_if_late(work, now):
                continue
            self.queue.remove(work.request_id)
            self.estimates.record_wait(work.request_id, now - work.arrived)
            self.holdings.start(work.request_id, work.adapter)
            self._effects.append(self._make_dispatch(work, now))

    def _make_dispatch(self, work: model.Work, now: float) -> model.Dispatch:
        stall_s = self.holdings.get_stall_s(work.adapter, work.arrived)
        waited_s = now - work.arrived
        held_s = min(get_batch_delay_s(work), max(0.0, waited_s - stall_s))
        return model.Dispatch(work.request_id, stall_s, waited_s - held_s, held_s)

    def _make_batch_filter(self, now: float) -> WorkPredicate:
        """Return a predicate for requests that are delayed for a batch.

        None is delayed while a batch runs, which it can join, or while a load
        is pending here: a delayed request would keep its adapter's slot.
        """
        if self.running_count or self.plan.requested or self.plan.loading:
            return lambda work: False
        return lambda work: now < work.arrived + get_batch_delay_s(work)

    # Loads and evictions.

    def _request_load(self, now: float) -> None:
        """Request a turn for the load with the highest value, or withdraw."""
        if self.plan.loading is not None:
            return
        backlogs = self.queue.list_backlogs(self.holdings.needs_load)
        request = self.plan.choose(backlogs, now)
        if request is None:
            self._draining = None
        elif not self._make_room(now):
            request = None
        previous = self.plan.requested
        if previous is not None and (request is None or request.adapter != previous):
            self._effects.append(model.ReturnTurn(previous))
            self.plan.withdraw()
        if request is not None and self.plan.request(request, now):
            self._effects.append(
                model.AskTurn(request.adapter, request.value, request.waiting)
            )

    def _make_room(self, now: float) -> bool:
        """Return whether a slot is free or can be freed.

        If all slots are serving, the least popular adapter is drained: it
        gets no new work until it can be evicted. This prevents starvation of
        an unpopular adapter while all others serve continuously.
        """
        assert self.config is not None
        if len(self.holdings) < self.config.slots:
            self._draining = None
            return True
        victim = self._choose_victim(now)
        if victim is not None:
            self._draining = None if victim != self._draining else victim
            return True
        if self._draining is None or self._draining not in self.holdings:
            self._draining = self._choose_draining(now)
        return False

    def _choose_victim(self, now: float) -> AdapterRef | None:
        """Return the idle adapter to evict: drained, or least popular."""
        if self._draining is not None and self.holdings.is_idle(self._draining, now):
            return self._draining
        idle = list_evictable(self.holdings, self.queue.adapters, now)
        return choose_least_popular(idle, self.popularity, now)

    def _choose_draining(self, now: float) -> AdapterRef | None:
        own = [item for item in self.holdings if not self.holdings.is_foreign(item)]
        return choose_least_popular(own, self.popularity, now)

    def _handle_turn(self, adapter: AdapterRef, now: float) -> None:
        ready = self.config is not None and self.config.ready
        if not ready or self.plan.requested != adapter or self.plan.loading is not None:
            if self.plan.loading != adapter:
                self._effects.append(model.ReturnTurn(adapter))
            if self.plan.requested == adapter:
                self.plan.withdraw()
            return
        assert self.config is not None
        if len(self.holdings) < self.config.slots:
            self.plan.begin(adapter, now)
            self._effects.append(model.Load(adapter))
            return
        victim = self._choose_victim(now)
        if victim is None:
            self.plan.withdraw()
            self._effects.append(model.ReturnTurn(adapter))
            return
        self.plan.begin(adapter, now)
        self._evicting = victim
        self._effects.append(model.Evict(victim))

    def _end_evict(self, event: model.EvictEnded, now: float) -> None:
        if event.adapter != self._evicting:
            return
        self._evicting = None
        if self._draining == event.adapter:
            self._draining = None
        loading = self.plan.loading
        if event.ok:
            self.holdings.remove(event.adapter, now)
        else:
            self.holdings.defer_eviction(event.adapter, now + EVICT_RETRY_S)
        if loading is None:
            return
        if event.ok and self.config is not None and self.config.ready:
            self._effects.append(model.Load(loading))
            return
        self.plan.abort()
        self._effects.append(model.ReturnTurn(loading))

    def _end_load(self, event: model.LoadEnded, now: float) -> None:
        if event.adapter != self.plan.loading:
            return
        if event.ok:
            self.plan.end(event.took_s, now)
            self.holdings.add(event.adapter, now)
            return
        attempts = self.plan.fail(event.adapter, now, LOAD_RETRY_S)
        if attempts < MAX_LOAD_ATTEMPTS:
            return
        self.plan.forget_failures(event.adapter)
        for work in self.queue.list_adapter(event.adapter):
            self.queue.remove(work.request_id)
            self._refuse(work, ErrorKind.LOAD_FAILED, self.plan.load_s)

    # Reports.

    def _reconcile(self, event: model.Reported, now: float) -> None:
        if event.restarted:
            # A pending load or eviction ends with its own event.
            self.holdings.clear()
            self._draining = None
        self.holdings.reconcile(
            event.loaded, event.foreign_running, self.plan.loading, now
        )

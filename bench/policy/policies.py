"""The compared policies, behind a common protocol."""

import bisect
import importlib.util
import random
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from types import ModuleType
from typing import Any, Protocol

from bench.policy.traces import Deployment, Request, Trace
from fescuekeel.components.gateway import routing
from fescuekeel.components.owner.scheduling import decision, load_plan, model
from fescuekeel.components.owner.scheduling.queue import AdapterBacklog, WorkQueue
from fescuekeel.messages import AdapterRef, LiveEntry, Member

__all__ = ["Clairvoyant", "FirstCome", "Policy", "ProjectPolicy", "Router", "Scheduler"]


class Scheduler(Protocol):
    """Scheduler of one endpoint."""

    def handle(self, event: Any, now: float) -> list[Any]:
        """Handle an event and return effects."""

    @property
    def queued_count(self) -> int:
        """Return the number of queued requests."""

    @property
    def running_count(self) -> int:
        """Return the number of running requests."""

    @property
    def loaded(self) -> frozenset[AdapterRef]:
        """Return the loaded adapters."""


@dataclass(frozen=True, slots=True)
class Router:
    """State from which an entry chooses an endpoint."""

    endpoints_by_id: Mapping[str, LiveEntry]
    members_by_id: Mapping[str, Member]
    hints: routing.Hints
    schedulers_by_id: Mapping[str, Scheduler]
    load_s: float


class Policy(Protocol):
    """Creates schedulers and chooses endpoints."""

    def make_scheduler(self) -> Scheduler:
        """Return a scheduler for one endpoint."""

    def route(
        self, request: Request, router: Router, tried: Iterable[str], now: float
    ) -> str | None:
        """Return the endpoint for a request, if any."""


class ProjectPolicy:
    """The current policy, or an earlier revision given as a module."""

    def __init__(self, module: ModuleType = decision) -> None:
        self._module = module
        self._copies = _find_copies(module)

    def make_scheduler(self) -> Scheduler:
        """Return the real scheduler."""
        scheduler: Scheduler = self._module.EndpointScheduler()
        return scheduler

    def look(self, scheduler: Scheduler, adapter: AdapterRef, now: float) -> Any:
        """Return the load state of the scheduler, if the module has copies."""
        if self._copies is None:
            return None
        return self._copies.look(scheduler, adapter, now)

    def should_move(self, here: Any, there: Any) -> bool:
        """Return whether the request should move to the alternate endpoint."""
        return self._copies is not None and self._copies.should_move(here, there)

    def route(
        self, request: Request, router: Router, tried: Iterable[str], now: float
    ) -> str | None:
        """Choose an endpoint with the gateway's routing."""
        choice = routing.choose(
            "engines",
            request.adapter,
            request.id,
            router.endpoints_by_id,
            router.members_by_id,
            router.hints,
            now,
            router.load_s,
            tuple(tried),
        )
        return choice.endpoint if choice is not None else None


def _find_copies(module: ModuleType) -> Any:
    """Return the ``copies`` module beside a scheduler, if there is one."""
    name = f"{module.__name__.rpartition('.')[0]}.copies"
    if importlib.util.find_spec(name) is None:
        return None
    return importlib.import_module(name)


# Baselines: LRU or random eviction, first come first served, least loaded.


@dataclass(slots=True)
class RecencyScore:
    """Score adapters by their last use."""

    _used_by_adapter: dict[AdapterRef, float] = field(default_factory=dict)

    def record(self, adapter: AdapterRef, now: float) -> None:
        """Record a use."""
        self._used_by_adapter[adapter] = now

    def get_score(self, adapter: AdapterRef, now: float) -> float:
        """Return the time of the last use."""
        return self._used_by_adapter.get(adapter, 0.0)


@dataclass(slots=True)
class RandomScore:
    """Score adapters at random."""

    random_: random.Random

    def record(self, adapter: AdapterRef, now: float) -> None:
        """Ignore uses."""

    def get_score(self, adapter: AdapterRef, now: float) -> float:
        """Return a random number."""
        return self.random_.random()


@dataclass(slots=True)
class FirstComePlan(load_plan.LoadPlan):
    """Load in order of arrival."""

    def get_value(self, backlog: AdapterBacklog, now: float) -> float:
        """Return a higher value for a longer wait."""
        return now - backlog.oldest_at


def order_first_come(work: model.Work) -> tuple[int, float, str]:
    """Return the sort key of first come, first served."""
    return (0, work.arrived, work.request_id)


class FirstCome:
    """Serve in order of arrival at the least loaded endpoint."""

    def __init__(self, seed: int | None = None) -> None:
        self._random = random.Random(seed) if seed is not None else None

    def make_scheduler(self) -> Scheduler:
        """Return a scheduler without urgency and early rejections."""
        score = RandomScore(self._random) if self._random else RecencyScore()
        return decision.EndpointScheduler(
            popularity=score,
            queue=WorkQueue(order=order_first_come),
            plan=FirstComePlan(),
            refuses_early=False,
        )

    def route(
        self, request: Request, router: Router, tried: Iterable[str], now: float
    ) -> str | None:
        """Choose the endpoint with the fewest requests, or a random one."""
        ids = [id for id in router.endpoints_by_id if id not in set(tried)]
        if not ids:
            return None
        if self._random is not None:
            return self._random.choice(ids)
        return min(ids, key=lambda id: (_count(router.schedulers_by_id[id]), id))


def _count(scheduler: Scheduler) -> int:
    return scheduler.queued_count + scheduler.running_count


# A policy that knows the trace.


class Oracle:
    """Look up the next use of each adapter in the trace."""

    def __init__(self, trace: Trace) -> None:
        self._times_by_adapter: defaultdict[AdapterRef, list[float]] = defaultdict(list)
        for request in trace.requests:
            self._times_by_adapter[request.adapter].append(request.at)

    def record(self, adapter: AdapterRef, now: float) -> None:
        """Ignore uses."""

    def get_next_use(self, adapter: AdapterRef, now: float) -> float:
        """Return the time of the next arrival, infinite if there is none."""
        times = self._times_by_adapter[adapter]
        index = bisect.bisect_right(times, now)
        return times[index] if index < len(times) else float("inf")

    def get_score(self, adapter: AdapterRef, now: float) -> float:
        """Return a higher score for an earlier next use."""
        return -self.get_next_use(adapter, now)


class Clairvoyant:
    """A policy that knows the trace, all queues and all copies.

    It loads an adapter at the endpoint whose evictable adapter has the latest
    next use. Loads are on demand only, in the order of the current policy.
    """

    def __init__(self, trace: Trace, deployment: Deployment) -> None:
        self._oracle = Oracle(trace)
        self._deployment = deployment

    def make_scheduler(self) -> Scheduler:
        """Return the real scheduler, evicting by the true next use."""
        return decision.EndpointScheduler(popularity=self._oracle)

    def route(
        self, request: Request, router: Router, tried: Iterable[str], now: float
    ) -> str | None:
        """Prefer an endpoint with a copy, else the cheapest eviction."""
        candidates = [id for id in router.endpoints_by_id if id not in set(tried)]
        if not candidates:
            return None
        schedulers = {id: router.schedulers_by_id[id] for id in candidates}
        holders = [
            id for id, item in schedulers.items() if _has_copy(item, request.adapter)
        ]
        if holders:
            return min(holders, key=lambda id: (_count(schedulers[id]), id))
        return max(
            candidates,
            key=lambda id: (self._get_eviction_distance(schedulers[id], now), id),
        )

    def _get_eviction_distance(self, scheduler: Scheduler, now: float) -> float:
        """Return the next use of the adapter that a load would evict."""
        assert isinstance(scheduler, decision.EndpointScheduler)
        waiting = len(scheduler.queue.adapters - scheduler.loaded)
        next_uses = sorted(
            (
                self._oracle.get_next_use(adapter, now)
                for adapter in scheduler.loaded
                if adapter not in scheduler.queue.adapters
                and scheduler.holdings.is_idle(adapter, now)
            ),
            reverse=True,
        )
        config = scheduler.config
        free = config.slots - len(scheduler.loaded) if config else 0
        if waiting < free:
            return float("inf")
        index = waiting - free
        return next_uses[index] if index < len(next_uses) else now


def _has_copy(scheduler: Scheduler, adapter: AdapterRef) -> bool:
    assert isinstance(scheduler, decision.EndpointScheduler)
    if adapter in scheduler.loaded or adapter == scheduler.loading:
        return True
    return adapter in scheduler.queue.adapters


MakePolicy = Callable[[Deployment, Trace], Policy]

"""Simulate one trace with one policy."""

from collections import Counter
from functools import partial
from typing import Any

from bench.policy.fakes import FakeClock, FakeStore
from bench.policy.outcome import Outcome, Result
from bench.policy.policies import Policy, ProjectPolicy, Router
from bench.policy.traces import (
    CHANGE_ENDS_S,
    CHANGE_STARTS_S,
    DATA_CENTRES,
    DURATION_S,
    SLOTS,
    WARM_UP_S,
    Deployment,
    Request,
    Trace,
)
from bench.policy.turns import TurnLeaders
from bench.policy.world import (
    LINK_DELAY_S,
    Attempt,
    Host,
    make_config,
    make_hosts,
    make_members,
)
from fescuekeel.components.gateway import routing
from fescuekeel.components.owner.scheduling import model
from fescuekeel.errors import ErrorKind
from fescuekeel.helpers.endpoint_ranking import find_alternate, rank_reachable_endpoints
from fescuekeel.messages import AdapterRef, TurnAsk

__all__ = ["simulate"]

EVICT_S = 0.002
TICK_S = 0.1
REPORT_S = 0.5
DRAIN_S = 70.0
# Time until the failure of an owner is detected, and until its lease expires.
FAILURE_DETECTION_S = 1.0
LEASE_S = 2.0
ASK_TIMEOUT_S = 0.2


def simulate(deployment: Deployment, trace: Trace, policy: Policy) -> Result:
    """Run a trace to its end and return the results."""
    return _Simulation(deployment, trace, policy).run()


class _Simulation:
    def __init__(self, deployment: Deployment, trace: Trace, policy: Policy) -> None:
        self._deployment = deployment
        self._trace = trace
        self._policy = policy
        self._clock = FakeClock()
        self._store = FakeStore(self._clock, deployment.loads_per_s)
        self._hints_by_dc = {f"dc{n}": routing.Hints() for n in range(DATA_CENTRES)}
        self._members = make_members()
        self._hosts_by_id = make_hosts(deployment, policy, self._clock)
        self._turns = TurnLeaders(
            self._clock, self._hosts_by_id, self._send_event, self._get_partition_side
        )
        self._attempts_by_id: dict[str, Attempt] = {}
        self._result = Result()
        self._partitioned = False
        self._pending_attempts: list[Attempt] = []
        self._ownerless_endpoint = ""
        self._counts_at_warm_up = Counter[str]()

    def run(self) -> Result:
        """Schedule requests and changes, then run the clock."""
        for host in self._hosts_by_id.values():
            self._send_event(host, make_config(self._deployment, ready=True))
        for request in self._trace.requests:
            attempt = Attempt(request)
            self._clock.call_at(request.at, partial(self._route, attempt))
        self._clock.call_at(TICK_S, self._tick)
        self._clock.call_at(WARM_UP_S, self._record_warm_up)
        self._clock.call_at(CHANGE_STARTS_S, self._start_change)
        self._clock.call_at(CHANGE_ENDS_S, self._end_change)
        self._clock.run(DURATION_S + DRAIN_S)
        left = len(self._attempts_by_id)
        if left:
            raise AssertionError(f"{left} requests never ended")
        counts = self._count()
        counts.subtract(self._counts_at_warm_up)
        self._result.loads = counts["loads"]
        self._result.steps = counts["steps"]
        self._result.tokens = counts["tokens"]
        return self._result

    def _record_warm_up(self) -> None:
        self._counts_at_warm_up = self._count()

    def _count(self) -> Counter[str]:
        engines = [host.engine for host in self._hosts_by_id.values()]
        return Counter(
            loads=self._store.loads,
            steps=sum(engine.steps for engine in engines),
            tokens=sum(engine.tokens for engine in engines),
        )

    def _tick(self) -> None:
        self._turns.tick()
        for host in self._hosts_by_id.values():
            if host.scheduler.queued_count or host.scheduler.running_count:
                self._send_event(host, model.Tick())
        if self._clock.now < DURATION_S + DRAIN_S:
            self._clock.call_later(TICK_S, self._tick)

    # Entries.

    def _make_router(self, dc: str) -> Router:
        members = self._members
        if self._partitioned:
            side = self._get_partition_side(dc)
            members = {
                id: member
                for id, member in members.items()
                if self._get_partition_side(member.data_centre) == side
            }
        return Router(
            endpoints_by_id={id: h.entry for id, h in self._hosts_by_id.items()},
            members_by_id=members,
            hints=self._hints_by_dc[dc],
            schedulers_by_id={id: h.scheduler for id, h in self._hosts_by_id.items()},
            load_s=self._deployment.load_s,
        )

    def _get_partition_side(self, dc: str) -> str:
        return dc if self._partitioned and dc == "dc2" else ""

    def _route(self, attempt: Attempt) -> None:
        request = attempt.request
        self._attempts_by_id[request.id] = attempt
        router = self._make_router(request.data_centre)
        now = self._clock.now
        unreachable = {
            id
            for id, host in self._hosts_by_id.items()
            if self._get_partition_side(host.entry.data_centre)
            != self._get_partition_side(request.data_centre)
        }
        tried = attempt.tried | unreachable
        endpoint = self._policy.route(request, router, sorted(tried), now)
        if endpoint is None:
            self._end(request, None, ErrorKind.NO_ENDPOINT, 0.0)
            return
        attempt.endpoint = endpoint
        router.hints.record_sent(endpoint)
        if endpoint == self._ownerless_endpoint:
            self._pending_attempts.append(attempt)
            return
        self._clock.call_later(LINK_DELAY_S, partial(self._submit, attempt))

    def _submit(self, attempt: Attempt) -> None:
        if attempt.endpoint == self._ownerless_endpoint:
            self._pending_attempts.append(attempt)
            return
        if not self._ask_alternate(attempt):
            self._arrive(attempt)

    def _arrive(self, attempt: Attempt) -> None:
        request = attempt.request
        work = model.Work(
            request_id=request.id,
            adapter=request.adapter,
            service=request.kind.name,
            urgency=request.kind.urgency,
            arrived=request.at,
            deadline=request.at + request.kind.answer_s,
            service_s=request.kind.tokens * self._deployment.step_s,
            stall_weight=self._deployment.stall_weight,
            batch_weight=self._deployment.batch_weight,
        )
        self._send_event(self._hosts_by_id[attempt.endpoint], model.Arrived(work))

    # Placement of loads.

    def _ask_alternate(self, attempt: Attempt) -> bool:
        """Ask the alternate endpoint if this one needs to load the adapter."""
        policy, adapter = self._policy, attempt.request.adapter
        host = self._hosts_by_id[attempt.endpoint]
        if attempt.moved or not isinstance(policy, ProjectPolicy):
            return False
        here = policy.look(host.scheduler, adapter, self._clock.now)
        alternate = self._find_alternate(host, adapter)
        if here is None or here.held or alternate is None:
            return False
        unresponsive = alternate.entry.id == self._ownerless_endpoint
        if unresponsive:
            self._clock.call_later(ASK_TIMEOUT_S, partial(self._decide, attempt, None))
            return True
        self._clock.call_later(
            LINK_DELAY_S, partial(self._inspect_alternate, attempt, alternate)
        )
        return True

    def _find_alternate(self, host: Host, adapter: AdapterRef) -> Host | None:
        router = self._make_router(host.entry.data_centre)
        ranked = rank_reachable_endpoints(
            "engines", adapter, router.endpoints_by_id, router.members_by_id
        )
        alternate = find_alternate(host.entry.id, ranked)
        return None if alternate is None else self._hosts_by_id[alternate]

    def _inspect_alternate(self, attempt: Attempt, alternate: Host) -> None:
        assert isinstance(self._policy, ProjectPolicy)
        adapter = attempt.request.adapter
        there = self._policy.look(alternate.scheduler, adapter, self._clock.now)
        decide = partial(self._decide, attempt, alternate.entry.id, there)
        self._clock.call_later(LINK_DELAY_S, decide)

    def _decide(
        self, attempt: Attempt, alternate: str | None, there: Any = None
    ) -> None:
        assert isinstance(self._policy, ProjectPolicy)
        request, now = attempt.request, self._clock.now
        if attempt.endpoint == self._ownerless_endpoint:
            self._pending_attempts.append(attempt)
            return
        host = self._hosts_by_id[attempt.endpoint]
        here = self._policy.look(host.scheduler, request.adapter, now)
        if alternate is None or not self._policy.should_move(here, there):
            self._arrive(attempt)
            return
        self._clock.call_later(LINK_DELAY_S, partial(self._move, attempt, alternate))

    def _move(self, attempt: Attempt, endpoint: str) -> None:
        """Redirect a request to the alternate endpoint."""
        request, now = attempt.request, self._clock.now
        hints = self._hints_by_dc[request.data_centre]
        hints.record_moved(attempt.endpoint, endpoint, request.adapter, now)
        hints.record_done(attempt.endpoint)
        hints.record_sent(endpoint)
        attempt.endpoint, attempt.moved = endpoint, True
        self._clock.call_later(LINK_DELAY_S, partial(self._submit, attempt))

    def _end(
        self, request: Request, answered_at: float | None, kind: str, stall_s: float
    ) -> None:
        attempt = self._attempts_by_id.pop(request.id)
        if attempt.endpoint:
            self._hints_by_dc[request.data_centre].record_done(attempt.endpoint)
        if request.at >= WARM_UP_S:
            outcome = Outcome(request, answered_at, str(kind), stall_s, self._clock.now)
            self._result.outcomes.append(outcome)

    # Owners.

    def _send_event(self, host: Host, event: model.Event) -> None:
        for effect in host.scheduler.handle(event, self._clock.now):
            self._apply(host, effect)

    def _apply(self, host: Host, effect: model.Effect) -> None:
        match effect:
            case model.Dispatch(request_id):
                self._dispatch(host, effect, self._attempts_by_id[request_id].request)
            case model.Refuse(request_id):
                self._reject(host, effect, self._attempts_by_id[request_id])
            case model.AskTurn(adapter, value, waiting):
                is_update = (
                    host.turn_ask is not None and host.turn_ask.adapter == adapter
                )
                host.turn_ask = TurnAsk(host.entry.id, adapter, value, waiting)
                send_ask = partial(
                    self._turns.ask, host, host.turn_ask, 0 if is_update else 1
                )
                self._clock.call_later(LINK_DELAY_S, send_ask)
            case model.ReturnTurn(adapter):
                host.turn_ask = None
                self._turns.return_turn(host, adapter, 0)
            case model.Load(adapter):
                self._load(host, adapter)
            case model.Evict(adapter):
                host.engine.evict(adapter)
                ended = model.EvictEnded(adapter, True)
                self._clock.call_later(EVICT_S, partial(self._send_event, host, ended))
            case _:
                raise AssertionError(f"unknown effect {effect}")

    def _dispatch(self, host: Host, effect: model.Dispatch, request: Request) -> None:
        now = self._clock.now
        stall_s = self._get_stall_s(host, request)
        hints = self._hints_by_dc[request.data_centre]
        wait_s = max(0.0, effect.queue_s - effect.stall_s)
        hints.record_answer(host.entry.id, request.adapter, wait_s, now)
        end = host.engine.start(request.id, request.adapter, request.tokens)
        finish = partial(self._finish, host, request, host.engine.boot, stall_s)
        self._clock.call_at(end, finish)

    def _get_stall_s(self, host: Host, request: Request) -> float:
        loaded_at = host.loaded_at.get(request.adapter, self._clock.now)
        return max(0.0, loaded_at - request.at)

    def _finish(self, host: Host, request: Request, boot: int, stall_s: float) -> None:
        if boot != host.engine.boot:
            return
        del host.engine.running_by_id[request.id]
        self._end(request, self._clock.now + 2 * LINK_DELAY_S, "answered", stall_s)
        if request.id in host.inherited_by_id:
            del host.inherited_by_id[request.id]
            self._clock.call_later(REPORT_S, partial(self._report, host))
            return
        self._send_event(host, model.Finished(request.id))

    def _reject(self, host: Host, effect: model.Refuse, attempt: Attempt) -> None:
        request = attempt.request
        now = self._clock.now
        if effect.kind is ErrorKind.QUEUE_FULL and not attempt.tried:
            hints = self._hints_by_dc[request.data_centre]
            hints.record_full(host.entry.id, effect.retry_after_s, now)
            hints.record_done(host.entry.id)
            attempt.tried.add(host.entry.id)
            self._clock.call_later(LINK_DELAY_S, partial(self._route, attempt))
            return
        waited_s = 0.0 if request.adapter in host.engine.loaded else now - request.at
        self._end(request, None, effect.kind, waited_s)

    def _load(self, host: Host, adapter: AdapterRef) -> None:
        if len(host.engine.loaded) >= SLOTS:
            raise AssertionError(f"{host.entry.id}: no slot")
        start = self._clock.now
        ended = partial(self._end_load, host, adapter, start, host.engine.boot)
        self._store.fetch(ended)

    def _end_load(
        self, host: Host, adapter: AdapterRef, start: float, boot: int
    ) -> None:
        took_s = self._clock.now - start
        ok = boot == host.engine.boot
        if ok:
            host.engine.load(adapter)
            host.loaded_at[adapter] = self._clock.now
        self._turns.return_turn(host, adapter, int(took_s * 1000))
        self._send_event(host, model.LoadEnded(adapter, ok, took_s))

    # Failures.

    def _start_change(self) -> None:
        if self._trace.restarts:
            self._restart(self._hosts_by_id["e0"])
        if self._trace.has_partition:
            self._partitioned = True
        if self._trace.kills_owner:
            self._kill_owner(self._hosts_by_id["e0"])

    def _end_change(self) -> None:
        self._partitioned = False

    def _restart(self, host: Host) -> None:
        lost = host.engine.restart()
        event = model.Reported(frozenset(), {}, restarted=True)
        self._send_event(host, event)
        for id in lost:
            self._end(self._attempts_by_id[id].request, None, "endpoint_lost", 0.0)
            self._send_event(host, model.Finished(id))

    def _kill_owner(self, host: Host) -> None:
        """Discard the scheduler state; queued requests are resubmitted."""
        self._ownerless_endpoint = host.entry.id
        host.inherited_by_id = dict(host.engine.running_by_id)
        queued = [
            attempt
            for id, attempt in self._attempts_by_id.items()
            if attempt.endpoint == host.entry.id and id not in host.engine.running_by_id
        ]
        self._pending_attempts += queued
        host.scheduler = self._policy.make_scheduler()
        self._clock.call_later(FAILURE_DETECTION_S, partial(self._take_over, host))

    def _take_over(self, host: Host) -> None:
        self._ownerless_endpoint = ""
        self._send_event(host, make_config(self._deployment, ready=False))
        self._report(host)
        pending, self._pending_attempts = self._pending_attempts, []
        for attempt in pending:
            self._submit(attempt)
        self._clock.call_later(LEASE_S, partial(self._become_ready, host))

    def _become_ready(self, host: Host) -> None:
        self._send_event(host, make_config(self._deployment, ready=True))

    def _report(self, host: Host) -> None:
        event = model.Reported(
            frozenset(host.engine.loaded), dict(host.inherited_by_id)
        )
        self._send_event(host, event)

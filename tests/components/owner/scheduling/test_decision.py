"""Tests of the scheduling decisions for one endpoint."""

import pytest

from fescuekeel.components.owner.scheduling import model
from fescuekeel.components.owner.scheduling.decision import EndpointScheduler
from fescuekeel.errors import ErrorKind
from fescuekeel.messages import AdapterRef

A, B, C = (AdapterRef(name, "1") for name in "abc")
PLAIN = AdapterRef()
CONFIG = model.Configured(slots=1, max_running=2, step_s=0.008, load_s=0.5)


def make_work(id, adapter=A, urgency=1, arrived=0.0, answer_s=30.0, service_s=0.1):
    deadline = arrived + answer_s
    return model.Work(id, adapter, "s", urgency, arrived, deadline, service_s)


def make_scheduler(config=CONFIG):
    scheduler = EndpointScheduler()
    scheduler.handle(config, 0.0)
    return scheduler


def arrive(scheduler, id, adapter=A, now=0.0, **kwargs):
    work = make_work(id, adapter, arrived=now, **kwargs)
    return scheduler.handle(model.Arrived(work), now)


def load(scheduler, adapter, now):
    """Grant a turn; the load, and an eviction before it, succeed."""
    effects = scheduler.handle(model.TurnGranted(adapter), now)
    for effect in effects:
        if isinstance(effect, model.Evict):
            scheduler.handle(model.EvictEnded(effect.adapter, True), now)
    return scheduler.handle(model.LoadEnded(adapter, True, 0.5), now + 0.5)


def filter_effects(effects, kind):
    return [effect for effect in effects if isinstance(effect, kind)]


class TestLoads:
    def test_one_load_serves_all_requests_of_its_adapter(self):
        scheduler = make_scheduler()
        arrive(scheduler, "r1")
        arrive(scheduler, "r2")
        effects = load(scheduler, A, 0.1)
        assert [e.request_id for e in filter_effects(effects, model.Dispatch)] == [
            "r1",
            "r2",
        ]
        assert effects[0].stall_s == 0.6

    def test_urgent_loads_first_then_most_waiting(self):
        scheduler = make_scheduler()
        arrive(scheduler, "r1", A)
        assert arrive(scheduler, "r2", B, now=0.1) == []
        effects = arrive(scheduler, "r3", B, now=0.2)
        assert effects[0] == model.ReturnTurn(A)
        assert (effects[1].adapter, effects[1].waiting) == (B, 2)
        assert arrive(scheduler, "r4", C, urgency=0)[-1].adapter == C

    def test_unpopular_adapter_is_not_starved_by_popular_ones(self):
        # Popular adapters always have more requests waiting, but the value of
        # the unpopular one's load grows with its wait.
        scheduler = make_scheduler(model.Configured(1, 2, 0.008, 0.01))
        arrive(scheduler, "rare", C, answer_s=1000.0)
        for number in range(16):
            now = float(number)
            adapter = A if number % 2 else B
            for copy in "xy":
                arrive(scheduler, f"{number}{copy}", adapter, now)
            requested = scheduler.requested
            if requested == C:
                return
            for effect in load(scheduler, requested, now):
                if isinstance(effect, model.Dispatch):
                    scheduler.handle(model.Finished(effect.request_id), now + 0.5)
        raise AssertionError("the rare adapter never got a turn")

    def test_urgent_work_does_not_starve_the_rest(self):
        # Urgent requests arrive faster than the store loads. Every sixteenth
        # load is for the oldest request, with a value above the urgent load
        # requests of other endpoints.
        scheduler = make_scheduler(model.Configured(1, 2, 0.008, 0.01))
        effects = arrive(scheduler, "lazy", C, answer_s=1000.0)
        for number in range(20):
            now = 20.0 + number
            urgent = AdapterRef(f"urgent{number}", "1")
            effects += arrive(scheduler, f"r{number}", urgent, now, urgency=0)
            if scheduler.requested == C:
                assert number >= 15
                assert filter_effects(effects, model.AskTurn)[-1].value > 1_000_000.0
                return
            load(scheduler, urgent, now)
            effects += scheduler.handle(model.Finished(f"r{number}"), now + 0.5)
        raise AssertionError("the request that can wait was starved")

    def test_requests_are_refused_after_the_last_load_attempt(self):
        scheduler = make_scheduler()
        arrive(scheduler, "r1")
        refused = []
        for number in range(3):
            now = 10.0 * number
            scheduler.handle(model.Tick(), now)
            scheduler.handle(model.TurnGranted(A), now)
            event = model.LoadEnded(A, False, 0.1)
            refused += filter_effects(scheduler.handle(event, now), model.Refuse)
        assert [item.kind for item in refused] == [ErrorKind.LOAD_FAILED]

    def test_unrequested_turn_is_returned(self):
        scheduler = make_scheduler()
        effects = scheduler.handle(model.TurnGranted(A), 0.0)
        assert effects == [model.ReturnTurn(A)]


class TestEvictions:
    def test_a_serving_adapter_is_never_evicted(self):
        # A turn requested while the slot was idle is granted after a new
        # request started there: it must be returned, not used to evict.
        scheduler = make_scheduler()
        arrive(scheduler, "r1", A)
        load(scheduler, A, 0.0)
        scheduler.handle(model.Finished("r1"), 1.0)
        arrive(scheduler, "r2", B, now=1.0)
        assert scheduler.requested == B
        arrive(scheduler, "r3", A, now=1.1)
        effects = scheduler.handle(model.TurnGranted(B), 1.2)
        assert filter_effects(effects, model.Evict) == []
        assert model.ReturnTurn(B) in effects

    def test_adapter_of_foreign_work_is_not_evicted(self):
        scheduler = make_scheduler()
        report = model.Reported(frozenset({A}), {"old": A})
        scheduler.handle(report, 0.0)
        assert arrive(scheduler, "r1", B) == []
        effects = scheduler.handle(model.Reported(frozenset({A}), {}), 1.0)
        assert [type(item) for item in effects] == [model.AskTurn]
        assert scheduler.handle(model.TurnGranted(B), 1.1) == [model.Evict(A)]

    def test_busy_slot_is_drained_for_an_unpopular_adapter(self):
        # All slots serve popular adapters continuously. One of them must get
        # no new work, so that the unpopular adapter is not starved.
        scheduler = make_scheduler()
        arrive(scheduler, "r1", A)
        load(scheduler, A, 0.0)
        arrive(scheduler, "r2", B, now=1.0)
        assert arrive(scheduler, "r3", A, now=1.1) == []
        effects = scheduler.handle(model.Finished("r1"), 1.2)
        assert [item.adapter for item in effects] == [B]
        assert scheduler.handle(model.TurnGranted(B), 1.3) == [model.Evict(A)]

    def test_failed_eviction_returns_the_turn(self):
        scheduler = make_scheduler()
        scheduler.handle(model.Reported(frozenset({A}), {}), 0.0)
        arrive(scheduler, "r1", B)
        scheduler.handle(model.TurnGranted(B), 0.1)
        effects = scheduler.handle(model.EvictEnded(A, False), 0.2)
        assert effects == [model.ReturnTurn(B)]
        assert scheduler.loaded == {A}


class TestRefusals:
    def test_full_queue(self):
        config = model.Configured(1, 2, 0.008, 0.5, max_queued=1)
        scheduler = make_scheduler(config)
        arrive(scheduler, "r1")
        (effect,) = arrive(scheduler, "r2")
        assert effect.kind == ErrorKind.QUEUE_FULL
        assert effect.retry_after_s > 0

    def test_late_request_is_refused_on_arrival(self):
        scheduler = make_scheduler()
        (effect,) = arrive(scheduler, "r1", answer_s=0.4)
        assert effect.kind == ErrorKind.TOO_LATE
        assert effect.retry_after_s > 0

    def test_late_request_is_refused_as_soon_as_it_is_certain(self):
        scheduler = make_scheduler()
        arrive(scheduler, "r1", answer_s=2.0)
        assert filter_effects(scheduler.handle(model.Tick(), 1.3), model.Refuse) == []
        (effect,) = filter_effects(scheduler.handle(model.Tick(), 1.5), model.Refuse)
        assert effect.kind == ErrorKind.TOO_LATE

    def test_urgent_request_is_not_admitted_to_wait_for_many_loads(self):
        # In overload urgent work alone saturates the store. Requests with a
        # long expected wait are refused at once, with the wait as a hint,
        # instead of all waiting until shortly before their deadline.
        scheduler = make_scheduler()
        effects = []
        for number in range(12):
            adapter = AdapterRef(f"u{number:02}", "1")
            now = number / 1000
            effects += arrive(scheduler, f"u{number}", adapter, now, urgency=0)
        refused = filter_effects(effects, model.Refuse)
        assert 0 < len(refused) < 6
        assert {effect.kind for effect in refused} == {ErrorKind.TOO_LATE}
        assert all(effect.retry_after_s > 4.0 for effect in refused)
        lazy = arrive(scheduler, "lazy", B, 0.02, urgency=1)
        assert not filter_effects(lazy, model.Refuse)

    def test_overtaken_request_is_refused_long_before_its_deadline(self):
        # A request is admitted, then overtaken by many urgent ones. Guards
        # against refusing it only shortly before its deadline.
        scheduler = make_scheduler()
        arrive(scheduler, "lazy", B, urgency=3, answer_s=4.0)
        scheduler.handle(model.Tick(), 0.05)
        for number in range(8):
            adapter = AdapterRef(f"u{number}", "1")
            arrive(scheduler, f"u{number}", adapter, now=0.1, urgency=0)
        effects = scheduler.handle(model.Tick(), 1.1)
        refused = filter_effects(effects, model.Refuse)
        assert [effect.request_id for effect in refused] == ["lazy"]

    def test_request_expires_while_the_owner_is_paused(self):
        scheduler = make_scheduler()
        arrive(scheduler, "r1", answer_s=2.0)
        (effect,) = filter_effects(scheduler.handle(model.Tick(), 9.0), model.Refuse)
        assert effect.kind == ErrorKind.EXPIRED


class TestTakeover:
    def test_no_order_is_given_before_ready(self):
        config = model.Configured(1, 2, 0.008, 0.5, ready=False)
        scheduler = make_scheduler(config)
        scheduler.handle(model.Reported(frozenset({A}), {}), 0.0)
        assert arrive(scheduler, "r1", A) == []
        assert arrive(scheduler, "r2", B) == []
        assert scheduler.handle(model.TurnGranted(B), 0.1) == [model.ReturnTurn(B)]
        effects = scheduler.handle(CONFIG, 0.5)
        assert [type(item) for item in effects] == [model.Dispatch]

    def test_restart_clears_loaded_adapters_and_running_requests(self):
        scheduler = make_scheduler()
        arrive(scheduler, "r1", A)
        load(scheduler, A, 0.0)
        report = model.Reported(frozenset(), {}, restarted=True)
        scheduler.handle(report, 1.0)
        assert scheduler.loaded == frozenset()
        assert scheduler.running_count == 0
        assert arrive(scheduler, "r2", A, now=1.1)[-1].adapter == A

    def test_outdated_report_does_not_undo_orders(self):
        scheduler = make_scheduler()
        arrive(scheduler, "r1", A)
        load(scheduler, A, 0.0)
        scheduler.handle(model.Finished("r1"), 0.6)
        scheduler.handle(model.Reported(frozenset({B}), {}), 1.0)
        assert A in scheduler.loaded


class TestPlainService:
    def test_work_without_an_adapter_needs_no_load(self):
        scheduler = make_scheduler()
        effects = [arrive(scheduler, f"r{n}", PLAIN)[:1] for n in range(3)]
        assert [bool(item) for item in effects] == [True, True, False]
        (effect,) = scheduler.handle(model.Finished("r0"), 0.5)
        assert effect.request_id == "r2"


class TestBatches:
    def make_lazy(self, id, now, batch_weight=4.0):
        return model.Work(
            id, A, "s", 2, now, now + 30.0, stall_weight=1.0, batch_weight=batch_weight
        )

    def make_loaded(self):
        scheduler = make_scheduler()
        scheduler.handle(model.Reported(frozenset({A}), {}), 0.0)
        return scheduler

    def test_request_is_delayed_for_a_batch_if_batches_weigh_more(self):
        scheduler = self.make_loaded()
        assert scheduler.handle(model.Arrived(self.make_lazy("r1", 0.0)), 0.0) == []
        assert scheduler.handle(model.Arrived(self.make_lazy("r2", 1.0)), 1.0) == []
        effects = scheduler.handle(model.Tick(), 1.9)
        assert [effect.request_id for effect in effects] == ["r1", "r2"]

    def test_batch_delay_is_not_counted_as_queue_time(self):
        # Entries take queue time as a sign of a full endpoint and would route
        # requests elsewhere, where the adapter needs another load.
        scheduler = self.make_loaded()
        scheduler.handle(model.Arrived(self.make_lazy("r1", 0.0)), 0.0)
        (effect,) = scheduler.handle(model.Tick(), 1.9)
        assert effect.held_s == pytest.approx(1.8)
        assert effect.queue_s == pytest.approx(0.1)

    def test_urgent_request_ends_the_batch_delay_for_all(self):
        scheduler = self.make_loaded()
        scheduler.handle(model.Arrived(self.make_lazy("r1", 0.0)), 0.0)
        effects = arrive(scheduler, "r2", A, now=0.5, urgency=0)
        assert [effect.request_id for effect in effects] == ["r2", "r1"]

    def test_no_batch_delay_if_stalls_weigh_more(self):
        scheduler = self.make_loaded()
        work = self.make_lazy("r1", 0.0, batch_weight=0.5)
        assert len(scheduler.handle(model.Arrived(work), 0.0)) == 1

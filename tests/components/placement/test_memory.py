"""Tests of the memory that orders to an endpoint may take."""

import hypothesis.strategies as st
import pytest
from hypothesis import given, settings

from fescuekeel.components.placement.model import SendOrder
from fescuekeel.components.placement.scheduler import AdapterScheduler
from fescuekeel.helpers.dialect import EndpointReport, OrderKind, OrderReply
from fescuekeel.helpers.published import EngineSpec, ModelSpec, Weights
from fescuekeel.helpers.weight_memory import WeightMemory
from tests.components.placement.test_scheduler import make_request, select

M1, M2 = Weights("m1"), Weights("m2")


def make_engine(memory_mb, adapter_mb=10.0, size_mb=100.0, slots=20, more=()):
    models = [ModelSpec("m1", 1.0, size_mb, adapter_mb, 99), *more]
    return EngineSpec(8, 1000, slots, memory_mb, {each.name: each for each in models})


def make_scheduler(engine, held=(M1,), pending=(), busy=False):
    scheduler = AdapterScheduler(
        engine.max_loaded_adapters, "m1", memory=WeightMemory.of_engine(engine)
    )
    scheduler.record_report(make_report(held, pending, busy), 0.0, 0.0)
    return scheduler


def make_report(held=(M1,), pending=(), busy=False, orders_taken=0):
    return EndpointReport(
        dict.fromkeys(held, 1),
        frozenset(pending),
        busy,
        0,
        0,
        0,
        0,
        orders_taken=orders_taken,
    )


def adapters(count, model="m1"):
    return [Weights(model, f"a{number}") for number in range(1, count + 1)]


def list_loads(effects):
    return [
        each.weights
        for each in select(effects)
        if each.kind is OrderKind.LOAD and not each.is_repeat
    ]


def list_unloads(effects):
    return [each.weights for each in select(effects) if each.kind is OrderKind.UNLOAD]


class TestAdapters:
    # Guards against an endpoint that crashes as it is ordered to load more
    # than its memory holds, though it has places left.
    def test_none_is_loaded_beyond_the_memory(self):
        scheduler = make_scheduler(make_engine(125.0))
        for number, weights in enumerate(adapters(4)):
            scheduler.add_request(make_request(number, weights, since=5.0))
        assert len(list_loads(scheduler.step({}, 5.0))) == 2

    # Guards against memory of an order whose reply was lost.
    def test_an_unanswered_load_occupies_memory(self):
        scheduler = make_scheduler(make_engine(115.0))
        first, second = adapters(2)
        scheduler.add_request(make_request(1, first, since=5.0))
        (order,) = select(scheduler.step({}, 5.0))
        scheduler.record_reply(order, None, 5.0)
        scheduler.add_request(make_request(2, second, since=5.0))
        scheduler.record_report(make_report(orders_taken=0), 5.1, 5.1)
        assert list_loads(scheduler.step({}, 5.1)) == []

    # Guards against loads that another holder has ordered.
    def test_what_a_report_shows_as_pending_occupies_memory(self):
        first, second = adapters(2)
        scheduler = make_scheduler(make_engine(115.0), pending=[first])
        scheduler.add_request(make_request(1, second, since=5.0))
        assert list_loads(scheduler.step({}, 5.0)) == []

    # Guards against an adapter that counts as gone before it is.
    def test_an_unload_frees_memory_once_it_is_done(self):
        first, second = adapters(2)
        scheduler = make_scheduler(make_engine(115.0), held=[M1, first])
        scheduler.add_request(make_request(1, second, since=5.0))
        effects = scheduler.step({}, 5.0)
        assert (list_unloads(effects), list_loads(effects)) == ([first], [])
        scheduler.record_reply(select(effects)[0], OrderReply.HOLDS_ALREADY, 5.0)
        assert list_loads(scheduler.step({}, 5.1)) == [second]

    # Guards against a newer version that never comes where memory is full.
    def test_a_newer_version_takes_the_place_of_the_older_one(self):
        first, _ = adapters(2)
        scheduler = make_scheduler(make_engine(115.0), held=[M1, first])
        assert list_loads(scheduler.step({first: 2}, 5.0)) == [first]

    # Guards against one small adapter that is evicted for a large one.
    def test_several_are_unloaded_for_a_larger_one(self):
        large = ModelSpec("m2", 1.0, 50.0, 25.0, 9)
        engine = make_engine(190.0, more=[large])
        held = [M1, M2, *adapters(4)]
        scheduler = make_scheduler(engine, held=held)
        scheduler.add_request(make_request(1, Weights("m2", "b"), since=5.0))
        assert len(list_unloads(scheduler.step({}, 5.0))) == 3

    # Guards against one that waits where no eviction would be enough.
    def test_room_that_cannot_be_made_is_not_promised(self):
        engine = make_engine(160.0, more=[ModelSpec("m2", 1.0, 50.0, 25.0, 9)])
        scheduler = make_scheduler(engine, held=[M1, M2, *adapters(1)])
        assert not scheduler.can_load_now(Weights("m2", "b"), 5.0)

    @pytest.mark.parametrize(("memory_mb", "adapter_mb"), [(None, 10.0), (100.0, None)])
    def test_places_alone_count_where_sizes_are_not_known(self, memory_mb, adapter_mb):
        scheduler = make_scheduler(make_engine(memory_mb, adapter_mb, slots=3))
        for number, weights in enumerate(adapters(9)):
            scheduler.add_request(make_request(number, weights, since=5.0))
        assert len(list_loads(scheduler.step({}, 5.0))) == 3


class TestRoomForNone:
    # Guards against an adapter that crashes each endpoint it is ordered at.
    def test_an_adapter_is_refused_at_once(self):
        scheduler = make_scheduler(make_engine(105.0))
        (weights,) = adapters(1)
        assert not scheduler.can_load_now(weights, 5.0)
        assert not scheduler.accepts_request(weights, False, 5.0)
        scheduler.add_request(make_request(1, weights, since=5.0))
        assert list_loads(scheduler.step({}, 5.0)) == []

    def test_a_model_is_not_loaded(self):
        scheduler = make_scheduler(make_engine(90.0), held=[])
        assert list_loads(scheduler.step({}, 5.0)) == []


class TestModels:
    # Guards against a first model that is ordered beside a second one, for
    # which there is no room.
    def test_another_model_that_is_held_is_enough(self):
        engine = make_engine(130.0, more=[ModelSpec("m2", 1.0, 100.0, 10.0, 9)])
        scheduler = make_scheduler(engine, held=[M2])
        assert list_loads(scheduler.step({}, 5.0)) == []
        weights = Weights("m2", "a1")
        scheduler.add_request(make_request(1, weights, since=5.0))
        assert list_loads(scheduler.step({}, 5.1)) == [weights]
        assert not scheduler.accepts_request(Weights("m1", "a1"), False, 5.1)

    # Guards against a model that another holder has ordered, of which the
    # report says only that an order is in progress.
    def test_an_order_in_progress_may_be_the_largest_model(self):
        engine = make_engine(210.0, more=[ModelSpec("m2", 1.0, 100.0, 10.0, 9)])
        scheduler = make_scheduler(engine, busy=True)
        scheduler.add_request(make_request(1, *adapters(1), since=5.0))
        scheduler.add_request(make_request(2, Weights("m1", "b"), since=5.0))
        assert len(list_loads(scheduler.step({}, 5.0))) == 1


class TestChangedSizes:
    # Guards against sizes that were read once, when the endpoint was claimed.
    def test_the_configuration_in_force_counts(self):
        scheduler = make_scheduler(make_engine(200.0, 1.0), held=[M1, *adapters(3)])
        scheduler.apply_engine(make_engine(200.0, 25.0))
        for number, weights in enumerate(adapters(9)[4:]):
            scheduler.add_request(make_request(number, weights, since=5.0))
        assert len(list_loads(scheduler.step({}, 5.0))) == 1

    # Guards against orders to an endpoint that holds more than it should.
    def test_nothing_is_ordered_until_less_is_held(self):
        scheduler = make_scheduler(make_engine(200.0, 1.0), held=[M1, *adapters(5)])
        scheduler.apply_engine(make_engine(200.0, 25.0))
        scheduler.add_request(make_request(1, Weights("m1", "new"), since=5.0))
        assert scheduler.is_over_memory
        assert select(scheduler.step({adapters(1)[0]: 2}, 5.0)) == []
        assert not scheduler.accepts_request(Weights("m1", "b"), False, 5.0)
        assert scheduler.accepts_request(adapters(1)[0], False, 5.0)
        scheduler.record_report(make_report([M1, *adapters(3)]), 6.0, 6.0)
        assert list_loads(scheduler.step({}, 6.0)) == [Weights("m1", "new")]


class TestDrawnOrders:
    # Guards against any way to an order beyond the memory: several models and
    # sizes, lost replies, newer versions, reports that lag, changed sizes.
    @settings(max_examples=300, deadline=None)
    @given(st.data())
    def test_the_memory_is_never_exceeded(self, data):
        sizes = st.sampled_from([5.0, 10.0, 25.0, 40.0])
        second = ModelSpec("m2", 1.0, 60.0, data.draw(sizes), 9)
        engine = make_engine(
            data.draw(st.sampled_from([150.0, 210.0, 260.0])),
            data.draw(sizes),
            slots=data.draw(st.integers(1, 9)),
            more=[second],
        )
        model = data.draw(st.sampled_from([M1, M2]))
        memory = WeightMemory.of_engine(engine)
        held, taken, now = {model}, 0, 1.0
        scheduler = make_scheduler(engine, held=held)
        for number in range(data.draw(st.integers(1, 25))):
            now += data.draw(st.sampled_from([0.01, 0.3, 1.0]))
            name = f"a{data.draw(st.integers(1, 8))}"
            asked = Weights(data.draw(st.sampled_from(["m1", "m2"])), name)
            if scheduler.accepts_request(asked, False, now):
                scheduler.add_request(make_request(number, asked, since=now))
            versions = {asked: data.draw(st.integers(1, 3))}
            for order in select(scheduler.step(versions, now), SendOrder):
                after = held | {order.weights}
                if order.kind is OrderKind.UNLOAD:
                    after = held - {order.weights}
                assert memory.has_room_for(after)
                adapters_after = [each for each in after if each.adapter]
                assert len(adapters_after) <= engine.max_loaded_adapters
                reply = data.draw(
                    st.sampled_from([OrderReply.ACCEPTED, None, OrderReply.BUSY])
                )
                is_done = order.kind is OrderKind.UNLOAD or order.weights in held
                if is_done and reply is OrderReply.ACCEPTED:
                    reply = OrderReply.HOLDS_ALREADY
                if reply is not OrderReply.BUSY:
                    taken += after != held
                    held = after
                scheduler.record_reply(order, reply, now)
            if data.draw(st.booleans()):
                report = make_report(held, orders_taken=taken)
                scheduler.record_report(report, now, now)

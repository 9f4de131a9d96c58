"""Tests of choosing an endpoint."""

from collections import Counter
from dataclasses import replace

from fescuekeel.components.endpoints import Block, BlockReason, EndpointLoad
from fescuekeel.components.forward.choice import (
    ChoiceReason,
    EngineQuery,
    choose_engine,
    choose_plain,
)
from fescuekeel.components.forward.const import HOMES_PER_ADAPTER, MAX_COMPARED
from fescuekeel.helpers.placement_view import EndpointState, PlacementView
from fescuekeel.helpers.published import EndpointRecord, Weights

MODEL = Weights("m")
CARDS = Weights("m", "cards")
IDS = ("e1", "e2", "e3")
NOW = 100.0


def make_records(ids=IDS, held=None):
    known = {MODEL: 1} if held is None else held
    return {
        id: EndpointRecord(id, "s", f"127.0.0.1:{n}", f"dc{n}", 8, False, known)
        for n, id in enumerate(ids)
    }


def make_state(held=(), tokens=0, version=1):
    known = {MODEL: 1} | dict.fromkeys(held, version)
    return EndpointState("i1", 1, NOW, known, 0, tokens)


def ask(weights=CARDS, tokens=1000, newest=0, oldest=0):
    return EngineQuery(weights, tokens, 64, newest, oldest)


class Scenario:
    """The inputs of a choice: records, view and loads."""

    def __init__(self, states=None, records=None):
        self.records = records or make_records()
        self.view = PlacementView(states_by_endpoint=states or {})
        self.loads = {id: EndpointLoad() for id in self.records}

    def choose(self, query, tried=(), full=()):
        return choose_engine(
            query,
            self.records,
            self.loads.__getitem__,
            self.view,
            tried,
            self.list_blocks(full),
            NOW,
        )

    def choose_plain(self, tried=(), centre="dc0", full=()):
        return choose_plain(
            self.records,
            self.loads.__getitem__,
            tried,
            centre,
            self.list_blocks(full),
            NOW,
        )

    def list_blocks(self, full):
        def list_of(id):
            block = self.loads[id].health.find_block(NOW)
            found = [] if block is None else [block]
            return found + [Block(BlockReason.FULL)] * (id in full)

        return list_of


class TestEngine:
    def test_adapter_is_loaded_elsewhere_if_its_holder_is_full(self):
        """Guards against refusals while other engines are idle."""
        states = {id: make_state() for id in IDS} | {"e2": make_state([CARDS])}
        choice = Scenario(states).choose(ask(), full=["e2"])
        assert choice.endpoint != "e2"
        assert choice.needs_load

    def test_full_holder_is_chosen_if_it_is_the_only_endpoint(self):
        states = {"e1": make_state([CARDS])}
        scenario = Scenario(states, make_records(["e1"]))
        assert scenario.choose(ask(), full=["e1"]).endpoint == "e1"

    def test_endpoint_that_holds_the_adapter_is_chosen(self):
        states = {id: make_state() for id in IDS} | {"e2": make_state([CARDS])}
        choice = Scenario(states).choose(ask())
        assert choice.endpoint == "e2"
        assert choice.reason is ChoiceReason.HOLDS
        assert not choice.needs_load

    def test_all_instances_load_an_adapter_at_the_same_endpoint(self):
        states = {id: make_state() for id in IDS}
        chosen = {Scenario(states).choose(ask()).endpoint for _ in range(5)}
        assert len(chosen) == 1

    def test_congested_holder_triggers_a_copy_elsewhere(self):
        states = {id: make_state() for id in IDS}
        states["e2"] = make_state([CARDS], tokens=30_000)
        choice = Scenario(states).choose(ask())
        assert choice.endpoint == "e2"
        assert choice.spread_to in ("e1", "e3")

    def test_engine_without_the_base_model_is_not_chosen(self):
        """Guards against refusals after an engine's restart.

        It is the least loaded one, but does not have the base model yet.
        """
        records = make_records() | make_records(["e0"], held={})
        choice = Scenario({id: make_state(tokens=9000) for id in IDS}, records).choose(
            ask(MODEL)
        )
        assert choice.endpoint in IDS

    def test_older_version_serves_while_allowed(self):
        states = {id: make_state() for id in IDS} | {"e2": make_state([CARDS])}
        choice = Scenario(states).choose(ask(newest=2, oldest=1))
        assert choice.reason is ChoiceReason.OLDER_VERSION
        assert choice.version == 1
        assert choice.spread_to in ("e1", "e3")

    def test_older_version_does_not_serve_once_disallowed(self):
        states = {id: make_state() for id in IDS} | {"e2": make_state([CARDS])}
        choice = Scenario(states).choose(ask(newest=2, oldest=2))
        assert choice.needs_load
        assert choice.endpoint != "e2"

    def test_no_choice_if_all_endpoints_were_tried(self):
        assert Scenario().choose(ask(), tried=IDS) is None


class TestLargeFleet:
    """Sixty engines, known only by their published records."""

    def make_scenario(self, held=None, size=60):
        ids = [f"e{number:02}" for number in range(size)]
        records = make_records(ids)
        for id in held or ():
            records[id] = replace(records[id], held={MODEL: 1, CARDS: 1})
        return Scenario({}, records)

    def test_homes_do_not_depend_on_load(self):
        """Guards against fetching an adapter from the weight store repeatedly.

        If its homes moved with the load, cached copies would not be used.
        """
        homes = set()
        for loaded in range(20):
            scenario = self.make_scenario()
            for number in range(loaded * 3):
                scenario.view.record_load(f"e{number:02}", 12, 20_000, NOW)
            homes.add(scenario.choose(ask()).endpoint)
        assert len(homes) <= HOMES_PER_ADAPTER

    def test_requests_are_spread_over_copies_of_equal_cost(self):
        """Guards against one hot engine.

        Without load reports, all instances would choose the first copy.
        """
        scenario = self.make_scenario(held=["e03", "e17", "e42", "e55"])
        chosen = Counter(
            scenario.choose(replace(ask(), key=f"request-{number}")).endpoint
            for number in range(400)
        )
        assert set(chosen) == {"e03", "e17", "e42", "e55"}
        assert max(chosen.values()) < 2 * 400 / 4

    def test_number_of_compared_endpoints_is_bounded(self):
        for size in (60, 600):
            scenario = self.make_scenario(size=size)
            estimated = []

            class CountedLoad(EndpointLoad):
                def estimate_engine_s(self, *arguments, estimated=estimated):
                    estimated.append(self)
                    return super().estimate_engine_s(*arguments)

            scenario.loads = {id: CountedLoad() for id in scenario.records}
            scenario.choose(ask())
            scenario.choose(ask(MODEL))
            assert len(estimated) <= HOMES_PER_ADAPTER + MAX_COMPARED

    def test_copy_in_the_own_data_centre_is_preferred(self):
        scenario = self.make_scenario(held=["e03", "e17"])
        near = scenario.records["e17"].data_centre
        chosen = {
            scenario.choose(
                replace(ask(), key=f"request-{number}", data_centre=near)
            ).endpoint
            for number in range(50)
        }
        assert chosen == {"e17"}


class TestHealth:
    def test_endpoint_with_a_higher_failure_rate_is_avoided(self):
        """Guards against preferring an endpoint for its quick failures.

        Its health probe may still pass.
        """
        scenario = Scenario()
        for _ in range(10):
            scenario.loads["e1"].health.record_result(True, NOW)
        assert scenario.choose_plain().endpoint != "e1"

    def test_failures_common_to_all_endpoints_exclude_none(self):
        scenario = Scenario()
        for load in scenario.loads.values():
            for _ in range(10):
                load.health.record_result(True, NOW)
        assert scenario.choose_plain(centre="dc1").endpoint == "e2"

    def test_unresponsive_endpoint_is_avoided(self):
        scenario = Scenario()
        scenario.loads["e1"].health.record_sent(NOW - 5.0)
        scenario.loads["e2"].health.record_sent(NOW - 5.0)
        scenario.loads["e2"].health.record_received(NOW - 0.1)
        chosen = {scenario.choose_plain(tried=("e3",)).endpoint}
        assert chosen == {"e2"}

    def test_unreachable_endpoint_is_chosen_if_there_is_no_other(self):
        scenario = Scenario()
        for load in scenario.loads.values():
            load.health.record_unreachable(NOW)
        assert scenario.choose_plain() is not None


class TestAfterRestart:
    def test_published_weights_are_used_until_a_holder_reports(self):
        """Guards against an outage after a restart of all instances.

        Holders report weights only once they have their lease; the endpoints'
        published records have them from the start.
        """
        records = make_records() | make_records(["e2"], held={MODEL: 1, CARDS: 1})
        choice = Scenario({}, records).choose(ask())
        assert choice.endpoint == "e2"
        assert not choice.needs_load

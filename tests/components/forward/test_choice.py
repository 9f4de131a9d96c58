"""Tests of the choice of an endpoint."""

from collections import Counter
from dataclasses import replace

from fescuekeel.components.forward.choice import (
    ChoiceReason,
    EngineQuestion,
    choose_engine,
    choose_plain,
)
from fescuekeel.components.forward.const import HOMES, MAX_COMPARED
from fescuekeel.components.forward.endpoints import EndpointLoad
from fescuekeel.helpers.board import EndpointState, PlacementBoard
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
    return EngineQuestion(weights, tokens, 64, newest, oldest)


class World:
    """Hold what the choice reads."""

    def __init__(self, states=None, records=None):
        self.records = records or make_records()
        self.board = PlacementBoard(states_by_endpoint=states or {})
        self.loads = {id: EndpointLoad() for id in self.records}

    def choose(self, question, tried=(), full=()):
        return choose_engine(
            question,
            self.records,
            self.loads.__getitem__,
            self.board,
            tried,
            full,
            NOW,
        )

    def choose_plain(self, tried=(), centre="dc0"):
        return choose_plain(self.records, self.loads.__getitem__, tried, centre, NOW)


class TestEngine:
    def test_full_holder_gives_way_to_a_load_elsewhere(self):
        """Requests were refused while other engines of the service were idle.

        The one engine that held their adapter had no room in its queue, and
        the second choice was the same engine.
        """
        states = {id: make_state() for id in IDS} | {"e2": make_state([CARDS])}
        choice = World(states).choose(ask(), full=["e2"])
        assert choice.endpoint != "e2"
        assert choice.needs_load

    def test_full_holder_is_chosen_when_nothing_else_is_there(self):
        states = {"e1": make_state([CARDS])}
        world = World(states, make_records(["e1"]))
        assert world.choose(ask(), full=["e1"]).endpoint == "e1"

    def test_adapter_goes_where_it_is_held(self):
        states = {id: make_state() for id in IDS} | {"e2": make_state([CARDS])}
        choice = World(states).choose(ask())
        assert choice.endpoint == "e2"
        assert choice.reason is ChoiceReason.HOLDS
        assert not choice.needs_load

    def test_all_entries_load_it_at_the_same_place(self):
        states = {id: make_state() for id in IDS}
        chosen = {World(states).choose(ask()).endpoint for _ in range(5)}
        assert len(chosen) == 1

    def test_crowded_holder_gets_a_copy_elsewhere(self):
        states = {id: make_state() for id in IDS}
        states["e2"] = make_state([CARDS], tokens=30_000)
        choice = World(states).choose(ask())
        assert choice.endpoint == "e2"
        assert choice.spread_to in ("e1", "e3")

    def test_empty_engine_gets_no_work(self):
        """A tenth of the requests was refused right after a restart.

        An engine that had just started was the least loaded one, and it did
        not have the base model yet.
        """
        records = make_records() | make_records(["e0"], held={})
        choice = World({id: make_state(tokens=9000) for id in IDS}, records).choose(
            ask(MODEL)
        )
        assert choice.endpoint in IDS

    def test_older_version_serves_while_it_may(self):
        states = {id: make_state() for id in IDS} | {"e2": make_state([CARDS])}
        choice = World(states).choose(ask(newest=2, oldest=1))
        assert choice.reason is ChoiceReason.OLDER_VERSION
        assert choice.version == 1
        assert choice.spread_to in ("e1", "e3")

    def test_older_version_does_not_serve_any_more(self):
        states = {id: make_state() for id in IDS} | {"e2": make_state([CARDS])}
        choice = World(states).choose(ask(newest=2, oldest=2))
        assert choice.needs_load
        assert choice.endpoint != "e2"

    def test_nothing_left_to_try(self):
        assert World().choose(ask(), tried=IDS) is None


class TestLargeFleet:
    """Sixty engines, of which an instance knows only what is published."""

    def make_world(self, held=None, size=60):
        ids = [f"e{number:02}" for number in range(size)]
        records = make_records(ids)
        for id in held or ():
            records[id] = replace(records[id], held={MODEL: 1, CARDS: 1})
        return World({}, records)

    def test_load_of_others_does_not_move_an_adapters_homes(self):
        """Adapters were brought from the weight store again and again.

        As engines filled, an adapter's requests went to ever other ones, and
        the copies that the first ones had kept at hand served nobody.
        """
        homes = set()
        for loaded in range(20):
            world = self.make_world()
            for number in range(loaded * 3):
                world.board.note_load(f"e{number:02}", 12, 20_000, NOW)
            homes.add(world.choose(ask()).endpoint)
        assert len(homes) <= HOMES

    def test_copies_share_the_requests_of_instances_that_know_no_loads(self):
        """One engine was three and a half times as busy as the mean.

        All instances took the first of the copies that seemed equal to them.
        """
        world = self.make_world(held=["e03", "e17", "e42", "e55"])
        chosen = Counter(
            world.choose(replace(ask(), key=f"request-{number}")).endpoint
            for number in range(400)
        )
        assert set(chosen) == {"e03", "e17", "e42", "e55"}
        assert max(chosen.values()) < 2 * 400 / 4

    def test_work_of_a_choice_does_not_grow_with_the_endpoints(self):
        for size in (60, 600):
            world = self.make_world(size=size)
            estimated = []

            class CountedLoad(EndpointLoad):
                def estimate_engine_s(self, *arguments, estimated=estimated):
                    estimated.append(self)
                    return super().estimate_engine_s(*arguments)

            world.loads = {id: CountedLoad() for id in world.records}
            world.choose(ask())
            world.choose(ask(MODEL))
            assert len(estimated) <= HOMES + MAX_COMPARED

    def test_the_near_one_of_two_equal_copies_is_chosen(self):
        world = self.make_world(held=["e03", "e17"])
        near = world.records["e17"].data_centre
        chosen = {
            world.choose(
                replace(ask(), key=f"request-{number}", data_centre=near)
            ).endpoint
            for number in range(50)
        }
        assert chosen == {"e17"}


class TestHealth:
    def test_endpoint_that_fails_more_than_others_is_left(self):
        """A third of the lookups failed although two endpoints were sound.

        The third one's health probe was good, and its failures were quick, so
        that it looked like the fastest of all.
        """
        world = World()
        for _ in range(10):
            world.loads["e1"].health.note_result(True, NOW)
        assert world.choose_plain().endpoint != "e1"

    def test_failures_that_all_have_turn_nobody_away(self):
        world = World()
        for load in world.loads.values():
            for _ in range(10):
                load.health.note_result(True, NOW)
        assert world.choose_plain(centre="dc1").endpoint == "e2"

    def test_silent_endpoint_is_left(self):
        world = World()
        world.loads["e1"].health.note_sent(NOW - 5.0)
        world.loads["e2"].health.note_sent(NOW - 5.0)
        world.loads["e2"].health.note_heard(NOW - 0.1)
        chosen = {world.choose_plain(tried=("e3",)).endpoint}
        assert chosen == {"e2"}

    def test_unreachable_endpoint_is_tried_when_nothing_else_is_left(self):
        world = World()
        for load in world.loads.values():
            load.health.note_unreachable(NOW)
        assert world.choose_plain() is not None


class TestAfterARestart:
    def test_what_endpoints_have_published_counts_until_a_holder_tells(self):
        """For four seconds after a restart no adapter was served.

        All instances had lost power. What the endpoints hold is told by the
        holders of their orders, and the first of these waits for a lease;
        the endpoints' own entries had it all the time.
        """
        records = make_records() | make_records(["e2"], held={MODEL: 1, CARDS: 1})
        choice = World({}, records).choose(ask())
        assert choice.endpoint == "e2"
        assert not choice.needs_load

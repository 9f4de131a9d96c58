"""Tests of the search for an endpoint, and a simulation of a hot adapter."""

import heapq
import itertools
from dataclasses import replace
from random import Random

from fescuekeel.components.endpoints import EndpointLoad
from fescuekeel.components.forward.choice import EngineQuery, choose_engine
from fescuekeel.components.forward.const import MAX_CONGESTED, MAX_REFUSALS
from fescuekeel.components.forward.search import Search
from fescuekeel.components.placement.pacing import Prompt, PromptPacer
from fescuekeel.helpers.placement_view import NOT_HELD, TOO_MANY_PROMPTS, PlacementView
from fescuekeel.helpers.published import EndpointRecord, Weights
from fescuekeel.messages import AdmitAnswer

MODEL = Weights("m")
CARDS = Weights("m", "cards")
CONGESTED = AdmitAnswer(False, reason=TOO_MANY_PROMPTS)


class TestSearch:
    def test_request_queues_only_after_several_congested_endpoints(self):
        search = Search(until=10.0)
        for number in range(MAX_CONGESTED):
            assert not search.may_queue_at(f"e{number}")
            search.record_not_admitted(f"e{number}", CONGESTED, patient=False)
        assert search.may_queue_at("e0")
        assert search.find_block("e0", 0.0) is None
        assert not search.is_exhausted(0.0)

    # Guards against permits that are returned unused while slots are idle.
    def test_request_with_a_permit_queues_at_the_endpoint_that_granted_it(self):
        search = Search(until=10.0)
        assert search.may_queue_at("e0", has_permit=True)
        assert not search.may_queue_at("e0")

    def test_search_ends_after_the_limit_of_full_queues(self):
        search = Search(until=10.0)
        for number in range(MAX_REFUSALS):
            assert not search.is_exhausted(0.0)
            search.record_not_admitted(f"e{number}", CONGESTED, patient=True)
        assert search.is_exhausted(0.0)
        assert search.failure.retry_after_s

    def test_missing_adapter_does_not_mark_an_endpoint_as_congested(self):
        search = Search(until=10.0)
        search.record_not_admitted(
            "e1", AdmitAnswer(False, reason=NOT_HELD), patient=False
        )
        assert search.find_block("e1", 0.0) is None


class HotAdapterSimulation:
    """Simulate many instances that request one adapter on many engines.

    An instance knows the answers that it got, and what engines published
    ``PUBLISH_LAG_S`` ago. Without ``redirects``, requests queue at congested
    engines.
    """

    ENGINES = 60
    INSTANCES = 195
    REQUESTS_PER_S = 46.0
    TOKENS = 1460
    LOAD_S = 0.26
    STREAM_S = 1.7
    SLOTS = 12
    PUBLISH_LAG_S = 2.0

    def __init__(self, redirects):
        self.redirects = redirects
        self.random = Random(5)
        ids = [f"e{number:02}" for number in range(self.ENGINES)]
        self.records = {
            id: EndpointRecord(id, "s", "127.0.0.1:1", "dc", 12, False, {MODEL: 0})
            for id in ids
        }
        self.pacers = {id: PromptPacer(0.25, 25_800, 0.5) for id in ids}
        self.running = dict.fromkeys(ids, 0)
        self.incoming_tokens = dict.fromkeys(ids, 0)
        self.loaded_at_by_id = {}
        self.views = [PlacementView() for _ in range(self.INSTANCES)]
        self.loads = [{id: EndpointLoad() for id in ids} for _ in range(self.INSTANCES)]
        self.events = []
        self.sequence = itertools.count()
        self.requests = {}
        self.waits = []

    def schedule(self, time, action, *arguments):
        heapq.heappush(self.events, (time, next(self.sequence), action, arguments))

    def run(self, seconds):
        """Return the time that each request waited for its admission."""
        now = 0.0
        while now < seconds:
            now += self.random.expovariate(self.REQUESTS_PER_S)
            number = next(self.sequence)
            self.requests[number] = (now, self.random.randrange(self.INSTANCES))
            self.schedule(now, self.search, number, Search(until=now + 2.0))
        while self.events:
            now, _, action, arguments = heapq.heappop(self.events)
            action(now, *arguments)
        return self.waits

    def read_published(self, now):
        published = {MODEL: 0, CARDS: 0}
        return {
            id: replace(record, held=published)
            if self.loaded_at_by_id.get(id, now) < now - self.PUBLISH_LAG_S
            else record
            for id, record in self.records.items()
        }

    def search(self, now, number, search):
        arrived, instance = self.requests[number]
        if search.is_exhausted(now):
            self.waits.append(now - arrived)
            return
        query = EngineQuery(CARDS, self.TOKENS, self.SLOTS, 0, 0, str(number))

        def list_blocks(id):
            blocks = (
                self.loads[instance][id].health.find_block(now),
                search.find_block(id, now),
            )
            return [block for block in blocks if block is not None]

        choice = choose_engine(
            query,
            self.read_published(now),
            self.loads[instance].__getitem__,
            self.views[instance],
            (),
            list_blocks,
            now,
        )
        patient = not self.redirects or search.may_queue_at(choice.endpoint)
        if choice.needs_load:
            self.load(now, number, search, choice.endpoint, patient)
            return
        self.ask(now, number, search, choice.endpoint, patient)

    def load(self, now, number, search, id, patient):
        _, instance = self.requests[number]
        if not patient and self.is_congested(id):
            search.record_congested(id)
            self.schedule(now + 0.003, self.search, number, search)
            return
        ready = self.loaded_at_by_id.setdefault(id, now + self.LOAD_S)
        if now < ready:
            self.incoming_tokens[id] += self.TOKENS
            self.schedule(ready, self.end_load, id)
        self.views[instance].record_held(id, CARDS, 0, max(now, ready))
        self.schedule(max(now + 0.003, ready), self.search, number, search)

    def is_congested(self, id):
        wait_s = self.pacers[id].estimate_wait_s(self.incoming_tokens[id])
        waits_long = wait_s > self.LOAD_S
        return waits_long or self.running[id] >= self.SLOTS

    def end_load(self, now, id):
        self.incoming_tokens[id] -= self.TOKENS

    def ask(self, now, number, search, id, patient):
        pacer = self.pacers[id]
        pacer.enqueue(Prompt(number, self.TOKENS, 1, now + 1.0, search.until, patient))
        self.requests[number] += (search, patient)
        self.step(now, id)

    def step(self, now, id):
        pacer = self.pacers[id]
        room = self.SLOTS - self.running[id]
        for turn in pacer.step(now, room, self.LOAD_S):
            arrived, instance, search, patient = self.requests[turn.number]
            self.requests[turn.number] = (arrived, instance)
            view = self.views[instance]
            view.record_load(id, self.running[id], pacer.count_pending_tokens(now), now)
            if turn.granted:
                self.waits.append(now - arrived)
                self.running[id] += 1
                self.schedule(now + self.STREAM_S, self.end, id)
                continue
            search.record_not_admitted(id, CONGESTED, patient)
            self.schedule(now + 0.003, self.search, turn.number, search)
        due = pacer.get_next_step()
        if due < float("inf"):
            self.schedule(max(now + 0.001, due), self.step, id)

    def end(self, now, id):
        self.running[id] -= 1


class TestHotAdapter:
    """Guards against long queues at the one engine that holds a hot adapter.

    Each instance sends few requests, so it does not know that engine's queue.
    """

    def count_on_time(self, redirects):
        waits = HotAdapterSimulation(redirects).run(seconds=8.0)
        return sum(wait < 0.6 for wait in waits) / len(waits)

    def test_congested_engine_redirects_requests_to_others(self):
        """The share of requests admitted within 0.6 s must exceed 0.9."""
        before = self.count_on_time(redirects=False)
        after = self.count_on_time(redirects=True)
        assert before < 0.6
        assert after > 0.9

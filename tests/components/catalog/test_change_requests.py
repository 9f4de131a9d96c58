"""Tests of the decision when to request changes from a peer."""

import random

import pytest

from fescuekeel.components.catalog.change_requests import ChangeRequests, OwnState
from fescuekeel.components.catalog.const import (
    ASK_TIMEOUT_S,
    BEHIND_GRACE_S,
    LATE_ANSWER_S,
    MAX_REQUESTS,
    MISSED_S,
)
from fescuekeel.helpers.published import BEGINNING, Position

POLL_S = 0.4
OWN = Position(0, 7)
AHEAD = Position(0, 9)
UNSERVED = float("-inf")
SERVED = 1000.0


def make_state(must_watch=True, served_until=UNSERVED, position=OWN):
    return OwnState(position, must_watch, served_until)


@pytest.fixture
def requests():
    return ChangeRequests(POLL_S)


class TestBeingBehind:
    # Guards against a neighbour, as far behind, whose news end being behind.
    def test_ends_with_the_position_alone(self, requests):
        requests.record_news("ahead", AHEAD, OWN, now=0.0)
        for now in (0.1, 0.5, 1.0):
            requests.record_news("neighbour", OWN, OWN, now)
            assert requests.behind_since == 0.0
        requests.record_reached(Position(0, 8))
        assert requests.behind_since == 0.0
        requests.record_reached(AHEAD)
        assert requests.behind_since == float("inf")

    def test_a_higher_era_is_ahead_of_any_revision(self, requests):
        requests.record_news("ahead", Position(1, 1), OWN, now=0.0)
        assert requests.choose(make_state(), [], now=0.0) == "ahead"

    # Guards against an instance that waits for more news than one.
    def test_says_when_a_request_is_due(self, requests):
        own = make_state(served_until=SERVED)
        requests.record_news("ahead", AHEAD, OWN, now=1.0)
        assert requests.choose(own, [], now=1.0) is None
        due = requests.find_due(own, now=1.0)
        assert due == 1.0 + BEHIND_GRACE_S
        assert requests.choose(own, [], now=due) == "ahead"

    # Guards against a wait for the own watch that the store does not answer.
    def test_has_no_grace_without_an_answer_of_the_store(self, requests):
        requests.record_news("ahead", AHEAD, OWN, now=1.0)
        assert requests.choose(make_state(), [], now=1.0) == "ahead"
        assert requests.choose(make_state(served_until=1.2), [], 1.1) is None
        assert requests.choose(make_state(served_until=1.2), [], 1.2) == "ahead"


class TestRequests:
    # Guards against a peer that announces changes, dies and is waited for.
    def test_a_late_answer_is_not_waited_for(self, requests):
        requests.record_news("dead", AHEAD, OWN, now=0.0)
        requests.record_news("alive", AHEAD, OWN, now=0.0)
        first = requests.choose(make_state(), [], now=0.0)
        requests.record_sent(first, now=0.0)
        assert requests.choose(make_state(), [], LATE_ANSWER_S / 2) is None
        second = requests.choose(make_state(), [], LATE_ANSWER_S)
        assert {first, second} == {"dead", "alive"}

    # Guards against a loop without a pause while no peer answers.
    def test_an_answer_is_waited_for_while_all_are_under_way(self, requests):
        for number in range(MAX_REQUESTS):
            now = number * LATE_ANSWER_S
            requests.record_sent(f"i{number}", now)
        assert requests.find_due(make_state(), now=1.0) == float("inf")
        requests.record_failure("i0")
        assert requests.find_due(make_state(), now=1.0) <= 1.0

    def test_what_is_not_sent_in_time_is_missed(self, requests):
        requests.record_news("dead", AHEAD, OWN, now=0.0)
        requests.record_sent("dead", now=0.0)
        assert requests.find_missed(MISSED_S / 2) == BEGINNING
        assert requests.find_missed(MISSED_S) == AHEAD

    def test_a_refused_request_is_missed_at_once(self, requests):
        requests.record_news("dead", AHEAD, OWN, now=0.0)
        requests.record_sent("dead", now=0.0)
        requests.record_failure("dead")
        assert requests.find_missed(0.0) == AHEAD


class TestPolls:
    def test_go_to_a_peer_that_the_store_answers(self, requests):
        requests.record_answered_by_store("served", 5.0)
        assert requests.choose(make_state(), ["a", "b"], now=5.1) == "served"

    # Guards against polls that all go to one peer, which may know nothing.
    def test_go_to_all_contacts_in_turn(self, requests):
        polled = []
        for number in range(6):
            now = number * POLL_S
            peer = requests.choose(make_state(), ["a", "b", "c"], now)
            requests.record_sent(peer, now)
            requests.record_answer(peer, OWN)
            polled.append(peer)
        assert polled == ["a", "b", "c", "a", "b", "c"]

    # Guards against a loop without a pause where there is nobody to ask.
    def test_pause_where_there_is_no_peer(self, requests):
        assert requests.choose(make_state(), [], now=10.0) is None
        assert requests.find_due(make_state(), now=10.0) == 10.0 + POLL_S

    def test_are_not_sent_while_the_store_answers(self, requests):
        own = make_state(served_until=SERVED)
        assert requests.choose(own, ["a"], now=10.0) is None
        assert requests.find_due(own, now=10.0) == SERVED

    def test_are_not_sent_by_who_relies_on_watchers(self, requests):
        own = make_state(must_watch=False)
        assert requests.choose(own, ["a"], now=10.0) is None


class TestDrawnEvents:
    # Guards against an order of events after which an instance that is behind,
    # or that the store does not answer, asks nobody, or too many.
    @pytest.mark.parametrize("seed", range(50))
    def test_someone_is_asked_in_time(self, seed):
        draw = random.Random(seed)
        requests = ChangeRequests(POLL_S)
        peers = [f"i{number}" for number in range(draw.randint(2, 6))]
        position, sent_at_by_peer = OWN, {}
        asked_at = free_since = 0.0
        for step in range(1, 2000):
            now = step * 0.02
            peer = draw.choice(peers)
            if draw.random() < 0.1:
                announced = Position(0, position.revision + draw.randint(-1, 1))
                requests.record_news(peer, announced, position, now)
            for peer, sent_at in list(sent_at_by_peer.items()):
                if now - sent_at >= ASK_TIMEOUT_S:
                    del sent_at_by_peer[peer]
                    requests.record_failure(peer)
                elif draw.random() < 0.1:
                    del sent_at_by_peer[peer]
                    position = max(position, requests.target)
                    requests.record_answer(peer, position)
            own = make_state(position=position)
            chosen = requests.choose(own, peers, now)
            if chosen is not None:
                assert chosen not in sent_at_by_peer
                requests.record_sent(chosen, now)
                sent_at_by_peer[chosen] = asked_at = now
            if len(sent_at_by_peer) >= min(MAX_REQUESTS, len(peers)):
                free_since = now
            assert len(sent_at_by_peer) <= MAX_REQUESTS
            assert now - max(asked_at, free_since) <= POLL_S + 0.02
            is_behind = requests.behind_since < float("inf")
            assert is_behind == (requests.target > position)

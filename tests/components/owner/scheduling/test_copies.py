"""Tests of the choice between two candidate endpoints for a load."""

import pytest

from fescuekeel.components.owner.scheduling import copies, model
from fescuekeel.components.owner.scheduling.copies import LoadCandidate
from fescuekeel.components.owner.scheduling.decision import EndpointScheduler
from fescuekeel.messages import AdapterRef
from tests.components.owner.scheduling.test_decision import (
    CONFIG,
    A,
    B,
    C,
    arrive,
    load,
    make_scheduler,
)

MISS = LoadCandidate(held=False, score=2.0, queued=1)


class TestShouldMove:
    @pytest.mark.parametrize(
        ("there", "moves"),
        [
            (None, False),
            (LoadCandidate(True, copies.BUSY_SCORE, 99), True),
            (LoadCandidate(False, 1.5, 99), True),
            (LoadCandidate(False, 2.5, 0), False),
            (LoadCandidate(False, 2.0, 0), True),
            (LoadCandidate(False, 2.0, 1), False),
            (LoadCandidate(False, copies.FREE_SCORE, 0), True),
        ],
    )
    def test_request_goes_to_the_endpoint_that_evicts_the_less_popular(
        self, there, moves
    ):
        assert copies.should_move(MISS, there) is moves

    def test_request_stays_where_its_adapter_is_held(self):
        held = LoadCandidate(True, copies.BUSY_SCORE, 9)
        assert not copies.should_move(held, LoadCandidate(True, 0.0, 0))

    def test_two_endpoints_never_redirect_to_each_other(self):
        situations = [
            LoadCandidate(False, score, n) for score in (-1, 2) for n in (0, 3)
        ]
        for here in situations:
            for there in situations:
                both = copies.should_move(here, there), copies.should_move(there, here)
                assert both != (True, True)


class TestLook:
    def test_no_candidate_before_the_endpoint_is_owned(self):
        scheduler = EndpointScheduler()
        assert copies.look(scheduler, A, 0.0) is None
        scheduler.handle(model.Configured(1, 2, 0.008, 0.5, ready=False), 0.0)
        assert copies.look(scheduler, A, 0.0) is None

    def test_pending_loading_and_loaded_adapters_are_held(self):
        scheduler = make_scheduler()
        assert copies.look(scheduler, A, 0.0) == LoadCandidate(
            False, copies.FREE_SCORE, 0
        )
        arrive(scheduler, "r1", A)
        assert copies.look(scheduler, A, 0.0).held
        scheduler.handle(model.TurnGranted(A), 0.1)
        scheduler.handle(model.Cancelled("r1"), 0.2)
        assert copies.look(scheduler, A, 0.2).held
        scheduler.handle(model.LoadEnded(A, True, 0.5), 0.6)
        assert copies.look(scheduler, A, 0.6).held

    def test_score_is_of_the_adapter_that_the_next_load_would_evict(self):
        scheduler = make_scheduler(model.Configured(2, 2, 0.008, 0.5))
        for id, adapter, now in (("r1", A, 0.0), ("r2", A, 0.0), ("r3", B, 1.0)):
            arrive(scheduler, id, adapter, now)
            if id != "r1":
                load(scheduler, adapter, now)
        for id in ("r1", "r2", "r3"):
            scheduler.handle(model.Finished(id), 2.0)
        rare, popular = (scheduler.popularity.get_score(a, 2.0) for a in (B, A))
        assert rare < popular
        assert copies.look(scheduler, C, 2.0).score == rare
        arrive(scheduler, "r4", C, 2.0)
        other = AdapterRef("d", "1")
        assert copies.look(scheduler, other, 2.0).score == popular
        arrive(scheduler, "r5", other, 2.0)
        assert copies.look(scheduler, AdapterRef("e", "1"), 2.0) == LoadCandidate(
            False, copies.BUSY_SCORE, 2
        )

    def test_serving_slot_is_not_evictable(self):
        scheduler = make_scheduler(CONFIG)
        arrive(scheduler, "r1", A)
        load(scheduler, A, 0.1)
        assert copies.look(scheduler, B, 1.0).score == copies.BUSY_SCORE

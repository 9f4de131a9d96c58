"""Tests of the local view of placements."""

from fescuekeel.helpers.placement_view import (
    HOLDER_BACKOFF_S,
    MAX_OVERRIDES,
    OVERRIDE_TTL_S,
    STATE_TTL_S,
    PlacementView,
)
from fescuekeel.helpers.published import EndpointRecord, Weights
from fescuekeel.messages import HeldWeights, PlacementState

MODEL = Weights("m")
CARDS = Weights("m", "cards")


class TestPlacementView:
    def test_load_reply_is_applied_before_the_next_update(self):
        """Without it the same load is requested until the update arrives."""
        view = PlacementView()
        view.apply_update("i1", PlacementState("e1", 1), now=0.0)
        view.record_held("e1", CARDS, 2, now=0.1)
        assert view.states_by_endpoint["e1"].held == {CARDS: 2}

    def test_endpoint_that_rejected_for_missing_weights_is_not_retried(self):
        """A stale update must not use up the attempts at one endpoint."""
        view = PlacementView()
        held = (HeldWeights("m", "cards", 2),)
        view.apply_update("i1", PlacementState("e1", 1, held=held), now=0.0)
        view.record_missing("e1", CARDS, now=0.1)
        assert view.states_by_endpoint["e1"].held == {}

    def test_empty_delta_keeps_the_loaded_weights(self):
        view = PlacementView()
        held = (HeldWeights("m", "cards", 2),)
        view.apply_update("i1", PlacementState("e1", 1, held=held, number=7), now=0.0)
        update = PlacementState("e1", 1, running=3, number=7, based_on=7)
        view.apply_update("i1", update, now=1.0)
        assert view.states_by_endpoint["e1"].held == {CARDS: 2}
        assert view.states_by_endpoint["e1"].running == 3

    def test_delta_of_a_new_holder_is_not_applied_to_the_old_list(self):
        """The new holder's first message, with the full list, may be lost."""
        view = PlacementView()
        held = (HeldWeights("m", "cards", 2),)
        view.apply_update("i1", PlacementState("e1", 1, held=held, number=1), now=0.0)
        update = PlacementState("e1", 2, number=1, based_on=1)
        view.apply_update("i2", update, now=1.0)
        assert view.states_by_endpoint["e1"].holder == "i1"


def make_record(held=(), endpoint="e1", data_centre="dc2"):
    known = dict.fromkeys(held, 1)
    return EndpointRecord(
        endpoint, "s", "127.0.0.1:1", data_centre, 8, False, {MODEL: 0} | known
    )


class TestFarEndpoint:
    """Endpoints whose placement updates this instance does not receive."""

    def test_published_record_is_used(self):
        view = PlacementView()
        assert view.find_version(make_record([CARDS]), CARDS, now=0.0) == 1
        assert view.find_version(make_record(), CARDS, now=0.0) is None

    def test_reply_overrides_the_published_record_until_it_expires(self):
        """Without it a load that has just ended is requested again."""
        view = PlacementView()
        view.record_held("e1", CARDS, 2, now=0.0)
        assert view.find_version(make_record(), CARDS, now=2.0) == 2
        assert view.find_version(make_record(), CARDS, now=OVERRIDE_TTL_S) is None

    def test_missing_adapter_overrides_the_published_record(self):
        view = PlacementView()
        view.record_missing("e1", CARDS, now=0.0)
        record = make_record([CARDS])
        assert view.find_version(record, CARDS, now=2.0) is None
        assert view.find_version(record, CARDS, now=OVERRIDE_TTL_S) == 1

    def test_update_of_a_dead_holder_expires(self):
        """The published record must replace a dead holder's last list."""
        view = PlacementView()
        held = (HeldWeights("m", "cards", 2),)
        view.apply_update("i1", PlacementState("e1", 1, held=held), now=0.0)
        assert view.find_version(make_record(), CARDS, now=1.0) == 2
        assert view.find_version(make_record(), CARDS, now=1.0 + STATE_TTL_S) is None

    def test_overrides_are_bounded(self):
        view = PlacementView()
        for number in range(10 * MAX_OVERRIDES):
            view.record_missing("e1", Weights("m", f"a{number}"), now=0.0)
        assert len(view._overrides_by_endpoint["e1"]) == MAX_OVERRIDES


class TestHolder:
    def make_view(self, near=False):
        view = PlacementView()
        view.find_candidate = lambda endpoint: "candidate"
        view.is_near = lambda endpoint: near
        return view

    def test_candidate_of_a_far_endpoint_is_asked(self):
        assert self.make_view().find_holder("e1", now=0.0) == "candidate"

    def test_near_endpoint_has_no_holder_until_one_is_announced(self):
        view = self.make_view(near=True)
        assert view.find_holder("e1", now=0.0) is None
        view.holders_by_endpoint["e1"] = "i1"
        assert view.find_holder("e1", now=0.0) == "i1"

    def test_redirect_to_another_holder_is_followed(self):
        """A restarted candidate is not the holder if another took over."""
        view = self.make_view()
        assert view.record_redirect("e1", "candidate", "i2")
        assert view.find_holder("e1", now=0.0) == "i2"
        assert not view.record_redirect("e1", "i2", "")
        assert view.find_holder("e1", now=0.0) == "candidate"

    def test_unresponsive_holder_is_not_asked_during_backoff(self):
        """Not every request may run into the timeout of a dead holder."""
        view = self.make_view()
        view.record_unresponsive("candidate", now=0.0)
        assert view.find_holder("e1", now=0.5) is None
        assert view.find_holder("e1", now=HOLDER_BACKOFF_S) == "candidate"

"""Tests of the encoding of updates."""

import hypothesis.strategies as st
from hypothesis import given

from fescuekeel.components.placement.const import FULL_UPDATE_PERIOD_S
from fescuekeel.components.placement.updates import EndpointSnapshot, UpdateWriter
from fescuekeel.helpers.placement_view import PlacementView
from fescuekeel.helpers.published import Weights

ADAPTERS = [Weights("m", f"a{number}") for number in range(6)]
LISTS = st.lists(st.dictionaries(st.sampled_from(ADAPTERS), st.integers(1, 3)))


def make_snapshot(held, term=1):
    return EndpointSnapshot("e1", term, dict(held), 0, 0)


class TestDeltas:
    """Guards against sending full state at each load."""

    def test_a_change_is_sent_as_a_delta(self):
        writer = UpdateWriter()
        held = dict.fromkeys(ADAPTERS, 1)
        writer.write(make_snapshot(held), 0.0)
        changed = held | {Weights("m", "new"): 1}
        state = writer.write(make_snapshot(changed), 0.1)
        assert [item.adapter for item in state.held] == ["new"]
        assert state.dropped == ()

    @given(LISTS)
    def test_instance_with_all_updates_knows_the_list(self, lists):
        writer, view = UpdateWriter(), PlacementView()
        for number, held in enumerate(lists):
            view.apply_update(
                "i1", writer.write(make_snapshot(held), number * 0.1), 0.0
            )
            assert view.states_by_endpoint["e1"].held == held

    @given(LISTS, st.data())
    def test_missed_update_never_yields_a_mixed_list(self, lists, data):
        """What an instance knows is always a list that was sent as such."""
        writer, view = UpdateWriter(), PlacementView()
        for number, held in enumerate(lists):
            state = writer.write(make_snapshot(held), number * 0.1)
            if data.draw(st.booleans()):
                view.apply_update("i1", state, 0.0)
            known = view.states_by_endpoint.get("e1")
            assert known is None or known.held in lists[: number + 1]

    def test_newcomer_gets_the_full_list_as_last_sent(self):
        writer, view = UpdateWriter(), PlacementView()
        first, second = {ADAPTERS[0]: 1}, {ADAPTERS[1]: 1}
        writer.write(make_snapshot(first), 0.0)
        # A change that was not sent yet must not be included.
        view.apply_update("i1", writer.write_full(make_snapshot(second)), 0.0)
        assert view.states_by_endpoint["e1"].held == first
        view.apply_update("i1", writer.write(make_snapshot(second), 0.1), 0.0)
        assert view.states_by_endpoint["e1"].held == second

    def test_full_list_is_sent_periodically(self):
        writer = UpdateWriter()
        writer.write(make_snapshot({ADAPTERS[0]: 1}), 0.0)
        state = writer.write(
            make_snapshot({ADAPTERS[0]: 1}), FULL_UPDATE_PERIOD_S + 0.1
        )
        assert state.based_on == 0
        assert len(state.held) == 1

    def test_new_claim_begins_with_the_full_list(self):
        writer = UpdateWriter()
        writer.write(make_snapshot({ADAPTERS[0]: 1}, term=1), 0.0)
        state = writer.write(make_snapshot({ADAPTERS[0]: 1}, term=2), 0.1)
        assert state.based_on == 0

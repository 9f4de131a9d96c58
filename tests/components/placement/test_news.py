"""Tests of what a holder tells of its endpoints."""

import hypothesis.strategies as st
from hypothesis import given

from fescuekeel.components.placement.const import FULL_NEWS_PERIOD_S
from fescuekeel.components.placement.news import EndpointNews, NewsWriter
from fescuekeel.helpers.board import PlacementBoard
from fescuekeel.helpers.published import Weights

ADAPTERS = [Weights("m", f"a{number}") for number in range(6)]
LISTS = st.lists(st.dictionaries(st.sampled_from(ADAPTERS), st.integers(1, 3)))


def make_news(held, term=1):
    return EndpointNews("e1", term, dict(held), 0, 0)


class TestDifferences:
    """No adapter was loaded any more, in a fleet of 77 instances.

    A holder told its whole list to each instance at every load. That was more
    than its link carries: answers to loads came seconds late, its peers took
    it for dead, and its endpoints changed hands.
    """

    def test_a_change_is_told_without_the_rest(self):
        writer = NewsWriter()
        held = dict.fromkeys(ADAPTERS, 1)
        writer.write(make_news(held), 0.0)
        changed = held | {Weights("m", "new"): 1}
        state = writer.write(make_news(changed), 0.1)
        assert [item.adapter for item in state.held] == ["new"]
        assert state.dropped == ()

    @given(LISTS)
    def test_who_hears_all_knows_the_list(self, lists):
        writer, board = NewsWriter(), PlacementBoard()
        for number, held in enumerate(lists):
            board.hear("i1", writer.write(make_news(held), number * 0.1), 0.0)
            assert board.states_by_endpoint["e1"].held == held

    @given(LISTS, st.data())
    def test_who_missed_one_never_has_a_mixed_list(self, lists, data):
        """What an instance knows is always a list that was told as such."""
        writer, board = NewsWriter(), PlacementBoard()
        for number, held in enumerate(lists):
            state = writer.write(make_news(held), number * 0.1)
            if data.draw(st.booleans()):
                board.hear("i1", state, 0.0)
            known = board.states_by_endpoint.get("e1")
            assert known is None or known.held in lists[: number + 1]

    def test_newcomer_gets_the_whole_list_as_it_was_told(self):
        writer, board = NewsWriter(), PlacementBoard()
        first, second = {ADAPTERS[0]: 1}, {ADAPTERS[1]: 1}
        writer.write(make_news(first), 0.0)
        # A change that is not told yet must not get into it.
        board.hear("i1", writer.write_whole(make_news(second)), 0.0)
        assert board.states_by_endpoint["e1"].held == first
        board.hear("i1", writer.write(make_news(second), 0.1), 0.0)
        assert board.states_by_endpoint["e1"].held == second

    def test_whole_list_comes_from_time_to_time(self):
        writer = NewsWriter()
        writer.write(make_news({ADAPTERS[0]: 1}), 0.0)
        state = writer.write(make_news({ADAPTERS[0]: 1}), FULL_NEWS_PERIOD_S + 0.1)
        assert state.based_on == 0
        assert len(state.held) == 1

    def test_new_claim_begins_with_the_whole_list(self):
        writer = NewsWriter()
        writer.write(make_news({ADAPTERS[0]: 1}, term=1), 0.0)
        state = writer.write(make_news({ADAPTERS[0]: 1}, term=2), 0.1)
        assert state.based_on == 0

"""Tests of the board of placements."""

from fescuekeel.helpers.placement import PlacementBoard
from fescuekeel.helpers.published import Weights
from fescuekeel.messages import HeldWeights, PlacementState

CARDS = Weights("m", "cards")


class TestPlacementBoard:
    def test_load_answer_counts_before_the_next_news(self):
        """A caller waited for a load and was then asked to wait once more.

        The holder answered that the adapter is loaded; its news of it came up
        to 400 ms later. Until then the entry believed that nobody held it and
        asked again every few milliseconds.
        """
        board = PlacementBoard()
        board.hear("i1", PlacementState("e1", 1), now=0.0)
        board.note_held("e1", CARDS, 2)
        assert board.states_by_endpoint["e1"].held == {CARDS: 2}

    def test_misdirected_request_is_not_sent_there_again(self):
        """A caller's request was refused four times within milliseconds.

        The endpoint had dropped the adapter; the entry knew only the holder's
        older news and chose the same endpoint until its sends were used up.
        """
        board = PlacementBoard()
        held = (HeldWeights("m", "cards", 2),)
        board.hear("i1", PlacementState("e1", 1, held=held), now=0.0)
        board.note_missing("e1", CARDS)
        assert board.states_by_endpoint["e1"].held == {}

    def test_news_without_a_change_keeps_what_is_held(self):
        board = PlacementBoard()
        held = (HeldWeights("m", "cards", 2),)
        board.hear("i1", PlacementState("e1", 1, held=held, number=7), now=0.0)
        news = PlacementState("e1", 1, running=3, number=7, based_on=7)
        board.hear("i1", news, now=1.0)
        assert board.states_by_endpoint["e1"].held == {CARDS: 2}
        assert board.states_by_endpoint["e1"].running == 3

    def test_short_news_of_a_new_holder_tells_nothing(self):
        """Requests were refused by an endpoint that held nothing any more.

        A new holder's first message was lost, and its second one, without
        what is held, was taken together with the old holder's list.
        """
        board = PlacementBoard()
        held = (HeldWeights("m", "cards", 2),)
        board.hear("i1", PlacementState("e1", 1, held=held, number=1), now=0.0)
        news = PlacementState("e1", 2, number=1, based_on=1)
        board.hear("i2", news, now=1.0)
        assert board.states_by_endpoint["e1"].holder == "i1"

"""Tests of the board of placements."""

from fescuekeel.helpers.board import (
    CORRECTION_S,
    MAX_CORRECTIONS,
    SILENT_HOLDER_S,
    STATE_TTL_S,
    PlacementBoard,
)
from fescuekeel.helpers.published import EndpointRecord, Weights
from fescuekeel.messages import HeldWeights, PlacementState

MODEL = Weights("m")
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
        board.note_held("e1", CARDS, 2, now=0.1)
        assert board.states_by_endpoint["e1"].held == {CARDS: 2}

    def test_misdirected_request_is_not_sent_there_again(self):
        """A caller's request was refused four times within milliseconds.

        The endpoint had dropped the adapter; the entry knew only the holder's
        older news and chose the same endpoint until its sends were used up.
        """
        board = PlacementBoard()
        held = (HeldWeights("m", "cards", 2),)
        board.hear("i1", PlacementState("e1", 1, held=held), now=0.0)
        board.note_missing("e1", CARDS, now=0.1)
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


def make_record(held=(), endpoint="e1", data_centre="dc2"):
    known = dict.fromkeys(held, 1)
    return EndpointRecord(
        endpoint, "s", "127.0.0.1:1", data_centre, 8, False, {MODEL: 0} | known
    )


class TestFarEndpoint:
    """What is known of endpoints whose holders do not tell this instance."""

    def test_what_it_has_published_counts(self):
        board = PlacementBoard()
        assert board.find_version(make_record([CARDS]), CARDS, now=0.0) == 1
        assert board.find_version(make_record(), CARDS, now=0.0) is None

    def test_answer_counts_until_the_published_list_can_show_it(self):
        """A caller waited for the same load at the same endpoint twice.

        Its adapter had been loaded there a second before, for another caller
        of the same instance; the endpoint's own list came two seconds later.
        """
        board = PlacementBoard()
        board.note_held("e1", CARDS, 2, now=0.0)
        assert board.find_version(make_record(), CARDS, now=2.0) == 2
        assert board.find_version(make_record(), CARDS, now=CORRECTION_S) is None

    def test_missing_adapter_is_not_looked_for_there_again(self):
        board = PlacementBoard()
        board.note_missing("e1", CARDS, now=0.0)
        record = make_record([CARDS])
        assert board.find_version(record, CARDS, now=2.0) is None
        assert board.find_version(record, CARDS, now=CORRECTION_S) == 1

    def test_word_of_a_silent_holder_gives_way_to_the_published_list(self):
        """Requests went for seconds to an endpoint without their adapter.

        Its holder had died, and the last list that it told was kept.
        """
        board = PlacementBoard()
        held = (HeldWeights("m", "cards", 2),)
        board.hear("i1", PlacementState("e1", 1, held=held), now=0.0)
        assert board.find_version(make_record(), CARDS, now=1.0) == 2
        assert board.find_version(make_record(), CARDS, now=1.0 + STATE_TTL_S) is None

    def test_answers_are_bounded(self):
        board = PlacementBoard()
        for number in range(10 * MAX_CORRECTIONS):
            board.note_missing("e1", Weights("m", f"a{number}"), now=0.0)
        assert len(board._corrections_by_endpoint["e1"]) == MAX_CORRECTIONS


class TestHolder:
    def make_board(self, near=False):
        board = PlacementBoard()
        board.find_candidate = lambda endpoint: "candidate"
        board.is_near = lambda endpoint: near
        return board

    def test_far_candidate_is_asked(self):
        assert self.make_board().find_holder("e1", now=0.0) == "candidate"

    def test_near_endpoint_has_no_holder_until_one_tells(self):
        board = self.make_board(near=True)
        assert board.find_holder("e1", now=0.0) is None
        board.holders_by_endpoint["e1"] = "i1"
        assert board.find_holder("e1", now=0.0) == "i1"

    def test_the_holder_that_was_named_is_asked_next(self):
        """An instance came back under its name, and was asked in vain by all.

        By its name it was the candidate again, while the one that had stepped
        in for it kept the endpoint.
        """
        board = self.make_board()
        assert board.note_not_holder("e1", "candidate", "i2")
        assert board.find_holder("e1", now=0.0) == "i2"
        assert not board.note_not_holder("e1", "i2", "")
        assert board.find_holder("e1", now=0.0) == "candidate"

    def test_silent_holder_is_left_alone_for_a_while(self):
        """Each caller waited for a second, in turn, for a dead holder."""
        board = self.make_board()
        board.note_silent("candidate", now=0.0)
        assert board.find_holder("e1", now=0.5) is None
        assert board.find_holder("e1", now=SILENT_HOLDER_S) == "candidate"

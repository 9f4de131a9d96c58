"""Tests of asking whoever holds an endpoint's orders."""

import asyncio

from returns.result import Failure as Err, Success

from fescuekeel.components.forward.holders import HolderLink
from fescuekeel.core import Bus
from fescuekeel.errors import ErrorKind, Failure
from fescuekeel.helpers.board import NOT_HOLDER, PlacementBoard
from fescuekeel.messages import AdmitAnswer, AdmitAsk, LoadAnswer, LoadAsk

LOAD = LoadAsk("e1", "m", "cards", 0, 1)
TURN = AdmitAsk("e1", 1000, 1, 500, 500, "m", "cards")
SILENT = Err(Failure(ErrorKind.PEER_UNREACHABLE, "connection lost"))


class StandInLink:
    """Answer as each instance would, and note who was asked."""

    def __init__(self, answers_by_instance):
        self.answers = answers_by_instance
        self.asked = []

    async def ask(self, instance_id, body, timeout_s):
        self.asked.append(instance_id)
        answer = self.answers.get(instance_id)
        return SILENT if answer is None else Success(answer)


class StandInInstance:
    """Stand in for the daemon's instance."""

    def __init__(self, answers_by_instance):
        self.link = StandInLink(answers_by_instance)
        self.components_by_domain = {"peers": self.link}
        self.bus = Bus()
        board = PlacementBoard()
        board.find_candidate = lambda endpoint: "i1"
        board.is_near = lambda endpoint: False
        self.bus.publish_state(board)

    def now(self):
        return 100.0


def ask(ask_for, **answers):
    """Ask for a load or a turn; return the answer and who was asked."""
    instance = StandInInstance(answers)
    holders = HolderLink(instance)
    work = holders.ask_load if isinstance(ask_for, LoadAsk) else holders.ask_turn
    return asyncio.run(work(ask_for, 1.0)), instance


class TestRedirect:
    def test_the_named_holder_is_asked_at_once(self):
        elsewhere = LoadAnswer(False, NOT_HOLDER, holder="i2")
        answer, instance = ask(LOAD, i1=elsewhere, i2=LoadAnswer(True, version=3))
        assert answer.loaded
        assert instance.link.asked == ["i1", "i2"]

    def test_nobody_is_asked_in_a_circle(self):
        """Two instances that each took the other for the holder."""
        answers = {
            "i1": AdmitAnswer(False, reason=NOT_HOLDER, holder="i2"),
            "i2": AdmitAnswer(False, reason=NOT_HOLDER, holder="i1"),
        }
        answer, instance = ask(TURN, **answers)
        assert answer is None
        assert instance.link.asked == ["i1", "i2"]

    def test_without_a_holder_a_prompt_goes_unpaced(self):
        answer, _ = ask(TURN, i1=AdmitAnswer(False, reason=NOT_HOLDER))
        assert answer is None


class TestSilence:
    def test_silent_holder_is_not_asked_by_the_next_request(self):
        """All callers of an adapter waited for a second each, one by one.

        The holder of its endpoint was cut off; its connection was found dead
        after a second, and the next request opened another one.
        """
        answer, instance = ask(TURN)
        assert answer is None
        holders = HolderLink(instance)
        assert holders.find("e1") is None

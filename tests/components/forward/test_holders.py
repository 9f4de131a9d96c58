"""Tests of requests to endpoints' holders."""

import asyncio

from returns.result import Failure as Err, Success

from fescuekeel.components.forward.holders import HolderClient
from fescuekeel.core import Bus
from fescuekeel.errors import ErrorKind, Failure
from fescuekeel.helpers.placement_view import NOT_HOLDER, PlacementView
from fescuekeel.messages import AdmitAnswer, AdmitAsk, LoadAnswer, LoadAsk

LOAD = LoadAsk("e1", "m", "cards", 0, 1)
ADMISSION = AdmitAsk("e1", 1000, 1, 500, 500, "m", "cards")
NO_ANSWER = Err(Failure(ErrorKind.PEER_UNREACHABLE, "connection lost"))


class FakeLink:
    """Return a fixed answer for each instance, and record who was asked."""

    def __init__(self, answers_by_instance):
        self.answers = answers_by_instance
        self.asked = []

    async def ask(self, instance_id, body, timeout_s):
        self.asked.append(instance_id)
        answer = self.answers.get(instance_id)
        return NO_ANSWER if answer is None else Success(answer)


class FakeInstance:
    """A fake of the daemon's instance."""

    def __init__(self, answers_by_instance):
        self.link = FakeLink(answers_by_instance)
        self.components_by_domain = {"peers": self.link}
        self.bus = Bus()
        view = PlacementView()
        view.find_candidate = lambda endpoint: "i1"
        view.is_near = lambda endpoint: False
        self.bus.publish_state(view)

    def now(self):
        return 100.0


def ask(ask_for, **answers):
    """Request a load or an admission; return the answer and the instance."""
    instance = FakeInstance(answers)
    holders = HolderClient(instance)
    work = holders.ask_load if isinstance(ask_for, LoadAsk) else holders.ask_admission
    return asyncio.run(work(ask_for, 1.0)), instance


class TestRedirect:
    def test_redirect_to_the_holder_is_followed(self):
        elsewhere = LoadAnswer(False, NOT_HOLDER, holder="i2")
        answer, instance = ask(LOAD, i1=elsewhere, i2=LoadAnswer(True, version=3))
        assert answer.loaded
        assert instance.link.asked == ["i1", "i2"]

    def test_redirect_loop_ends(self):
        """Two instances may each take the other for the holder."""
        answers = {
            "i1": AdmitAnswer(False, reason=NOT_HOLDER, holder="i2"),
            "i2": AdmitAnswer(False, reason=NOT_HOLDER, holder="i1"),
        }
        answer, instance = ask(ADMISSION, **answers)
        assert answer is None
        assert instance.link.asked == ["i1", "i2"]

    def test_no_admission_answer_without_a_holder(self):
        answer, _ = ask(ADMISSION, i1=AdmitAnswer(False, reason=NOT_HOLDER))
        assert answer is None


class TestUnresponsiveHolder:
    def test_unresponsive_holder_is_not_asked_by_the_next_request(self):
        """Guards against each request waiting for the timeout in turn."""
        answer, instance = ask(ADMISSION)
        assert answer is None
        holders = HolderClient(instance)
        assert holders.find("e1") is None

"""Tests of the search for an endpoint that chooses again and again."""

import asyncio
from itertools import cycle
from types import SimpleNamespace

import hypothesis.strategies as st
from hypothesis import example, given, settings

from fescuekeel.components.forward.choice import Choice, ChoiceReason
from fescuekeel.components.forward.selection import EndpointSelector
from fescuekeel.core import Instance
from fescuekeel.errors import Failure
from tests.common import make_settings
from tests.components.catalog.simulation import run_virtual

SEARCH_S = 2.0
TARGET_S = 1.0
# What may follow the search's time: a last pause, and the waits of a round.
SLACK_S = 1.0
MAX_ROUNDS = 450
ROUNDS = st.lists(
    st.tuples(
        st.sampled_from(["send", "load", "limited", "blocked", "none"]),
        st.sampled_from([0.0, 0.0, 0.0, 0.001, 0.004, 0.006, 0.1]),
    ),
    min_size=1,
    max_size=30,
)


class RepeatingSelector(EndpointSelector):
    """A selector whose choices end as drawn, and never with an endpoint."""

    def __init__(self, instance, rounds):
        super().__init__(instance, None, lambda: False, None, None, None)
        self.rounds = 0
        self._drawn = cycle(rounds)
        self._outcome = ("none", 0.0)

    def _choose(self, request, search):
        self.rounds += 1
        self._outcome = kind, _ = next(self._drawn)
        if kind in ("blocked", "none"):
            return None
        if kind == "limited":
            search.record_limited("e1", self._instance.now())
        return Choice("e1", ChoiceReason.LEAST_COST, 0.0, needs_load=kind == "load")

    def _list_blocks(self, request):
        now = self._instance.now()
        is_blocked = self._outcome[0] == "blocked"
        return [SimpleNamespace(until=now)] if is_blocked else []

    def _list_candidates(self, request):
        return {}

    async def _load_weights(self, request, choice, search):
        await asyncio.sleep(self._outcome[1])

    async def _send_within_limit(self, request, choice, search):
        await asyncio.sleep(self._outcome[1])


class TestChoicesThatRepeat:
    # Guards against a request that chooses endpoints again and again, with so
    # little time between that the event loop is busy, or beyond its time.
    @settings(max_examples=100, deadline=None)
    @given(ROUNDS)
    @example([("send", 0.0)])
    @example([("send", 0.0)] * 20 + [("send", 0.006)])
    @example([("send", 0.1)])
    @example([("blocked", 0.0)])
    def test_are_bounded_in_number_and_time(self, rounds):
        async def search():
            clock = asyncio.get_running_loop().time
            selector = RepeatingSelector(Instance(make_settings(), clock), rounds)
            request = SimpleNamespace(
                arrived=clock(),
                origin=None,
                route=SimpleNamespace(target_s=TARGET_S),
                state=SimpleNamespace(answer_started=False),
            )
            until = clock() + SEARCH_S
            async with asyncio.timeout(60.0):
                result = await selector._select_until(request, until)
            assert isinstance(result, Failure)
            assert clock() <= until + SLACK_S
            assert selector.rounds <= MAX_ROUNDS

        run_virtual(search)

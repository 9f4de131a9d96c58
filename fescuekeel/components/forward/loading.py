"""Ask the holders of endpoints' orders for loads, each once at a time."""

import asyncio

from fescuekeel.components.forward.const import (
    LOAD_ASK_TIMEOUT_S,
    LOWEST_PRIORITY,
    SPREAD_PERIOD_S,
)
from fescuekeel.core import Instance
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.peer_link import get_peer_link
from fescuekeel.helpers.placement import PlacementBoard
from fescuekeel.helpers.published import Weights
from fescuekeel.messages import LoadAnswer, LoadAsk

__all__ = ["LoadAsker"]

Wanted = tuple[str, Weights, int, bool]


class LoadAsker:
    """Share one ask among all requests that wait for the same load."""

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self._tasks_by_wanted: dict[Wanted, asyncio.Task[str]] = {}
        self._spread_at: dict[tuple[str, Weights], float] = {}

    async def load(self, ask: LoadAsk) -> str:
        """Have weights loaded; return why not, empty once they are there."""
        weights = Weights(ask.model, ask.adapter)
        wanted = (ask.endpoint, weights, ask.version, ask.patient)
        task = self._tasks_by_wanted.get(wanted)
        if task is None:
            work = self._ask(ask)
            task = self._instance.spawn(work, "forward.load")
            self._tasks_by_wanted[wanted] = task
            task.add_done_callback(lambda _: self._tasks_by_wanted.pop(wanted, None))
        # The others that wait must not lose the ask when one caller leaves.
        return await asyncio.shield(task)

    def spread(self, endpoint: str, weights: Weights, version: int) -> None:
        """Ask for one more copy, which nobody waits for."""
        now = self._instance.now()
        key = (endpoint, weights)
        if now - self._spread_at.get(key, float("-inf")) < SPREAD_PERIOD_S:
            return
        if len(self._spread_at) > 1000:
            self._spread_at.clear()
        self._spread_at[key] = now
        work = self._ask(
            LoadAsk(
                endpoint,
                weights.model,
                weights.adapter,
                version,
                LOWEST_PRIORITY,
                spread=True,
            )
        )
        self._instance.spawn(work, "forward.spread")

    async def _ask(self, ask: LoadAsk) -> str:
        board = self._instance.bus.latest(PlacementBoard)
        holder = board.holders_by_endpoint.get(ask.endpoint) if board else None
        if holder is None:
            return "no holder"
        weights = Weights(ask.model, ask.adapter)
        asked = self._instance.now()
        link = get_peer_link(self._instance)
        answer = (await link.ask(holder, ask, LOAD_ASK_TIMEOUT_S)).value_or(None)
        detail = "no answer"
        if isinstance(answer, LoadAnswer):
            detail = "" if answer.loaded else answer.detail or "refused"
            if answer.loaded and board is not None:
                board.note_held(ask.endpoint, weights, answer.version)
        self._instance.metrics.observe("load_wait", self._instance.now() - asked)
        log_event(
            "load_asked",
            endpoint=ask.endpoint,
            weights=str(weights),
            version=ask.version,
            holder=holder,
            spread=ask.spread,
            waited_ms=round((self._instance.now() - asked) * 1000),
            outcome=detail or "loaded",
        )
        return detail

"""Request loads of weights from holders, without duplicates."""

import asyncio

from fescuekeel.components.forward.const import (
    LOAD_ASK_TIMEOUT_S,
    LOWEST_PRIORITY,
    SPREAD_PERIOD_S,
)
from fescuekeel.components.forward.holders import HolderClient
from fescuekeel.core import Instance
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.placement_view import PlacementView
from fescuekeel.helpers.published import Weights
from fescuekeel.messages import LoadAsk

__all__ = ["LoadRequester"]

LoadKey = tuple[str, Weights, int, bool]


class LoadRequester:
    """Share one load request among all requests that wait for it."""

    def __init__(self, instance: Instance, holders: HolderClient) -> None:
        self._instance = instance
        self._holders = holders
        self._tasks_by_key: dict[LoadKey, asyncio.Task[str]] = {}
        self._last_spread_by_key: dict[tuple[str, Weights], float] = {}

    async def load(self, ask: LoadAsk) -> str:
        """Load weights; return the reason of a failure, empty if loaded."""
        weights = Weights(ask.model, ask.adapter)
        key = (ask.endpoint, weights, ask.version, ask.patient)
        task = self._tasks_by_key.get(key)
        if task is None or task.done():
            work = self._ask_shared(key, ask)
            task = self._instance.spawn(work, "forward.load")
            self._tasks_by_key[key] = task
        # Other waiters still need the load if this caller disconnects.
        return await asyncio.shield(task)

    def spread(self, endpoint: str, weights: Weights, version: int) -> None:
        """Request an additional copy in the background."""
        now = self._instance.now()
        key = (endpoint, weights)
        if now - self._last_spread_by_key.get(key, float("-inf")) < SPREAD_PERIOD_S:
            return
        if len(self._last_spread_by_key) > 1000:
            self._last_spread_by_key.clear()
        self._last_spread_by_key[key] = now
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

    async def _ask_shared(self, key: LoadKey, ask: LoadAsk) -> str:
        try:
            return await self._ask(ask)
        finally:
            # Not in a done callback: the result would be visible before, and
            # requests that come in between would share a load that has ended.
            del self._tasks_by_key[key]

    async def _ask(self, ask: LoadAsk) -> str:
        holder = self._holders.find(ask.endpoint)
        if holder is None:
            return "no holder"
        weights = Weights(ask.model, ask.adapter)
        asked = self._instance.now()
        answer = await self._holders.ask_load(ask, LOAD_ASK_TIMEOUT_S)
        detail = "no answer"
        if answer is not None:
            detail = "" if answer.loaded else answer.detail or "refused"
            if answer.loaded:
                self._record_held(ask.endpoint, weights, answer.version)
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

    def _record_held(self, endpoint: str, weights: Weights, version: int) -> None:
        view = self._instance.bus.latest(PlacementView)
        if view is not None:
            view.record_held(endpoint, weights, version, self._instance.now())

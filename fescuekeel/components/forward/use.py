"""Tell the holders of endpoints' orders how this instance uses them."""

import asyncio
import contextlib
import statistics

from fescuekeel.components.forward.endpoints import EndpointLoad
from fescuekeel.core import Instance
from fescuekeel.helpers.board import PlacementBoard
from fescuekeel.helpers.peer_link import get_peer_link
from fescuekeel.helpers.ticks import get_next_tick_s
from fescuekeel.messages import EndpointUse, UseNews, WeightUse

__all__ = ["UseReporter"]

# A use that began is told within this time; until then the holder counts the
# prompt's turn.
USE_PERIOD_S = 0.25
# A use that has ended is told within this time: its place may be waited for.
USE_ENDED_S = 0.03
# A pause of at least this share of what its route allows is told at once.
TOLD_PAUSE = 0.8
# What has not changed is told again this often: half of the time for which a
# holder believes it.
REPEAT_PERIOD_S = 1.0


class UseReporter:
    """Send what has changed, and what runs, at a steady pace."""

    def __init__(self, instance: Instance, loads_by_id: dict[str, EndpointLoad]):
        self._instance = instance
        self._loads_by_id = loads_by_id
        self._due = float("inf")
        self._woken = asyncio.Event()

    async def tell_forever(self) -> None:
        """Tell all holders what has changed, when it is due."""
        while True:
            wait_s = get_next_tick_s(USE_PERIOD_S, asyncio.get_running_loop().time())
            self._due = self._instance.now() + wait_s
            while (left_s := self._due - self._instance.now()) > 0:
                self._woken.clear()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(left_s):
                        await self._woken.wait()
            self._tell()

    def note_ended(self) -> None:
        """Tell soon: a request has ended."""
        due = self._instance.now() + USE_ENDED_S
        if due < self._due:
            self._due = due
            self._woken.set()

    def _tell(self) -> None:
        board = self._instance.bus.latest(PlacementBoard)
        if board is None:
            return
        now = self._instance.now()
        uses_by_holder: dict[str, list[EndpointUse]] = {}
        for id, load in self._loads_by_id.items():
            listener = board.find_listener(id)
            use = make_use(id, load, now) if listener is not None else None
            if listener is not None and use is not None:
                uses_by_holder.setdefault(listener, []).append(use)
        link = get_peer_link(self._instance)
        for holder, uses in uses_by_holder.items():
            link.send(holder, UseNews(tuple(uses)))


def make_use(endpoint: str, load: EndpointLoad, now: float) -> EndpointUse | None:
    """Return what is to be told of an endpoint; ``None`` if nothing is.

    What has not changed is told again from time to time only: the holder
    forgets it after two seconds. What is told is remembered, so that it is
    not counted twice when the holder tells all instances the sum.

    A use that has ended is told as none. Guards against a place that is held
    for the two seconds in which the holder believes the last word: it showed
    as loads that waited for a place for 0.45 s at the median and over a second
    in a quarter of all cases, while half of the places were idle.
    """
    same = load.running_by_weights == load.told_by_weights
    idle = not load.running and not load.told_running
    recent = now - load.told_at < REPEAT_PERIOD_S
    paused = load.longest_pause >= TOLD_PAUSE
    if same and not load.begun_by_weights and (idle or recent) and not paused:
        return None
    ended = load.told_by_weights.keys() - load.running_by_weights.keys()
    weights = ended | load.running_by_weights.keys() | load.begun_by_weights.keys()
    load.told_at = now
    load.told_by_weights = dict(load.running_by_weights)
    uses = tuple(
        WeightUse(
            item.model,
            item.adapter,
            load.running_by_weights.get(item, 0),
            load.begun_by_weights.get(item, 0),
        )
        for item in weights
    )
    speed = int(statistics.median(load.speeds)) if load.speeds else 0
    pause_percent = int(100 * load.longest_pause)
    load.longest_pause = 0.0
    load.speeds.clear()
    load.begun_by_weights.clear()
    load.told_running = max(0, load.running)
    return EndpointUse(endpoint, load.told_running, uses, speed, pause_percent)

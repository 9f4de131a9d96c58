"""Report this instance's use of endpoints to their holders."""

import asyncio
import contextlib
import statistics

from fescuekeel.components.endpoints import EndpointLoad
from fescuekeel.core import Instance
from fescuekeel.helpers.peer_link import get_peer_link
from fescuekeel.helpers.placement_view import PlacementView
from fescuekeel.helpers.ticks import get_next_tick_s
from fescuekeel.messages import EndpointUse, UseNews, WeightUse

__all__ = ["UseReporter"]

# The report interval for new uses; until then the holder counts the prompt's
# admission as a use.
USE_PERIOD_S = 0.25
# The end of a use is reported sooner: a load may wait for its place.
ENDED_REPORT_DELAY_S = 0.03
# Pauses of at least this share of their route's target are reported, even if
# nothing else has changed.
MIN_REPORTED_PAUSE = 0.8
# Unchanged uses are repeated after half of the time for which a holder keeps
# them.
REPEAT_PERIOD_S = 1.0


class UseReporter:
    """Send changed uses at a fixed interval, and repeat unchanged ones."""

    def __init__(self, instance: Instance, loads_by_id: dict[str, EndpointLoad]):
        self._instance = instance
        self._loads_by_id = loads_by_id
        self._due = float("inf")
        self._due_changed = asyncio.Event()

    async def report_forever(self) -> None:
        """Report to all holders whenever a report is due."""
        while True:
            wait_s = get_next_tick_s(USE_PERIOD_S, asyncio.get_running_loop().time())
            self._due = self._instance.now() + wait_s
            while (left_s := self._due - self._instance.now()) > 0:
                self._due_changed.clear()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(left_s):
                        await self._due_changed.wait()
            self._report()

    def record_ended(self) -> None:
        """Bring the next report forward: a request has ended."""
        due = self._instance.now() + ENDED_REPORT_DELAY_S
        if due < self._due:
            self._due = due
            self._due_changed.set()

    def _report(self) -> None:
        view = self._instance.bus.latest(PlacementView)
        if view is None:
            return
        now = self._instance.now()
        uses_by_holder: dict[str, list[EndpointUse]] = {}
        for id, load in self._loads_by_id.items():
            recipient = view.find_usage_recipient(id)
            use = make_use(id, load, now) if recipient is not None else None
            if recipient is not None and use is not None:
                uses_by_holder.setdefault(recipient, []).append(use)
        link = get_peer_link(self._instance)
        for holder, uses in uses_by_holder.items():
            link.send(holder, UseNews(tuple(uses)))


def make_use(endpoint: str, load: EndpointLoad, now: float) -> EndpointUse | None:
    """Return the report for an endpoint, or ``None`` if none is due.

    Unchanged uses are repeated before the holder's copy expires. What was
    reported is stored, so that it can be subtracted from the totals that the
    holder sends to all instances.

    The end of a use is reported as zero. Otherwise its place would stay
    occupied until the holder's copy expires, and loads would wait for it.
    """
    same = load.running_by_weights == load.reported_by_weights
    idle = not load.running and not load.reported_running
    recent = now - load.reported_at < REPEAT_PERIOD_S
    paused = load.longest_pause >= MIN_REPORTED_PAUSE
    if same and not load.started_by_weights and (idle or recent) and not paused:
        return None
    ended = load.reported_by_weights.keys() - load.running_by_weights.keys()
    weights = ended | load.running_by_weights.keys() | load.started_by_weights.keys()
    load.reported_at = now
    load.reported_by_weights = dict(load.running_by_weights)
    uses = tuple(
        WeightUse(
            item.model,
            item.adapter,
            load.running_by_weights.get(item, 0),
            load.started_by_weights.get(item, 0),
        )
        for item in weights
    )
    speed = int(statistics.median(load.speeds)) if load.speeds else 0
    pause_percent = int(100 * load.longest_pause)
    load.longest_pause = 0.0
    load.speeds.clear()
    load.started_by_weights.clear()
    load.reported_running = max(0, load.running)
    return EndpointUse(endpoint, load.reported_running, uses, speed, pause_percent)

"""Load on the instances of a test, and what endpoints get of it."""

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field
from itertools import cycle

from fescuekeel.helpers.placement_view import PlacementView
from standins.forwarding.platform import ENGINES, MODEL
from tests.common import eventually

__all__ = ["Load", "Sent", "wait_until_served"]

PROMPT = {"Fescuekeel_Token_Count": "500,20"}


@dataclass(frozen=True, slots=True)
class Sent:
    """A request: when it was sent and to which instance, and its answer."""

    instance: int
    sent_at: float
    ended_at: float
    status: int
    retry_after_s: float | None


@dataclass(slots=True)
class Load:
    """Requests at a constant rate, spread evenly over all instances."""

    world: object
    path: str
    requests_per_s: float = 40.0
    sent_by_id: dict[str, Sent] = field(default_factory=dict)

    async def run(self, seconds):
        """Send requests for a time, and wait for their answers."""
        instances = cycle(range(len(self.world.instances)))
        tasks = []
        started_at = time.monotonic()
        for number in range(int(self.requests_per_s * seconds)):
            due_s = started_at + number / self.requests_per_s - time.monotonic()
            await asyncio.sleep(max(0.0, due_s))
            work = self._send(next(instances), number)
            tasks.append(asyncio.ensure_future(work))
        await asyncio.gather(*tasks)

    async def _send(self, instance, number):
        headers = {}
        if not self.path.startswith("/lookup"):
            adapter = f"a{number % 3}"
            headers = PROMPT | {"Fescuekeel_Model": f"{MODEL}/{adapter}"}
        sent_at = time.monotonic()
        answer, id = await self.world.send_request(
            f"{self.path}/{number}", instance, "POST", **headers
        )
        retry_after = answer.headers.get("Retry-After")
        self.sent_by_id[id] = Sent(
            instance,
            sent_at,
            time.monotonic(),
            answer.code,
            None if retry_after is None else float(retry_after),
        )

    def list_arrivals(self, worker, since):
        """Count by instance what reached a worker after a time."""
        return Counter(
            self.sent_by_id[id].instance
            for at, id in worker.arrivals
            if at >= since and id in self.sent_by_id
        )

    def list_sent(self, since, until=float("inf")):
        """Return the requests that were sent within a time."""
        sent = self.sent_by_id.values()
        return [each for each in sent if since <= each.sent_at < until]

    def get_served_share(self, since, until=float("inf")):
        """Return the share of requests that were served."""
        sent = self.list_sent(since, until)
        return sum(each.status == 200 for each in sent) / max(1, len(sent))


async def wait_until_served(world, path):
    """Wait until all endpoints are held and all adapters loaded."""

    def is_held():
        engines = world.platform.list_workers(ENGINES)
        return all(
            len(each.bus.latest(PlacementView).holders_by_endpoint) == len(engines)
            for each in world.instances
        )

    await eventually(is_held)
    for _ in range(20):
        warming = Load(world, path, requests_per_s=30.0)
        await warming.run(0.2)
        if warming.get_served_share(0.0) == 1.0:
            return
    raise AssertionError("not all requests are served")

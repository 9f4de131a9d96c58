"""End-to-end tests of parts of prompts that crash endpoints."""

import asyncio
import itertools
import time

import pytest
from tornado.simple_httpclient import HTTPStreamClosedError

from standins.forwarding.platform import ENGINES, MODEL
from tests.platform.test_path import start_world
from tests.platform.test_quarantine import add_endpoints

BAD = "bad"
CRASHES_KNOWN = 5
# From this time after the fifth crash, instances must know the part.
KNOWN_WITHIN_S = 3.0
MAX_LATE = 3
# From this time after the fifth crash, sound requests must be served again.
SERVED_AGAIN_S = 6.0
MIN_SHARE = 0.95
SECONDS = 16.0
SOUND_INTERVAL_S = 0.05
BAD_INTERVAL_S = 0.25
NUMBERS = itertools.count(1)


class Traffic:
    """Sound requests and culprits, and what became of them, by start."""

    def __init__(self, world, route="/script"):
        self.world = world
        self.route = route
        self.sound = []
        self.culprits = []
        self._tasks = set()

    def send(self, results, *parts, instance=None):
        task = asyncio.ensure_future(self._send(results, parts, instance))
        self._tasks.add(task)
        return task

    async def _send(self, results, parts, instance):
        number = next(NUMBERS)
        started_at = time.monotonic()
        chosen = number % len(self.world.instances) if instance is None else instance
        try:
            answer, _ = await self.world.send_request(
                f"{self.route}/{number}",
                chosen,
                "POST",
                b"prompt %d" % number,
                Fescuekeel_Model=f"{MODEL}/a{number % 3 + 1}",
                Fescuekeel_Token_Count="500,20",
                Fescuekeel_Prompt_Prefix=",".join((*parts, f"own{number}:7")),
            )
            whole = answer.code == 200 and answer.body.count(b"data: piece") == 6
            results.append((started_at, answer.code if whole else -answer.code))
        except (HTTPStreamClosedError, ConnectionError):
            results.append((started_at, 0))

    async def run(self, seconds, sound_paths, bad_paths):
        """Send requests with the paths in turn for some seconds."""
        sound, bad = itertools.cycle(sound_paths), itertools.cycle(bad_paths)
        until = time.monotonic() + seconds
        bad_at = time.monotonic() + BAD_INTERVAL_S
        while time.monotonic() < until:
            self.send(self.sound, *next(sound))
            if bad_paths and time.monotonic() > bad_at:
                bad_at += BAD_INTERVAL_S
                self.send(self.culprits, *next(bad))
            await asyncio.sleep(SOUND_INTERVAL_S)

    async def finish(self):
        await asyncio.gather(*self._tasks)


def list_crashes(world, part=BAD):
    return sorted(
        crash.crashed_at
        for worker in world.platform.workers_by_id.values()
        for crash in worker.crashes
        if crash.part == part
    )


def set_crash_parts(world, parts, after_event):
    for worker in world.platform.list_workers(ENGINES):
        worker.crash_parts = set(parts)
        worker.crash_after_event = after_event


def get_share_served(results, since):
    counted = [status for started_at, status in results if started_at > since]
    assert len(counted) >= 20
    return counted.count(200) / len(counted)


PATHS = {
    "below_a_common_part": ([("a:9", "b:9")], [("a:9", "b:9", BAD)]),
    "in_second_place": (
        [("a:9", "b:9"), ("c:9", "b:9")],
        [("a:9", BAD), ("c:9", BAD)],
    ),
}


class TestCrashingPart:
    # Guards against requests that crash one endpoint after the other since
    # only whole requests are recognized.
    @pytest.mark.parametrize("after_event", [False, True], ids=["early", "late"])
    @pytest.mark.parametrize("paths", PATHS.values(), ids=PATHS)
    def test_it_is_refused_and_others_are_served(self, paths, after_event):
        async def work():
            async with start_world(4) as world:
                await add_endpoints(world, ENGINES, 4)
                set_crash_parts(world, {BAD}, after_event)
                traffic = Traffic(world)
                sound, bad = paths
                await traffic.run(3.0, sound, [])
                await traffic.run(SECONDS, sound, bad)
                await traffic.finish()
                crashes = list_crashes(world)
                fifth = crashes[min(len(crashes), CRASHES_KNOWN) - 1]
                late = [at for at in crashes if at > fifth + KNOWN_WITHIN_S]
                assert len(late) <= MAX_LATE, len(crashes)
                share = get_share_served(traffic.sound, fifth + SERVED_AGAIN_S)
                assert share >= MIN_SHARE, (share, len(crashes))
                assert -400 not in [status for _, status in traffic.sound]

        asyncio.run(asyncio.wait_for(work(), 60))

"""End-to-end tests of requests that crash engines, completions interface."""

import asyncio
from itertools import cycle

from tests.common import eventually
from tests.test_path import open_world

CRASH_PROMPT = "crash"
KNOWN_WITHIN_S = 3.0
MAX_LATE_SENDS = 3
REPEAT_S = 0.25
REPEATS = 28


def list_crashes(world):
    engines = world.platform.engines_by_id.values()
    return sorted(at for engine in engines for at in engine.crash_times)


class TestCrashingRequest:
    # Guards against retries and repeats that crash one engine after the other.
    def test_a_request_is_not_sent_after_three_crashes(self):
        async def run():
            async with open_world(engines=6) as world:
                for engine in world.platform.engines_by_id.values():
                    engine.settings.crash_prompt = CRASH_PROMPT
                instances = cycle(world.instances)
                repeats, others = [], []
                for number in range(REPEATS):
                    body = {"model": "patter/cups", "prompt": CRASH_PROMPT}
                    work = world.post(next(instances), "/v1/completions", body)
                    repeats.append(asyncio.ensure_future(work))
                    for adapter in ("cups", "rings"):
                        body = {"model": f"patter/{adapter}", "max_tokens": 5}
                        body["prompt"] = f"{number}"
                        work = world.post(next(instances), "/v1/completions", body)
                        others.append(asyncio.ensure_future(work))
                    await asyncio.sleep(REPEAT_S)
                answers = await asyncio.gather(*repeats)
                statuses = [answer.code for answer in await asyncio.gather(*others)]
                crashes = list_crashes(world)
                late = [at for at in crashes if at > crashes[2] + KNOWN_WITHIN_S]
                assert len(late) <= MAX_LATE_SENDS, [at - crashes[0] for at in crashes]
                assert answers[-1].code == 400
                assert answers[-1].headers["X-Request-Ran"] == "no"
                assert "Retry-After" not in answers[-1].headers
                assert 400 not in statuses

        asyncio.run(run())


class TestBrokenConnection:
    def test_an_engine_that_lives_has_not_crashed(self):
        async def run():
            async with open_world() as world:
                for engine in world.platform.engines_by_id.values():
                    engine.settings.step_ms = 50.0
                body = {"model": "patter/cups", "prompt": "x", "max_tokens": 20}
                work = world.post(world.instances[0], "/v1/completions", body)
                task = asyncio.ensure_future(work)
                engines = world.platform.engines_by_id.values()
                await eventually(lambda: any(engine.running for engine in engines))
                for engine in engines:
                    engine.connection_faults.close_open()
                assert (await task).code == 200
                quarantines = [
                    each.components_by_domain["quarantine"] for each in world.instances
                ]
                assert all(quarantine.is_empty for quarantine in quarantines)

        asyncio.run(run())

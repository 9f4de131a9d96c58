"""Tests of adapters that are larger than the memory of engines."""

import asyncio
import time

import pytest

from fescuekeel.errors import RESPONSES_BY_KIND, ErrorKind
from standins.forwarding.platform import ENGINES, make_configuration, make_route
from tests.common import eventually
from tests.platform.test_path import LONG_TIMEOUT, run, start_world

# The stand-in's engines have 100 MB, of which their model takes 10.
MAX_ADAPTERS_MB = 90.0


async def publish_adapter_size(world, adapter_mb):
    """Let adapters have a size from now on, at the engines too."""
    route = make_route("patient", "stream", ENGINES, **LONG_TIMEOUT)
    configuration = make_configuration(2, route)
    (model,) = configuration["services"][0]["engine"]["models"]
    model["adapter_mb"] = adapter_mb
    for worker in world.platform.list_workers(ENGINES):
        worker.max_adapters_mb = MAX_ADAPTERS_MB
        worker.adapter_mb = adapter_mb
    world.platform.publish_configuration(configuration)
    await eventually(lambda: world.get_oldest_version() == 2)


class TestMemoryBeforePlaces:
    # Guards against engines that crash as they are ordered to load more than
    # their memory holds, with places left; sizes come while the instances run.
    @pytest.mark.parametrize(("adapter_mb", "fit"), [(40.0, 2), (50.0, 1)])
    def test_engines_are_not_ordered_beyond_it(self, adapter_mb, fit):
        async def work():
            async with start_world() as world:
                await publish_adapter_size(world, adapter_mb)
                requests = [
                    world.send_stream_request(
                        "/patient/1",
                        f"a{number % 6}",
                        number % 2,
                        Fescuekeel_Deadline_Ms="20000",
                    )
                    for number in range(24)
                ]
                answers = await asyncio.gather(*requests)
                engines = world.platform.list_workers(ENGINES)
                assert not any(worker.overrun for worker in engines)
                held = [len(worker.versions_by_adapter) for worker in engines]
                assert max(held) <= fit
                codes = [answer.code for answer, _ in answers]
                assert codes.count(200) >= 8
                assert set(codes) <= {200, 503}

        run(work)


class TestRoomForNone:
    # Guards against an adapter that fits no engine and that is waited for, or
    # ordered all the same.
    def test_an_adapter_is_refused_at_once(self):
        async def work():
            async with start_world() as world:
                await publish_adapter_size(world, 91.0)
                began_at = time.monotonic()
                answer, id = await world.send_stream_request("/patient/1")
                assert time.monotonic() - began_at < 0.5
                expected = RESPONSES_BY_KIND[ErrorKind.WEIGHTS_TOO_LARGE]
                assert answer.code == expected.status
                assert expected.text in answer.body.decode()
                assert "Retry-After" not in answer.headers
                assert world.count_runs(id) == 0
                engines = world.platform.list_workers(ENGINES)
                assert not any(worker.versions_by_adapter for worker in engines)
                answer, _ = await world.send_stream_request("/patient/1", adapter="")
                assert answer.code == 200

        run(work)

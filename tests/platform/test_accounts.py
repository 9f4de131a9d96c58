"""End-to-end tests of API keys and rate limits of client accounts."""

import asyncio
from contextlib import asynccontextmanager, suppress

import pytest
from msgspec import structs
from tornado.simple_httpclient import HTTPStreamClosedError

from fescuekeel.helpers.freshness import Freshness
from standins.forwarding.platform import PLAIN, make_configuration, make_route
from tests.common import eventually
from tests.platform.test_path import run, start_world

REVOKED_BOUND_S = 1.5


def make_account(name, *keys, **changes):
    return {"name": name, "api_keys": list(keys), "rate_per_s": 0, "burst": 0} | changes


@asynccontextmanager
async def start_world_with_keys(*accounts, instances=1):
    """Start instances whose configuration requires API keys."""
    async with start_world(instances) as world:
        publish(world, 2, *accounts)
        await eventually(lambda: world.get_oldest_version() == 2)
        yield world


def publish(world, version, *accounts):
    open_route = make_route("open", "safe", PLAIN, public=True)
    configuration = make_configuration(version, open_route)
    world.platform.publish_configuration(configuration | {"tenants": list(accounts)})


def find_record(world, request_id):
    for worker in world.platform.workers_by_id.values():
        for record in worker.records:
            if record.request_id == request_id:
                return record
    return None


class TestKeys:
    def test_a_key_is_checked_and_not_forwarded(self):
        async def work():
            async with start_world_with_keys(make_account("shop", "key-1")) as world:
                answer, _ = await world.send_request("/lookup/x")
                assert answer.code == 401
                answer, _ = await world.send_request("/lookup/x", X_Api_Key="made-up")
                assert answer.code == 401
                answer, id = await world.send_request(
                    "/lookup/x", X_Api_Key="key-1", Fescuekeel_Tenant="other"
                )
                assert answer.code == 200
                record = find_record(world, id)
                assert (record.account, record.key) == ("shop", "")
                answer, _ = await world.send_request("/open/x")
                assert answer.code == 200

        run(work)

    def test_a_revoked_key_is_refused(self):
        async def work():
            account = make_account("shop", "key-1", "key-2")
            async with start_world_with_keys(account) as world:
                answer, _ = await world.send_request("/lookup/x", X_Api_Key="key-1")
                assert answer.code == 200
                changed = make_account("shop", "key-2")
                publish(world, 3, changed)
                await eventually(lambda: world.get_oldest_version() == 3)
                answer, _ = await world.send_request("/lookup/x", X_Api_Key="key-1")
                assert answer.code == 401
                answer, _ = await world.send_request("/lookup/x", X_Api_Key="key-2")
                assert answer.code == 200

        run(work)

    def test_keys_are_refused_once_the_configuration_is_stale(self):
        """An instance cut off from the store cannot learn of a revocation."""

        async def work():
            async with start_world_with_keys(make_account("shop", "key-1")) as world:
                instance = world.instances[0]
                bounds = structs.replace(
                    instance.settings.forwarding, revoked_bound_s=REVOKED_BOUND_S
                )
                instance.settings = structs.replace(
                    instance.settings, forwarding=bounds
                )
                world.platform.store.refuse = 503
                freshness = instance.bus.latest(Freshness)
                await eventually(
                    lambda: freshness.read_age_s(instance.now()) > REVOKED_BOUND_S
                )
                answer, id = await world.send_request("/lookup/x", X_Api_Key="key-1")
                assert answer.code == 503
                assert float(answer.headers["Retry-After"]) > 0
                assert find_record(world, id) is None
                answer, _ = await world.send_request("/open/x")
                assert answer.code == 200

        run(work)


class TestLimits:
    @pytest.mark.parametrize("instances", [1, 3])
    def test_a_rate_limit_is_shared_by_all_instances(self, instances):
        async def work():
            account = make_account("shop", "key-1", rate_per_s=1, burst=2)
            async with start_world_with_keys(account, instances=instances) as world:
                # The allowance starts empty and grows by one unit per second.
                await asyncio.sleep(1.5)
                codes = []
                for number in range(30):
                    answer, _ = await world.send_request(
                        "/lookup/x", number % instances, X_Api_Key="key-1"
                    )
                    codes.append(answer.code)
                assert set(codes) == {200, 429}
                # Rate times eight seconds plus burst, with a tolerance of 25%.
                assert 1 <= codes.count(200) <= (1 * 8 + 2) * 1.25

        run(work)

    def test_a_request_that_timed_out_at_an_endpoint_counts(self):
        """It must not be refunded, since the endpoint may still run it."""

        async def work():
            account = make_account("shop", "key-1", rate_per_s=1, burst=2)
            async with start_world_with_keys(account) as world:
                for worker in world.platform.workers_by_id.values():
                    worker.stall = 1000
                await asyncio.sleep(4.0)
                for _ in range(30):
                    with suppress(HTTPStreamClosedError):
                        await world.send_stream_request(
                            adapter="",
                            X_Api_Key="key-1",
                            Fescuekeel_Deadline_Ms="200",
                        )
                workers = world.platform.workers_by_id.values()
                runs = sum(len(worker.records) for worker in workers)
                assert 1 <= runs <= (1 * 8 + 2) * 1.25

        run(work)

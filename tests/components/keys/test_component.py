"""Tests of the keys component over real sockets."""

import asyncio
from contextlib import asynccontextmanager

from returns.pipeline import is_successful

from fescuekeel.components.keys import DEFAULT_LIFETIME_S, Keys
from fescuekeel.core import Instance
from fescuekeel.errors import ErrorKind, Ran
from tests.common import make_settings
from tests.components.peers.test_link import publish_addresses, running, wait_for

IDS = ("i1", "i2", "i3", "i4")


@asynccontextmanager
async def running_keys(ids=IDS):
    instances = [Instance(make_settings(id)) for id in ids]
    async with running(*instances):
        all_keys = [Keys(instance) for instance in instances]
        for instance, keys in zip(instances, all_keys, strict=True):
            instance.components_by_domain["keys"] = keys
            await keys.start()
        publish_addresses(*instances)
        await wait_for(lambda: all(keys._home.ready for keys in all_keys))
        yield all_keys


def claim(keys, request, digest="d"):
    return keys.claim("k", request, digest, DEFAULT_LIFETIME_S)


class TestKeys:
    def test_a_key_is_won_once_across_instances(self):
        async def run():
            async with running_keys() as all_keys:
                first, second, third, _ = all_keys
                assert is_successful(await claim(first, "r1"))
                failure = (await claim(second, "r2")).failure()
                assert failure.kind is ErrorKind.KEY_IN_PROGRESS
                first.settle("k", "r1", Ran.NO)
                await asyncio.sleep(0.1)
                assert is_successful(await claim(second, "r2"))
                second.settle("k", "r2", Ran.UNKNOWN)
                await asyncio.sleep(0.1)
                failure = (await claim(third, "r3")).failure()
                assert failure.kind is ErrorKind.KEY_USED
                failure = (await claim(third, "r4", "other")).failure()
                assert failure.kind is ErrorKind.KEY_MISMATCH

        asyncio.run(run())

    def test_concurrent_claims_have_at_most_one_winner(self):
        # Guards against two winners when a retry reaches a second instance
        # at the same time as the first request.
        async def run():
            async with running_keys() as all_keys:
                results = await asyncio.gather(
                    *(claim(keys, f"r{n}") for n, keys in enumerate(all_keys))
                )
                assert sum(map(is_successful, results)) <= 1

        asyncio.run(run())

    def test_a_used_key_survives_the_loss_of_one_home(self):
        # Guards against running a request twice when it is retried after one
        # of the key's homes has failed.
        async def run():
            async with running_keys() as all_keys:
                first = all_keys[0]
                assert is_successful(await claim(first, "r1"))
                first.settle("k", "r1", Ran.YES)
                await asyncio.sleep(0.1)
                homes = first._home.find_homes("k", first.instance.now())
                lost = next(keys for keys in all_keys[1:] if keys.instance.id in homes)
                await lost.instance.components_by_domain["peers"].stop()
                failure = (await claim(first, "r2")).failure()
                assert failure.kind is ErrorKind.KEY_USED

        asyncio.run(run())

    def test_without_a_majority_the_request_does_not_run(self):
        # Guards against running a request on an isolated instance, which
        # can't know whether the key has been used.
        async def run():
            async with running_keys() as all_keys:
                first = all_keys[0]
                for keys in all_keys[1:]:
                    await keys.instance.components_by_domain["peers"].stop()
                failure = (await claim(first, "r1")).failure()
                assert failure.kind is ErrorKind.KEY_HOME_UNREACHABLE
                assert failure.outcome is Ran.NO

        asyncio.run(run())

"""Tests of the keys component over real sockets."""

import asyncio
from contextlib import asynccontextmanager
from unittest import mock

from returns.pipeline import is_successful

from fescuekeel.components.keys import DEFAULT_LIFETIME_S, Keys
from fescuekeel.components.peers.const import RETRY_S
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


async def replace_connections(link):
    """Lose all connections that an instance has opened; wait for new ones."""
    # Connections that close right after opening are not replaced.
    await asyncio.sleep(2 * RETRY_S)
    for channel in list(link._channels_by_id.values()):
        link._drop_channel(channel, "silent")
    await asyncio.sleep(0.5)


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

    def test_settlement_lost_with_a_connection_is_repeated(self):
        """Guards against a key that stays claimed although nothing ran."""

        async def run():
            async with running_keys() as all_keys:
                first, second, *_ = all_keys
                assert is_successful(await claim(first, "r1"))
                link = first.instance.components_by_domain["peers"]
                # The connections are frozen: what is sent arrives nowhere.
                with mock.patch.object(link, "send", lambda *message: True):
                    first.settle("k", "r1", Ran.NO)
                failure = (await claim(second, "r2")).failure()
                assert failure.kind is ErrorKind.KEY_IN_PROGRESS
                await replace_connections(link)
                assert is_successful(await claim(second, "r3"))

        asyncio.run(run())

    def test_repeated_settlement_does_not_release_a_new_claim(self):
        """Guards against two winners after a request claims its key again."""

        async def run():
            async with running_keys() as all_keys:
                first, second, *_ = all_keys
                assert is_successful(await claim(first, "r1"))
                first.settle("k", "r1", Ran.NO)
                assert is_successful(await claim(first, "r1"))
                link = first.instance.components_by_domain["peers"]
                await replace_connections(link)
                failure = (await claim(second, "r2")).failure()
                assert failure.kind is ErrorKind.KEY_IN_PROGRESS

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

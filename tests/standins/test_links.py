"""Tests of the store that one instance reads through its links."""

import asyncio

import orjson
import pytest

from standins.forwarding.links import InstanceLinks
from standins.forwarding.store import start_store
from standins.proxy import Cut

TARGET = "127.0.0.1:9"
# The event loop's turns in which an endpoint that is published gets its proxy.
TURNS = range(8)


class TestInvalidAddresses:
    # Guards against a soak that never shows invalid addresses to a daemon, as
    # those of proxies took their place.
    @pytest.mark.parametrize(
        "address", ["127.0.0.1:70000", "127.0.0.1:0", "999.999.1.1:80", "nowhere", 7]
    )
    def test_reach_the_instance_unchanged(self, address):
        async def work():
            store, server = start_store()
            links = InstanceLinks(store)
            store.put("servers/odd", {"address": address})
            await asyncio.sleep(0)
            await links.wait_until_copied()
            copied = orjson.loads(links.store.items_by_key["servers/odd"].value)
            await links.stop()
            await server.stop()
            assert copied["address"] == address

        asyncio.run(work())


async def connects(address):
    """Return whether an address accepts a connection."""
    host, _, port = address.rpartition(":")
    try:
        _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return False
    writer.close()
    return True


class TestCutWhileAnEndpointIsPublished:
    # Guards against a cut that comes before the proxy of a new endpoint
    # listens, and ended a soak in a ValueError or left the link whole.
    @pytest.mark.parametrize("targets", [(), (TARGET,)], ids=["all", "named"])
    @pytest.mark.parametrize("turns", TURNS)
    def test_its_link_is_cut(self, turns, targets):
        async def work():
            store, server = start_store()
            links = InstanceLinks(store)
            store.put("servers/new", {"address": TARGET})
            for _ in range(turns):
                await asyncio.sleep(0)
            links.cut(Cut.RESET, *targets)
            await links.wait_until_copied()
            copied = orjson.loads(links.store.items_by_key["servers/new"].value)
            is_whole = await connects(copied["address"])
            await links.stop()
            await server.stop()
            assert not is_whole

        asyncio.run(work())

"""Tests of the store that one instance reads through its links."""

import asyncio

import orjson
import pytest

from standins.forwarding.links import InstanceLinks
from standins.forwarding.store import start_store


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

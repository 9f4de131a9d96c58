"""Tests of connects whose caller is cancelled."""

import asyncio
import contextlib
from unittest.mock import MagicMock

from fescuekeel.components.relay.component import Relay
from fescuekeel.core import Instance
from tests.common import make_settings


class Connection:
    closed = False

    def close(self):
        self.closed = True


class TestCancelledConnect:
    # Guards against a connection that stays open, since its caller was
    # cancelled in the moment in which it was made.
    def test_connection_that_was_just_made_is_closed(self):
        async def work():
            instance = Instance(make_settings())
            instance.components_by_domain["gossip"] = MagicMock()
            relay = Relay(instance)
            connection, is_open = Connection(), asyncio.Event()

            async def connect_directly(endpoint, address):
                await is_open.wait()
                return connection

            relay.connect_directly = connect_directly
            task = asyncio.ensure_future(relay.connect("e1", "127.0.0.1:1"))
            await asyncio.sleep(0.01)
            is_open.set()
            await asyncio.sleep(0)
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
            await asyncio.sleep(0)
            assert connection.closed

        asyncio.run(work())

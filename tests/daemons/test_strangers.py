"""Tests of who may speak to a daemon."""

import asyncio
import os

from fescuekeel.components.peers.const import NONCE_BYTES
from fescuekeel.components.peers.frames import Direction, FrameWriter
from fescuekeel.const import PROTOCOL_VERSION
from fescuekeel.errors import ErrorKind
from fescuekeel.helpers.wire import encode
from fescuekeel.messages import Envelope, Hello
from tests.daemons.common import PEERS_KEY, open_world

ONE_INSTANCE = {"dc1": ("i1",)}
OTHER_KEY = "a-key-that-nobody-has-published"


async def say_hello(address, key):
    """Speak the peers' protocol and return whatever is answered."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, port)
    own = os.urandom(NONCE_BYTES)
    writer.write(own)
    session = own + await reader.readexactly(NONCE_BYTES)
    frames = FrameWriter(key.encode(), session, Direction.CONNECTING)
    hello = Hello(PROTOCOL_VERSION, "i9", "dc1", 1, "127.0.0.1:9")
    writer.write(frames.seal(encode(Envelope(1, 0, hello))))
    try:
        return await asyncio.wait_for(reader.read(64), 5.0)
    finally:
        writer.close()


class TestStrangers:
    def test_they_are_refused_and_counted(self, tmp_path):
        """Someone inside the network speaks well-formed frames to an instance.

        Without the shared key the hello is refused before it is decoded, and
        its sender never becomes a member; without the operators' token their
        port tells nothing. Callers go on.
        """

        async def run():
            async with open_world(tmp_path, ONE_INSTANCE) as world:
                (daemon,) = world.daemons_by_id.values()
                load = world.send_load(services=("patter", "charge"))
                assert await say_hello(daemon.peers, OTHER_KEY) == b""
                counters = await world.get_counters(daemon)
                assert counters[f"peers.refused.{ErrorKind.STRANGER}"] == 1
                assert await world.list_members(daemon) == {"i1"}
                for token in ("", "magic", PEERS_KEY):
                    for path in ("/status", "/counters", "/tree", "/explain"):
                        answer = await world.ask_operators(daemon, path, token)
                        assert answer.code == 401
                        assert b"i1" not in answer.body
                assert await world.count(daemon, "operators.unauthenticated") == 12
                await load.until_more(20)
                world.check(await load.stop())
                # The same frame with the right key is answered.
                assert await say_hello(daemon.peers, PEERS_KEY) != b""

        asyncio.run(run())

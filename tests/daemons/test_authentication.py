"""Tests of the authentication of peers and operators."""

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
WRONG_KEY = "a-key-that-nobody-has-published"


async def send_hello(address, key):
    """Send a hello of the peers' protocol; return the first bytes received."""
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


class TestUnauthenticated:
    def test_wrong_key_or_token_is_refused_and_counted(self, tmp_path):
        """Guards against access without the peers' key or operators' token.

        The hello is well-formed but sealed with a wrong key. Its sender must
        not become a member, and callers must be served meanwhile.
        """

        async def run():
            async with open_world(tmp_path, ONE_INSTANCE) as world:
                (daemon,) = world.daemons_by_id.values()
                load = world.send_load(services=("patter", "charge"))
                assert await send_hello(daemon.peers, WRONG_KEY) == b""
                counters = await world.get_counters(daemon)
                assert counters[f"peers.refused.{ErrorKind.STRANGER}"] == 1
                assert await world.list_members(daemon) == {"i1"}
                for token in ("", "magic", PEERS_KEY):
                    for path in ("/status", "/counters", "/tree", "/explain"):
                        answer = await world.fetch_operators_page(daemon, path, token)
                        assert answer.code == 401
                        assert b"i1" not in answer.body
                assert await world.count(daemon, "operators.unauthenticated") == 12
                await load.wait_for_answers(20)
                world.check(await load.stop())
                # The same hello with the right key is accepted.
                assert await send_hello(daemon.peers, PEERS_KEY) != b""

        asyncio.run(run())

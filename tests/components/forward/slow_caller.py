"""A caller that reads slowly."""

import asyncio
import socket
from contextlib import asynccontextmanager

from fescuekeel.components.forward.caller import CallerConnection
from fescuekeel.components.forward.connection_gate import ConnectionGate
from fescuekeel.components.forward.server import CallersServer

__all__ = ["LAST_CHUNK", "SlowCaller", "open_slow_caller"]

BUFFER_BYTES = 16 * 1024
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
CHUNK = b"64\r\n" + 100 * b"x" + b"\r\n"
LAST_CHUNK = b"0\r\n\r\n"
FULL_FOR = 5


async def fill(raw):
    """Write chunks until the socket has taken none for a while."""
    full = 0
    while full < FULL_FOR:
        try:
            raw.send(CHUNK)
            full = 0
        except BlockingIOError:
            full += 1
            await asyncio.sleep(0.02)


class SlowCaller:
    """A caller that has read nothing when its answer is ended.

    All but the last chunk is in the buffers of the sockets, which are full.
    """

    def __init__(self, instance, is_last):
        self.is_last = is_last
        gate = ConnectionGate(instance)
        self.server = CallersServer(
            self.accept, "127.0.0.1:0", gate, instance.client_resources
        )
        self.answering = None
        self.ended = asyncio.Event()

    def accept(self, connection, line, headers, body):
        caller = CallerConnection(connection, line, headers, lambda: self.is_last)
        raw = connection.stream.socket
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
        self.answering = asyncio.ensure_future(self.answer(caller, raw))

    async def answer(self, caller, raw):
        await caller.begin(200, "OK", [("Content-Type", "text/plain")])
        await fill(raw)
        self.ended.set()
        await caller.finish()

    async def send_request(self):
        raw = socket.socket()
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        raw.setblocking(False)
        host, port = self.server.address.split(":")
        loop = asyncio.get_running_loop()
        await loop.sock_connect(raw, (host, int(port)))
        await loop.sock_sendall(raw, REQUEST)
        await self.ended.wait()
        return raw

    async def read_rest(self, raw):
        got = b""
        while not got.endswith(LAST_CHUNK):
            data = await asyncio.get_running_loop().sock_recv(raw, BUFFER_BYTES)
            if not data:
                break
            got += data
        return got


@asynccontextmanager
async def open_slow_caller(instance, is_last):
    caller = SlowCaller(instance, is_last)
    caller.server.start()
    raw = await caller.send_request()
    try:
        yield caller, raw
    finally:
        raw.close()
        await caller.server.stop()
        if caller.answering is not None:
            caller.answering.cancel()
            await asyncio.wait([caller.answering])

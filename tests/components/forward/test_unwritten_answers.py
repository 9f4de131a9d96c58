"""Tests of answers that end before their caller has all of them."""

import asyncio
import contextlib
import socket

import pytest

from fescuekeel.components.forward.caller import (
    CallerConnection,
    CallerGoneError,
    Unwritten,
)
from fescuekeel.components.forward.server import CallersServer
from fescuekeel.helpers.linger import RESET_ON_CLOSE
from fescuekeel.helpers.listen import split_address
from tests.common import eventually, make_resources

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


class OpenGate:
    def admits(self):
        return True


def fill(stream):
    """Write past the stream until the kernel takes no more."""
    with pytest.raises(BlockingIOError):
        while True:
            stream.socket.send(b"x" * 65536)


class TestUnwrittenAnswer:
    """The caller reads nothing, and its answer ends here."""

    def answer(self, end, is_filled=True, is_last=False):
        """Answer a caller, call ``end`` and return what was not written."""
        unwritten, ended = [], []

        async def serve(connection, line, headers):
            caller = CallerConnection(connection, line, headers, lambda: is_last)
            caller.on_unflushed(unwritten.append)
            await caller.begin(200, "OK", [], b"piece")
            if is_filled:
                fill(connection.stream)
            with contextlib.suppress(CallerGoneError):
                await caller.finish()
            ended.append(caller)

        tasks = []

        def accept(connection, line, headers, body):
            tasks.append(asyncio.ensure_future(serve(connection, line, headers)))

        async def work():
            server = CallersServer(accept, "127.0.0.1:0", OpenGate(), make_resources())
            server.start()
            with socket.socket() as own:
                own.connect(split_address(server.address))
                own.sendall(REQUEST)
                await eventually(lambda: tasks)
                await asyncio.gather(*tasks)
                await end(server, own)
                await server.stop()
                if is_filled:
                    await eventually(lambda: unwritten)

        asyncio.run(work())
        assert len(ended) == 1
        return unwritten

    @staticmethod
    async def stop(server, own):
        await server.stop()

    @staticmethod
    async def reset(server, own):
        own.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        own.close()
        await asyncio.sleep(0.05)

    def test_that_a_stop_closes_is_reported(self):
        # Guards against an answer that a stop cuts after its request.
        assert self.answer(self.stop) == [Unwritten(len(LAST_CHUNK), "")]

    def test_that_is_the_last_of_its_connection_is_reported(self, monkeypatch):
        # Guards against an answer cut unseen when its flush takes too long.
        module = "fescuekeel.components.forward.caller"
        monkeypatch.setattr(f"{module}.MAX_FLUSH_S", 0.2)
        assert self.answer(self.stop, is_last=True) == [Unwritten(len(LAST_CHUNK), "")]

    def test_that_the_caller_resets_names_the_error(self):
        # Guards against blaming the instance for a caller that has left.
        (unwritten,) = self.answer(self.reset)
        assert unwritten.bytes_left == len(LAST_CHUNK)
        assert unwritten.error

    @pytest.mark.parametrize("is_last", [False, True])
    def test_that_is_written_is_not_reported(self, is_last):
        # Guards against lines of cut answers for those that are whole.
        assert self.answer(self.stop, is_filled=False, is_last=is_last) == []

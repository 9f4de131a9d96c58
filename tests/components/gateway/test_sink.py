"""Tests of the delivery of streams, against callers that read raw bytes."""

import asyncio

import pytest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from fescuekeel.components.gateway.sink import AnswerHead, HandlerSink
from fescuekeel.errors import ErrorKind, Failure
from standins.forwarding.raw_caller import call_raw

EVENT = b"data: a\n\n"
END = b"data: [DONE]\n\n"


async def deliver_whole(sink):
    await sink.deliver(EVENT, AnswerHead())
    await sink.deliver(END, AnswerHead())
    await sink.finish(AnswerHead())


async def return_early(sink):
    await sink.deliver(EVENT, AnswerHead())


async def raise_error(sink):
    await sink.deliver(EVENT, AnswerHead())
    raise RuntimeError("fault in the program")


async def fail(sink):
    await sink.deliver(EVENT, AnswerHead())
    await sink.fail(Failure(ErrorKind.ANSWER_CUT, "engine is gone"))


class StreamHandler(RequestHandler):
    def initialize(self, serve):
        self.serve = serve

    async def get(self):
        sink = HandlerSink(self, stream=True)
        try:
            await self.serve(sink)
        finally:
            sink.close_unfinished()


async def call(serve, version, *headers):
    server = HTTPServer(Application([("/", StreamHandler, {"serve": serve})]))
    sockets = bind_sockets(0, "127.0.0.1")
    server.add_sockets(sockets)
    address = f"127.0.0.1:{sockets[0].getsockname()[1]}"
    try:
        sent = [("Host", address), *headers]
        return await call_raw(address, "GET", "/", sent, version=version)
    finally:
        server.stop()
        await server.close_all_connections()


@pytest.mark.parametrize("version", ["1.1", "1.0"])
class TestStream:
    def test_whole_stream_looks_complete(self, version):
        answer = asyncio.run(call(deliver_whole, version))
        assert answer.complete
        assert answer.body == EVENT + END

    # Guards against a stream that was given up, since its caller stopped
    # reading or a fault ended it, and looks complete.
    @pytest.mark.parametrize("serve", [return_early, raise_error])
    def test_unfinished_stream_does_not_look_complete(self, serve, version):
        answer = asyncio.run(call(serve, version))
        assert answer.status == 200
        assert not answer.complete

    def test_failure_is_the_last_event(self, version):
        answer = asyncio.run(call(fail, version))
        assert answer.complete
        assert b"answer_cut" in answer.body
        assert END not in answer.body


class TestKeepAlive:
    # Guards against a stream whose end a caller of HTTP/1.0 never sees.
    def test_stream_ends_the_connection(self):
        header = ("Connection", "keep-alive")
        answer = asyncio.run(call(deliver_whole, "1.0", header))
        assert answer.complete
        assert "keep-alive" not in answer.headers.get("connection", "").lower()

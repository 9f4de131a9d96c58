"""Tests of the HTTP server for clients that are not under control."""

import asyncio
import errno
import socket
import ssl
from pathlib import Path

from tornado.httputil import HTTPHeaders, ResponseStartLine

from fescuekeel.helpers.client_server import ClientServer
from fescuekeel.helpers.listen import bind_address, split_address
from tests.common import eventually, make_resources

TLS = Path(__file__).parent.parent / "components/peers/tls"
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
# By the default share of the descriptors there is room for four clients.
FEW = {"descriptors": 10}
MAX_CLIENTS = 4


def answer(request):
    line = ResponseStartLine("HTTP/1.1", 200, "OK")
    request.connection.write_headers(line, HTTPHeaders({"Content-Length": "0"}))
    request.connection.finish()


def make_tls():
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(TLS / "certificate.pem", TLS / "key.pem")
    return context


def trust_anyone():
    context = ssl.create_default_context()
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    return context


async def serve(work, callback=answer, **options):
    resources = make_resources(**FEW)
    server = ClientServer(callback, resources, "callers", **options)
    sockets, address = bind_address("127.0.0.1:0")
    server.add_sockets(sockets)
    try:
        await asyncio.wait_for(work(split_address(address), resources), 20)
    finally:
        server.stop()
        await server.close_all_connections()


async def call(address, tls=None):
    """Return the status of a request on a connection of its own."""
    reader, writer = await asyncio.open_connection(*address, ssl=tls)
    writer.write(REQUEST)
    status = (await reader.readuntil(b"\r\n")).split()[1]
    writer.close()
    return status


class TestTls:
    # Guards against handshakes that stop and take all connections.
    def test_a_caller_is_served_beside_handshakes_that_stop(self):
        async def work(address, resources):
            stopped = [await asyncio.open_connection(*address) for _ in range(8)]
            assert await call(address, trust_anyone()) == b"200"
            assert len(resources.ledger.clients) <= MAX_CLIENTS
            for _, writer in stopped:
                writer.close()
            await eventually(lambda: not resources.ledger.clients)

        asyncio.run(serve(work, ssl_options=make_tls()))


class TestClosedConnections:
    # Guards against requests that are served after their client has gone,
    # since they had been read together with the one before.
    def test_what_a_client_has_sent_is_dropped_with_it(self):
        served = []

        def close_after_first(request):
            served.append(request)
            request.connection.stream.close()

        async def work(address, resources):
            _, writer = await asyncio.open_connection(*address)
            writer.write(REQUEST * 50)
            await eventually(lambda: served and not resources.ledger.clients)
            assert len(served) == 1
            writer.close()

        asyncio.run(serve(work, close_after_first))


class ExhaustedSocket:
    """A listening socket for whose connections there is no descriptor."""

    def __init__(self):
        self.own = socket.create_server(("127.0.0.1", 0))
        self.accepts = 0

    def fileno(self):
        return self.own.fileno()

    def setblocking(self, flag):
        self.own.setblocking(flag)

    def close(self):
        self.own.close()

    def accept(self):
        self.accepts += 1
        raise OSError(errno.EMFILE, "Too many open files")


class TestNoDescriptors:
    # Guards against a busy loop while there are no descriptors, as a socket
    # stays readable whose connections are not accepted.
    def test_accepting_pauses(self):
        async def work():
            server = ClientServer(answer, make_resources(**FEW), "callers")
            listening = ExhaustedSocket()
            server.add_sockets([listening])
            with socket.create_connection(listening.own.getsockname()):
                await asyncio.sleep(0.7)
            assert 1 <= listening.accepts <= 5
            server.stop()

        asyncio.run(work())

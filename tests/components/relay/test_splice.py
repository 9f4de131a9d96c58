"""Tests of the bytes that are passed between a peer and an endpoint."""

import asyncio
import socket

from fescuekeel.components.relay.const import MAX_QUEUED_BYTES
from fescuekeel.components.relay.splice import SplicedConnection

PIECE = b"x" * 16 * 1024


class FakeStream:
    """A stream to a peer that takes nothing until it is told to."""

    def __init__(self):
        self.queued_bytes = 0
        self.is_read = True

    def write(self, data):
        self.queued_bytes += len(data)

    def set_callbacks(self, callbacks):
        self.callbacks = callbacks

    def take_all(self):
        self.queued_bytes = 0
        self.callbacks.on_writable()

    def pause_reading(self):
        self.is_read = False

    def resume_reading(self):
        self.is_read = True

    def close(self):
        pass


class FakeTransport(asyncio.Transport):
    """The connection to an endpoint that always has more to read."""

    def __init__(self):
        self.is_read = True
        self.socket = socket.socket()
        super().__init__({"socket": self.socket})

    def is_closing(self):
        return False

    def pause_reading(self):
        self.is_read = False

    def resume_reading(self):
        self.is_read = True

    def abort(self):
        self.socket.close()


def make_splice():
    spliced = SplicedConnection(lambda connection: None)
    stream, transport = FakeStream(), FakeTransport()
    spliced.connection_made(transport)
    spliced.connect_stream(stream)
    return spliced, stream, transport


def send_while_read(spliced, transport):
    """Let the endpoint send for as long as it is read, 4 MB at most."""
    for _ in range(256):
        if transport.is_read:
            spliced.data_received(PIECE)


class TestBackPressure:
    # Guards against an endpoint whose bytes without end are all kept by the
    # instance that relays them to a slow peer.
    def test_the_endpoint_is_not_read_while_the_peer_is_slow(self):
        spliced, stream, transport = make_splice()
        send_while_read(spliced, transport)
        assert stream.queued_bytes <= MAX_QUEUED_BYTES + len(PIECE)
        spliced.close()

    # Guards against an answer that stops for ever once its peer was slow.
    def test_it_is_read_again_once_the_peer_has_taken_all(self):
        spliced, stream, transport = make_splice()
        send_while_read(spliced, transport)
        stream.take_all()
        assert transport.is_read
        spliced.close()

    # Guards against a request body that is kept while its endpoint is slow.
    def test_the_peer_is_not_read_while_the_endpoint_is_slow(self):
        spliced, stream, _ = make_splice()
        spliced.pause_writing()
        assert not stream.is_read
        spliced.resume_writing()
        assert stream.is_read
        spliced.close()

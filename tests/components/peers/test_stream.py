"""Tests of byte streams between instances."""

from fescuekeel.components.peers.stream import ByteStream
from fescuekeel.helpers.peer_link import StreamCallbacks


class FullConnection:
    """A connection whose queue takes nothing more."""

    peer_id = "i2"
    queued_bytes = 0

    def __init__(self):
        self.closed = False

    def send(self, payload):
        return False

    def close(self):
        self.closed = True

    def set_callbacks(self, receive, handle_close):
        pass

    def set_writable_callback(self, callback):
        pass


class TestFullQueue:
    # Guards against a stream whose end is dropped, so that the other side
    # waits for it for good.
    def test_an_end_that_cannot_be_sent_breaks_the_stream(self):
        lost = []
        connection = FullConnection()
        stream = ByteStream(connection, sends_heartbeats=True)
        stream.set_callbacks(
            StreamCallbacks(
                on_data=lost.append,
                on_end=lambda: None,
                on_lost=lost.append,
                on_writable=lambda: None,
            )
        )
        stream.write_end()
        assert connection.closed
        assert lost == ["queue full or closed"]

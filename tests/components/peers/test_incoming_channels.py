"""Tests of which of a peer's connections is its current one."""

from fescuekeel.components.peers.connection import Connection
from fescuekeel.components.peers.frames import Direction
from fescuekeel.components.peers.incoming_channels import IncomingChannels
from fescuekeel.const import PROTOCOL_VERSION
from fescuekeel.messages import Hello


def make_hello(channel, incarnation=1):
    return Hello(PROTOCOL_VERSION, "i2", "dc1", incarnation, "127.0.0.1:1", channel)


def make_connection():
    connection = Connection((b"key",), Direction.ACCEPTING, lambda: 0.0)
    connection.peer_id = "i2"
    return connection


class TestIncomingChannels:
    def test_later_connection_replaces_the_previous_one(self):
        channels, first = IncomingChannels(), make_connection()
        assert channels.replace(make_hello(1), first) is None
        assert not channels.is_obsolete(make_hello(2))
        assert channels.replace(make_hello(2), make_connection()) is first

    def test_discovery_replaces_nothing(self):
        """Guards against losing messages when a seed is contacted."""
        channels, first = IncomingChannels(), make_connection()
        channels.replace(make_hello(1), first)
        assert not channels.is_obsolete(make_hello(0))
        assert channels.replace(make_hello(0), make_connection()) is None
        assert channels.replace(make_hello(2), make_connection()) is first

    def test_connection_that_arrives_after_a_later_one_is_obsolete(self):
        """Guards against closing a good connection for an abandoned one."""
        channels = IncomingChannels()
        channels.replace(make_hello(2), make_connection())
        assert channels.is_obsolete(make_hello(1))

    def test_restarted_peer_replaces_its_former_connection(self):
        """Guards against locking out a peer whose clock was set back."""
        for incarnation in (6, 4):
            channels, former = IncomingChannels(), make_connection()
            channels.replace(make_hello(9, incarnation=5), former)
            restarted = make_hello(1, incarnation)
            assert not channels.is_obsolete(restarted)
            assert channels.replace(restarted, make_connection()) is former

    def test_closed_connection_is_forgotten(self):
        channels, first, second = (
            IncomingChannels(),
            make_connection(),
            make_connection(),
        )
        channels.replace(make_hello(1), first)
        channels.replace(make_hello(2), second)
        channels.discard(first)
        assert channels.is_obsolete(make_hello(1))
        channels.discard(second)
        assert not channels.is_obsolete(make_hello(1))

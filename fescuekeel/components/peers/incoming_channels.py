"""The connection on which each peer currently sends its messages."""

from dataclasses import dataclass

from fescuekeel.components.peers.connection import Connection
from fescuekeel.messages import Hello

__all__ = ["IncomingChannels"]


@dataclass(frozen=True, slots=True)
class IncomingChannel:
    """A peer's connection, with the hello that it began with."""

    hello: Hello
    connection: Connection


class IncomingChannels:
    """Track the current connection of each peer.

    A peer sends its messages on one connection at a time. Once it has opened
    another, those that it sent on the previous one and that have not arrived
    are lost, even if that connection still looks open here: a frozen
    connection shows its receiver neither a close nor an error.
    """

    def __init__(self) -> None:
        self._by_peer_id: dict[str, IncomingChannel] = {}

    def is_obsolete(self, hello: Hello) -> bool:
        """Return whether the peer has already opened a later connection.

        Connections can arrive in another order than they were opened. Numbers
        of different incarnations are not comparable: the peer's clock, which
        its incarnation is taken from, may have been set back.
        """
        current = self._by_peer_id.get(hello.instance)
        return (
            current is not None
            and hello.channel > 0
            and hello.incarnation == current.hello.incarnation
            and hello.channel < current.hello.channel
        )

    def replace(self, hello: Hello, connection: Connection) -> Connection | None:
        """Set the peer's current connection and return the previous one."""
        if not hello.channel:
            return None
        previous = self._by_peer_id.get(hello.instance)
        self._by_peer_id[hello.instance] = IncomingChannel(hello, connection)
        return previous.connection if previous is not None else None

    def discard(self, connection: Connection) -> None:
        """Remove a closed connection."""
        current = self._by_peer_id.get(connection.peer_id)
        if current is not None and current.connection is connection:
            del self._by_peer_id[connection.peer_id]

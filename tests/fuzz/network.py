"""Connections between fake processes, as the peers component keeps them.

One connection keeps the order of its messages, a lost one loses those that
are under way, and nothing is sent twice.
"""

import itertools
from dataclasses import dataclass, field

from returns.result import Failure as Err, Success

from fescuekeel.components.peers.const import (
    CONNECT_TIMEOUT_S,
    HEARTBEAT_TIMEOUT_S,
    HELLO_TIMEOUT_S,
    IDLE_HEARTBEAT_S,
    RETRY_S,
)
from fescuekeel.errors import ErrorKind, Failure, Ran
from fescuekeel.messages import PeerConnectionLost, PeerMessage

__all__ = ["Link"]

# When the longest silence of a connection shows: one without a request.
SILENT_S = IDLE_HEARTBEAT_S + HEARTBEAT_TIMEOUT_S
UNREACHABLE = Err(Failure(ErrorKind.PEER_UNREACHABLE))
UNSENT = Err(Failure(ErrorKind.PEER_UNREACHABLE, ran=Ran.NO))


@dataclass(eq=False)
class Connection:
    """One connection; its messages are bound to the two processes."""

    opener: object
    peer: object
    began: float
    replaces: bool = False
    attached: bool = False
    lost: bool = False
    asked: dict = field(default_factory=dict)
    waiting: list = field(default_factory=list)
    unacked: list = field(default_factory=list)
    arrivals: dict = field(default_factory=dict)


class Link:
    """Play the peers component of one process."""

    address = ""

    def __init__(self, world, node):
        self.world = world
        self.node = node
        self.incarnation = world.next_incarnation()
        self.connections_by_id = {}
        self.questions = {}
        self.own_asked = {}
        self.retry_at = {}
        self.numbers = itertools.count(1)

    async def start(self):
        pass

    async def stop(self):
        pass

    # What components call.

    def send(self, instance_id, body):
        if self.node.dead:
            return False
        if instance_id == self.node.id:
            message = PeerMessage(instance_id, 0, body)
            self.node.loop.call_soon(self.deliver, message)
            return True
        connection = self._connect(instance_id)
        if connection is None:
            return False
        self._put(connection, 0, body)
        return True

    async def ask(self, instance_id, body, timeout_s):
        if self.node.dead:
            return UNREACHABLE
        loop = self.node.loop
        number, asked = next(self.numbers), loop.create_future()
        if instance_id == self.node.id:
            waiting = self.own_asked
            waiting[number] = asked
            loop.call_soon(self.receive, None, number, body)
        else:
            connection = self._connect(instance_id)
            if connection is None:
                return UNSENT
            waiting = connection.asked
            waiting[number] = asked
            self._put(connection, number, body)
        timer = loop.call_later(timeout_s, resolve, asked, UNREACHABLE)
        try:
            return await asked
        finally:
            timer.cancel()
            waiting.pop(number, None)

    def answer(self, request, body):
        where = self.questions.pop(request.number, None)
        if where is None or self.node.dead:
            return
        connection, number = where
        if connection is None:
            future = self.own_asked.get(number)
            if future is not None:
                self.node.loop.call_soon(resolve, future, Success(body))
            return

        def arrive():
            future = connection.asked.get(number)
            if future is not None:
                resolve(future, Success(body))

        self.world.transmit(connection, self.node, connection.opener, arrive)

    # The wire.

    def _put(self, connection, number, body):
        if not connection.attached:
            connection.waiting.append((number, body))
            return
        sent = [self.world.now]
        connection.unacked.append(sent)

        def arrive():
            connection.unacked.remove(sent)
            connection.peer.link.receive(connection, number, body)

        self.world.transmit(connection, self.node, connection.peer, arrive)

    def receive(self, connection, wire_number, body):
        number = 0
        if wire_number:
            number = next(self.numbers)
            self.questions[number] = (connection, wire_number)
        sender = self.node.id if connection is None else connection.opener.id
        self.deliver(PeerMessage(sender, number, body))

    def deliver(self, message):
        self.node.instance.bus.publish_peer(message)

    def _connect(self, peer_id, replaces=False):
        connection = self.connections_by_id.get(peer_id)
        if connection is not None:
            return connection
        peer = self.world.nodes_by_id.get(peer_id)
        now = self.world.now
        if peer is None or now < self.retry_at.get(peer_id, now):
            return None
        connection = Connection(self.node, peer, now, replaces)
        self.connections_by_id[peer_id] = connection
        self.node.loop.call_later(0.002, self._attach, connection)
        return connection

    def _attach(self, connection):
        """Attach when the other side answers, or give up in time."""
        if self.connections_by_id.get(connection.peer.id) is not connection:
            return
        peer, waited = connection.peer, self.world.now - connection.began
        cut = self.world.is_cut(self.node, peer)
        if not (peer.dead or peer.paused or cut):
            connection.attached = True
            for number, body in connection.waiting:
                self._put(connection, number, body)
            connection.waiting.clear()
            if connection.replaces:
                self.node.instance.bus.publish(
                    PeerConnectionLost(peer.id, reachable=True)
                )
            return
        limit = CONNECT_TIMEOUT_S if cut else HELLO_TIMEOUT_S
        if peer.dead or waited >= limit:
            self.lose(connection)
            return
        self.node.loop.call_later(0.1, self._attach, connection)

    def check(self):
        """Give connections up that have gone silent."""
        for connection in list(self.connections_by_id.values()):
            oldest = min((sent[0] for sent in connection.unacked), default=None)
            if oldest is not None and self.world.now - oldest > SILENT_S:
                self.lose(connection)

    def forgive(self):
        """Start to wait anew after a pause of this process itself."""
        for connection in self.connections_by_id.values():
            for sent in connection.unacked:
                sent[0] = self.world.now

    def lose(self, connection):
        """Fail what was asked on a connection and try a new one."""
        peer_id, now = connection.peer.id, self.world.now
        if self.connections_by_id.get(peer_id) is not connection or self.node.dead:
            return
        del self.connections_by_id[peer_id]
        for asked in connection.asked.values():
            resolve(asked, UNREACHABLE if connection.attached else UNSENT)
        connection.asked.clear()
        if connection.attached and now - connection.began > RETRY_S:
            self._connect(peer_id, replaces=True)
            return
        self.retry_at[peer_id] = now + RETRY_S
        self.node.instance.bus.publish(PeerConnectionLost(peer_id, reachable=False))


def resolve(future, result):
    """Answer unless that has happened."""
    if not future.done():
        future.set_result(result)

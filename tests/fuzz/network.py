"""Fake peers component: connections between fake processes.

A connection delivers its messages in order. A lost connection drops the
messages in flight, which are not sent again. A frozen one drops all messages
from then on, and neither side is notified.
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

__all__ = ["FakePeerLink"]

# Longest time until a silent connection is detected: without open requests.
MAX_SILENCE_S = IDLE_HEARTBEAT_S + HEARTBEAT_TIMEOUT_S
UNREACHABLE = Err(Failure(ErrorKind.PEER_UNREACHABLE))
UNSENT = Err(Failure(ErrorKind.PEER_UNREACHABLE, ran=Ran.NO))


@dataclass(eq=False)
class Connection:
    """A connection from one process to another.

    Its opener notices ``late_s`` later than usual that it is silent.
    """

    opener: object
    peer: object
    opened_at: float
    replaces: bool = False
    established: bool = False
    lost: bool = False
    frozen: bool = False
    late_s: float = 0.0
    futures_by_number: dict = field(default_factory=dict)
    queued: list = field(default_factory=list)
    unacked: list = field(default_factory=list)
    arrival_by_receiver: dict = field(default_factory=dict)


class FakePeerLink:
    """Fake peers component of one process."""

    address = ""

    def __init__(self, world, node):
        self.world = world
        self.node = node
        self.incarnation = world.next_incarnation()
        self.connections_by_id = {}
        self.incoming_by_id = {}
        self.requests_by_number = {}
        self.own_futures_by_number = {}
        self.retry_at = {}
        self.numbers = itertools.count(1)

    async def start(self):
        pass

    async def stop(self):
        pass

    # Interface for other components.

    def send_all(self, instance_ids, body):
        for id in instance_ids:
            self.send(id, body)

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
        number, future = next(self.numbers), loop.create_future()
        if instance_id == self.node.id:
            futures = self.own_futures_by_number
            futures[number] = future
            loop.call_soon(self.receive, None, number, body)
        else:
            connection = self._connect(instance_id)
            if connection is None:
                return UNSENT
            futures = connection.futures_by_number
            futures[number] = future
            self._put(connection, number, body)
        timer = loop.call_later(timeout_s, resolve, future, UNREACHABLE)
        try:
            return await future
        finally:
            timer.cancel()
            futures.pop(number, None)

    def answer(self, request, body):
        origin = self.requests_by_number.pop(request.number, None)
        if origin is None or self.node.dead:
            return
        connection, number = origin
        if connection is None:
            future = self.own_futures_by_number.get(number)
            if future is not None:
                self.node.loop.call_soon(resolve, future, Success(body))
            return

        def arrive():
            future = connection.futures_by_number.get(number)
            if future is not None:
                resolve(future, Success(body))

        self.world.transmit(connection, self.node, connection.opener, arrive)

    # Transport.

    def _put(self, connection, number, body):
        if not connection.established:
            connection.queued.append((number, body))
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
            self.requests_by_number[number] = (connection, wire_number)
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
        self.node.loop.call_later(0.002, self._try_establish, connection)
        return connection

    def _try_establish(self, connection):
        """Establish a connection once the peer responds, or time out."""
        if self.connections_by_id.get(connection.peer.id) is not connection:
            return
        peer, waited = connection.peer, self.world.now - connection.opened_at
        cut = self.world.is_cut(self.node, peer)
        if not (peer.dead or peer.paused or cut):
            connection.established = True
            peer.loop.call_soon(peer.link.accept, connection)
            for number, body in connection.queued:
                self._put(connection, number, body)
            connection.queued.clear()
            if connection.replaces:
                self.node.instance.bus.publish(
                    PeerConnectionLost(peer.id, reachable=True)
                )
            return
        limit = CONNECT_TIMEOUT_S if cut else HELLO_TIMEOUT_S
        if peer.dead or waited >= limit:
            self.handle_loss(connection)
            return
        self.node.loop.call_later(0.1, self._try_establish, connection)

    def accept(self, connection):
        """Accept a connection; the opener's previous one is lost."""
        opener = connection.opener
        previous = self.incoming_by_id.get(opener.id)
        self.incoming_by_id[opener.id] = connection
        if previous is not None:
            previous.lost = True
            self._handle_incoming_lost(opener)

    def _handle_incoming_lost(self, opener):
        own = self.connections_by_id.get(opener.id)
        if own is None:
            self._connect(opener.id, replaces=True)
            return
        self._probe(own)
        lost = PeerConnectionLost(opener.id, reachable=True)
        self.node.instance.bus.publish(lost)

    def _probe(self, connection):
        if connection.frozen:
            connection.late_s = 0.0
            connection.unacked.append([self.world.now - IDLE_HEARTBEAT_S])

    def freeze(self, connection, late_s):
        """Drop all messages on a connection from now on."""
        connection.frozen = True
        connection.late_s = late_s
        if connection.futures_by_number:
            connection.unacked.append([self.world.now])

    def check(self):
        """Drop the connections whose messages stay unacknowledged."""
        for connection in list(self.connections_by_id.values()):
            oldest = min((sent[0] for sent in connection.unacked), default=None)
            bound_s = MAX_SILENCE_S + connection.late_s
            if oldest is not None and self.world.now - oldest > bound_s:
                self.handle_loss(connection)

    def restart_timeouts(self):
        """Restart the timeouts after this process was paused."""
        for connection in self.connections_by_id.values():
            for sent in connection.unacked:
                sent[0] = self.world.now

    def handle_loss(self, connection):
        """Fail a connection's open requests, and reconnect."""
        peer_id, now = connection.peer.id, self.world.now
        if self.connections_by_id.get(peer_id) is not connection or self.node.dead:
            return
        del self.connections_by_id[peer_id]
        for future in connection.futures_by_number.values():
            resolve(future, UNREACHABLE if connection.established else UNSENT)
        connection.futures_by_number.clear()
        if connection.established and now - connection.opened_at > RETRY_S:
            self._connect(peer_id, replaces=True)
            return
        self.retry_at[peer_id] = now + RETRY_S
        self.node.instance.bus.publish(PeerConnectionLost(peer_id, reachable=False))


def resolve(future, result):
    """Set a future's result unless it is done."""
    if not future.done():
        future.set_result(result)

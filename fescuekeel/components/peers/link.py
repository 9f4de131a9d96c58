"""Implementation of ``PeerLink`` over TCP."""

import asyncio
import itertools
import time
from collections.abc import Iterable, Mapping

from returns.result import Failure as Err, Result, Success

from fescuekeel.components.peers.acceptor import Acceptor
from fescuekeel.components.peers.addresses import Addresses
from fescuekeel.components.peers.connection import Connection
from fescuekeel.components.peers.const import (
    CHECK_PERIOD_S,
    IDLE_S,
    MAX_QUEUE_BYTES,
    RETRY_S,
    SEED_PERIOD_S,
)
from fescuekeel.components.peers.dialing import Dialer
from fescuekeel.components.peers.incoming_requests import IncomingRequests
from fescuekeel.components.peers.liveness import (
    ChannelAction,
    check_channel,
    probe_channel,
)
from fescuekeel.components.peers.outgoing import OutgoingChannel, PendingAnswer
from fescuekeel.components.peers.streams import Streams
from fescuekeel.components.peers.tls import make_client_context, make_server_context
from fescuekeel.const import PROTOCOL_VERSION
from fescuekeel.core import Instance
from fescuekeel.errors import ErrorKind, Failure, Ran
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.peer_link import OpenedStream, PeerStream
from fescuekeel.helpers.ticks import sleep_to_tick
from fescuekeel.helpers.wire import decode, encode
from fescuekeel.messages import (
    Envelope,
    Hello,
    HelloAnswer,
    MemberView,
    PeerAuthenticated,
    PeerConnectionLost,
    PeerMessage,
    WireMessage,
)

__all__ = ["Peers"]

MS_PER_S = 1000
REQUEST_NUMBER_MODULUS = 2**32


class Peers:
    """Manage the connections to and from other instances.

    Messages and requests to a peer are sent on a connection opened by this
    instance, one per peer. Requests of a peer arrive on the connection that
    the peer opened and are answered on it.
    """

    def __init__(self, instance: Instance) -> None:
        settings = instance.settings.peers
        keys = tuple(key.encode() for key in settings.keys)
        self.incarnation = int(time.time() * 1000)
        self._instance = instance
        self._settings = settings
        self._acceptor = Acceptor(
            instance, keys, make_server_context(settings), self._accept_hello
        )
        self._acceptor.on_message = self._handle_incoming
        self._acceptor.on_lost = self._handle_incoming_lost
        self._dialer = Dialer(keys, make_client_context(settings), instance.now)
        self._channels_by_id: dict[str, OutgoingChannel] = {}
        self._retry_at_by_id: dict[str, float] = {}
        self._addresses = Addresses(instance)
        self._incoming_requests = IncomingRequests(instance.metrics)
        self._streams = Streams(self._dialer)
        self._local_answers_by_number: dict[int, PendingAnswer] = {}
        self._request_numbers = itertools.count(1)
        self._channel_numbers = itertools.count(1)
        self._stopping = False
        self._last_received_by_id: dict[str, float] = {}

    @property
    def last_received_by_id(self) -> Mapping[str, float]:
        """Return when the last message of each peer arrived.

        Times are in seconds of the instance's clock.
        """
        return self._last_received_by_id

    @property
    def address(self) -> str:
        """Return the address that peers connect to, valid once started."""
        return self._settings.advertised_address or self._acceptor.address

    async def start(self) -> None:
        """Listen for peers and start the background tasks."""
        await self._acceptor.listen_at(self._settings.address)
        self._instance.keep_running(self._monitor_connections, "peers.check")
        self._instance.keep_running(self._contact_seeds, "peers.seeds")

    async def stop(self) -> None:
        """Send the queued payloads and close all connections."""
        self._stopping = True
        self._acceptor.stop()
        outgoing = [item.connection for item in self._channels_by_id.values()]
        connections = [item for item in outgoing if item is not None]
        connections += self._acceptor.connections
        await asyncio.gather(*(item.close_gracefully() for item in connections))
        for channel in list(self._channels_by_id.values()):
            channel.fail("stopped")
        self._streams.close()

    # The interface for other components.

    def send(self, instance_id: str, body: WireMessage) -> bool:
        """Queue a message; return false if it cannot be queued.

        That is the case if the peer's address is unknown, a retry is not yet
        due or the queue is full.
        """
        if instance_id == self._instance.id:
            message = PeerMessage(instance_id, 0, body)
            asyncio.get_running_loop().call_soon(self._deliver, message)
            return True
        channel = self._get_channel(instance_id)
        if channel is None:
            return False
        return self._send_on(channel, encode(Envelope(0, 0, body)))

    def send_all(self, instance_ids: Iterable[str], body: WireMessage) -> None:
        """Queue a message to several peers, encoded once.

        Peers that cannot be reached are skipped.
        """
        payload = encode(Envelope(0, 0, body))
        for id in instance_ids:
            channel = self._get_channel(id)
            if channel is not None:
                self._send_on(channel, payload)

    async def ask(
        self, instance_id: str, body: WireMessage, timeout_s: float
    ) -> Result[WireMessage, Failure]:
        """Send a request and wait for its answer."""
        loop = asyncio.get_running_loop()
        pending: PendingAnswer = loop.create_future()
        number = next(self._request_numbers) % REQUEST_NUMBER_MODULUS or next(
            self._request_numbers
        )
        if instance_id == self._instance.id:
            pending_by_number = self._local_answers_by_number
            pending_by_number[number] = pending
            loop.call_soon(self._deliver_local_request, number, body)
        else:
            channel = self._get_channel(instance_id)
            if channel is None:
                return self._fail_ask("no connection")
            if channel.queued_bytes > MAX_QUEUE_BYTES // 2:
                return self._fail_ask("queue full")
            pending_by_number = channel.pending_answers_by_number
            pending_by_number[number] = pending
            self._send_on(channel, encode(Envelope(number, 0, body)))
        timer = loop.call_later(timeout_s, self._time_out, pending)
        try:
            return await pending
        finally:
            timer.cancel()
            pending_by_number.pop(number, None)

    def answer(self, request: PeerMessage, body: WireMessage) -> None:
        """Answer a peer's request; only the first answer is sent."""
        origin = self._incoming_requests.pop(request.number)
        if origin is None:
            return
        connection, number = origin
        if connection is None:
            pending = self._local_answers_by_number.get(number)
            if pending is not None:
                asyncio.get_running_loop().call_soon(_resolve, pending, body)
            return
        if connection.closed or connection.send(encode(Envelope(0, number, body))):
            return
        self._instance.metrics.count("peers.lost.slow")
        connection.close()

    async def open_stream(
        self, instance_id: str, body: WireMessage, timeout_s: float
    ) -> Result[OpenedStream, Failure]:
        """Open a connection for a byte stream, and wait for the answer."""
        address = self._addresses.find(instance_id)
        if self._stopping or not address:
            return Err(Failure(ErrorKind.PEER_UNREACHABLE, "no address", Ran.NO))
        hello = self._make_hello()
        return await self._streams.open(instance_id, address, hello, body, timeout_s)

    def accept_stream(
        self, request: PeerMessage, body: WireMessage
    ) -> PeerStream | None:
        """Reply to a request that opens a stream, and take its connection."""
        origin = self._incoming_requests.pop(request.number)
        if origin is None:
            return None
        connection, number = origin
        if connection is None or connection.closed:
            return None
        connection.send(encode(Envelope(0, number, body)))
        self._acceptor.release(connection)
        return self._streams.add(connection)

    def _fail_ask(self, detail: str) -> Result[WireMessage, Failure]:
        self._instance.metrics.count("peers.ask_failed")
        return Err(Failure(ErrorKind.PEER_UNREACHABLE, detail, Ran.NO))

    def _time_out(self, pending: PendingAnswer) -> None:
        if not pending.done():
            self._instance.metrics.count("peers.ask_timeout")
            pending.set_result(Err(Failure(ErrorKind.PEER_UNREACHABLE, "timeout")))

    # The connecting side.

    def _send_on(self, channel: OutgoingChannel, payload: bytes) -> bool:
        if channel.send(payload):
            return True
        if channel.connection is None or not channel.connection.closed:
            self._instance.metrics.count("peers.lost.slow")
        self._drop_channel(channel, "queue full or closed")
        return False

    def _get_channel(
        self, peer_id: str, is_replacement: bool = False
    ) -> OutgoingChannel | None:
        channel = self._channels_by_id.get(peer_id)
        if channel is not None:
            return channel
        now = self._instance.now()
        address = self._addresses.find(peer_id)
        if self._stopping or not address:
            return None
        if now < self._retry_at_by_id.get(peer_id, now):
            return None
        number = next(self._channel_numbers)
        channel = OutgoingChannel(peer_id, number, is_replacement, now)
        self._channels_by_id[peer_id] = channel
        self._instance.spawn(self._run_channel(channel, address), "peers.outgoing")
        return channel

    def _make_hello(self, channel: int = 0) -> Hello:
        return Hello(
            PROTOCOL_VERSION,
            self._instance.id,
            self._instance.settings.instance.data_centre,
            self.incarnation,
            self.address,
            channel,
        )

    async def _run_channel(self, channel: OutgoingChannel, address: str) -> None:
        """Open a channel; drop it on a failure, so that it is not used."""
        try:
            await self._open_channel(channel, address)
        except Exception as error:
            self._drop_channel(channel, repr(error))
            raise

    async def _open_channel(self, channel: OutgoingChannel, address: str) -> None:
        hello = self._make_hello(channel.number)
        dialed = await self._dialer.dial(address, hello)
        if isinstance(dialed, Err):
            self._drop_channel(channel, dialed.failure().detail)
            return
        connection, answer = dialed.unwrap()
        if answer.instance != channel.peer_id:
            # The address now belongs to another instance; record that one.
            connection.close()
            self._instance.metrics.count("peers.refused.wrong_instance")
            self._record_peer(answer, address)
            self._drop_channel(channel, f"address belongs to {answer.instance}")
            return
        if self._channels_by_id.get(channel.peer_id) is not channel:
            connection.close()
            return
        self._instance.metrics.count("peers.connected")
        self._retry_at_by_id.pop(channel.peer_id, None)
        channel.attach(connection)
        self._record_peer(answer, address)
        if channel.is_replacement:
            self._instance.bus.publish(
                PeerConnectionLost(channel.peer_id, reachable=True)
            )
        connection.set_callbacks(
            lambda payload: self._handle_answer(channel, payload),
            lambda failure: self._drop_channel(channel, failure.detail),
        )

    def _handle_answer(self, channel: OutgoingChannel, payload: bytes) -> None:
        decoded = decode(payload)
        if isinstance(decoded, Err):
            self._instance.metrics.count("peers.refused.bad_frame")
            self._drop_channel(channel, "bad frame")
            return
        envelope = decoded.unwrap()
        self._last_received_by_id[channel.peer_id] = self._instance.now()
        pending = channel.pending_answers_by_number.get(envelope.answers)
        if pending is not None:
            _resolve(pending, envelope.body)

    def _drop_channel(self, channel: OutgoingChannel, reason: str) -> None:
        peer_id = channel.peer_id
        if self._channels_by_id.get(peer_id) is not channel:
            return
        del self._channels_by_id[peer_id]
        connection = channel.connection
        channel.fail(reason)
        if self._stopping:
            return
        now = self._instance.now()
        log_event(
            "peer_connection_lost",
            peer=peer_id,
            channel=channel.number,
            reason=reason,
            age_ms=round((now - channel.created_at) * MS_PER_S),
        )
        self._instance.metrics.count("peers.lost.connection")
        # A middlebox may have dropped the connection while the peer is alive,
        # so a new connection decides whether the peer is reachable. Closing
        # right after opening counts as unreachable, to avoid a retry loop.
        if connection is not None and now - channel.created_at > RETRY_S:
            self._get_channel(peer_id, is_replacement=True)
            return
        self._retry_at_by_id[peer_id] = now + RETRY_S
        loop = asyncio.get_running_loop()
        loop.call_later(RETRY_S * 2, self._retry_at_by_id.pop, peer_id, None)
        self._instance.bus.publish(PeerConnectionLost(peer_id, reachable=False))

    async def _monitor_connections(self) -> None:
        last = self._instance.now()
        while True:
            await sleep_to_tick(CHECK_PERIOD_S)
            now = self._instance.now()
            was_suspended = now - last > 2 * CHECK_PERIOD_S
            last = now
            for channel in list(self._channels_by_id.values()):
                self._check_channel(channel, now, was_suspended)
            self._streams.check(now, was_suspended)
            self._acceptor.close_idle(now)
            self._expire_last_received(now)

    def _expire_last_received(self, now: float) -> None:
        for id, received_at in list(self._last_received_by_id.items()):
            if now - received_at > IDLE_S:
                del self._last_received_by_id[id]

    def _check_channel(
        self, channel: OutgoingChannel, now: float, was_suspended: bool
    ) -> None:
        connection = channel.connection
        if connection is None:
            return
        match check_channel(channel, now, was_suspended):
            case ChannelAction.CLOSE_IDLE:
                del self._channels_by_id[channel.peer_id]
                self._instance.spawn(connection.close_gracefully(), "peers.goodbye")
            case ChannelAction.SEND_HEARTBEAT:
                connection.send_heartbeat()
            case ChannelAction.DROP_SILENT:
                self._instance.metrics.count("peers.lost.silent")
                self._drop_channel(channel, "silent")

    @property
    def _needs_seeds(self) -> bool:
        view = self._instance.bus.latest(MemberView)
        known = len(view.members_by_id) > 1 if view is not None else False
        return self._addresses.empty or not known

    async def _contact_seeds(self) -> None:
        # Seeds are contacted until a peer is known from which the others can
        # be discovered, and again when no other members are left.
        while True:
            seeds = self._instance.settings.peers.seeds if self._needs_seeds else ()
            for address in seeds:
                if address == self.address:
                    continue
                dialed = await self._dialer.dial(address, self._make_hello())
                if isinstance(dialed, Success):
                    connection, answer = dialed.unwrap()
                    self._record_peer(answer, address)
                    await connection.close_gracefully()
            await asyncio.sleep(SEED_PERIOD_S)

    def _record_peer(self, answer: HelloAnswer, address: str) -> None:
        self._addresses.add(
            PeerAuthenticated(
                answer.instance, address, answer.data_centre, answer.incarnation
            )
        )

    # The accepting side.

    def _accept_hello(self, hello: Hello) -> HelloAnswer:
        peer = PeerAuthenticated(
            hello.instance, hello.address, hello.data_centre, hello.incarnation
        )
        self._addresses.add(peer)
        return HelloAnswer(
            self._instance.id,
            self.incarnation,
            self._instance.settings.instance.data_centre,
            self.address,
        )

    def _handle_incoming(self, connection: Connection, envelope: Envelope) -> None:
        self._last_received_by_id[connection.peer_id] = self._instance.now()
        number = 0
        if envelope.number:
            number = self._incoming_requests.add(connection, envelope.number)
        self._deliver(PeerMessage(connection.peer_id, number, envelope.body))

    def _handle_incoming_lost(self, connection: Connection) -> None:
        self._incoming_requests.discard_connection(connection)
        if connection.closed_cleanly or not connection.carries_channel:
            return
        # Messages in flight are lost with this connection. The outgoing one
        # may stay open, so the loss would otherwise go unnoticed.
        if connection.peer_id in self._channels_by_id:
            # What froze or broke the peer's connection may have hit ours.
            channel = self._channels_by_id[connection.peer_id]
            probe_channel(channel, self._instance.now())
            self._instance.bus.publish(
                PeerConnectionLost(connection.peer_id, reachable=True)
            )
            return
        # The peer may have died: check whether it still accepts connections.
        self._get_channel(connection.peer_id, is_replacement=True)

    def _deliver_local_request(self, number: int, body: WireMessage) -> None:
        local_number = self._incoming_requests.add(None, number)
        self._deliver(PeerMessage(self._instance.id, local_number, body))

    def _deliver(self, message: PeerMessage) -> None:
        name = type(message.body).__name__
        try:
            handled = self._instance.bus.publish_peer(message)
        except Exception as error:
            self._instance.metrics.count(f"peers.handler_error.{name}")
            log_event("peer_handler_error", kind=name, error=repr(error))
            return
        if not handled:
            self._instance.metrics.count(f"peers.unhandled.{name}")


def _resolve(pending: PendingAnswer, body: WireMessage) -> None:
    if not pending.done():
        pending.set_result(Success(body))

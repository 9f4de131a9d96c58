"""Implement ``PeerLink`` over TCP."""

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
    HEARTBEAT_S,
    IDLE_HEARTBEAT_S,
    IDLE_S,
    LIFE_SIGN_S,
    MAX_QUEUE_BYTES,
    RETRY_S,
    SEED_PERIOD_S,
)
from fescuekeel.components.peers.dialing import Dialer
from fescuekeel.components.peers.outgoing import Asked, Outgoing
from fescuekeel.components.peers.questions import Questions
from fescuekeel.components.peers.tls import make_client_context, make_server_context
from fescuekeel.const import PROTOCOL_VERSION
from fescuekeel.core import Instance
from fescuekeel.errors import ErrorKind, Failure, Ran
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.ticks import sleep_to_tick
from fescuekeel.helpers.wire import decode, encode
from fescuekeel.messages import (
    Envelope,
    Hello,
    HelloAnswer,
    MemberView,
    PeerLost,
    PeerMessage,
    PeerMet,
    WireMessage,
)

__all__ = ["Peers"]

MAX_NUMBER = 2**32


class Peers:
    """Hold one connection to each peer that something is sent to.

    A peer's questions come in on the connection that the peer opened, and
    their answers go back on it. Everything else goes out on our own.
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
        self._outgoing_by_id: dict[str, Outgoing] = {}
        self._retry_at_by_id: dict[str, float] = {}
        self._addresses = Addresses(instance)
        self._questions = Questions(instance.metrics)
        self._own_asked_by_number: dict[int, Asked] = {}
        self._ask_numbers = itertools.count(1)
        self._stopping = False
        self._heard_by_id: dict[str, float] = {}

    @property
    def heard_by_id(self) -> Mapping[str, float]:
        """Return when each peer was last heard, in the instance's seconds."""
        return self._heard_by_id

    @property
    def address(self) -> str:
        """Return the address that peers can connect to, once started."""
        return self._settings.advertised_address or self._acceptor.address

    async def start(self) -> None:
        """Listen."""
        await self._acceptor.listen_at(self._settings.address)
        self._instance.spawn(self._check_forever(), "peers.check")
        self._instance.spawn(self._meet_seeds(), "peers.seeds")

    async def stop(self) -> None:
        """Send what is queued and close every connection."""
        self._stopping = True
        self._acceptor.stop()
        links = [item.connection for item in self._outgoing_by_id.values()]
        connections = [item for item in links if item is not None]
        connections += self._acceptor.connections
        await asyncio.gather(*(item.say_goodbye() for item in connections))
        for outgoing in list(self._outgoing_by_id.values()):
            outgoing.fail("stopped")

    # What components call.

    def send(self, instance_id: str, body: WireMessage) -> bool:
        """Queue a message; return false when the peer is not known."""
        if instance_id == self._instance.id:
            message = PeerMessage(instance_id, 0, body)
            asyncio.get_running_loop().call_soon(self._deliver, message)
            return True
        outgoing = self._get_outgoing(instance_id)
        if outgoing is None:
            return False
        return self._put(outgoing, encode(Envelope(0, 0, body)))

    def send_all(self, instance_ids: Iterable[str], body: WireMessage) -> None:
        """Queue a message to several peers; it is encoded once."""
        payload = encode(Envelope(0, 0, body))
        for id in instance_ids:
            outgoing = self._get_outgoing(id)
            if outgoing is not None:
                self._put(outgoing, payload)

    async def ask(
        self, instance_id: str, body: WireMessage, timeout_s: float
    ) -> Result[WireMessage, Failure]:
        """Send a question and wait for its answer."""
        loop = asyncio.get_running_loop()
        asked: Asked = loop.create_future()
        number = next(self._ask_numbers) % MAX_NUMBER or next(self._ask_numbers)
        if instance_id == self._instance.id:
            waiting = self._own_asked_by_number
            waiting[number] = asked
            loop.call_soon(self._deliver_own, number, body)
        else:
            outgoing = self._get_outgoing(instance_id)
            if outgoing is None:
                return self._fail_ask("no connection")
            if outgoing.queued_bytes > MAX_QUEUE_BYTES // 2:
                return self._fail_ask("queue full")
            waiting = outgoing.asked_by_number
            waiting[number] = asked
            self._put(outgoing, encode(Envelope(number, 0, body)))
        timer = loop.call_later(timeout_s, self._time_out, asked)
        try:
            return await asked
        finally:
            timer.cancel()
            waiting.pop(number, None)

    def answer(self, question: PeerMessage, body: WireMessage) -> None:
        """Answer a peer's question; later answers to it are ignored."""
        place = self._questions.take(question.number)
        if place is None:
            return
        connection, number = place
        if connection is None:
            asked = self._own_asked_by_number.get(number)
            if asked is not None:
                asyncio.get_running_loop().call_soon(_resolve, asked, body)
            return
        if connection.closed or connection.send(encode(Envelope(0, number, body))):
            return
        self._instance.metrics.count("peers.lost.slow")
        connection.close()

    def _fail_ask(self, detail: str) -> Result[WireMessage, Failure]:
        self._instance.metrics.count("peers.ask_failed")
        return Err(Failure(ErrorKind.PEER_UNREACHABLE, detail, Ran.NO))

    def _time_out(self, asked: Asked) -> None:
        if not asked.done():
            self._instance.metrics.count("peers.ask_timeout")
            asked.set_result(Err(Failure(ErrorKind.PEER_UNREACHABLE, "timeout")))

    # The connecting side.

    def _put(self, outgoing: Outgoing, payload: bytes) -> bool:
        if outgoing.put(payload):
            return True
        if outgoing.connection is None or not outgoing.connection.closed:
            self._instance.metrics.count("peers.lost.slow")
        self._lose(outgoing, "queue full or closed")
        return False

    def _get_outgoing(self, peer_id: str, replaces: bool = False) -> Outgoing | None:
        outgoing = self._outgoing_by_id.get(peer_id)
        if outgoing is not None:
            return outgoing
        now = self._instance.now()
        address = self._addresses.find(peer_id)
        if self._stopping or not address:
            return None
        if now < self._retry_at_by_id.get(peer_id, now):
            return None
        outgoing = Outgoing(peer_id, replaces, now)
        self._outgoing_by_id[peer_id] = outgoing
        self._instance.spawn(self._run_outgoing(outgoing, address), "peers.outgoing")
        return outgoing

    def _make_hello(self) -> Hello:
        return Hello(
            PROTOCOL_VERSION,
            self._instance.id,
            self._instance.settings.instance.data_centre,
            self.incarnation,
            self.address,
        )

    async def _run_outgoing(self, outgoing: Outgoing, address: str) -> None:
        dialed = await self._dialer.dial(address, self._make_hello())
        if isinstance(dialed, Err):
            self._lose(outgoing, dialed.failure().detail)
            return
        connection, answer = dialed.unwrap()
        if answer.instance != outgoing.peer_id:
            # The address has passed to another instance, which is met here
            # instead of the one that was looked for.
            connection.close()
            self._instance.metrics.count("peers.refused.wrong_instance")
            self._meet(answer, address)
            self._lose(outgoing, f"{answer.instance} is at the address")
            return
        if self._outgoing_by_id.get(outgoing.peer_id) is not outgoing:
            connection.close()
            return
        self._instance.metrics.count("peers.connected")
        self._retry_at_by_id.pop(outgoing.peer_id, None)
        outgoing.attach(connection)
        self._meet(answer, address)
        if outgoing.replaces:
            self._instance.bus.publish(PeerLost(outgoing.peer_id, reachable=True))
        connection.listen(
            lambda payload: self._take_answer(outgoing, payload),
            lambda failure: self._lose(outgoing, failure.detail),
        )

    def _take_answer(self, outgoing: Outgoing, payload: bytes) -> None:
        decoded = decode(payload)
        if isinstance(decoded, Err):
            self._instance.metrics.count("peers.refused.bad_frame")
            self._lose(outgoing, "bad frame")
            return
        envelope = decoded.unwrap()
        self._heard_by_id[outgoing.peer_id] = self._instance.now()
        asked = outgoing.asked_by_number.get(envelope.answers)
        if asked is not None:
            _resolve(asked, envelope.body)

    def _lose(self, outgoing: Outgoing, reason: str) -> None:
        peer_id = outgoing.peer_id
        if self._outgoing_by_id.get(peer_id) is not outgoing:
            return
        del self._outgoing_by_id[peer_id]
        connection = outgoing.connection
        outgoing.fail(reason)
        if self._stopping:
            return
        now = self._instance.now()
        log_event("peer_connection_lost", peer=peer_id, reason=reason)
        self._instance.metrics.count("peers.lost.connection")
        # A lost or silent connection is no dead peer: something between may
        # have lost track of it. It shows as no bytes, or a reset, while new
        # connections work. So the loss is told with what a new one finds. One
        # that fell at once is not tried again in a loop.
        if connection is not None and now - outgoing.began > RETRY_S:
            self._get_outgoing(peer_id, replaces=True)
            return
        self._retry_at_by_id[peer_id] = now + RETRY_S
        loop = asyncio.get_running_loop()
        loop.call_later(RETRY_S * 2, self._retry_at_by_id.pop, peer_id, None)
        self._instance.bus.publish(PeerLost(peer_id, reachable=False))

    async def _check_forever(self) -> None:
        last = self._instance.now()
        while True:
            await sleep_to_tick(CHECK_PERIOD_S)
            now = self._instance.now()
            # Guards against our own pause: at wake-up every connection looks
            # silent, while the bytes wait in the socket's buffer.
            paused = now - last > 2 * CHECK_PERIOD_S
            last = now
            for outgoing in list(self._outgoing_by_id.values()):
                self._check(outgoing, now, paused)
            self._acceptor.close_idle(now)
            self._forget_silent(now)

    def _forget_silent(self, now: float) -> None:
        for id, heard in list(self._heard_by_id.items()):
            if now - heard > IDLE_S:
                del self._heard_by_id[id]

    def _check(self, outgoing: Outgoing, now: float, paused: bool) -> None:
        connection = outgoing.connection
        if connection is None:
            return
        if paused and connection.waiting_since is not None:
            connection.waiting_since = now
            return
        if connection.waiting_since is None:
            if now - connection.used > IDLE_S and not outgoing.asked_by_number:
                del self._outgoing_by_id[outgoing.peer_id]
                self._instance.spawn(connection.say_goodbye(), "peers.goodbye")
            return
        silent_s = now - connection.waiting_since
        ask_after_s = HEARTBEAT_S if outgoing.asked_by_number else IDLE_HEARTBEAT_S
        if silent_s > ask_after_s + LIFE_SIGN_S:
            self._instance.metrics.count("peers.lost.silent")
            self._lose(outgoing, "silent")
        elif silent_s > ask_after_s:
            connection.send_heartbeat()

    @property
    def _alone(self) -> bool:
        view = self._instance.bus.latest(MemberView)
        known = len(view.members_by_id) > 1 if view is not None else False
        return self._addresses.empty or not known

    async def _meet_seeds(self) -> None:
        # Ids are not known at the seeds' addresses, so each is greeted until
        # some peer is known from whom the rest can be learned; and again once
        # all known peers are gone, since others may have come meanwhile.
        while True:
            seeds = self._instance.settings.peers.seeds if self._alone else ()
            for address in seeds:
                if address == self.address:
                    continue
                dialed = await self._dialer.dial(address, self._make_hello())
                if isinstance(dialed, Success):
                    connection, answer = dialed.unwrap()
                    self._meet(answer, address)
                    await connection.say_goodbye()
            await asyncio.sleep(SEED_PERIOD_S)

    def _meet(self, answer: HelloAnswer, address: str) -> None:
        self._addresses.remember(
            PeerMet(answer.instance, address, answer.data_centre, answer.incarnation)
        )

    # The accepting side.

    def _accept_hello(self, hello: Hello) -> HelloAnswer:
        met = PeerMet(
            hello.instance, hello.address, hello.data_centre, hello.incarnation
        )
        self._addresses.remember(met)
        return HelloAnswer(
            self._instance.id,
            self.incarnation,
            self._instance.settings.instance.data_centre,
            self.address,
        )

    def _handle_incoming(self, connection: Connection, envelope: Envelope) -> None:
        self._heard_by_id[connection.peer_id] = self._instance.now()
        number = 0
        if envelope.number:
            number = self._questions.add(connection, envelope.number)
        self._deliver(PeerMessage(connection.peer_id, number, envelope.body))

    def _handle_incoming_lost(self, connection: Connection) -> None:
        self._questions.drop(connection)
        if connection.ended_well or not connection.peer_id:
            return
        # Guards against answers that are lost with the connection on which
        # they were under way: our own connection may stand all the while, so
        # that nothing else would ever tell of the loss.
        if connection.peer_id in self._outgoing_by_id:
            self._instance.bus.publish(PeerLost(connection.peer_id, reachable=True))
            return
        # The peer may have died: see whether it still accepts.
        self._get_outgoing(connection.peer_id, replaces=True)

    def _deliver_own(self, number: int, body: WireMessage) -> None:
        question = self._questions.add(None, number)
        self._deliver(PeerMessage(self._instance.id, question, body))

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


def _resolve(asked: Asked, body: WireMessage) -> None:
    if not asked.done():
        asked.set_result(Success(body))

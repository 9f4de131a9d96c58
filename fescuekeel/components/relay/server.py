"""Connect to endpoints for peers that cannot reach them."""

import asyncio
from collections.abc import Awaitable, Callable

from fescuekeel.components.relay.const import CONNECT_TIMEOUT_S, DOMAIN, MAX_RELAYED
from fescuekeel.components.relay.outcome import RelayOutcome
from fescuekeel.components.relay.paths import ConnectBy, PathState, PathTable
from fescuekeel.components.relay.splice import SplicedConnection
from fescuekeel.core import Instance
from fescuekeel.helpers.http_connection import NotConnectedError, open_connection
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.peer_link import get_peer_link
from fescuekeel.helpers.published import EndpointRecord
from fescuekeel.messages import PeerMessage, RelayAnswer, RelayAsk

__all__ = ["RelayServer"]


class RelayServer:
    """Own the connections that are relayed for peers.

    Only direct connections are made, so that nothing is relayed twice, and
    only to endpoints of the own catalog.
    """

    def __init__(
        self,
        instance: Instance,
        paths: PathTable,
        find_record: Callable[[str], EndpointRecord | None],
        report_change: Callable[[str, str], None],
        on_direct_failed: Callable[[str, str], None],
        probe_other: Callable[[str], Awaitable[bool]],
    ) -> None:
        self._instance = instance
        self._paths = paths
        self._find_record = find_record
        self._report_change = report_change
        self._on_direct_failed = on_direct_failed
        self._probe_other = probe_other
        self._relayed: set[SplicedConnection] = set()
        self._connecting = 0
        self._idle = asyncio.Event()
        self._idle.set()

    def start(self) -> None:
        """Subscribe to the requests of peers."""
        self._instance.bus.subscribe_peer(RelayAsk, self._handle_ask)
        self._instance.metrics.add_gauge(
            "relayed_for_peers", lambda: {"": float(len(self._relayed))}
        )

    async def stop(self) -> None:
        """Let relayed connections end, and close them if this is cancelled."""
        try:
            await self._idle.wait()
        finally:
            for spliced in list(self._relayed):
                spliced.close()

    def _handle_ask(self, message: PeerMessage) -> None:
        assert isinstance(message.body, RelayAsk)
        work = self._relay(message, message.body.endpoint)
        self._instance.spawn(work, f"{DOMAIN}.relay")

    async def _relay(self, message: PeerMessage, endpoint: str) -> None:
        record = self._find_record(endpoint)
        if record is None:
            self._refuse(message, endpoint, RelayOutcome.UNKNOWN)
            return
        refusal = self._find_refusal(endpoint)
        if refusal is RelayOutcome.UNREACHABLE:
            await self._refuse_unreachable(message, endpoint)
            return
        if refusal is not None:
            self._refuse(message, endpoint, refusal)
            return
        spliced = await self._connect(endpoint, record.address)
        if spliced is None:
            await self._refuse_unreachable(message, endpoint)
            return
        answer = RelayAnswer(RelayOutcome.OPENED)
        stream = get_peer_link(self._instance).accept_stream(message, answer)
        if stream is None:
            spliced.close()
            return
        self._relayed.add(spliced)
        self._idle.clear()
        spliced.connect_stream(stream)
        self._instance.metrics.count("relay.served.opened")

    def _find_refusal(self, endpoint: str) -> RelayOutcome | None:
        """Return why no connection is relayed now, ``None`` if one may be."""
        if self._instance.draining:
            return RelayOutcome.DRAINING
        if len(self._relayed) + self._connecting >= MAX_RELAYED:
            return RelayOutcome.BUSY
        route = self._paths.choose(endpoint, self._instance.now())
        return None if route is ConnectBy.DIRECT else RelayOutcome.UNREACHABLE

    async def _connect(self, endpoint: str, address: str) -> SplicedConnection | None:
        spliced = SplicedConnection(self._forget)
        self._connecting += 1
        try:
            await open_connection(lambda: spliced, address, CONNECT_TIMEOUT_S)
        except NotConnectedError as error:
            self._on_direct_failed(endpoint, str(error))
            return None
        finally:
            self._connecting -= 1
        if self._paths.record_contact(endpoint, self._instance.now()):
            self._report_change(endpoint, "connected for a peer")
        return spliced

    def _forget(self, spliced: SplicedConnection) -> None:
        self._relayed.discard(spliced)
        if not self._relayed:
            self._idle.set()

    async def _refuse_unreachable(self, message: PeerMessage, endpoint: str) -> None:
        """Refuse, and report whether the fault is the endpoint's.

        An instance without recent contact checks whether it is cut off itself.
        """
        is_elsewhere = self._paths.get_state(endpoint) is PathState.RELAYED
        reaches_others = not is_elsewhere and (
            self._paths.reaches_others(endpoint, self._instance.now())
            or await self._probe_other(endpoint)
        )
        self._refuse(message, endpoint, RelayOutcome.UNREACHABLE, reaches_others)

    def _refuse(
        self,
        message: PeerMessage,
        endpoint: str,
        outcome: RelayOutcome,
        reaches_others: bool = False,
    ) -> None:
        self._instance.metrics.count(f"relay.served.{outcome}")
        log_event(
            "relay_refused",
            peer=message.sender,
            endpoint=endpoint,
            reaches_others=reaches_others,
            outcome=outcome.value,
        )
        answer = RelayAnswer(outcome, reaches_others)
        get_peer_link(self._instance).answer(message, answer)

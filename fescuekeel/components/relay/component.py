"""Connect to endpoints directly or through a peer, and relay for peers."""

import asyncio
import random
from collections.abc import Callable, Iterable

from returns.result import Failure as Err

from fescuekeel.components.relay.const import (
    CONNECT_ITERATIONS,
    CONNECT_TIMEOUT_S,
    DIRECT_HEAD_START_S,
    DOMAIN,
    RELAY_STAGGER_S,
    RELAY_TIMEOUT_S,
    TICK_S,
)
from fescuekeel.components.relay.outcome import (
    PathUnavailableError,
    RelayFailedError,
    RelayOutcome,
)
from fescuekeel.components.relay.paths import ConnectBy, PathState, PathTable
from fescuekeel.components.relay.peers import RelayPeers
from fescuekeel.components.relay.race import first_success
from fescuekeel.components.relay.reporter import UnreachableReporter
from fescuekeel.components.relay.server import RelayServer
from fescuekeel.components.relay.transport import StreamTransport
from fescuekeel.components.relay.unreachable import Unreachable, UnreachableEndpoints
from fescuekeel.core import Instance
from fescuekeel.helpers.http_connection import Connection, NotConnectedError, connect
from fescuekeel.helpers.incarnation import Incarnation
from fescuekeel.helpers.late_loop import wait_for_task
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.peer_link import SILENT, OpenedStream, get_peer_link
from fescuekeel.helpers.published import Catalog, EndpointRecord
from fescuekeel.helpers.ticks import sleep_to_tick
from fescuekeel.messages import MemberView, RelayAnswer, RelayAsk

__all__ = ["Relay"]

MS_PER_S = 1000


class Relay:
    """Own the paths to endpoints, and the connections relayed for peers."""

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self._paths = PathTable()
        self._peers = RelayPeers(instance.id)
        self._reporter = UnreachableReporter(instance)
        self._server = RelayServer(
            instance,
            self._paths,
            self._find_record,
            self._report_change,
            self._handle_direct_failed,
            self.reaches_another,
        )
        self._checks_by_endpoint: dict[str, asyncio.Task[bool]] = {}
        self._asking_peers: set[str] = set()
        self._listeners: list[Callable[[str, PathState], None]] = []

    async def start(self) -> None:
        """Subscribe to messages, and start the periodic work."""
        self._instance.bus.subscribe(Catalog, self._handle_catalog)
        self._reporter.start()
        self._server.start()
        metrics = self._instance.metrics
        metrics.add_gauge(
            "endpoints_relayed", lambda: {"": float(len(self._paths.list_relayed()))}
        )
        metrics.add_gauge("endpoints_cut_off", lambda: {"": float(self.is_cut_off)})
        self._instance.keep_running(self._tick_forever, f"{DOMAIN}.tick")

    async def stop(self) -> None:
        """Let the connections end that are relayed for peers."""
        await self._server.stop()

    # The interface for other components.

    @property
    def unreachable(self) -> UnreachableEndpoints:
        """Return what each instance cannot reach, as far as is known."""
        return self._reporter.table

    @property
    def is_cut_off(self) -> bool:
        """Return whether peers reach endpoints and this instance none."""
        return self._paths.is_cut_off(self._instance.now())

    def add_listener(self, listener: Callable[[str, PathState], None]) -> None:
        """Call back after each change of an endpoint's path."""
        self._listeners.append(listener)

    def get_state(self, endpoint: str) -> PathState:
        """Return the state of an endpoint's path."""
        return self._paths.get_state(endpoint)

    def get_failed_at(self, endpoint: str) -> float:
        """Return when the direct path failed, ``-inf`` if it works."""
        return self._paths.get_failed_at(endpoint)

    async def connect(self, endpoint: str, address: str) -> Connection:
        """Connect to an endpoint, directly or through a peer.

        Raises ``NotConnectedError`` if both fail, and ``PathUnavailableError``
        at once if both have failed recently.
        """
        match self._paths.choose(endpoint, self._instance.now()):
            case ConnectBy.NONE:
                raise PathUnavailableError("no path worked recently")
            case ConnectBy.RELAY:
                return await self.connect_relayed(endpoint)
        direct = asyncio.ensure_future(self.connect_directly(endpoint, address))
        try:
            head_start_s = DIRECT_HEAD_START_S + self._connect_lag_s
            is_done = await wait_for_task(direct, head_start_s)
            if is_done and not direct.exception():
                return direct.result()
            return await self._race(endpoint, direct)
        except asyncio.CancelledError:
            _discard(direct)
            raise

    async def connect_directly(self, endpoint: str, address: str) -> Connection:
        """Connect without a peer; raises ``NotConnectedError``."""
        try:
            timeout_s = CONNECT_TIMEOUT_S + self._connect_lag_s
            connection = await connect(address, timeout_s)
        except NotConnectedError as error:
            self._handle_direct_failed(endpoint, str(error))
            raise
        if self._paths.record_contact(endpoint, self._instance.now()):
            self._report_change(endpoint, "connected")
        return connection

    @property
    def _connect_lag_s(self) -> float:
        """Return how much longer a connect takes if this instance is late.

        Guards against taking endpoints for unreachable because of that.
        """
        return CONNECT_ITERATIONS * self._instance.loop_lag_s

    def record_contact(self, endpoint: str) -> None:
        """Record an answer on a direct connection."""
        if self._paths.get_state(endpoint) is PathState.DIRECT:
            self._paths.record_contact(endpoint, self._instance.now())

    async def connect_relayed(self, endpoint: str) -> Connection:
        """Connect through a peer; raises ``RelayFailedError``."""
        errors: list[NotConnectedError] = []
        connection = await first_success(
            [
                lambda peer=peer: self._ask(peer, endpoint)  # type: ignore[misc]
                for peer in self._list_peers(endpoint)
            ],
            RELAY_STAGGER_S,
            errors.append,
            Connection.close,
        )
        if connection is None:
            raise self._record_relay_failed(endpoint, errors)
        if self._paths.record_relayed(endpoint, self._instance.now()):
            self._report_change(endpoint, f"reached by {connection.relayed_by}")
        return connection

    def _list_peers(self, endpoint: str) -> list[str]:
        """Return the peers to ask for a connection, in order."""
        name = Incarnation.parse(endpoint).name
        view = self._instance.bus.latest(MemberView) or MemberView()
        return self._peers.list_next(
            view.members_by_id.keys(),
            self.unreachable.list_without(name),
            self._instance.now(),
        )

    def _record_relay_failed(
        self, endpoint: str, errors: Iterable[NotConnectedError]
    ) -> RelayFailedError:
        """Record what the peers' answers show; return the error to raise."""
        self._paths.record_relay_failed(endpoint, self._instance.now())
        is_down = any(
            isinstance(error, RelayFailedError) and error.is_down for error in errors
        )
        if is_down and self._paths.record_unreachable(endpoint, self._instance.now()):
            self._report_change(endpoint, "unreachable for peers")
        details = ", ".join(str(error) for error in errors) or "no peer"
        return RelayFailedError(details, is_down)

    async def is_reachable_directly(self, endpoint: str, address: str) -> bool:
        """Check the direct path; callers at the same time share one check."""
        check = self._checks_by_endpoint.get(endpoint)
        if check is None:
            work = self._probe(endpoint, address)
            check = self._instance.spawn(work, f"{DOMAIN}.check")
            self._checks_by_endpoint[endpoint] = check
            check.add_done_callback(lambda _: self._checks_by_endpoint.pop(endpoint))
        return await asyncio.shield(check)

    async def reaches_another(self, endpoint: str) -> bool:
        """Return whether this instance reaches some other endpoint."""
        catalog = self._instance.bus.latest(Catalog)
        records = catalog.endpoints_by_id if catalog else {}
        others = [
            id
            for id in records
            if id != endpoint and self._paths.get_state(id) is PathState.DIRECT
        ]
        if not others:
            return False
        other = random.choice(others)
        return await self.is_reachable_directly(other, records[other].address)

    # Connecting.

    async def _race(
        self, endpoint: str, direct: asyncio.Task[Connection]
    ) -> Connection:
        """Return the first connection of a direct and a relayed one."""
        relayed = asyncio.ensure_future(self.connect_relayed(endpoint))
        errors: list[NotConnectedError] = []
        try:
            connection = await first_success(
                [lambda: _wait_for(direct), lambda: _wait_for(relayed)],
                0.0,
                errors.append,
                Connection.close,
            )
        except asyncio.CancelledError:
            _discard(relayed)
            raise
        if connection is None:
            raise NotConnectedError(", ".join(map(str, errors)))
        return connection

    async def _ask(self, peer: str, endpoint: str) -> Connection:
        """Ask one peer for a connection; raises ``RelayFailedError``."""
        asked_at = self._instance.now()
        link = get_peer_link(self._instance)
        opened = await link.open_stream(peer, RelayAsk(endpoint), RELAY_TIMEOUT_S)
        if isinstance(opened, Err):
            self._peers.record_failed(peer, self._instance.now())
            self._log_asked(peer, endpoint, asked_at, "unanswered")
            raise RelayFailedError(f"{peer}: {opened.failure().detail}")
        return self._use_stream(peer, endpoint, asked_at, opened.unwrap())

    def _use_stream(
        self, peer: str, endpoint: str, asked_at: float, opened: OpenedStream
    ) -> Connection:
        answer = opened.answer
        if not isinstance(answer, RelayAnswer):
            opened.stream.close()
            raise RelayFailedError(f"{peer}: unexpected answer")
        self._log_asked(peer, endpoint, asked_at, answer.outcome)
        if answer.outcome == RelayOutcome.OPENED:
            connection = Connection(peer, self._instance.now())
            StreamTransport(opened.stream, connection, self._handle_lost).start()
            return connection
        opened.stream.close()
        is_down = answer.outcome == RelayOutcome.UNREACHABLE and answer.reaches_others
        if not is_down:
            self._peers.record_failed(peer, self._instance.now())
        raise RelayFailedError(f"{peer}: {answer.outcome}", is_down)

    def _handle_lost(self, peer: str, reason: str) -> None:
        """Ask other peers first if one fell silent."""
        if reason == SILENT:
            self._peers.record_failed(peer, self._instance.now())

    def _log_asked(
        self, peer: str, endpoint: str, asked_at: float, outcome: str
    ) -> None:
        self._instance.metrics.count(f"relay.asked.{outcome}")
        log_event(
            "relay_asked",
            peer=peer,
            endpoint=endpoint,
            age_ms=round((self._instance.now() - asked_at) * MS_PER_S),
            outcome=outcome,
        )

    def _handle_direct_failed(self, endpoint: str, reason: str) -> None:
        """Find out in the background whether peers reach the endpoint."""
        if self._paths.record_failed(endpoint, self._instance.now()):
            self._report_change(endpoint, reason)
        if self._paths.get_state(endpoint) is PathState.RELAYED:
            return
        if endpoint not in self._asking_peers:
            self._asking_peers.add(endpoint)
            self._instance.spawn(self._check_with_peers(endpoint), f"{DOMAIN}.peers")

    async def _check_with_peers(self, endpoint: str) -> None:
        try:
            connection = await self.connect_relayed(endpoint)
        except RelayFailedError:
            # The path's state records the failure; requests try again.
            return
        finally:
            self._asking_peers.discard(endpoint)
        connection.close()

    # Periodic work.

    async def _tick_forever(self) -> None:
        while True:
            await sleep_to_tick(TICK_S)
            for endpoint in self._paths.take_probes(self._instance.now()):
                record = self._find_record(endpoint)
                if record is not None:
                    work = self._probe(endpoint, record.address)
                    self._instance.spawn(work, f"{DOMAIN}.probe")
            self._reporter.update(self._describe_unreachable())

    async def _probe(self, endpoint: str, address: str) -> bool:
        """Try the direct path; return whether it works."""
        self._instance.metrics.count("relay.probes")
        try:
            connection = await self.connect_directly(endpoint, address)
        except NotConnectedError:
            return False
        connection.close()
        return True

    def _describe_unreachable(self) -> Unreachable:
        if self.is_cut_off:
            return Unreachable(is_all=True)
        names = (Incarnation.parse(id).name for id in self._paths.list_relayed())
        return Unreachable(names=frozenset(names))

    def _handle_catalog(self, catalog: Catalog) -> None:
        self._paths.retain(catalog.endpoints_by_id)

    def _find_record(self, endpoint: str) -> EndpointRecord | None:
        catalog = self._instance.bus.latest(Catalog)
        return catalog.endpoints_by_id.get(endpoint) if catalog else None

    def _report_change(self, endpoint: str, reason: str) -> None:
        state = self._paths.get_state(endpoint)
        self._instance.metrics.count(f"relay.path.{state}")
        log_event(
            "endpoint_path_changed",
            endpoint=endpoint,
            reason=reason,
            cut_off=self.is_cut_off,
            outcome=state.value,
        )
        for listener in self._listeners:
            listener(endpoint, state)


def _discard(connecting: asyncio.Task[Connection]) -> None:
    """End a connect; close its connection if it has just been made."""
    connecting.cancel()
    connecting.add_done_callback(_close_made)


def _close_made(connecting: asyncio.Task[Connection]) -> None:
    if not connecting.cancelled() and connecting.exception() is None:
        connecting.result().close()


async def _wait_for(task: asyncio.Task[Connection]) -> Connection:
    """Wait for a task that others may wait for as well."""
    return await asyncio.shield(task)

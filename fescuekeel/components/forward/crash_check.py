"""Find out whether an endpoint has crashed after an answer broke."""

import asyncio
from collections.abc import Callable

from fescuekeel.components.forward.const import (
    CRASH_CHECK_TIMEOUT_S,
    DOMAIN,
    SIMULTANEOUS_REMOVAL_S,
)
from fescuekeel.components.relay import PathState, Relay, RelayFailedError
from fescuekeel.core import Instance
from fescuekeel.helpers.dialect import MAX_REPORT_BYTES, Dialect, ResponseMetadata
from fescuekeel.helpers.endpoint_call import call_endpoint
from fescuekeel.helpers.http_connection import (
    Connection,
    IncompleteResponseError,
    NotConnectedError,
    connect,
)
from fescuekeel.helpers.liveness import (
    CrashEvidence,
    Liveness,
    classify_failed_connect,
    gather_evidence,
)
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.published import Catalog, EndpointRecord
from fescuekeel.messages import MemberView

__all__ = ["CrashChecker"]


class CrashChecker:
    """Check each endpoint once for all answers that broke with it."""

    def __init__(
        self,
        instance: Instance,
        dialect: Dialect,
        find_record: Callable[[str], EndpointRecord | None],
        relay: Relay,
        record_response: Callable[[str, ResponseMetadata], None],
    ) -> None:
        self._relay = relay
        self._record_response = record_response
        self._instance = instance
        self._dialect = dialect
        self._find_record = find_record
        self._checks_by_endpoint: dict[str, asyncio.Task[CrashEvidence | None]] = {}
        self._known: set[str] = set()
        self._removed_at_by_endpoint: dict[str, float] = {}

    def update_catalog(self, catalog: Catalog, now: float) -> None:
        """Record when endpoints announce that they leave, or are removed."""
        removed = self._removed_at_by_endpoint
        for endpoint in self._known - catalog.endpoints_by_id.keys():
            removed[endpoint] = now
        for endpoint, removed_at in list(removed.items()):
            if now - removed_at > SIMULTANEOUS_REMOVAL_S:
                del removed[endpoint]
        self._known = set(catalog.endpoints_by_id)

    def start_check(
        self, endpoint: str, address: str
    ) -> asyncio.Task[CrashEvidence | None]:
        """Start a check, or return the one that is in progress.

        Its result is ``None`` if the endpoint was announced to end.
        """
        check = self._checks_by_endpoint.get(endpoint)
        if check is None:
            work = self._check(endpoint, address)
            check = self._instance.spawn(work, f"{DOMAIN}.crash_check")
            self._checks_by_endpoint[endpoint] = check
            check.add_done_callback(lambda _: self._checks_by_endpoint.pop(endpoint))
        return check

    def _was_leaving(self, endpoint: str) -> bool:
        """Return whether the endpoint was announced to end.

        One whose entry is removed just as it crashes was not.
        """
        if self._find_record(endpoint) is not None:
            return False
        removed_at = self._removed_at_by_endpoint.get(endpoint)
        now = self._instance.now()
        return removed_at is None or now - removed_at > SIMULTANEOUS_REMOVAL_S

    async def _check(self, endpoint: str, address: str) -> CrashEvidence | None:
        if self._was_leaving(endpoint):
            return None
        evidence = await gather_evidence(lambda: self._call(endpoint, address))
        if evidence.second is Liveness.SILENT:
            # The link to it may be cut: only peers have evidence then.
            evidence = await gather_evidence(
                lambda: self._call_through_peer(endpoint, address)
            )
        peer = Liveness.SILENT
        if evidence.shows_crash and evidence.second is not Liveness.REPLACED:
            peer, took_s = await self._ask_peer(endpoint, address, evidence.second)
            evidence = evidence.add_peer(peer, took_s)
        outcome = "crashed" if evidence.shows_crash else "not_crashed"
        self._instance.metrics.count(f"crash_check.{outcome}")
        log_event(
            "crash_checked",
            endpoint=endpoint,
            first=evidence.first.value,
            second=evidence.second.value,
            peer=peer.value,
            outcome=outcome,
        )
        return evidence

    async def _ask_peer(
        self, endpoint: str, address: str, own: Liveness
    ) -> tuple[Liveness, float]:
        """Return what a call through a peer shows, and how long it took.

        Behind a cut link an endpoint looks as if it had crashed. If no peer
        has evidence, this instance's own call counts while it reaches another
        endpoint.
        """
        view = self._instance.bus.latest(MemberView) or MemberView()
        if view.members_by_id.keys() <= {self._instance.id}:
            return own, float("inf")
        try:
            connection = await self._relay.connect_relayed(endpoint)
        except RelayFailedError as error:
            if error.is_down or await self._relay.reaches_another(endpoint):
                return own, float("inf")
            return Liveness.SILENT, float("inf")
        called_at = self._instance.now()
        found = await self._call_on(connection, endpoint, address)
        return found, self._instance.now() - called_at

    async def _call(self, endpoint: str, address: str) -> Liveness:
        try:
            connection = await self._connect(endpoint, address)
        except RelayFailedError as error:
            return Liveness.REFUSED if error.is_down else Liveness.SILENT
        except NotConnectedError as error:
            return classify_failed_connect(error.__cause__)
        return await self._call_on(connection, endpoint, address)

    async def _call_through_peer(self, endpoint: str, address: str) -> Liveness:
        """Return what a call through a peer shows, ``SILENT`` without one.

        An endpoint that no peer reaches may be cut off from all of them.
        """
        try:
            connection = await self._relay.connect_relayed(endpoint)
        except RelayFailedError:
            return Liveness.SILENT
        return await self._call_on(connection, endpoint, address)

    async def _connect(self, endpoint: str, address: str) -> Connection:
        """Connect by the path that the endpoint had before."""
        if self._relay.get_state(endpoint) is PathState.RELAYED:
            return await self._relay.connect_relayed(endpoint)
        return await connect(address, CRASH_CHECK_TIMEOUT_S)

    async def _call_on(
        self, connection: Connection, endpoint: str, address: str
    ) -> Liveness:
        call = self._dialect.make_report_call(endpoint)
        try:
            async with asyncio.timeout(CRASH_CHECK_TIMEOUT_S):
                response = await call_endpoint(
                    connection,
                    self._dialect,
                    call,
                    address,
                    2 * CRASH_CHECK_TIMEOUT_S,
                    MAX_REPORT_BYTES,
                )
        except TimeoutError:
            return Liveness.SILENT
        except (IncompleteResponseError, NotConnectedError, ValueError):
            return Liveness.CLOSED
        finally:
            connection.close()
        headers = dict(response.headers)
        metadata = self._dialect.read_response(response.status, headers)
        self._record_response(endpoint, metadata)
        return Liveness.REPLACED if metadata.misdirected else Liveness.ALIVE

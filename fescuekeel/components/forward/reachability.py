"""Monitor unresponsive endpoints and contact with other data centres."""

from collections.abc import Callable, Collection

from fescuekeel.components.endpoints import FAILOVER_AFTER_S, EndpointLoad
from fescuekeel.components.forward.const import DOMAIN
from fescuekeel.components.forward.isolation import Isolation
from fescuekeel.components.forward.request import ForwardedRequest
from fescuekeel.components.relay import PathState, Relay
from fescuekeel.core import Instance
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.peer_link import get_peer_link
from fescuekeel.helpers.published import EndpointRecord
from fescuekeel.messages import MemberView

__all__ = ["ReachabilityMonitor"]


class ReachabilityMonitor:
    """Derive reachability from connects and messages of peers.

    ``cut_off`` is true if no other data centre is reachable: this instance is
    then not ready, and closes callers' connections.
    """

    def __init__(
        self,
        instance: Instance,
        loads_by_id: dict[str, EndpointLoad],
        find_record: Callable[[str], EndpointRecord | None],
        relay: Relay,
    ) -> None:
        self.cut_off = False
        self._relay = relay
        self._instance = instance
        self._loads_by_id = loads_by_id
        self._find_record = find_record
        self._isolation = Isolation(instance.settings.instance.data_centre)

    def record_connect_failed(self, endpoint: str) -> None:
        """Record a failed connect to an endpoint."""
        record = self._find_record(endpoint)
        if record is not None:
            self._isolation.record_connect_failed(
                record.data_centre, self._instance.now()
            )

    def record_reached(self, endpoint: str) -> None:
        """Record a successful connect to an endpoint."""
        record = self._find_record(endpoint)
        if record is not None:
            self._isolation.record_reached(record.data_centre, self._instance.now())

    def update(self) -> None:
        """Update ``cut_off``, and log a change."""
        self._update_contacts()
        cut_off = self._isolation.is_cut_off(self._instance.now())
        if cut_off == self.cut_off:
            return
        self.cut_off = cut_off
        self._instance.metrics.count(f"cut_off.{cut_off}")
        log_event(
            "isolation_changed",
            cut_off=cut_off,
            outcome="not_ready" if cut_off else "ready",
        )

    def _update_contacts(self) -> None:
        """Record messages of peers as contact with their data centres."""
        view = self._instance.bus.latest(MemberView) or MemberView()
        last_received_by_id = get_peer_link(self._instance).last_received_by_id
        for id, received_at in last_received_by_id.items():
            member = view.members_by_id.get(id)
            if member is not None:
                self._isolation.record_reached(member.data_centre, received_at)

    def check_silent(self, requests: Collection[ForwardedRequest]) -> None:
        """Check the paths to silent endpoints; look for others in time."""
        now = self._instance.now()
        for id, load in list(self._loads_by_id.items()):
            if load.health.must_fail_over(now):
                self._fail_over(id, requests, by_another_path=False)
            if load.health.needs_check(now):
                work = self._check_path(id, requests)
                self._instance.spawn(work, f"{DOMAIN}.check_path")
        self._leave_lost_paths(requests)

    def _leave_lost_paths(self, requests: Collection[ForwardedRequest]) -> None:
        """Let requests that wait on a lost direct path look for another one.

        The endpoint does not count as silent while others are answered through
        a peer.
        """
        silent = [item for item in requests if item.silent_s > FAILOVER_AFTER_S]
        for id in {request.current_endpoint for request in silent}:
            if self._relay.get_state(id) is PathState.RELAYED:
                self._fail_over(id, silent, by_another_path=True)

    async def _check_path(
        self, endpoint: str, requests: Collection[ForwardedRequest]
    ) -> None:
        """Fail over if an endpoint cannot be reached directly any more."""
        record = self._find_record(endpoint)
        if record is None:
            return
        health = self._loads_by_id[endpoint].health
        reachable = await self._relay.is_reachable_directly(endpoint, record.address)
        if not reachable and health.is_silent:
            self._fail_over(endpoint, requests, by_another_path=True)

    def _fail_over(
        self,
        endpoint: str,
        requests: Collection[ForwardedRequest],
        by_another_path: bool,
    ) -> None:
        """Let requests at a silent endpoint look for another one.

        Each leaves it only once another endpoint can go on with it.
        """
        begun = [
            request
            for request in list(requests)
            if request.current_endpoint == endpoint
            and request.begin_failover(by_another_path)
        ]
        if not begun:
            return
        if not by_another_path:
            self._loads_by_id[endpoint].health.record_unreachable(self._instance.now())
        self._instance.metrics.count("failover.begun", len(begun))
        log_event(
            "failover_begun",
            endpoint=endpoint,
            requests=len(begun),
            path=self._relay.get_state(endpoint).value,
            outcome="by_another_path" if by_another_path else "elsewhere",
        )

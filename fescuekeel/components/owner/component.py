"""The owner component: assigns endpoints to owners and routes messages."""

import asyncio
import random
from typing import cast

from fescuekeel.components.owner import model
from fescuekeel.components.owner.arrivals import make_copy_answer
from fescuekeel.components.owner.const import (
    REPORT_PERIOD_S,
    SHUTDOWN_CONFIRM_S,
    SNAPSHOT_PERIOD_S,
    TICK_S,
)
from fescuekeel.components.owner.endpoint import EndpointOwner
from fescuekeel.components.owner.estimates import Estimates
from fescuekeel.components.owner.peer_checks import LivenessServer
from fescuekeel.components.owner.placement import Placement
from fescuekeel.components.relay import Unreachable, UnreachableReporter
from fescuekeel.components.tree.model import Pool, TreeInForce
from fescuekeel.core import Instance
from fescuekeel.errors import ErrorKind
from fescuekeel.helpers.driver import DRIVERS
from fescuekeel.helpers.peer_link import get_peer_link
from fescuekeel.messages import (
    CancelWork,
    CopyAsk,
    EntryRunningWork,
    HandoverAnswer,
    HandoverOffer,
    MemberView,
    OwnedEndpoints,
    PeerConnectionLost,
    PeerMessage,
    RunningAnswer,
    RunningAsk,
    Submit,
    SubmitAnswer,
    UnreachableChanged,
)

__all__ = ["Owner"]

TURNS_DOMAIN = "turns"
DRAIN_POLL_S = 0.05


class Owner:
    """Run an ``EndpointOwner`` for each endpoint that this instance owns."""

    def __init__(self, instance: Instance) -> None:
        self.instance = instance
        self.owners_by_endpoint: dict[str, EndpointOwner] = {}
        self.estimates = Estimates(instance.bus)
        self.placement = Placement(instance.id, instance.settings.instance.data_centre)
        self._reporter = UnreachableReporter(instance, self._publish_unreachable)
        self._liveness_server = LivenessServer(instance, self._find_pool)
        self._view = MemberView()
        self._drained = False
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start owning the endpoints that the view assigns here."""
        bus = self.instance.bus
        bus.subscribe_peer(Submit, self._handle_submit)
        bus.subscribe_peer(CancelWork, self._handle_cancel)
        bus.subscribe_peer(RunningAsk, self._answer_running)
        bus.subscribe_peer(HandoverOffer, self._handle_offer)
        bus.subscribe_peer(CopyAsk, self._answer_copy)
        bus.subscribe(PeerConnectionLost, self._handle_peer_lost)
        bus.subscribe(MemberView, self._handle_view)
        self._reporter.start()
        self._liveness_server.start()
        self._handle_view(bus.latest(MemberView) or MemberView())
        self._tasks = [
            self.instance.keep_running(self._tick_forever, "owner.tick"),
            self.instance.keep_running(self._report_forever, "owner.report"),
            self.instance.keep_running(self._publish_forever, "owner.show"),
        ]

    async def stop(self) -> None:
        """Hand all endpoints over and wait for running requests to end."""
        self._drain()
        await self._wait_for_runs()
        for task in self._tasks:
            task.cancel()
        for owner in self.owners_by_endpoint.values():
            owner.end()

    def _drain(self) -> None:
        """Hand all endpoints over to their next owners."""
        if self._drained:
            return
        self._drained = True
        for endpoint, owner in self.owners_by_endpoint.items():
            entry = self._view.endpoints_by_id.get(endpoint)
            successor = None
            if entry is not None:
                successor = self.placement.find_owner(
                    entry, self._view, excluded=self.instance.id
                )
            owner.post(model.DrainStarted(successor))

    async def _wait_for_runs(self) -> None:
        # The next owner may ask to confirm the handover.
        await asyncio.sleep(SHUTDOWN_CONFIRM_S if self.owners_by_endpoint else 0)
        left_s = self.instance.settings.instance.shutdown_s
        while left_s > 0:
            await asyncio.sleep(DRAIN_POLL_S)
            left_s -= DRAIN_POLL_S
            owners = self.owners_by_endpoint.values()
            if all(owner.is_idle for owner in owners):
                return
        self.instance.metrics.count("owner.shutdown_cut")

    # Placement.

    async def _tick_forever(self) -> None:
        while True:
            self._update_assignments()
            for owner in self.owners_by_endpoint.values():
                owner.post(model.TimePassed())
            self._reporter.update(Unreachable(names=self._list_lost_endpoints()))
            await asyncio.sleep(TICK_S)

    def _list_lost_endpoints(self) -> frozenset[str]:
        """Return the endpoints that send no reports to this instance."""
        return frozenset(
            endpoint
            for endpoint, owner in self.owners_by_endpoint.items()
            if owner.has_lost_contact
        )

    def _publish_unreachable(self) -> None:
        names_by_instance = self._reporter.table.list_names()
        self.instance.bus.publish_state(UnreachableChanged(names_by_instance))

    def _update_assignments(self) -> None:
        """Post the current assignment to each endpoint's owner.

        This also renews the leases, so it must run only in a live loop and
        with the current view.
        """
        if self.instance.draining:
            self._drain()
            return
        if self.placement.has_expired_handover(self.instance.now()):
            self._update_placement()
        for endpoint, owner_id in self.placement.owners_by_endpoint.items():
            self._update_assignment(endpoint, owner_id)
        for endpoint in list(self.owners_by_endpoint):
            if endpoint not in self._view.endpoints_by_id:
                self._release(endpoint)

    def _update_placement(self) -> None:
        owned = self.owners_by_endpoint.keys()
        self.placement.update(self._view, owned, self.instance.now())

    def _update_assignment(self, endpoint: str, owner_id: str | None) -> None:
        entry = self._view.endpoints_by_id[endpoint]
        pool = self._find_pool(entry.pool)
        owner = self.owners_by_endpoint.get(endpoint)
        if pool is None:
            return
        if owner is not None and owner.assignment.entry.address != entry.address:
            # The endpoint moved to another address: first finish the requests
            # at the old one.
            self._release(endpoint)
            return
        if owner is None and owner_id != self.instance.id:
            return
        peers = frozenset(self._view.members_by_id) - {self.instance.id}
        assignment = model.EndpointAssignment(entry, pool, owner_id, peers)
        if owner is None:
            owner = self._create(assignment)
        elif owner_id != self.instance.id and self._remove_idle(owner):
            return
        owner.post(assignment)

    def _create(self, assignment: model.EndpointAssignment) -> EndpointOwner:
        driver = DRIVERS.create(
            assignment.pool.kind, self.instance, assignment.entry.address
        )
        turns = cast(model.LoadTurns, self.instance.components_by_domain[TURNS_DOMAIN])
        owner = EndpointOwner(self.instance, assignment, driver, turns, self.estimates)
        self.owners_by_endpoint[assignment.entry.id] = owner
        owner.launch()
        return owner

    def _release(self, endpoint: str) -> None:
        """Give an endpoint up and let its running requests end."""
        owner = self.owners_by_endpoint[endpoint]
        if not self._remove_idle(owner):
            owner.post(
                model.EndpointAssignment(
                    owner.assignment.entry, owner.assignment.pool, None
                )
            )

    def _remove_idle(self, owner: EndpointOwner) -> bool:
        # One that is out of contact is polled, to notice when it is back.
        is_listed = owner.endpoint in self._view.endpoints_by_id
        if not owner.is_idle or (owner.has_lost_contact and is_listed):
            return False
        del self.owners_by_endpoint[owner.endpoint]
        owner.end()
        self._update_placement()
        return True

    def _find_pool(self, name: str) -> Pool | None:
        tree = self.instance.bus.latest(TreeInForce)
        return None if tree is None else tree.intent.pools_by_name.get(name)

    # Messages of peers.

    def _handle_submit(self, message: PeerMessage) -> None:
        submit = cast(Submit, message.body)
        owner = self.owners_by_endpoint.get(submit.endpoint)
        if owner is not None:
            owner.post(model.SubmitReceived(message, submit))
            return
        draining = self.instance.draining
        kind = ErrorKind.DRAINING if draining else ErrorKind.NOT_OWNER
        self.instance.metrics.count(f"owner.refused.{kind}")
        get_peer_link(self.instance).answer(message, SubmitAnswer(False, kind.value))

    def _handle_cancel(self, message: PeerMessage) -> None:
        cancel = cast(CancelWork, message.body)
        for owner in self.owners_by_endpoint.values():
            owner.post(model.CancelReceived(cancel.request_id, cancel.attempt))

    def _answer_running(self, message: PeerMessage) -> None:
        endpoint = cast(RunningAsk, message.body).endpoint
        owner = self.owners_by_endpoint.get(endpoint)
        work = {}
        entry_work = self.instance.bus.latest(EntryRunningWork)
        if entry_work is not None:
            for item in entry_work.list_work(endpoint):
                work[item.request_id] = item
        if owner is not None:
            for item in owner.list_running_work():
                work[item.request_id] = item
        fence, handed_over = 0, False
        if owner is not None:
            fence = owner.ownership.highest_fence
            handed_over = owner.ownership.confirm_handover(
                message.sender, self.instance.now()
            )
        answer = RunningAnswer(endpoint, fence, tuple(work.values()), handed_over)
        get_peer_link(self.instance).answer(message, answer)

    def _answer_copy(self, message: PeerMessage) -> None:
        ask = cast(CopyAsk, message.body)
        owner = self.owners_by_endpoint.get(ask.endpoint)
        candidate = None
        if owner is not None and owner.find_refusal() is None:
            candidate = owner.arrivals.describe_candidate(ask.adapter)
        answer = make_copy_answer(ask, candidate)
        get_peer_link(self.instance).answer(message, answer)

    def _handle_offer(self, message: PeerMessage) -> None:
        offer = cast(HandoverOffer, message.body)
        accepted = not self.instance.draining
        if accepted:
            now = self.instance.now()
            self.placement.record_handover(offer.endpoint, message.sender, now)
            self._update_placement()
            self._update_assignments()
            owner = self.owners_by_endpoint.get(offer.endpoint)
            if owner is not None:
                owner.post(model.OfferReceived(message.sender, offer))
        answer = HandoverAnswer(offer.endpoint, accepted)
        get_peer_link(self.instance).answer(message, answer)

    def _handle_peer_lost(self, lost: PeerConnectionLost) -> None:
        if not lost.reachable:
            self._post_entry_lost(lost.instance_id)
            return
        for owner in self.owners_by_endpoint.values():
            owner.post(model.EntryReconnected(lost.instance_id))

    def _handle_view(self, view: MemberView) -> None:
        if view == self._view:
            return
        # An entry that leaves gracefully still waits for its requests.
        lost_ids = (
            self._view.members_by_id.keys() - view.members_by_id.keys() - view.left
        )
        self._view = view
        for lost in lost_ids:
            self._post_entry_lost(lost)
        self._update_placement()
        self._update_assignments()

    def _post_entry_lost(self, instance_id: str) -> None:
        for owner in self.owners_by_endpoint.values():
            owner.post(model.EntryLost(instance_id))

    # Reports and snapshots.

    async def _report_forever(self) -> None:
        polled: dict[str, asyncio.Task[None]] = {}
        while True:
            for endpoint, owner in list(self.owners_by_endpoint.items()):
                task = polled.get(endpoint)
                if task is None or task.done():
                    polled[endpoint] = self.instance.spawn(owner.poll(), "owner.poll")
            await asyncio.sleep(REPORT_PERIOD_S * random.uniform(0.8, 1.2))

    async def _publish_forever(self) -> None:
        while True:
            owned = {
                endpoint: owner.describe()
                for endpoint, owner in self.owners_by_endpoint.items()
            }
            self.instance.bus.publish_state(OwnedEndpoints(owned))
            await asyncio.sleep(SNAPSHOT_PERIOD_S)

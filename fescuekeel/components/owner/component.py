"""The owner component: which endpoints are this instance's, and messages."""

import asyncio
import random
from typing import cast

from fescuekeel.components.owner import model
from fescuekeel.components.owner.arrivals import make_answer
from fescuekeel.components.owner.const import (
    LINGER_S,
    REPORT_PERIOD_S,
    SNAPSHOT_PERIOD_S,
    TICK_S,
)
from fescuekeel.components.owner.endpoint import EndpointOwner
from fescuekeel.components.owner.estimates import Estimates
from fescuekeel.components.owner.placement import Placement
from fescuekeel.components.tree.model import Pool, TreeInForce
from fescuekeel.core import Instance
from fescuekeel.errors import ErrorKind
from fescuekeel.helpers.driver import DRIVERS
from fescuekeel.helpers.peer_link import get_peer_link
from fescuekeel.messages import (
    CancelWork,
    CopyAsk,
    EntryOpenWork,
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
)

__all__ = ["Owner"]

TURNS_DOMAIN = "turns"
DRAIN_POLL_S = 0.05


class Owner:
    """Hold an ``EndpointOwner`` for each endpoint that is this instance's."""

    def __init__(self, instance: Instance) -> None:
        self.instance = instance
        self.owners_by_endpoint: dict[str, EndpointOwner] = {}
        self.estimates = Estimates(instance.bus)
        self.placement = Placement(instance.id, instance.settings.instance.data_centre)
        self._view = MemberView()
        self._drained = False
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Begin to own what the view names."""
        bus = self.instance.bus
        bus.subscribe_peer(Submit, self._take_submit)
        bus.subscribe_peer(CancelWork, self._take_cancel)
        bus.subscribe_peer(RunningAsk, self._answer_running)
        bus.subscribe_peer(HandoverOffer, self._take_offer)
        bus.subscribe_peer(CopyAsk, self._answer_copy)
        bus.subscribe(PeerConnectionLost, self._lose_peer)
        bus.subscribe(MemberView, self._note_view)
        self._note_view(bus.latest(MemberView) or MemberView())
        self._tasks = [
            self.instance.spawn(self._tick_forever(), "owner.tick"),
            self.instance.spawn(self._report_forever(), "owner.report"),
            self.instance.spawn(self._show_forever(), "owner.show"),
        ]

    async def stop(self) -> None:
        """Hand every endpoint over and let what runs come to its end."""
        self._drain()
        await self._wait_for_runs()
        for task in self._tasks:
            task.cancel()
        for owner in self.owners_by_endpoint.values():
            owner.end()

    def _drain(self) -> None:
        """Hand every endpoint over to its next owner."""
        if self._drained:
            return
        self._drained = True
        for endpoint, owner in self.owners_by_endpoint.items():
            entry = self._view.endpoints_by_id.get(endpoint)
            successor = None
            if entry is not None:
                successor = self.placement.find_owner(
                    entry, self._view, without=self.instance.id
                )
            owner.post(model.Drained(successor))

    async def _wait_for_runs(self) -> None:
        # The next owner may ask whether the handover still holds.
        await asyncio.sleep(LINGER_S if self.owners_by_endpoint else 0)
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
            self._place_all()
            for owner in self.owners_by_endpoint.values():
                owner.post(model.Ticked())
            await asyncio.sleep(TICK_S)

    def _place_all(self) -> None:
        """Tell each endpoint's owner what the views say now.

        It also renews the leases: only a loop that runs and a view that
        still names this instance get here.
        """
        if self.instance.draining:
            self._drain()
            return
        if self.placement.has_expired(self.instance.now()):
            self._update_placement()
        for endpoint, owner_id in self.placement.owners_by_endpoint.items():
            self._place(endpoint, owner_id)
        for endpoint in list(self.owners_by_endpoint):
            if endpoint not in self._view.endpoints_by_id:
                self._place_gone(endpoint)

    def _update_placement(self) -> None:
        held = self.owners_by_endpoint.keys()
        self.placement.update(self._view, held, self.instance.now())

    def _place(self, endpoint: str, owner_id: str | None) -> None:
        entry = self._view.endpoints_by_id[endpoint]
        pool = self._find_pool(entry.pool)
        owner = self.owners_by_endpoint.get(endpoint)
        if pool is None:
            return
        if owner is not None and owner.placed.entry.address != entry.address:
            # It has come back elsewhere: what runs at the old address ends.
            self._place_gone(endpoint)
            return
        if owner is None and owner_id != self.instance.id:
            return
        peers = frozenset(self._view.members_by_id) - {self.instance.id}
        placed = model.Placed(entry, pool, owner_id, peers)
        if owner is None:
            owner = self._create(placed)
        elif owner_id != self.instance.id and self._remove_idle(owner):
            return
        owner.post(placed)

    def _create(self, placed: model.Placed) -> EndpointOwner:
        driver = DRIVERS.create(placed.pool.kind, self.instance, placed.entry.address)
        turns = cast(model.LoadTurns, self.instance.components_by_domain[TURNS_DOMAIN])
        owner = EndpointOwner(self.instance, placed, driver, turns, self.estimates)
        self.owners_by_endpoint[placed.entry.id] = owner
        owner.launch()
        return owner

    def _place_gone(self, endpoint: str) -> None:
        """Let an endpoint that leaves finish what runs."""
        owner = self.owners_by_endpoint[endpoint]
        if not self._remove_idle(owner):
            owner.post(model.Placed(owner.placed.entry, owner.placed.pool, None))

    def _remove_idle(self, owner: EndpointOwner) -> bool:
        if not owner.is_idle:
            return False
        del self.owners_by_endpoint[owner.endpoint]
        owner.end()
        self._update_placement()
        return True

    def _find_pool(self, name: str) -> Pool | None:
        tree = self.instance.bus.latest(TreeInForce)
        return None if tree is None else tree.intent.pools_by_name.get(name)

    # Messages of peers.

    def _take_submit(self, message: PeerMessage) -> None:
        submit = cast(Submit, message.body)
        owner = self.owners_by_endpoint.get(submit.endpoint)
        if owner is not None:
            owner.post(model.SubmitCame(message, submit))
            return
        draining = self.instance.draining
        kind = ErrorKind.DRAINING if draining else ErrorKind.NOT_OWNER
        self.instance.metrics.count(f"owner.refused.{kind}")
        get_peer_link(self.instance).answer(message, SubmitAnswer(False, kind.value))

    def _take_cancel(self, message: PeerMessage) -> None:
        cancel = cast(CancelWork, message.body)
        for owner in self.owners_by_endpoint.values():
            owner.post(model.CancelCame(cancel.request_id, cancel.attempt))

    def _answer_running(self, message: PeerMessage) -> None:
        endpoint = cast(RunningAsk, message.body).endpoint
        owner = self.owners_by_endpoint.get(endpoint)
        work = {}
        entry_work = self.instance.bus.latest(EntryOpenWork)
        if entry_work is not None:
            for item in entry_work.list_work(endpoint):
                work[item.request_id] = item
        if owner is not None:
            for item in owner.list_known():
                work[item.request_id] = item
        fence, given = 0, False
        if owner is not None:
            fence = owner.ownership.highest
            given = owner.ownership.confirm(message.sender, self.instance.now())
        answer = RunningAnswer(endpoint, fence, tuple(work.values()), given)
        get_peer_link(self.instance).answer(message, answer)

    def _answer_copy(self, message: PeerMessage) -> None:
        ask = cast(CopyAsk, message.body)
        owner = self.owners_by_endpoint.get(ask.endpoint)
        situation = None
        if owner is not None and owner.find_refusal() is None:
            situation = owner.arrivals.look(ask.adapter)
        answer = make_answer(ask, situation)
        get_peer_link(self.instance).answer(message, answer)

    def _take_offer(self, message: PeerMessage) -> None:
        offer = cast(HandoverOffer, message.body)
        accepted = not self.instance.draining
        if accepted:
            now = self.instance.now()
            self.placement.note_offer(offer.endpoint, message.sender, now)
            self._update_placement()
            self._place_all()
            owner = self.owners_by_endpoint.get(offer.endpoint)
            if owner is not None:
                owner.post(model.OfferCame(message.sender, offer))
        answer = HandoverAnswer(offer.endpoint, accepted)
        get_peer_link(self.instance).answer(message, answer)

    def _lose_peer(self, lost: PeerConnectionLost) -> None:
        if not lost.reachable:
            self._lose_entry(lost.instance_id)
            return
        for owner in self.owners_by_endpoint.values():
            owner.post(model.EntryReconnected(lost.instance_id))

    def _note_view(self, view: MemberView) -> None:
        if view == self._view:
            return
        # An entry that leaves gracefully still waits for what it has sent.
        gone = self._view.members_by_id.keys() - view.members_by_id.keys() - view.left
        self._view = view
        for lost in gone:
            self._lose_entry(lost)
        self._update_placement()
        self._place_all()

    def _lose_entry(self, instance_id: str) -> None:
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

    async def _show_forever(self) -> None:
        while True:
            shown = {
                endpoint: owner.describe()
                for endpoint, owner in self.owners_by_endpoint.items()
            }
            self.instance.bus.publish_state(OwnedEndpoints(shown))
            await asyncio.sleep(SNAPSHOT_PERIOD_S)

"""Send the state of the endpoints held here to the instances that need it."""

import asyncio
from collections.abc import Callable, Iterable, Mapping

from fescuekeel.components.placement.candidates import choose_holder_group
from fescuekeel.components.placement.const import (
    MAX_UPDATE_BATCH_S,
    MAX_UPDATE_SLOWDOWN,
    SMALL_FLEET_INSTANCES,
    UPDATE_BATCH_S,
    UPDATE_PERIOD_S,
)
from fescuekeel.components.placement.updates import EndpointSnapshot, UpdateWriter
from fescuekeel.core import Instance
from fescuekeel.helpers.peer_link import get_peer_link
from fescuekeel.helpers.placement_view import PlacementView
from fescuekeel.messages import (
    Member,
    MemberView,
    PeerConnectionLost,
    PlacementNews,
    PlacementState,
)

__all__ = ["UpdatePublisher", "sends_to_all"]


def sends_to_all(view: MemberView) -> bool:
    """Return whether holders send updates to all instances.

    In a small fleet broadcasting is cheap and saves requests. In a large one
    the messages per instance would grow with the number of holders, so that
    only instances in the data centres concerned receive them.
    """
    return len(view.members_by_id) <= SMALL_FLEET_INSTANCES


def _list_holders_elsewhere(
    centres: Iterable[str], members_by_id: Mapping[str, Member]
) -> set[str]:
    """Return who may hold the endpoints of data centres without an instance.

    These are instances of any other data centre.
    """
    inhabited = {member.data_centre for member in members_by_id.values()}
    return {
        id
        for centre in set(centres) - inhabited
        for id in choose_holder_group(centre, members_by_id)
    }


class UpdatePublisher:
    """Decide when to send updates, and send them.

    ``list_snapshots`` returns the state of each endpoint that is held here,
    and ``list_data_centres`` their data centres.
    """

    def __init__(
        self,
        instance: Instance,
        placement_view: PlacementView,
        list_snapshots: Callable[[], Iterable[EndpointSnapshot]],
        list_data_centres: Callable[[], set[str]],
    ) -> None:
        self._instance = instance
        self._placement_view = placement_view
        self._list_snapshots = list_snapshots
        self._list_data_centres = list_data_centres
        self._writer = UpdateWriter()
        self._sent_incarnations: dict[str, int] = {}
        self._last_view: MemberView | None = None
        self._last_data_centres: set[str] = set()
        self._sent_at = float("-inf")
        self._next_periodic = 0.0
        self._scheduled = False

    def start(self) -> None:
        """Subscribe to lost connections."""
        self._instance.bus.subscribe(PeerConnectionLost, self._record_peer_lost)

    def forget(self, endpoint: str) -> None:
        """Forget an endpoint that is no longer held."""
        self._writer.forget(endpoint)

    def schedule_update(self) -> None:
        """Send changes at the end of this iteration of the event loop.

        A large fleet batches changes, so that a holder does not send a message
        to every instance at each load. An instance that lacks an update learns
        the change from the answer to its next request.
        """
        if self._scheduled:
            return
        self._scheduled = True
        batch_s = 0.0
        fleet = len(self._read_view().members_by_id)
        if fleet > SMALL_FLEET_INSTANCES:
            batch_s = min(
                MAX_UPDATE_BATCH_S, UPDATE_BATCH_S * fleet / SMALL_FLEET_INSTANCES
            )
            batch_s += self._sent_at - self._instance.now()
        loop = asyncio.get_running_loop()
        loop.call_later(max(0.0, batch_s), self._send_due)

    def step(self) -> None:
        """Send what is due; called at each tick."""
        self._send_to_newcomers()
        self._send_due()

    def _send_due(self) -> None:
        """Send changes if scheduled, and all endpoints once per period."""
        now = self._instance.now()
        due = now >= self._next_periodic
        if not due and not self._scheduled:
            return
        self._scheduled = False
        self._sent_at = now
        if due:
            fleet = len(self._read_view().members_by_id)
            slowdown = min(MAX_UPDATE_SLOWDOWN, max(1.0, fleet / SMALL_FLEET_INSTANCES))
            self._next_periodic = now + UPDATE_PERIOD_S * slowdown
        states = [
            self._writer.write(snapshot, now)
            for snapshot in self._list_snapshots()
            if due or self._writer.has_changed(snapshot)
        ]
        if states:
            self.send(tuple(states))

    def send(self, states: tuple[PlacementState, ...]) -> None:
        """Send states to all recipients, and apply them locally."""
        now = self._instance.now()
        own_id = self._instance.id
        for state in states:
            if not state.released:
                self._placement_view.apply_update(own_id, state, now)
        link = get_peer_link(self._instance)
        link.send_all(self._list_recipients(), PlacementNews(states))

    def _list_recipients(self) -> dict[str, int]:
        """Return the recipients' incarnations by instance id.

        Instances of this data centre, and of the endpoints' own, may become
        the next holders and must know the current one. Guards against a second
        holder after the instances of a lost data centre return.
        """
        members = self._read_view().members_by_id
        centres = self._list_data_centres()
        centres.add(self._instance.settings.instance.data_centre)
        to_all = sends_to_all(self._read_view())
        others = _list_holders_elsewhere(centres, members)
        return {
            id: member.incarnation
            for id, member in members.items()
            if id != self._instance.id
            and (to_all or member.data_centre in centres or id in others)
        }

    def _send_to_newcomers(self) -> None:
        """Send full state to instances that lack the previous version.

        An instance that has just joined, or has lost a message with its
        connection, cannot apply deltas, and would send nothing to an
        endpoint's adapters until the next full update.
        """
        view = self._read_view()
        centres = self._list_data_centres()
        if view is self._last_view and centres == self._last_data_centres:
            return
        self._last_view = view
        self._last_data_centres = centres
        incarnations = self._list_recipients()
        newcomers = [
            id
            for id, incarnation in incarnations.items()
            if self._sent_incarnations.get(id) != incarnation
        ]
        self._sent_incarnations = incarnations
        if not newcomers:
            return
        states = tuple(
            state
            for snapshot in self._list_snapshots()
            if (state := self._writer.write_full(snapshot)) is not None
        )
        if states:
            get_peer_link(self._instance).send_all(newcomers, PlacementNews(states))

    def _record_peer_lost(self, lost: PeerConnectionLost) -> None:
        self._sent_incarnations.pop(lost.instance_id, None)
        self._last_view = None

    def _read_view(self) -> MemberView:
        return self._instance.bus.latest(MemberView) or MemberView()

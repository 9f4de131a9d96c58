"""Which endpoints this instance owns; computed without I/O."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from fescuekeel.components.owner.const import HANDOVER_OVERRIDE_S
from fescuekeel.helpers.owners import choose_owner
from fescuekeel.messages import LiveEntry, Member, MemberView

__all__ = ["Placement"]


@dataclass(frozen=True, slots=True)
class Handover:
    """The previous owner ``by`` is excluded from ownership until ``until``."""

    by: str
    until: float


@dataclass(slots=True)
class Placement:
    """Track the owners of the endpoints that this instance may own.

    Owners are recomputed when a view or a handover changes, and only for
    endpoints that this instance could own, so that the cost does not grow
    with the number of data centres.

    >>> from fescuekeel.messages import LiveRole, Member
    >>> entry = LiveEntry("e1", LiveRole.ENDPOINT, "", "dc1", 1)
    >>> view = MemberView({"i1": Member("i1", "", "dc1", 1)}, {"e1": entry})
    >>> placement = Placement("i1", "dc1")
    >>> placement.update(view, (), 0.0)
    >>> placement.owners_by_endpoint
    {'e1': 'i1'}
    """

    instance_id: str
    data_centre: str
    owners_by_endpoint: dict[str, str | None] = field(default_factory=dict)
    _handovers_by_endpoint: dict[str, Handover] = field(default_factory=dict)

    def record_handover(self, endpoint: str, by: str, now: float) -> None:
        """Record that instance ``by`` handed an endpoint over."""
        self._handovers_by_endpoint[endpoint] = Handover(by, now + HANDOVER_OVERRIDE_S)

    def has_expired_handover(self, now: float) -> bool:
        """Return whether a handover no longer overrides the view."""
        return any(now > item.until for item in self._handovers_by_endpoint.values())

    def update(self, view: MemberView, owned: Collection[str], now: float) -> None:
        """Compute the owners of ``owned`` endpoints and of possible ones."""
        self._handovers_by_endpoint = {
            endpoint: item
            for endpoint, item in self._handovers_by_endpoint.items()
            if now <= item.until
        }
        local_members = [
            member
            for member in view.members_by_id.values()
            if member.data_centre == self.data_centre
        ]
        served_data_centres = {
            member.data_centre for member in view.members_by_id.values()
        }
        unreachable = {
            endpoint
            for member in view.members_by_id.values()
            for endpoint in member.unreachable
        }
        owners = {}
        for endpoint, entry in view.endpoints_by_id.items():
            is_local = entry.data_centre == self.data_centre
            if (
                not is_local
                and entry.data_centre in served_data_centres
                and endpoint not in owned
                and endpoint not in unreachable
            ):
                continue
            # For a local endpoint, members of other data centres are skipped:
            # they do not affect its owner and would dominate the cost. They
            # may own one that local members cannot reach.
            is_local_only = is_local and endpoint not in unreachable
            members = local_members if is_local_only else view.members_by_id.values()
            owner = self._choose(entry, members) or self.find_owner(entry, view)
            if owner == self.instance_id or endpoint in owned:
                owners[endpoint] = owner
        self.owners_by_endpoint = owners

    def find_owner(
        self, entry: LiveEntry, view: MemberView, excluded: str = ""
    ) -> str | None:
        """Return the owner according to the view and recent handovers.

        An instance that handed the endpoint over is skipped, although the view
        may still name it for a while.
        """
        return self._choose(entry, view.members_by_id.values(), excluded)

    def _choose(
        self, entry: LiveEntry, members: Iterable[Member], excluded: str = ""
    ) -> str | None:
        handover = self._handovers_by_endpoint.get(entry.id)
        excluded_ids = {excluded, handover.by if handover else ""}
        return choose_owner(
            entry, [item for item in members if item.id not in excluded_ids]
        )

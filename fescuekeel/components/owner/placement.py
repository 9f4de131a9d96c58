"""Which endpoints are this instance's; a pure decision."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from fescuekeel.components.owner.const import OFFER_KEPT_S
from fescuekeel.helpers.owners import choose_owner
from fescuekeel.messages import LiveEntry, Member, MemberView

__all__ = ["Placement"]


@dataclass(frozen=True, slots=True)
class Handed:
    """An instance that gave an endpoint up, and until when to believe it."""

    by: str
    until: float


@dataclass(slots=True)
class Placement:
    """Follow who owns the endpoints that matter here.

    The owner of an endpoint is computed when a view or a handover changes
    it, and only for endpoints that could be this instance's, so that the
    cost does not grow with the other data centres.

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
    _handed_by_endpoint: dict[str, Handed] = field(default_factory=dict)

    def note_offer(self, endpoint: str, by: str, now: float) -> None:
        """Note that an instance gave an endpoint up."""
        self._handed_by_endpoint[endpoint] = Handed(by, now + OFFER_KEPT_S)

    def has_expired(self, now: float) -> bool:
        """Tell whether some handover is too old to go before the view."""
        return any(now > item.until for item in self._handed_by_endpoint.values())

    def update(self, view: MemberView, held: Collection[str], now: float) -> None:
        """Compute the owners of endpoints that are held or could be ours."""
        self._handed_by_endpoint = {
            endpoint: item
            for endpoint, item in self._handed_by_endpoint.items()
            if now <= item.until
        }
        near_members = [
            member
            for member in view.members_by_id.values()
            if member.data_centre == self.data_centre
        ]
        served = {member.data_centre for member in view.members_by_id.values()}
        owners = {}
        for endpoint, entry in view.endpoints_by_id.items():
            near = entry.data_centre == self.data_centre
            if not near and entry.data_centre in served and endpoint not in held:
                continue
            # Those of other data centres can't matter to a near endpoint, and
            # looking at all of them for each would cost the most of this.
            members = near_members if near else view.members_by_id.values()
            owner = self._choose(entry, members) or self.find_owner(entry, view)
            if owner == self.instance_id or endpoint in held:
                owners[endpoint] = owner
        self.owners_by_endpoint = owners

    def find_owner(
        self, entry: LiveEntry, view: MemberView, without: str = ""
    ) -> str | None:
        """Return the owner by the view and the handovers.

        An instance that handed over gives no orders any more, although the
        view may still name it for a while.
        """
        return self._choose(entry, view.members_by_id.values(), without)

    def _choose(
        self, entry: LiveEntry, members: Iterable[Member], without: str = ""
    ) -> str | None:
        handed = self._handed_by_endpoint.get(entry.id)
        left = {without, handed.by if handed else ""}
        return choose_owner(entry, [item for item in members if item.id not in left])

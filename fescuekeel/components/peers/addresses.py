"""Where peers can be reached."""

from fescuekeel.components.peers.const import MAX_ADDRESSES
from fescuekeel.core import Instance
from fescuekeel.messages import LiveList, LiveRole, MemberView, PeerMet

__all__ = ["Addresses"]


class Addresses:
    """Look among members first, then who was met, then in the live list."""

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self._met_by_id: dict[str, str] = {}

    @property
    def empty(self) -> bool:
        """Tell whether nobody has been met yet."""
        return not self._met_by_id

    def remember(self, met: PeerMet) -> None:
        """Remember who was met, and tell of it; the oldest is forgotten."""
        if met.instance_id == self._instance.id:
            return
        self._met_by_id.pop(met.instance_id, None)
        self._met_by_id[met.instance_id] = met.address
        if len(self._met_by_id) > MAX_ADDRESSES:
            del self._met_by_id[next(iter(self._met_by_id))]
        self._instance.bus.publish(met)

    def find(self, peer_id: str) -> str:
        """Return a peer's address, empty when it is not known."""
        view = self._instance.bus.latest(MemberView)
        if view is not None and peer_id in view.members_by_id:
            return view.members_by_id[peer_id].address
        if peer_id in self._met_by_id:
            return self._met_by_id[peer_id]
        live = self._instance.bus.latest(LiveList)
        entry = live.entries_by_id.get(peer_id) if live else None
        return entry.address if entry and entry.role is LiveRole.INSTANCE else ""

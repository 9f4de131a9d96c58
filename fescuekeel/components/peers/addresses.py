"""Addresses of peers."""

from fescuekeel.components.peers.const import MAX_ADDRESSES
from fescuekeel.core import Instance
from fescuekeel.messages import LiveList, LiveRole, MemberView, PeerAuthenticated

__all__ = ["Addresses"]


class Addresses:
    """Look up addresses of peers by id.

    The member view comes first, then the peers that have authenticated, then
    the live list.
    """

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self._authenticated_by_id: dict[str, str] = {}

    @property
    def empty(self) -> bool:
        """Return whether no peer has authenticated yet."""
        return not self._authenticated_by_id

    def add(self, peer: PeerAuthenticated) -> None:
        """Store an authenticated peer's address and publish the event.

        The oldest entry is evicted beyond ``MAX_ADDRESSES``.
        """
        if peer.instance_id == self._instance.id:
            return
        self._authenticated_by_id.pop(peer.instance_id, None)
        self._authenticated_by_id[peer.instance_id] = peer.address
        if len(self._authenticated_by_id) > MAX_ADDRESSES:
            del self._authenticated_by_id[next(iter(self._authenticated_by_id))]
        self._instance.bus.publish(peer)

    def find(self, peer_id: str) -> str:
        """Return a peer's address, or an empty string if it is unknown."""
        view = self._instance.bus.latest(MemberView)
        if view is not None and peer_id in view.members_by_id:
            return view.members_by_id[peer_id].address
        if peer_id in self._authenticated_by_id:
            return self._authenticated_by_id[peer_id]
        live = self._instance.bus.latest(LiveList)
        entry = live.entries_by_id.get(peer_id) if live else None
        return entry.address if entry and entry.role is LiveRole.INSTANCE else ""

"""Choose the peers that connect to an endpoint for this instance; pure."""

import random
from collections.abc import Collection
from dataclasses import dataclass, field

from fescuekeel.components.relay.const import (
    MAX_PEERS_ASKED,
    MAX_RELAY_PEERS,
    PEER_BACKOFF_S,
)
from fescuekeel.util import rendezvous

__all__ = ["RelayPeers"]


@dataclass(slots=True)
class RelayPeers:
    """The peers that may relay.

    Each instance has a few, chosen by hash, so that many instances that are
    cut off spread over those that are not. Of these the next one is drawn for
    each connection.

    >>> peers = RelayPeers("i1")
    >>> peers.list_next({"i1", "i2", "i3"}, {"i3"}, "i3", now=0.0)
    ['i2']
    >>> peers.record_failed("i2", now=0.0)
    >>> peers.list_next({"i1", "i2"}, set(), "", now=0.5)
    []
    """

    own_id: str
    _avoided_until_by_peer: dict[str, float] = field(default_factory=dict)

    def list_next(
        self,
        members: Collection[str],
        without_endpoint: Collection[str],
        avoided: str,
        now: float,
    ) -> list[str]:
        """Return the peers to ask, in order.

        ``without_endpoint`` have told that they cannot reach the endpoint, and
        ``avoided`` is the peer whose connection has just broken.
        """
        self._forget_old(now)
        usable = [
            id
            for id in members
            if id not in (self.own_id, avoided)
            and id not in without_endpoint
            and id not in self._avoided_until_by_peer
        ]
        ranked = rendezvous.rank(self.own_id, usable)[:MAX_RELAY_PEERS]
        random.shuffle(ranked)
        return ranked[:MAX_PEERS_ASKED]

    def record_failed(self, peer: str, now: float) -> None:
        """Do not ask a peer for a while."""
        self._avoided_until_by_peer[peer] = now + PEER_BACKOFF_S

    def _forget_old(self, now: float) -> None:
        for peer, until in list(self._avoided_until_by_peer.items()):
            if now >= until:
                del self._avoided_until_by_peer[peer]

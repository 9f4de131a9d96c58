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
    >>> peers.list_next({"i1", "i2", "i3"}, {"i3"}, now=0.0)
    ['i2']
    """

    own_id: str
    _failed_until_by_peer: dict[str, float] = field(default_factory=dict)

    def list_next(
        self, members: Collection[str], without_endpoint: Collection[str], now: float
    ) -> list[str]:
        """Return the peers to ask, in order.

        ``without_endpoint`` have announced that they do not reach it.
        Those that have failed recently come last.
        """
        self._forget_old(now)
        usable = [
            id for id in members if id != self.own_id and id not in without_endpoint
        ]
        failed = [id for id in usable if id in self._failed_until_by_peer]
        working = [id for id in usable if id not in self._failed_until_by_peer]
        ranked = rendezvous.rank(self.own_id, working)[:MAX_RELAY_PEERS]
        random.shuffle(ranked)
        random.shuffle(failed)
        return [*ranked, *failed][:MAX_PEERS_ASKED]

    def record_failed(self, peer: str, now: float) -> None:
        """Ask others first for a while."""
        self._failed_until_by_peer[peer] = now + PEER_BACKOFF_S

    def _forget_old(self, now: float) -> None:
        for peer, until in list(self._failed_until_by_peer.items()):
            if now >= until:
                del self._failed_until_by_peer[peer]

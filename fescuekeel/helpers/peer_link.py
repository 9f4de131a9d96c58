"""Interface of the peers component to other components."""

from collections.abc import Iterable, Mapping
from typing import Protocol, cast

from returns.result import Result

from fescuekeel.core import Instance
from fescuekeel.errors import Failure
from fescuekeel.messages import PeerMessage, WireMessage

__all__ = ["PEERS_DOMAIN", "PeerLink", "get_peer_link"]

PEERS_DOMAIN = "peers"


class PeerLink(Protocol):
    """Send typed messages to instances by id, including the local one.

    Messages to a peer arrive in order as long as the connection lasts. A
    message may be lost with its connection and is never retransmitted.
    ``last_received_by_id`` is when the last message of each recent peer
    arrived, in seconds of the instance's clock.
    """

    @property
    def last_received_by_id(self) -> Mapping[str, float]:
        """Return when the last message of each peer arrived."""

    def send(self, instance_id: str, body: WireMessage) -> bool:
        """Queue a message; return false if the peer is unknown."""

    def send_all(self, instance_ids: Iterable[str], body: WireMessage) -> None:
        """Queue a message to several peers; skip unknown ones."""

    async def ask(
        self, instance_id: str, body: WireMessage, timeout_s: float
    ) -> Result[WireMessage, Failure]:
        """Send a request and wait for the reply.

        Fails with ``peer_unreachable`` if no reply arrives in time; the peer
        may still have processed the request.
        """

    def answer(self, request: PeerMessage, body: WireMessage) -> None:
        """Reply to a request of a peer."""


def get_peer_link(instance: Instance) -> PeerLink:
    """Return the peers component of an instance."""
    return cast(PeerLink, instance.components_by_domain[PEERS_DOMAIN])

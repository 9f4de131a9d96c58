"""What components ask of the connection to other instances."""

from collections.abc import Iterable, Mapping
from typing import Protocol, cast

from returns.result import Result

from fescuekeel.core import Instance
from fescuekeel.errors import Failure
from fescuekeel.messages import PeerMessage, WireMessage

__all__ = ["PEERS_DOMAIN", "PeerLink", "get_peer_link"]

PEERS_DOMAIN = "peers"


class PeerLink(Protocol):
    """Send typed messages to instances by id; one's own id works as well.

    Messages to one peer arrive in the order in which they were sent, as long
    as the connection lasts. A message may be lost with its connection and is
    never sent twice. ``heard_by_id`` is when the last message of a peer came,
    in the instance's seconds, for the peers of the last minutes.
    """

    @property
    def heard_by_id(self) -> Mapping[str, float]:
        """Return when each peer was last heard."""

    def send(self, instance_id: str, body: WireMessage) -> bool:
        """Queue a message; return false when the peer is not known."""

    def send_all(self, instance_ids: Iterable[str], body: WireMessage) -> None:
        """Queue a message to several peers, but for those not known."""

    async def ask(
        self, instance_id: str, body: WireMessage, timeout_s: float
    ) -> Result[WireMessage, Failure]:
        """Send a question and wait for its answer.

        Fails with ``peer_unreachable`` when no answer came in time; the peer
        may have acted on the question all the same.
        """

    def answer(self, question: PeerMessage, body: WireMessage) -> None:
        """Answer a peer's question."""


def get_peer_link(instance: Instance) -> PeerLink:
    """Return the link of an instance."""
    return cast(PeerLink, instance.components_by_domain[PEERS_DOMAIN])

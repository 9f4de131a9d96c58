"""Interface of the peers component to other components."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Protocol, cast

from returns.result import Result

from fescuekeel.core import Instance
from fescuekeel.errors import Failure
from fescuekeel.messages import PeerMessage, WireMessage

__all__ = [
    "PEERS_DOMAIN",
    "SILENT",
    "OpenedStream",
    "PeerLink",
    "PeerStream",
    "StreamCallbacks",
    "get_peer_link",
]

PEERS_DOMAIN = "peers"
# The reason of a stream that was lost since the peer sent nothing any more.
SILENT = "silent"


@dataclass(frozen=True, slots=True)
class StreamCallbacks:
    """Callbacks of a byte stream.

    ``on_end``: the peer sends no more. ``on_lost``: the stream is closed or
    broken; called once. ``on_writable``: queued bytes have been sent.
    """

    on_data: Callable[[bytes], None]
    on_end: Callable[[], None]
    on_lost: Callable[[str], None]
    on_writable: Callable[[], None]


class PeerStream(Protocol):
    """A byte stream to a peer, on a connection of its own.

    Bytes arrive in order; the stream is lost if some are.
    """

    peer_id: str

    @property
    def queued_bytes(self) -> int:
        """Return the bytes that are not yet sent."""

    @property
    def closed(self) -> bool:
        """Return whether the stream is closed or broken."""

    def set_callbacks(self, callbacks: StreamCallbacks) -> None:
        """Set the callbacks; bytes that have arrived are delivered at once."""

    def write(self, data: bytes) -> None:
        """Queue bytes."""

    def write_end(self) -> None:
        """Tell the peer that no more bytes follow."""

    def pause_reading(self) -> None:
        """Stop reading, for backpressure."""

    def resume_reading(self) -> None:
        """Read again."""

    def close(self) -> None:
        """Abort the stream; queued bytes are lost."""


@dataclass(frozen=True, slots=True)
class OpenedStream:
    """A stream and the peer's answer to the message that opened it."""

    stream: PeerStream
    answer: WireMessage


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

    async def open_stream(
        self, instance_id: str, body: WireMessage, timeout_s: float
    ) -> Result[OpenedStream, Failure]:
        """Open a connection for a byte stream and wait for the peer's answer.

        Unless the answer accepts the stream, the caller closes it.
        """

    def accept_stream(
        self, request: PeerMessage, body: WireMessage
    ) -> PeerStream | None:
        """Reply to a request that opens a stream, and take its connection.

        Returns ``None`` if the connection is lost already.
        """


def get_peer_link(instance: Instance) -> PeerLink:
    """Return the peers component of an instance."""
    return cast(PeerLink, instance.components_by_domain[PEERS_DOMAIN])

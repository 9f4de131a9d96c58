"""Messages by which an instance reaches endpoints through a peer.

Each class has a struct of the same name in ``schema/peer.capnp``.
"""

from dataclasses import dataclass

__all__ = ["RelayAnswer", "RelayAsk"]


@dataclass(frozen=True, slots=True)
class RelayAsk:
    """Ask a peer to connect to an endpoint and to pass on bytes.

    Sent on a connection of its own, which becomes the byte stream.
    """

    endpoint: str


@dataclass(frozen=True, slots=True)
class RelayAnswer:
    """Say whether the stream is connected to the endpoint.

    ``outcome`` is a value of ``RelayOutcome``. ``reaches_others`` says that
    the peer has direct contact with other endpoints, so that a failure is the
    endpoint's rather than its own.
    """

    outcome: str
    reaches_others: bool = False

"""Results of asking a peer to connect to an endpoint."""

from enum import StrEnum

from fescuekeel.helpers.http_connection import NotConnectedError

__all__ = ["PathUnavailableError", "RelayFailedError", "RelayOutcome"]


class RelayOutcome(StrEnum):
    """A peer's answer to ``RelayAsk``.

    ``UNREACHABLE``: it could not connect to the endpoint. ``UNKNOWN``: its
    catalog has no such endpoint. ``BUSY`` and ``DRAINING``: it takes no
    further streams.
    """

    OPENED = "opened"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"
    BUSY = "busy"
    DRAINING = "draining"


class PathUnavailableError(NotConnectedError):
    """No connect was tried, as all have failed recently."""


class RelayFailedError(NotConnectedError):
    """No peer has connected to the endpoint.

    ``is_down`` says that a peer that reaches other endpoints could not reach
    it, so that the fault is the endpoint's.
    """

    def __init__(self, detail: str, is_down: bool = False) -> None:
        super().__init__(detail)
        self.is_down = is_down

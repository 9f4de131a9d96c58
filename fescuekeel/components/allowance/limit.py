"""What the shares of a rate limit are computed from."""

from dataclasses import dataclass
from typing import Protocol

from fescuekeel.components.allowance.const import ENDPOINT_BURST, ENDPOINT_PREFIX

__all__ = ["EndpointLimit", "RateLimit"]


class RateLimit(Protocol):
    """A rate limit over all instances, of a client account or an endpoint."""

    @property
    def name(self) -> str:
        """Return the name by which instances agree on the limit's home."""

    @property
    def rate_per_s(self) -> float:
        """Return the rate in units per second."""

    @property
    def burst(self) -> float:
        """Return the units that may be spent at once beyond the rate."""


@dataclass(frozen=True, slots=True)
class EndpointLimit:
    """The requests per second that an endpoint takes from all instances.

    >>> EndpointLimit("e1", 3.0).name
    'endpoint/e1'
    """

    endpoint: str
    rate_per_s: float
    burst: float = ENDPOINT_BURST

    @property
    def name(self) -> str:
        """Return the name by which instances agree on the limit's home."""
        return f"{ENDPOINT_PREFIX}{self.endpoint}"

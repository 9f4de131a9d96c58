"""The relay component: connections to endpoints, direct or through a peer."""

from fescuekeel.components.relay.component import Relay
from fescuekeel.components.relay.const import DOMAIN
from fescuekeel.components.relay.outcome import PathUnavailableError, RelayFailedError
from fescuekeel.components.relay.paths import PathState
from fescuekeel.components.relay.reporter import UnreachableReporter
from fescuekeel.components.relay.unreachable import Unreachable, UnreachableEndpoints
from fescuekeel.core import REGISTRY, Instance

__all__ = [
    "DOMAIN",
    "PathState",
    "PathUnavailableError",
    "Relay",
    "RelayFailedError",
    "Unreachable",
    "UnreachableEndpoints",
    "UnreachableReporter",
    "setup",
]


def setup(instance: Instance) -> Relay:
    """Create the component."""
    return Relay(instance)


REGISTRY.register(DOMAIN, setup)

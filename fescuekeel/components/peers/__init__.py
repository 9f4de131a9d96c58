"""The peers component: authenticated connections between instances."""

from fescuekeel.components.peers.const import DOMAIN
from fescuekeel.components.peers.link import Peers
from fescuekeel.core import REGISTRY, Instance

__all__ = ["DOMAIN", "Peers", "setup"]


def setup(instance: Instance) -> Peers:
    """Create the component of an instance."""
    return Peers(instance)


REGISTRY.register(DOMAIN, setup)

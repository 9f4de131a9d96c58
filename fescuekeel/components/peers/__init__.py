"""The peers component."""

from fescuekeel.components.peers.const import DOMAIN
from fescuekeel.components.peers.link import Peers
from fescuekeel.core import REGISTRY, Instance

__all__ = ["DOMAIN", "Peers", "setup"]


def setup(instance: Instance) -> Peers:
    """Create the component."""
    return Peers(instance)


REGISTRY.register(DOMAIN, setup)

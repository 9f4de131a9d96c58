"""The catalog component: follows what the platform publishes."""

from fescuekeel.components.catalog.component import CatalogFollower
from fescuekeel.components.catalog.confirmation import PeerAges
from fescuekeel.components.catalog.const import DOMAIN
from fescuekeel.core import REGISTRY, Instance

__all__ = ["DOMAIN", "CatalogFollower", "PeerAges", "setup"]


def setup(instance: Instance) -> CatalogFollower:
    """Create the component."""
    return CatalogFollower(instance)


REGISTRY.register(DOMAIN, setup)

"""The placement component: decides which adapters each endpoint loads."""

from fescuekeel.components.placement.component import PlacementActor
from fescuekeel.components.placement.const import DOMAIN
from fescuekeel.core import REGISTRY, Instance

__all__ = ["DOMAIN", "PlacementActor", "setup"]


def setup(instance: Instance) -> PlacementActor:
    """Create the component."""
    return PlacementActor(instance)


REGISTRY.register(DOMAIN, setup)

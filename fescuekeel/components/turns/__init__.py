"""The turns component: paces loads from the weight store, one at a time."""

from fescuekeel.components.turns.client import Turns
from fescuekeel.components.turns.const import DOMAIN
from fescuekeel.core import REGISTRY, Component, Instance

__all__ = ["DOMAIN", "Turns", "setup"]


def setup(instance: Instance) -> Component:
    """Create the component, both leader and client."""
    return Turns(instance)


REGISTRY.register(DOMAIN, setup)

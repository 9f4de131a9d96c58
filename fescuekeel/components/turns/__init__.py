"""The turns component: one load at a time at the weight store."""

from fescuekeel.components.turns.client import Turns
from fescuekeel.components.turns.const import DOMAIN
from fescuekeel.core import REGISTRY, Component, Instance

__all__ = ["DOMAIN", "Turns", "setup"]


def setup(instance: Instance) -> Component:
    """Set up the leader's part and the askers'."""
    return Turns(instance)


REGISTRY.register(DOMAIN, setup)

"""The turns component: one load at a time at the weight store."""

from typing import cast

from fescuekeel.components.turns.client import Turns
from fescuekeel.components.turns.const import DOMAIN
from fescuekeel.core import REGISTRY, Component, Instance

__all__ = ["DOMAIN", "Turns", "get_turns", "setup"]


def setup(instance: Instance) -> Component:
    """Set up the leader's part and the askers'."""
    return Turns(instance)


def get_turns(instance: Instance) -> Turns:
    """Return the component by which an owner asks for load turns."""
    return cast(Turns, instance.components_by_domain[DOMAIN])


REGISTRY.register(DOMAIN, setup)

"""The operators component: status, counters, explanations and draining."""

from fescuekeel.components.operators.const import DOMAIN
from fescuekeel.components.operators.server import OperatorsServer
from fescuekeel.core import REGISTRY, Component, Instance

__all__ = ["DOMAIN", "setup"]


def setup(instance: Instance) -> Component:
    """Set up the operators' server."""
    return OperatorsServer(instance)


REGISTRY.register(DOMAIN, setup)

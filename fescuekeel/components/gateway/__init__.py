"""The gateway component."""

from fescuekeel.components.gateway.const import DOMAIN
from fescuekeel.core import REGISTRY, Component, Instance

__all__ = ["DOMAIN"]


def setup(instance: Instance) -> Component:
    """Make the component; the pure modules are importable without it."""
    from fescuekeel.components.gateway.component import Gateway

    return Gateway(instance)


REGISTRY.register(DOMAIN, setup)

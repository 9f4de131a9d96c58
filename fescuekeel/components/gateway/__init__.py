"""Gateway component: the HTTP interface for callers."""

from fescuekeel.components.gateway.const import DOMAIN
from fescuekeel.core import REGISTRY, Component, Instance

__all__ = ["DOMAIN"]


def setup(instance: Instance) -> Component:
    """Set up the component.

    The import is local so that the pure modules load without the server.
    """
    from fescuekeel.components.gateway.component import Gateway

    return Gateway(instance)


REGISTRY.register(DOMAIN, setup)

"""The forward component: callers' requests, passed on as they are."""

from fescuekeel.components.forward.component import Forwarder
from fescuekeel.components.forward.const import DOMAIN
from fescuekeel.core import REGISTRY, Instance

__all__ = ["DOMAIN", "Forwarder", "setup"]


def setup(instance: Instance) -> Forwarder:
    """Create the component."""
    return Forwarder(instance)


REGISTRY.register(DOMAIN, setup)

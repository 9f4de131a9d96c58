"""The forward component: proxies callers' HTTP requests to endpoints."""

from fescuekeel.components.forward.component import Forwarder
from fescuekeel.components.forward.const import DOMAIN
from fescuekeel.core import REGISTRY, Instance

__all__ = ["DOMAIN", "Forwarder", "setup"]


def setup(instance: Instance) -> Forwarder:
    """Set up the component."""
    return Forwarder(instance)


REGISTRY.register(DOMAIN, setup)

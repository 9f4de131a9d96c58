"""The livelist component: polls the platform's list of live members."""

from fescuekeel.components.livelist.const import DOMAIN
from fescuekeel.components.livelist.poller import LiveListPoller
from fescuekeel.core import REGISTRY, Component, Instance

__all__ = ["DOMAIN", "setup"]


def setup(instance: Instance) -> Component:
    """Create the component of an instance."""
    return LiveListPoller(instance)


REGISTRY.register(DOMAIN, setup)

"""The livelist component: reads the platform's list of live instances."""

from fescuekeel.components.livelist.const import DOMAIN
from fescuekeel.components.livelist.poller import LiveListPoller
from fescuekeel.core import REGISTRY, Component, Instance

__all__ = ["DOMAIN", "setup"]


def setup(instance: Instance) -> Component:
    """Set up the poller."""
    return LiveListPoller(instance)


REGISTRY.register(DOMAIN, setup)

"""The owner component."""

from fescuekeel.components.owner.component import Owner
from fescuekeel.components.owner.const import DOMAIN
from fescuekeel.core import REGISTRY, Instance

__all__ = ["DOMAIN", "Owner", "setup"]


def setup(instance: Instance) -> Owner:
    """Create the component."""
    return Owner(instance)


REGISTRY.register(DOMAIN, setup)

"""The allowance component: rate limits of client accounts on all instances."""

from fescuekeel.components.allowance.component import Allowances
from fescuekeel.components.allowance.const import DOMAIN
from fescuekeel.core import REGISTRY, Instance

__all__ = ["DOMAIN", "Allowances", "setup"]


def setup(instance: Instance) -> Allowances:
    """Create the component."""
    return Allowances(instance)


REGISTRY.register(DOMAIN, setup)

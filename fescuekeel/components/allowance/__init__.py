"""The allowance component: rate limits over all instances."""

from fescuekeel.components.allowance.component import Allowances
from fescuekeel.components.allowance.const import DOMAIN
from fescuekeel.components.allowance.limit import EndpointLimit
from fescuekeel.components.allowance.places import Place, PlaceNeed
from fescuekeel.components.allowance.rooms import PlaceOutcome
from fescuekeel.core import REGISTRY, Instance

__all__ = [
    "DOMAIN",
    "Allowances",
    "EndpointLimit",
    "Place",
    "PlaceNeed",
    "PlaceOutcome",
    "setup",
]


def setup(instance: Instance) -> Allowances:
    """Create the component."""
    return Allowances(instance)


REGISTRY.register(DOMAIN, setup)

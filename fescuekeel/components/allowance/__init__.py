"""The allowance component: rate limits over all instances."""

from fescuekeel.components.allowance.component import Allowances
from fescuekeel.components.allowance.concurrency import PermitOutcome
from fescuekeel.components.allowance.const import DOMAIN
from fescuekeel.components.allowance.limit import EndpointLimit
from fescuekeel.components.allowance.partition import PartitionShare
from fescuekeel.components.allowance.permits import Permit, PermitNeed
from fescuekeel.core import REGISTRY, Instance

__all__ = [
    "DOMAIN",
    "Allowances",
    "EndpointLimit",
    "PartitionShare",
    "Permit",
    "PermitNeed",
    "PermitOutcome",
    "setup",
]


def setup(instance: Instance) -> Allowances:
    """Create the component."""
    return Allowances(instance)


REGISTRY.register(DOMAIN, setup)
